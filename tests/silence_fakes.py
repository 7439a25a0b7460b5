"""Backend servers that are silent for a time and then go on, with routes to them."""

import asyncio
import collections
import typing

import gateway_fakes as fakes
import msgspec

from cassiaquay_dev.standins import platform_standins as standins
from cassiaquay_dev.standins import raw_servers

# Where in an answer a server falls silent.
Place = typing.Literal["head", "body", "events"]

BODY = b"a body that comes in two parts"
EVENTS_BEFORE_SILENCE = 2
# Longer than the patience of plain requests and streams on the routes below.
SILENCE_SECONDS = 1.4
# Time in which a server must stop a request that nobody waits for.
CLOSED_SECONDS = 0.5
SLOTS = 32


class Silence:
    """A time in which servers write nothing; any number of engines share it.

    Attributes
    ----------
    open_runs : Counter
        Requests that engines work on, by attempt id.
    """

    def __init__(self) -> None:
        self.open_runs: collections.Counter[str] = collections.Counter()
        self._over = asyncio.Event()

    def end(self) -> None:
        """Let all engines go on."""
        self._over.set()

    def end_after(self, seconds: float) -> None:
        """Let all engines go on after a time."""
        asyncio.get_running_loop().call_later(seconds, self.end)

    def responder(self, place: Place = "head") -> raw_servers.Respond:
        """Return a responder that is silent at a place of each answer."""

        async def respond(
            request: raw_servers.Request, writer: raw_servers.Writer
        ) -> None:
            self.open_runs[request.attempt] += 1
            try:
                await self._answer(request, writer, place)
            finally:
                self.open_runs[request.attempt] -= 1

        return respond

    async def _answer(
        self, request: raw_servers.Request, writer: raw_servers.Writer, place: Place
    ) -> None:
        if place == "head":
            await self._over.wait()
        if is_stream(request.target):
            await standins.write_stream_head(request, writer)
            if place == "events":
                await standins.write_events(request, writer, EVENTS_BEFORE_SILENCE)
            await self._over.wait()
            await _write_rest(request, writer, place)
            return
        length = {"Content-Length": str(len(BODY))}
        raw_servers.write_head(writer, length | standins.seal_headers(request))
        half = len(BODY) // 2
        writer.write(BODY[:half])
        await self._over.wait()
        writer.write(BODY[half:])
        await writer.drain()


async def _write_rest(
    request: raw_servers.Request, writer: raw_servers.Writer, place: Place
) -> None:
    first = int(request.headers.get("last-event-id", "-1")) + 1
    if place == "events":
        first = max(first, EVENTS_BEFORE_SILENCE)
    for number in range(first, standins.EVENT_COUNT):
        data = standins.event(number)
        writer.write(b"%x\r\n%b\r\n" % (len(data), data))
    writer.write(b"0\r\n\r\n")
    await writer.drain()


def is_stream(target: str) -> bool:
    """Return whether a target is of a route for streams."""
    return target.startswith("/s")


def expected_body(target: str) -> bytes:
    """Return the whole answer to a request."""
    return standins.stream_events() if is_stream(target) else BODY


def routes(objective_ms: int = 300, timeout_ms: int = 5000) -> list[dict[str, object]]:
    """Return routes of each kind that allow one, two and three attempts."""
    found = []
    for attempts in (1, 2, 3):
        limits = {"attempts": attempts, "timeout-ms": timeout_ms}
        plain = limits | {"slo-ms": objective_ms}
        resumable = limits | {"can-resume": True}
        made = standins.route
        found += [
            made(f"/plain/{attempts}/", "idempotent", "plain", **plain),
            made(f"/book/{attempts}/", "non_idempotent", "plain", **plain),
            made(f"/stream/{attempts}/", "stream", "chat", **resumable),
            made(f"/string/{attempts}/", "stream", "chat", **limits),
        ]
    return found


async def publish(site: fakes.Site, version: int, **overrides: object) -> None:
    """Publish a configuration with these routes and wait until it is in force."""
    wanted = {"routes": routes()} | overrides
    site.store.put("op/config", standins.configuration(version, **wanted))
    for number in range(len(site.daemons)):
        while _snapshot(site, number).routes.version < version:
            await asyncio.sleep(0.01)


async def prepare(site: fakes.Site) -> None:
    """Publish the routes and give the servers enough slots for all requests."""
    for engine in site.engines:
        site.register(engine, slots=SLOTS)
    await publish(site, 2)
    for number in range(len(site.daemons)):
        while not _has_slots(_snapshot(site, number)):
            await asyncio.sleep(0.01)


def _snapshot(site: fakes.Site, at: int) -> typing.Any:
    return site.gateway(at)._parts.configured.current


def _has_slots(snapshot: typing.Any) -> bool:
    pools = snapshot.fleet.pools.values()
    return all(server.slots == SLOTS for pool in pools for server in pool.servers)


def spend_budget(site: fakes.Site) -> None:
    """Leave no daemon a repeat."""
    for number, settings in enumerate(site.settings):
        gateway = msgspec.structs.replace(
            settings.gateway, retry_share=0.0, retry_extra=0.0
        )
        site.gateway(number).adopt(msgspec.structs.replace(settings, gateway=gateway))


async def ask_each(
    site: fakes.Site, target: str, count: int, at: int = 0
) -> list[fakes.CallerResponse]:
    """Send requests at once; return their answers."""
    asked = [site.ask(f"{target}x{number}", at=at) for number in range(count)]
    return list(await asyncio.gather(*asked))


def lost(
    target: str, answers: list[fakes.CallerResponse]
) -> list[fakes.CallerResponse]:
    """Return the answers that are not whole, or whose events are not in order."""
    expected = (200, expected_body(target), True)
    found = []
    for got in answers:
        if (got.status, got.body, got.complete) != expected:
            found.append(got)
    return found
