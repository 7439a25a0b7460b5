"""Servers in trouble that send bytes without end before, around or after a body."""

import asyncio
import collections
import contextlib
import typing

import aiohttp
import cut_fakes
import gateway_fakes as fakes
import pytest
import silence_fakes

from cassiaquay_daemon import bounded_http, clock, exceptions
from cassiaquay_daemon.adapters import breaks
from cassiaquay_dev.network import listening
from cassiaquay_dev.standins import endless, raw_servers
from cassiaquay_dev.standins import platform_standins as standins

HEADS = [
    "garbage",
    "blank_lines",
    "status_line",
    "header_name",
    "header",
    "headers",
    "interim",
]
FRAMINGS = ["chunk_extension", "trailer", "trailers"]
SURPLUSES = ["surplus", "surplus_answers"]
KINDS = [*HEADS, *FRAMINGS, *SURPLUSES]
# The body before surplus bytes, a complete answer.
SURPLUS_BODY = b"ok"
ROUTES = ["plain", "stream", "book"]
DEADLINE_SECONDS = 3.0
# Time for a whole answer although its first server is in trouble.
WHOLE_SECONDS = 2.6
# Time in which a client that got too much closes its connection.
CLOSED_SECONDS = 1.0
# Time before the head of a sound answer.
PREFILL_SECONDS = 0.4
OWNER = 0
RELAYED = pytest.mark.parametrize("relayed", [False, True], ids=["direct", "relayed"])


class Troubled:
    """Servers that answer without end, with the kind that a target names.

    Parameters
    ----------
    drips : bool
        Whether bytes come slowly.
    """

    def __init__(self, drips: bool = False) -> None:
        self.open_count = 0
        self._drips = drips
        self._seen: set[str] = set()

    async def respond(
        self, request: raw_servers.Request, writer: raw_servers.Writer
    ) -> None:
        """Answer without end."""
        kind = request.target.rpartition("/")[2]
        self.open_count += 1
        try:
            seals = standins.seal_headers(request)
            await endless.send(writer, kind, seals, self._drips)
        finally:
            self.open_count -= 1

    async def respond_first(
        self, request: raw_servers.Request, writer: raw_servers.Writer
    ) -> None:
        """Answer the first run of an attempt without end."""
        if request.attempt in self._seen:
            await standins.send_complete_answer(request, writer)
            return
        self._seen.add(request.attempt)
        await self.respond(request, writer)

    async def until_closed(self) -> None:
        """Wait until no server sends; fail if one does for too long."""
        async with asyncio.timeout(CLOSED_SECONDS):
            while self.open_count:
                await asyncio.sleep(0.01)


async def _respond_late(
    request: raw_servers.Request, writer: raw_servers.Writer
) -> None:
    """Answer after a time that is longer than two servers may work on a stream."""
    await asyncio.sleep(PREFILL_SECONDS)
    await standins.send_complete_answer(request, writer)


class Asked(typing.NamedTuple):
    """An answer with its route, what its servers did and how long it took."""

    route: str
    kind: str
    got: fakes.CallerResponse
    seconds: float

    @property
    def is_whole(self) -> bool:
        """Whether it is complete and of one server."""
        bodies = [f"body of {self.got.attempt}".encode()]
        if self.route == "stream":
            bodies = [standins.stream_events()]
        elif self.kind in SURPLUSES:
            bodies.append(SURPLUS_BODY)
        return self.got.status == 200 and self.got.complete and self.got.body in bodies


async def _ask(site: fakes.Site, route: str, kind: str) -> Asked:
    began_at = clock.now()
    deadline_ms = str(int(DEADLINE_SECONDS * 1000))
    target = f"/{route}/3/{kind}"
    got = await site.ask(target, at=OWNER, Cassiaquay_Deadline_Ms=deadline_ms)
    return Asked(route, kind, got, clock.now() - began_at)


