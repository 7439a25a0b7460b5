"""Which process of a server a connection leads to, shown by real connections."""

import asyncio
from unittest import mock

import pytest

from cassiaquay_daemon import clock
from cassiaquay_daemon.decisions import paths, server_processes
from cassiaquay_daemon.gateway import connections, writers
from cassiaquay_dev.standins import raw_servers
from cassiaquay_schema import fleet

OLD_START, NEW_START = 1, 2
BYTES = b"HTTP/1.1 200 OK\r\n"


class _Ends:
    """Connections to one listening socket, with the ends of the server."""

    def __init__(self) -> None:
        self.observed = paths.Paths(dict)
        self._writers: asyncio.Queue[asyncio.StreamWriter] = asyncio.Queue()
        # Ends that nothing refers to would be closed.
        self._kept: list[asyncio.StreamWriter] = []

    async def start(self) -> None:
        """Listen on a free port."""
        self._listener = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self._address = self._listener.sockets[0].getsockname()

    async def open(self) -> tuple[connections.ResponseHandler, asyncio.StreamWriter]:
        """Return both ends of a new connection."""
        loop = asyncio.get_running_loop()
        _, handler = await loop.create_connection(
            lambda: connections.ResponseHandler(self.observed, loop), *self._address
        )
        self._kept.append(await self._writers.get())
        return handler, self._kept[-1]

    def stop(self) -> None:
        """Close all connections and the socket."""
        for writer in self._kept:
            writer.close()
        self._listener.close()

    async def _accept(
        self, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await self._writers.put(writer)


def _run(work) -> None:
    async def bounded() -> None:
        ends = _Ends()
        await ends.start()
        async with asyncio.timeout(5.0):
            await work(ends)
        ends.stop()

    asyncio.run(bounded())


@pytest.mark.parametrize("end", [asyncio.StreamWriter.close, raw_servers.reset])
def test_bytes_that_are_read_late_are_not_of_the_next_process(end) -> None:
    """Guards against a report that speaks for a connection of the process before."""

    async def work(ends: _Ends) -> None:
        earliest, _ = await ends.open()
        handler, writer = await ends.open()
        for item in (earliest, handler):
            item.transport.pause_reading()
        writer.write(BYTES)
        await writer.drain()
        end(writer)
        asked_at = clock.now()
        later, _ = await ends.open()
        later.note_report(NEW_START, asked_at)
        handler.transport.resume_reading()
        await asyncio.sleep(0.05)
        assert handler.started_ms is None
        found = ends.observed.processes
        # Nor does it make those before it look like the new process's.
        address = f"{ends._address[0]}:{ends._address[1]}"
        assert found.identify(address, earliest.opened_at, earliest.opened_at) is None

    _run(work)


def test_known_connection_that_has_ended_does_not_prolong_its_process() -> None:
    """Guards against a new connection taken for one to the process before."""

    async def work(ends: _Ends) -> None:
        handler, writer = await ends.open()
        handler.note_report(OLD_START, clock.now())
        assert handler.started_ms == OLD_START
        handler.transport.pause_reading()
        writer.write(BYTES)
        await writer.drain()
        writer.close()
        await asyncio.sleep(0.01)
        later, _ = await ends.open()
        handler.transport.resume_reading()
        await asyncio.sleep(0.05)
        assert later.started_ms is None

    _run(work)


def test_open_connection_is_known_by_the_report_on_a_later_one() -> None:
    """Guards against a report for each connection."""

    async def work(ends: _Ends) -> None:
        handler, writer = await ends.open()
        asked_at = clock.now()
        later, _ = await ends.open()
        later.note_report(NEW_START, asked_at)
        assert handler.started_ms == NEW_START
        latest, _ = await ends.open()
        writer.write(BYTES)
        await asyncio.sleep(0.05)
        assert latest.started_ms == NEW_START

    _run(work)


def test_entry_that_is_newer_than_the_dispatch_is_a_sign_of_a_restart() -> None:
    """Guards against a version taken from an entry that a connection preceded."""

    async def work(ends: _Ends) -> None:
        handler, _ = await ends.open()
        found = writers.Writers(
            None, ends.observed, _NoBreaks(), mock.Mock(is_behind=False)
        )
        address = f"{ends._address[0]}:{ends._address[1]}"
        old = fleet.Server(name="i-1", address=address, started_ms=OLD_START)
        new = fleet.Server(name="i-1", address=address, started_ms=NEW_START)
        assert found.compare(old, old, handler) is writers.Process.ASSUMED
        assert found.compare(new, old, handler) is writers.Process.UNKNOWN
        handler.note_report(NEW_START, clock.now())
        assert found.compare(new, old, handler) is writers.Process.LISTED

    _run(work)


class _NoBreaks:
    count = 0

    def broken_at(self, server: str) -> float:
        return server_processes.NEVER
