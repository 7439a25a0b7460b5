"""Closed-loop streams over raw HTTP, with little overhead for use in measurements.

Run as ``python -m cassiaquay_dev.trials.path_client --config FILE.json`` with the
fields of `ClientSettings`; prints one JSON line, a `ClientResult`.
"""

import asyncio
import functools
import json
import pathlib
import random
import time
import typing

import fire
import uvloop

LAST_CHUNK = b"0\r\n\r\n"
EVENT_MARKER = b"id: "


class ClientSettings(typing.NamedTuple):
    """Settings of the client process.

    Attributes
    ----------
    address : str
        host:port.
    path : str
        Path of a request, without the unique suffix of its id.
    authorization : str
        Value of the Authorization header.
    body : dict
        Fields of each request body except ``max_tokens``.
    tokens : int
        Mean length of the answers; lengths are uniform from half to 1.5 times it.
    streams : int
        Number of concurrent streams.
    spread : float
        Seconds over which the starts of the streams are spread.
    warm_up, seconds : float
        Time before the measurement, and its duration.
    """

    address: str
    path: str
    authorization: str
    body: dict[str, typing.Any]
    tokens: int
    streams: int
    spread: float
    warm_up: float
    seconds: float


class ClientResult(typing.TypedDict):
    """Responses received within the measured time.

    Attributes
    ----------
    requests, tokens : int
        Complete answers and events.
    refused : int
        Responses with a status other than 200, including the warm-up.
    first_ms : list of float
        Time to the first event of each request.
    """

    requests: int
    tokens: int
    refused: int
    first_ms: list[float]


class _Stream(asyncio.Protocol):
    """A connection that sends the next request when the answer is complete."""

    def __init__(self, client: "Client", number: int):
        self._client = client
        self._number = number
        self._rng = random.Random(f"{client.name}-{number}")
        self._sent = 0
        self._sent_at = 0.0
        self._is_awaiting_first = False
        self._tail = b""
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = typing.cast(asyncio.Transport, transport)
        self._send()

    def data_received(self, data: bytes) -> None:
        client = self._client
        now = time.perf_counter()
        is_measured = client.measured_from <= now < client.measured_until
        if self._is_awaiting_first:
            self._is_awaiting_first = False
            if not data.startswith(b"HTTP/1.1 200"):
                client.result["refused"] += 1
            if is_measured:
                client.result["first_ms"].append((now - self._sent_at) * 1000.0)
        if is_measured:
            client.result["tokens"] += data.count(EVENT_MARKER)
        self._tail = (self._tail + data)[-len(LAST_CHUNK) :]
        if not self._tail.endswith(LAST_CHUNK):
            return
        self._tail = b""
        if is_measured:
            client.result["requests"] += 1
        if now < client.measured_until:
            self._send()

    def connection_lost(self, error: Exception | None) -> None:
        """Do not reconnect; a lost connection shows as missing tokens."""

    def close(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def _send(self) -> None:
        assert self._transport is not None
        settings = self._client.settings
        unique_id = f"{self._client.name}-{self._number}-{self._sent}"
        self._sent += 1
        # With equal lengths, answers would end and requests start at the same time.
        half = settings.tokens // 2
        count = self._rng.randint(half, half + settings.tokens)
        body = json.dumps(settings.body | {"max_tokens": count}).encode()
        head = (
            f"POST {settings.path}{unique_id} HTTP/1.1\r\nhost: {settings.address}\r\n"
            f"authorization: {settings.authorization}\r\n"
            f"content-type: application/json\r\ncontent-length: {len(body)}\r\n\r\n"
        )
        self._is_awaiting_first = True
        self._sent_at = time.perf_counter()
        self._transport.write(head.encode() + body)


class Client:
    """The streams of one client process.

    Parameters
    ----------
    settings : ClientSettings
        Settings of the process.
    name : str
        Prefix that makes request ids unique.
    """

    def __init__(self, settings: ClientSettings, name: str):
        self.settings = settings
        self.name = name
        self.measured_from = 0.0
        self.measured_until = 0.0
        self.result = ClientResult(requests=0, tokens=0, refused=0, first_ms=[])

    async def run(self) -> ClientResult:
        """Run all streams and return the measured result."""
        settings = self.settings
        loop = asyncio.get_running_loop()
        host, _, port = settings.address.partition(":")
        self.measured_from = time.perf_counter() + settings.spread + settings.warm_up
        self.measured_until = self.measured_from + settings.seconds
        streams = []
        for number in range(settings.streams):
            _, stream = await loop.create_connection(
                functools.partial(_Stream, self, number), host, int(port)
            )
            streams.append(stream)
            await asyncio.sleep(settings.spread / settings.streams)
        await asyncio.sleep(max(self.measured_until - time.perf_counter(), 0.0))
        for stream in streams:
            stream.close()
        return self.result


def main(config: str, name: str) -> None:
    """Run the streams of the settings file ``config``."""
    settings = ClientSettings(**json.loads(pathlib.Path(config).read_text()))
    result = uvloop.run(Client(settings, str(name)).run())
    print(json.dumps(result), flush=True)


if __name__ == "__main__":
    fire.Fire(main)
