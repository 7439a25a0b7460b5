"""A model engine stand-in that sends prepared events faster than a daemon relays them.

Run as ``python -m cassiaquay_dev.standins.fast_engine --interval_ms 20``. It has no
model of batching or memory: it sends the first event of a stream at once, then one
event each ``interval_ms``. The streams are spread over `GROUPS` groups with staggered
send times, like the steps of that many engines. It implements only the HTTP/1.1 that
`cassiaquay_daemon.adapters.backends` and `path_client` use.
"""

import asyncio
import signal
import typing

import fire
import msgspec
import uvloop

HOST = "127.0.0.1"
MAX_EVENTS = 1000
GROUPS = 16
RESPONSE_HEAD = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
    b"transfer-encoding: chunked\r\n\r\n"
)
NOT_FOUND = b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
END_OF_HEAD = b"\r\n\r\n"


class _Body(msgspec.Struct):
    max_tokens: int = 1


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def encode_events(count: int) -> list[bytes]:
    """Return the token events 0 to ``count - 1`` as HTTP chunks."""
    return [
        _chunk(b'id: %d\ndata: {"text":"w%03d "}\n\n' % (index, index % 1000))
        for index in range(count)
    ]


def encode_end(count: int) -> bytes:
    """Return the ``done`` event and the end of the chunked body."""
    data = b'event: done\ndata: {"count":%d,"prompt_tokens":1,"cached_tokens":0}\n\n'
    return _chunk(data % count) + LAST_CHUNK


class _Connection(asyncio.Protocol):
    def __init__(self, engine: "FastEngine"):
        self._engine = engine
        self._data = b""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = typing.cast(asyncio.Transport, transport)

    def connection_lost(self, error: Exception | None) -> None:
        self._engine.drop(self)

    def data_received(self, data: bytes) -> None:
        self._data += data
        head, separator, body = self._data.partition(END_OF_HEAD)
        if not separator:
            return
        size = 0
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                size = int(line.partition(b":")[2])
        if len(body) < size:
            return
        self._data = body[size:]
        assert self.transport is not None
        if not head.startswith(b"POST /v1/streams/"):
            self.transport.write(NOT_FOUND)
            return
        count = msgspec.json.decode(body[:size], type=_Body).max_tokens
        self._engine.start(self, min(count, MAX_EVENTS))


class FastEngine:
    """Open connections by group, and the timer that sends their events.

    Parameters
    ----------
    interval : float
        Seconds between two events of a stream.
    """

    def __init__(self, interval: float):
        self._groups: list[dict[_Connection, tuple[int, int]]] = []
        for _ in range(GROUPS):
            self._groups.append({})
        self._started = 0
        self._interval = interval
        self._events = encode_events(MAX_EVENTS)

    def start(self, connection: _Connection, count: int) -> None:
        """Send the first of ``count`` events and schedule the others."""
        assert connection.transport is not None
        connection.transport.write(RESPONSE_HEAD + self._events[0])
        self._groups[self._started % GROUPS][connection] = (1, count)
        self._started += 1

    def drop(self, connection: _Connection) -> None:
        """Remove a closed connection."""
        for group in self._groups:
            group.pop(connection, None)

    async def run(self) -> None:
        """Send events until cancelled."""
        loop = asyncio.get_running_loop()
        pause = self._interval / GROUPS
        due_at = loop.time()
        while True:
            for group in self._groups:
                due_at = max(due_at + pause, loop.time() - self._interval)
                await asyncio.sleep(max(due_at - loop.time(), 0.0))
                self._send_events(group)

    def _send_events(self, group: dict[_Connection, tuple[int, int]]) -> None:
        for connection, (sent, count) in list(group.items()):
            assert connection.transport is not None
            if sent >= count:
                del group[connection]
                connection.transport.write(encode_end(count))
                continue
            connection.transport.write(self._events[sent])
            group[connection] = (sent + 1, count)


async def _serve(interval: float) -> None:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
    engine = FastEngine(interval)
    server = await loop.create_server(
        lambda: _Connection(engine), HOST, 0, backlog=2048
    )
    print(f"ready address={HOST}:{server.sockets[0].getsockname()[1]}", flush=True)
    sender = asyncio.create_task(engine.run())
    await stop_requested.wait()
    sender.cancel()
    server.close()


def main(interval_ms: float = 20.0) -> None:
    """Serve until SIGTERM."""
    uvloop.run(_serve(interval_ms / 1000.0))


if __name__ == "__main__":
    fire.Fire(main)