def _ask_all(
    site: fakes.Site, routes: list[str], kinds: list[str] = KINDS
) -> "asyncio.Future[list[Asked]]":
    asking = [_ask(site, route, kind) for route in routes for kind in kinds]
    return asyncio.gather(*asking)


def _faults(
    site: fakes.Site, asked: list[Asked], drips: bool = False
) -> dict[str, int]:
    """Return what is wrong with answers and how often."""
    found: collections.Counter[str] = collections.Counter()
    for one in asked:
        name = f"{one.route} {one.kind}, status {one.got.status}"
        if one.route != "book":
            if not one.is_whole:
                found[f"{name}: not whole"] += 1
            elif one.seconds > WHOLE_SECONDS:
                found[f"{name}: late"] += 1
            continue
        if len(site.engines_of(one.got.attempt)) != 1:
            found[f"{name}: not run once"] += 1
        if not one.is_whole and one.got.status not in (502, 504):
            found[f"{name}: no clear outcome"] += 1
        if not drips and one.seconds > CLOSED_SECONDS:
            found[f"{name}: late"] += 1
    return dict(found)


def _suspects(site: fakes.Site) -> list[object]:
    found: list[object] = []
    for made in site.daemons:
        found += made._quarantine._suspects.values()
    return found


@contextlib.contextmanager
def _relayed(site: fakes.Site, relayed: bool) -> typing.Iterator[None]:
    with contextlib.ExitStack() as stack:
        if relayed:
            stack.enter_context(cut_fakes.cut(site, OWNER))
        yield


@RELAYED
def test_flood_around_a_body_costs_no_answer(relayed: bool) -> None:
    """Guards against requests that wait for a server that floods them."""

    async def work() -> None:
        troubled = Troubled()
        async with silence_fakes.site(2 if relayed else 1, 3) as site:
            for engine in site.engines:
                engine.responder = troubled.respond_first
            with _relayed(site, relayed):
                assert not _faults(site, await _ask_all(site, ROUTES))
            await troubled.until_closed()
            assert not _suspects(site)

    asyncio.run(work())


@RELAYED
def test_drops_around_a_body_cost_no_answer(relayed: bool) -> None:
    """Guards against requests that stay with a server whose drops are no answer."""

    async def work() -> None:
        troubled = Troubled(drips=True)
        async with silence_fakes.site(2 if relayed else 1) as site:
            first, second = site.engines
            first.responder = troubled.respond
            second.responder = _respond_late
            for name in (second.name, f"{second.name}-plain"):
                site.store.remove(f"servers/{name}")
            await silence_fakes.until_listed(site, 1)
            with _relayed(site, relayed):
                # An answer before surplus bytes has ended before they come.
                kinds = [*HEADS, *FRAMINGS]
                asking = _ask_all(site, ROUTES, kinds)
                await silence_fakes.until_run(site, len(ROUTES) * len(kinds))
                site.register(second, slots=silence_fakes.SLOTS)
                assert not _faults(site, await asking, drips=True)
            await troubled.until_closed()
            assert not _suspects(site)

    asyncio.run(work())


def test_floods_of_all_servers_end_each_request_clearly() -> None:
    """Guards against requests that wait for servers that send no answer."""

    async def work() -> None:
        troubled = Troubled()
        async with silence_fakes.site(1, 3) as site:
            for engine in site.engines:
                engine.responder = troubled.respond
            found = []
            for one in await _ask_all(site, ["plain", "book"]):
                is_clear = one.is_whole or one.got.status == 502
                if not is_clear or one.seconds > WHOLE_SECONDS:
                    found.append(one)
            assert not found
            await troubled.until_closed()
            assert not _suspects(site)

    asyncio.run(work())


class _Server(listening.Listener):
    """Sends pieces to each client after its request, and more after a pause."""

    def __init__(
        self, kind: str = "", pieces: tuple[bytes, ...] = (), is_asked: bool = True
    ) -> None:
        super().__init__()
        self.closed = asyncio.Event()
        self._is_asked = is_asked
        self._kind = kind
        self._pieces = pieces

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            if self._is_asked:
                await reader.readuntil(b"\r\n\r\n")
            for piece in self._pieces:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0.05)
            if self._kind:
                await endless.send(writer, self._kind, {})
            await reader.read()
        except ConnectionError:
            pass
        self.closed.set()


