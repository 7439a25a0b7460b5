"""Stand-in of a server that registers itself in the platform's store."""

import asyncio
import collections.abc
import itertools
import time
import typing

from . import http, record, store

BEAT_SECONDS = 1.2
NOT_EXECUTED = {"Cassiaquay-Not-Executed": "1"}
_STARTS = itertools.count(1)


class Connection(typing.NamedTuple):
    """One connection to a server, with its last answer."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


class Server:
    """A sound server: it runs each request that it accepts, once, and answers it.

    Parameters
    ----------
    service : str
        Service that it registers under.
    slots : int
        Requests that it works on at once; as many again may wait.
    recorded : Record
        Receives each run.
    work_seconds : float
        Time that one request takes.
    """

    def __init__(
        self,
        service: str,
        slots: int,
        recorded: record.Record,
        work_seconds: float = 0.06,
    ):
        self.service = service
        self.name = f"i-{service}-{next(_STARTS)}"
        self.address = ""
        self.born = int(time.time() * 1000)
        self.slots = slots
        self.state = "ready"
        self.seq = 0
        self._recorded = recorded
        self._work_seconds = work_seconds
        self._free = asyncio.Semaphore(slots)
        self._waiting = 0
        self._beating: asyncio.Task[None] | None = None
        self._ending: asyncio.Task[None] | None = None
        self._listener: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def entry(self) -> dict[str, object]:
        """What it writes into the store."""
        return {
            "service": self.service,
            "addr": self.address,
            "zone": "midlands-a",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold-left-ms": 0,
            "seq": self.seq,
            "born": self.born,
        }

    async def start(self, host: str, platform: store.Store) -> None:
        """Listen on a free port and register."""
        self._listener = await asyncio.start_server(self._serve, host, 0)
        port = self._listener.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"
        await platform.put(f"servers/{self.name}", self.entry)
        self._beating = asyncio.create_task(self._beat(platform))

    async def leave(self, platform: store.Store, drain_seconds: float = 3.0) -> None:
        """Report that it drains, serve on for a while, and end in the background."""
        self.state = "draining"
        await platform.put(f"servers/{self.name}", self.entry)
        self._ending = asyncio.create_task(self._end(platform, drain_seconds))

    async def _end(self, platform: store.Store, drain_seconds: float) -> None:
        await asyncio.sleep(drain_seconds)
        if self._beating is not None:
            self._beating.cancel()
        await platform.remove(f"servers/{self.name}")
        if self._listener is not None:
            self._listener.close()
        for writer in list(self._writers):
            writer.close()

    async def _beat(self, platform: store.Store) -> None:
        while True:
            await asyncio.sleep(BEAT_SECONDS)
            self.seq += 1
            await platform.put(f"servers/{self.name}", self.entry)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = Connection(reader, writer)
        self._writers.add(writer)
        try:
            while True:
                asked = await http.read(reader)
                await self.respond(asked, connection)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.closed(connection)
            self._writers.discard(writer)
            writer.close()

    def closed(self, connection: Connection) -> None:
        """Forget a connection that has ended."""

    async def respond(self, asked: http.Message, connection: Connection) -> None:
        """Answer one request."""
        writer = connection.writer
        if asked.target == "/cassiaquay/report":
            writer.write(http.response(200, b'{"stage":"mixed"}', {}))
            return
        if asked.target == "/health":
            mark = {"Cassiaquay-Instance-Id": self.name}
            status = 200 if self.state == "ready" else 503
            writer.write(http.response(status, b"", mark))
            return
        writer.write(await self.answer(asked, connection))
        if self.state != "ready":
            await writer.drain()
            raise ConnectionAbortedError

    async def answer(self, asked: http.Message, connection: Connection) -> bytes:
        """Run a request and return the answer; decline one that it does not run."""
        echo = {"Cassiaquay-Attempt-Id": asked.attempt}
        if not asked.attempt:
            return http.response(400, b"", NOT_EXECUTED)
        if asked.headers.get("cassiaquay-expect-instance", self.name) != self.name:
            return http.response(421, b"", echo | {"Cassiaquay-Instance-Id": self.name})
        if self._waiting >= self.slots:
            return self.decline(asked)
        deadline_ms = int(asked.headers.get("cassiaquay-deadline-ms", "600000"))
        ends_at = time.monotonic() + deadline_ms / 1000
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        try:
            if connection.reader.at_eof() or connection.writer.is_closing():
                # Its sender has gone: it is dropped and has not run.
                raise ConnectionAbortedError
            if time.monotonic() >= ends_at:
                return self.decline(asked)
            self._recorded.note_run(asked.attempt, self.name)
            left = max(ends_at - time.monotonic(), 0.0)
            await asyncio.sleep(min(self._work_seconds, left))
            is_late = self._work_seconds > left
        finally:
            self._free.release()
        seal = {"Cassiaquay-Response-Seal": f"seal.{asked.attempt}"}
        if self.state != "ready":
            seal["Connection"] = "close"
        body = b"answer to " + asked.attempt.encode()
        return http.response(504 if is_late else 200, body, echo | seal)

    def decline(self, asked: http.Message) -> bytes:
        """Return the answer to a request that is not run."""
        self._recorded.note("declined", id=asked.attempt, server=self.name)
        echo = {"Cassiaquay-Attempt-Id": asked.attempt}
        return http.response(503, b"", echo | NOT_EXECUTED)


Servers = collections.abc.Sequence[Server]
