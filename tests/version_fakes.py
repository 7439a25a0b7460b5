"""Servers whose events tell their software version, and callers that come back."""

import asyncio
import contextlib
import re
import typing

import aiohttp
import gateway_fakes as fakes
import yarl

from cassiaquay_daemon import daemon
from cassiaquay_dev.standins import platform_standins as standins
from cassiaquay_dev.standins import raw_servers

EVENT_GAP_SECONDS = 0.02
VERSION = re.compile(rb"data: \d+ by (\S+)")


class VersionedSite:
    """Servers of two versions behind the daemons of a site.

    Parameters
    ----------
    site : Site
        The site; its own servers become the first two.
    versions : dict of str to str
        Software versions by server name.
    """

    def __init__(self, site: fakes.Site, versions: dict[str, str]):
        self.site = site
        self.versions = versions
        # Event before which servers break off the streams that begin at them; -1 for
        # none.
        self.cut_at_event = -1
        # Connections of open streams by server.
        self._open: dict[str, set[raw_servers.Writer]] = {}
        # Servers send the events after the first one once this is set.
        self.released = asyncio.Event()
        self.released.set()

    async def start(self) -> None:
        """Start all servers and wait until all daemons know their versions."""
        await self.add(self.versions)

    async def add(self, versions: dict[str, str], born: int = 1) -> None:
        """Add servers; return when all daemons know the versions of all servers."""
        self.versions |= versions
        for name, version in versions.items():
            known = {engine.name: engine for engine in self.site.engines}
            if name in known:
                self.site.register(known[name], version=version, born=born)
            else:
                await self.site.add_engine(name, version=version, born=born)
        for engine in self.site.engines:
            engine.responder = self._answer
            if engine.name in versions:
                engine.born = born
        for made in self.site.daemons:
            await self._until_known(made)

    async def restart(self, name: str, version: str, entry_after: float) -> None:
        """Restart a server under its name in another version.

        Its entry follows after ``entry_after`` seconds.
        """
        self.crash(name, version)
        await asyncio.sleep(entry_after)
        self.list(name)

    def crash(self, name: str, version: str) -> None:
        """End the process of a server; the next one answers at once, unlisted."""
        self.versions[name] = version
        engine = self.engine(name)
        engine.born += 1
        for writer in list(self._open.get(name, ())):
            raw_servers.reset(writer)
        for task in list(engine._tasks):
            task.cancel()

    def list(self, name: str) -> None:
        """Write the entry of the process that a server has."""
        engine = self.engine(name)
        self.site.register(engine, version=self.versions[name], born=engine.born)

    def engine(self, name: str) -> standins.Engine:
        """Return a server by its name."""
        return next(item for item in self.site.engines if item.name == name)

    async def _until_known(self, made: daemon.Daemon) -> None:
        while True:
            snapshot = made._configuration.current
            if snapshot is not None:
                servers = snapshot.fleet.pools["chat"].servers
                found = {item.name: item.software for item in servers}
                if found == self.versions:
                    return
            await asyncio.sleep(0.02)

    async def _answer(
        self, request: raw_servers.Request, writer: raw_servers.Writer
    ) -> None:
        name = request.headers["cassiaquay-expect-instance"]
        version = self.versions[name]
        writers = self._open.setdefault(name, set())
        writers.add(writer)
        try:
            await self._write_stream(request, writer, version)
        finally:
            writers.discard(writer)

    async def _write_stream(
        self, request: raw_servers.Request, writer: raw_servers.Writer, version: str
    ) -> None:
        await standins.write_stream_head(request, writer)
        first = int(request.headers.get("last-event-id", "-1")) + 1
        for number in range(first, standins.EVENT_COUNT):
            event = b"id: %d\ndata: %d by %b\n\n" % (number, number, version.encode())
            if number:
                await self.released.wait()
            if first == 0 and number == self.cut_at_event:
                raw_servers.reset(writer)
                return
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_GAP_SECONDS)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Stream:
    """One stream as its caller has received it, over all of its tries."""

    def __init__(self, versioned: VersionedSite, name: str):
        self.statuses: list[int] = []
        self.body = b""
        # The attempt that brought the first event.
        self.first_attempt = ""
        self._versioned = versioned
        self._name = name

    @property
    def versions(self) -> set[bytes]:
        """Versions of the servers that have written its events."""
        return set(VERSION.findall(self.body))

    @property
    def event_ids(self) -> list[int]:
        """Ids of its events in the order of arrival."""
        return [int(text) for text in re.findall(rb"id: (\d+)", self.body)]

    @property
    def is_complete(self) -> bool:
        """Whether it has all events, each once and in order."""
        return self.event_ids == list(range(standins.EVENT_COUNT))

    async def ask(self, at: int, leave_after: int | None = None) -> None:
        """Send the next attempt to one daemon, and read until its end.

        The caller closes the connection after ``leave_after`` events of this attempt.
        """
        attempt = f"{self._name}-{len(self.statuses)}"
        async with self._send(attempt, at) as response:
            self.statuses.append(response.status)
            with contextlib.suppress(aiohttp.ClientPayloadError):
                await self._read(response, attempt, leave_after)

    @contextlib.asynccontextmanager
    async def _send(self, attempt: str, at: int) -> typing.AsyncIterator:
        site = self._versioned.site
        headers = {
            "Host": standins.HOST,
            "Cassiaquay-Attempt-Id": attempt,
            "Cassiaquay-Deadline-Ms": "4000",
            "Api-Key": "key",
            "Cassiaquay-Model": "m",
            "Cassiaquay-Token-Counts": "100,6",
            "Cassiaquay-Prompt-Prefix": "aa:100",
        }
        if self.first_attempt:
            headers["Last-Event-Id"] = str(self.event_ids[-1])
            headers["Resumes"] = self.first_attempt
        front = site.settings[at].gateway.front
        url = yarl.URL(f"http://{front}/stream/{self._name}")
        async with site.http.post(url, data=b"b", headers=headers) as response:
            yield response

    async def _read(
        self, response: aiohttp.ClientResponse, attempt: str, leave_after: int | None
    ) -> None:
        if response.status != 200:
            return
        count = 0
        pending = b""
        async for data in response.content.iter_any():
            pending += data
            while b"\n\n" in pending:
                event, _, pending = pending.partition(b"\n\n")
                self.body += event + b"\n\n"
                self.first_attempt = self.first_attempt or attempt
                count += 1
                if count == leave_after:
                    response.close()
                    return