@contextlib.asynccontextmanager
async def _session(server: _Server) -> typing.AsyncIterator[aiohttp.ClientSession]:
    await server.start()
    made = bounded_http.create_session(bounded_http.create_connector())
    try:
        async with asyncio.timeout(5.0), made:
            yield made
    finally:
        await server.stop()


@pytest.mark.parametrize(
    "kind, is_asked", [*((kind, True) for kind in HEADS + FRAMINGS), ("garbage", False)]
)
def test_endless_bytes_around_a_body_are_no_crash(kind: str, is_asked: bool) -> None:
    """Guards against a flood that fills the memory, or counts as a crash."""

    async def work() -> None:
        server = _Server(kind, is_asked=is_asked)
        async with _session(server) as http:
            with pytest.raises(aiohttp.ClientError) as raised:
                async with http.get(f"http://{server.address}/") as response:
                    await bounded_http.read_body(response, 1024)
            error = breaks.to_stream_interrupted(raised.value)
            assert not isinstance(error, exceptions.ConnectionBroken)
            assert len(str(error)) < 2 * bounded_http.MAX_ERROR_CHARACTERS
            async with asyncio.timeout(CLOSED_SECONDS):
                await server.closed.wait()

    asyncio.run(work())


_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
_CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"


@pytest.mark.parametrize("more", [b"HTTP/1.1 200 OK\r\n\r\n", b"\r\n", b"x"])
def test_connection_with_bytes_after_its_answer_is_closed(more: bytes) -> None:
    """Guards against idle connections whose bytes fill the memory."""

    async def work() -> None:
        server = _Server(pieces=(_ANSWER, more))
        async with _session(server) as http:
            async with http.get(f"http://{server.address}/") as response:
                assert await response.read() == b"ok"
            async with asyncio.timeout(CLOSED_SECONDS):
                await server.closed.wait()

    asyncio.run(work())


def test_surplus_answer_beside_the_end_of_another_is_never_read() -> None:
    """Guards against an answer that the next request takes for its own."""

    async def work() -> None:
        server = _Server(pieces=(_ANSWER[:-1], b"k" + _ANSWER * 2))
        async with _session(server) as http:
            for _ in range(2):
                async with http.get(f"http://{server.address}/") as response:
                    assert await response.read() == b"ok"
                async with asyncio.timeout(CLOSED_SECONDS):
                    await server.closed.wait()
                server.closed.clear()

    asyncio.run(work())


@pytest.mark.parametrize("bad", [b"zz\r\n", b"0\r\nno trailer\r\n\r\n"])
def test_bad_chunk_ends_its_answer_at_once(bad: bytes) -> None:
    """Guards against a body whose reader waits for the rest until its deadline."""

    async def work() -> None:
        server = _Server(pieces=(_CHUNKED, bad))
        async with _session(server) as http:
            response = await http.get(f"http://{server.address}/")
            async with asyncio.timeout(CLOSED_SECONDS):
                with pytest.raises(bounded_http.InvalidResponse):
                    await response.read()

    asyncio.run(work())


def test_sound_interim_answers_and_large_heads_pass() -> None:
    """Guards against bounds that a sound server meets."""

    async def work() -> None:
        interim = b"HTTP/1.1 102 Processing\r\n\r\n"
        field = b"X-Long: " + b"x" * 8000 + b"\r\n"
        head = _ANSWER.replace(b"\r\n\r\n", b"\r\n" + field * 7 + b"\r\n")
        server = _Server(pieces=(interim * 200, interim * 50, head))
        async with _session(server) as http:
            response = await http.get(f"http://{server.address}/")
            assert await response.read() == b"ok"

    asyncio.run(work())
