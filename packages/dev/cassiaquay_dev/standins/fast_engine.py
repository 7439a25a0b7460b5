"""A model engine stand-in that replays prepared events, faster than any daemon relays.

Run as ``python -m cassiaquay_dev.standins.fast_engine --interval_ms 20``. It models
nothing: the first event of a stream leaves at once, then one event each
``interval_ms``, in `GROUPS` groups one after the other as the steps of so many engines
would. It speaks just enough HTTP/1.1 for `cassiaquay_daemon.adapters.backends` and
`path_client`.
"""

import asyncio
import signal
import typing

import fire
import msgspec
import uvloop

HOST = "127.0.0.1"
LONGEST_ANSWER = 1000
GROUPS = 16
HEAD = (
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


def prepare(count: int) -> list[bytes]:
    """Return the events 0 to ``count - 1`` as HTTP chunks."""
    return [
        _chunk(b'id: %d\ndata: {"text":"w%03d "}\n\n' % (index, index % 1000))
        for index in range(count)
    ]


def done(count: int) -> bytes:
    """Return the last event and the end of the body."""
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
        head, found, body = self._data.partition(END_OF_HEAD)
        if not found:
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
        self._engine.start(self, min(count, LONGEST_ANSWER))


class FastEngine:
    """All connections, and the clocks of the events.

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
        self._events = prepare(LONGEST_ANSWER)

    def start(self, connection: _Connection, count: int) -> None:
        """Answer with the first event of ``count``."""
        assert connection.transport is not None
        connection.transport.write(HEAD + self._events[0])
        self._groups[self._started % GROUPS][connection] = (1, count)
        self._started += 1

    def drop(self, connection: _Connection) -> None:
        """Forget a connection that was lost."""
        for group in self._groups:
            group.pop(connection, None)

    async def run(self) -> None:
        """Send events for ever."""
        loop = asyncio.get_running_loop()
        pause = self._interval / GROUPS
        due = loop.time()
        while True:
            for group in self._groups:
                due = max(due + pause, loop.time() - self._interval)
                await asyncio.sleep(max(due - loop.time(), 0.0))
                self._step(group)

    def _step(self, group: dict[_Connection, tuple[int, int]]) -> None:
        for connection, (sent, count) in list(group.items()):
            assert connection.transport is not None
            if sent >= count:
                del group[connection]
                connection.transport.write(done(count))
                continue
            connection.transport.write(self._events[sent])
            group[connection] = (sent + 1, count)


async def _serve(interval: float) -> None:
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, ended.set)
    engine = FastEngine(interval)
    server = await loop.create_server(
        lambda: _Connection(engine), HOST, 0, backlog=2048
    )
    print(f"ready address={HOST}:{server.sockets[0].getsockname()[1]}", flush=True)
    running = asyncio.create_task(engine.run())
    await ended.wait()
    running.cancel()
    server.close()


def main(interval_ms: float = 20.0) -> None:
    """Serve until SIGTERM."""
    uvloop.run(_serve(interval_ms / 1000.0))


if __name__ == "__main__":
    fire.Fire(main)
