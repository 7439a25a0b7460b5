"""Model servers that crash when they begin to answer a prompt with a certain part."""

import asyncio
import collections.abc
import random
import typing

import gateway_fakes as fakes

from cassiaquay_dev.standins import platform_standins as standins
from cassiaquay_dev.standins import raw_servers

SERVER_COUNT = 5
PREFILL_SECONDS = 0.03
EVENT_SECONDS = 0.01
# A crashed server is back after this time, under a new name and at a new address.
RESTART_SECONDS = 0.6
BAD_PART = "bad0"
# Time after the fifth crash from which callers are held to what all instances know.
CONTACT_SECONDS = 1.5
CRASHES_TO_LEARN = 5


class Load(typing.NamedTuple):
    """What callers send, and how servers frame their answers."""

    instances: int = 1
    # Position of the bad part, before the part that is the request's own.
    position: int = 1
    is_framed: bool = True
    # Whether the connections of a crashed server are reset instead of closed.
    is_reset: bool = False
    # What a crashing server still writes of each stream.
    last_bytes: bytes = b"id: 9\nda"
    sound_per_second: int = 25
    bad_per_second: int = 12
    warm_up_seconds: float = 1.0
    seconds: float = 4.0


class Outcome(typing.NamedTuple):
    """One finished request."""

    sent_at: float
    is_bad: bool
    status: int


class CrashingServers:
    """The servers of a site, which crash on each prompt with the bad part."""

    def __init__(self, site: fakes.Site, load: Load):
        self.crash_times: list[float] = []
        self.bad_arrival_times: list[float] = []
        self._site = site
        self._load = load
        self._writers: dict[standins.Engine, set[raw_servers.Writer]] = {}
        self._restarts: dict[standins.Engine, asyncio.Task[None]] = {}
        self._started_count = 0

    async def start(self) -> None:
        """Bring the site to its number of servers."""
        for number in range(len(self._site.engines), SERVER_COUNT):
            await self._site.add_engine(f"i-{number + 1}")
        for engine in self._site.engines:
            self._take(engine)

    async def stop(self) -> None:
        """Wait for the servers that are starting again."""
        await asyncio.gather(*list(self._restarts.values()))

    def _take(self, engine: standins.Engine) -> None:
        self._writers[engine] = set()

        async def respond(
            request: raw_servers.Request, writer: raw_servers.Writer
        ) -> None:
            await self._respond(engine, request, writer)

        engine.responder = respond

    async def _respond(
        self,
        engine: standins.Engine,
        request: raw_servers.Request,
        writer: raw_servers.Writer,
    ) -> None:
        if engine in self._restarts:
            # It was accepted before the listener closed.
            raw_servers.reset(writer)
            return
        is_bad = BAD_PART in request.headers.get("cassiaquay-prompt-prefix", "")
        if is_bad:
            self.bad_arrival_times.append(asyncio.get_running_loop().time())
        await asyncio.sleep(PREFILL_SECONDS)
        self._write_head(request, writer)
        await writer.drain()
        self._writers[engine].add(writer)
        try:
            if is_bad:
                self._crash(engine)
                await asyncio.sleep(RESTART_SECONDS)
            for number in range(standins.EVENT_COUNT):
                await asyncio.sleep(EVENT_SECONDS)
                self._write(writer, standins.event(number))
                await writer.drain()
            if self._load.is_framed:
                writer.write(b"0\r\n\r\n")
                await writer.drain()
            else:
                writer.close()
        finally:
            self._writers[engine].discard(writer)

    def _write_head(
        self, request: raw_servers.Request, writer: raw_servers.Writer
    ) -> None:
        if self._load.is_framed:
            raw_servers.write_head(
                writer,
                {"Transfer-Encoding": "chunked"} | standins.seal_headers(request),
            )
            return
        raw_servers.write_head(
            writer, {"Connection": "close"} | standins.seal_headers(request)
        )

    def _write(self, writer: raw_servers.Writer, data: bytes) -> None:
        if self._load.is_framed:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        writer.write(data)

    def _crash(self, engine: standins.Engine) -> None:
        if engine in self._restarts:
            return
        self.crash_times.append(asyncio.get_running_loop().time())
        for writer in self._writers[engine]:
            self._write(writer, self._load.last_bytes)
            if self._load.is_reset:
                raw_servers.reset(writer)
        self._restarts[engine] = asyncio.create_task(self._restart(engine))

    async def _restart(self, engine: standins.Engine) -> None:
        await engine.stop()
        name = engine.name
        await asyncio.sleep(RESTART_SECONDS)
        self._site.store.remove(f"servers/{name}")
        self._site.store.remove(f"servers/{name}-plain")
        self._started_count += 1
        engine.name = f"i-again-{self._started_count}"
        await engine.start()
        self._site.register(engine)
        del self._restarts[engine]


class Callers:
    """Sends sound and bad requests at random instances, no two alike."""

    def __init__(self, site: fakes.Site, load: Load):
        self.outcomes: list[Outcome] = []
        self._site = site
        self._load = load
        self._random = random.Random(1)
        self._tasks: list[asyncio.Task[None]] = []
        self._count = 0

    async def send_load(self) -> None:
        """Send the sound requests of the warm-up, then the bad ones, too."""
        load = self._load
        await self._send({False: load.sound_per_second}, load.warm_up_seconds)
        rates = {False: load.sound_per_second, True: load.bad_per_second}
        await self._send(rates, load.seconds)
        await asyncio.gather(*self._tasks)

    def share_begun(self, since: float, until: float) -> float:
        """Return the share of the sound requests sent in a time that were answered."""
        found = [
            outcome
            for outcome in self.outcomes
            if not outcome.is_bad and since <= outcome.sent_at < until
        ]
        assert len(found) >= 20, "too few requests to compare"
        return sum(outcome.status == 200 for outcome in found) / len(found)

    async def _send(
        self, rates: collections.abc.Mapping[bool, int], seconds: float
    ) -> None:
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        due = []
        for is_bad, rate in rates.items():
            for number in range(int(rate * seconds)):
                due.append((began_at + number / rate, is_bad))
        for at, is_bad in sorted(due):
            await asyncio.sleep(max(at - loop.time(), 0.0))
            self._tasks.append(asyncio.create_task(self._ask(is_bad)))

    async def _ask(self, is_bad: bool) -> None:
        self._count += 1
        own = f"f{self._count:x}:10"
        parts = ["aa:100", f"b{self._random.randrange(4)}:40", "cc:20"]
        if is_bad:
            parts[self._load.position] = f"{BAD_PART}:40"
        prefix = ",".join([*parts, own])
        sent_at = asyncio.get_running_loop().time()
        got = await self._site.ask(
            "/string/x",
            body=own.encode(),
            at=self._random.randrange(self._load.instances),
            Cassiaquay_Prompt_Prefix=prefix,
        )
        self.outcomes.append(Outcome(sent_at, is_bad, got.status))


async def play(site: fakes.Site, load: Load) -> tuple[CrashingServers, Callers]:
    """Send a load at a site whose servers crash on the bad part."""
    servers = CrashingServers(site, load)
    await servers.start()
    for made in site.daemons:
        while made._servers.count < 2 * SERVER_COUNT:
            await asyncio.sleep(0.02)
    callers = Callers(site, load)
    await callers.send_load()
    await servers.stop()
    return servers, callers
