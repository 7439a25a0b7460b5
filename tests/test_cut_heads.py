"""Servers that stop within the head or the body of an answer."""

import asyncio
import collections.abc
import contextlib
import functools
import itertools
import typing
from unittest import mock

import aiohttp
import cut_fakes
import gateway_fakes as fakes
import pytest
import silence_fakes
from aiohttp import client_proto, http_parser

from cassiaquay import adapters, models
from cassiaquay import exceptions as caller_exceptions
from cassiaquay_daemon import bounded_http, exceptions, platform, positions
from cassiaquay_daemon.adapters import answers, backends
from cassiaquay_daemon.decisions import paths
from cassiaquay_daemon.engines import engine_reports
from cassiaquay_daemon.gateway import connections, process_checks
from cassiaquay_daemon.interface import relay
from cassiaquay_daemon.platform import store
from cassiaquay_dev.standins import platform_standins as standins
from cassiaquay_dev.standins import raw_servers
from cassiaquay_schema import fleet

BODY = b"one\r\ntwo\r\n"
TRAILERS = b"0\r\nX-Trailer: value\r\n\r\n"
# How a body ends.
LENGTH = "length"
CHUNKS = "chunks"
UNFRAMED = "unframed"
# How a connection ends.
CLOSE = "close"
RESET = "reset"
SILENCE = "silence"
OWNER = 0
# Requests that are under way at the same time.
CONCURRENCY = 24
DEADLINE_SECONDS = 3.0
# Long enough for a second server after the patience with the first one.
SILENT_DEADLINE_SECONDS = 2.0
# Every so many of the cases are run with one end; 1 for all of them.
STRIDE = 9
NO_ANSWER = (0, 502, 504)
RELAYED = pytest.mark.parametrize("relayed", [False, True], ids=["direct", "relayed"])
PARSERS = pytest.mark.parametrize(
    "parser",
    [http_parser.HttpResponseParser, http_parser.HttpResponseParserPy],
    ids=["default", "python"],
)


class Kind(typing.NamedTuple):
    """An answer.

    Attributes
    ----------
    status : int
        HTTP status.
    framing : str
        How its body ends.
    is_declined : bool
        Whether it says that its request did not run.
    """

    status: int
    framing: str
    is_declined: bool = False

    def head(self, attempt: str, body: bytes) -> bytes:
        """Return the head."""
        lines = [f"HTTP/1.1 {self.status} Status"]
        if self.framing == LENGTH:
            lines.append(f"Content-Length: {len(body)}")
        elif self.framing == CHUNKS:
            lines.append("Transfer-Encoding: chunked")
        lines.append(f"Cassiaquay-Attempt-Id: {attempt}")
        lines.append(f"Cassiaquay-Response-Seal: seal-{attempt}")
        if self.is_declined:
            lines.append("Cassiaquay-Not-Executed: 1")
        lines.append("Last-Header: value")
        return "".join(f"{line}\r\n" for line in lines).encode() + b"\r\n"

    def framed(self, body: bytes) -> bytes:
        """Return a body as it is sent."""
        if self.framing != CHUNKS:
            return body
        middle = len(body) // 2
        chunks = []
        for part in (body[:middle], body[middle:]):
            chunks.append(b"%x\r\n%b\r\n" % (len(part), part))
        return b"".join(chunks) + TRAILERS


SERVED = Kind(200, LENGTH)
DECLINED = Kind(503, LENGTH, True)
KINDS = [
    SERVED,
    Kind(200, CHUNKS),
    Kind(200, UNFRAMED),
    Kind(204, UNFRAMED),
    Kind(404, LENGTH),
    Kind(421, LENGTH),
    Kind(429, LENGTH, True),
    Kind(500, CHUNKS),
    DECLINED,
    Kind(503, UNFRAMED, True),
]
# An answer without a length that is closed early looks like a whole one.
CUT_BODIES = [
    (Kind(200, LENGTH), CLOSE),
    (Kind(200, LENGTH), RESET),
    (Kind(200, CHUNKS), CLOSE),
    (Kind(200, CHUNKS), RESET),
    (Kind(200, UNFRAMED), RESET),
    (Kind(404, LENGTH), CLOSE),
    (Kind(404, UNFRAMED), RESET),
    (Kind(500, CHUNKS), CLOSE),
]


class Route(typing.NamedTuple):
    """A kind of requests.

    Attributes
    ----------
    method, path : str
        Method and path.
    may_repeat : bool
        Whether a second server may get the request.
    """

    method: str
    path: str
    may_repeat: bool

    @property
    def is_stream(self) -> bool:
        """Whether answers are streams."""
        return self.path.startswith("/s")


ROUTES = [
    Route("POST", "/plain/2", True),
    Route("GET", "/plain/2", True),
    Route("HEAD", "/plain/2", True),
    Route("POST", "/stream/2", True),
    Route("POST", "/string/2", False),
    Route("POST", "/book/2", False),
    Route("GET", "/book/2", False),
    Route("HEAD", "/book/2", False),
]
BOOKING = Route("POST", "/book/2", False)
ROUTES_WITH_BODIES = [route for route in ROUTES if route.method != "HEAD"]


class Case(typing.NamedTuple):
    """A request whose first server stops within its answer.

    Attributes
    ----------
    route : Route
        The request.
    kind : Kind
        The answer.
    is_in_body : bool
        Whether the server stops after the head.
    place : int
        Number of the place in the head or body.
    """

    route: Route
    kind: Kind
    is_in_body: bool
    place: int

    def sent(self, attempt: str) -> bytes:
        """Return what the server sends."""
        body = standins.stream_events() if self.route.is_stream else BODY
        head = self.kind.head(attempt, body)
        if not self.is_in_body:
            return head[: _places_in_head(head)[self.place]]
        framed = self.kind.framed(body)
        return head + framed[: _places_in_body(framed)[self.place]]


def _places_in_head(head: bytes) -> list[int]:
    """Return how many bytes of a head are sent, several for each line."""
    found = []
    begin = 0
    for line in head.removesuffix(b"\r\n").splitlines(keepends=True):
        end = begin + len(line)
        value = begin + line.index(b" ") + 1
        middle = (value + end - 2 + 1) // 2
        found += [begin, begin + 4, value - 1, value, middle, end - 2, end - 1]
        begin = end
    # Before the blank line and within it.
    return [*found, begin, begin + 1]


def _places_in_body(framed: bytes) -> list[int]:
    """Return how many bytes of a body are sent, several for each line."""
    found = {0}
    begin = 0
    for line in framed.splitlines(keepends=True):
        end = begin + len(line)
        found |= {begin + 1, (begin + end) // 2, end - 1, end}
        begin = end
    return sorted(place for place in found if place < len(framed))


def _cases_in_heads(kind: Kind) -> list[Case]:
    count = len(_places_in_head(kind.head("attempt", BODY)))
    found = itertools.product(ROUTES, [kind], [False], range(count))
    return [Case(*one) for one in found]


def _cases_in_bodies(kind: Kind) -> list[Case]:
    found = []
    for route in ROUTES_WITH_BODIES:
        body = standins.stream_events() if route.is_stream else BODY
        for place in range(len(_places_in_body(kind.framed(body)))):
            found.append(Case(route, kind, True, place))
    return found


def _cases_of(kinds: typing.Iterable[Kind], offset: int) -> list[Case]:
    """Return those cases within heads that count, and a share of the others."""
    found = []
    others = []
    for kind in kinds:
        for case in _cases_in_heads(kind):
            is_booking = case.route == BOOKING and kind in (SERVED, DECLINED)
            (found if is_booking else others).append(case)
    return found + others[offset::STRIDE]


class Servers:
    """Servers that stop within the first answer to each attempt.

    Parameters
    ----------
    cases : list of Case
        The target of a request ends with the number of its case.
    end : str
        How the connection ends.
    """

    def __init__(self, cases: list[Case], end: str) -> None:
        self._cases = cases
        self._end = end
        self._seen: set[str] = set()

    async def respond(
        self, request: raw_servers.Request, writer: raw_servers.Writer
    ) -> None:
        """Answer one request."""
        if request.attempt in self._seen:
            await _answer(request, writer)
            return
        self._seen.add(request.attempt)
        case = self._cases[int(request.target.rpartition("/")[2])]
        writer.write(case.sent(request.attempt))
        await writer.drain()
        await _end(writer, self._end)


async def _answer(request: raw_servers.Request, writer: raw_servers.Writer) -> None:
    if request.method != "HEAD":
        await standins.send_complete_answer(request, writer)
        return
    raw_servers.write_head(writer, standins.seal_headers(request))
    await writer.drain()


async def _end(writer: raw_servers.Writer, end: str) -> None:
    if end == SILENCE:
        await asyncio.sleep(60.0)
        return
    if end == CLOSE:
        writer.close()
        return
    # A client does not get what it has not read before a reset.
    await asyncio.sleep(0.01)
    raw_servers.reset(writer)


class Asked(typing.NamedTuple):
    """What a caller got; the status is 0 if its connection was closed."""

    status: int
    is_complete: bool
    is_whole: bool
    run_count: int


async def _ask(site: fakes.Site, case: Case, number: int, seconds: float) -> Asked:
    route = case.route
    target = f"{route.path}/{number}"
    headers = {
        "Cassiaquay_Deadline_Ms": str(int(seconds * 1000)),
        # No two requests share a part.
        "Cassiaquay_Prompt_Prefix": f"own{number}:100",
    }
    status, is_complete, is_whole = 0, False, False
    with contextlib.suppress(aiohttp.ClientError):
        got = await site.ask(target, route.method, b"%d" % number, **headers)
        status, is_complete = got.status, got.complete
        is_whole = got.complete and got.body == _whole_body(route, got.attempt)
    run_count = 0
    for engine in site.engines:
        run_count += sum(request.target == target for request in engine.requests)
    return Asked(status, is_complete, is_whole, run_count)


def _whole_body(route: Route, attempt: str) -> bytes:
    if route.method == "HEAD":
        return b""
    return (
        standins.stream_events() if route.is_stream else f"body of {attempt}".encode()
    )


def _fault(case: Case, asked: Asked) -> str:
    """Return what is wrong with an answer; empty if nothing is."""
    if case.route.may_repeat:
        return "" if asked.status == 200 and asked.is_whole else "not whole"
    if asked.run_count != 1:
        return "not run once"
    if asked.status in NO_ANSWER:
        return ""
    if case.route.is_stream and case.is_in_body and asked.status == 200:
        return "complete" if asked.is_complete else ""
    return "an answer"


async def _faults(site: fakes.Site, cases: list[Case], end: str) -> dict[str, Asked]:
    """Send all requests; return what is wrong with which answers."""
    found: dict[str, Asked] = {}
    seconds, concurrency = DEADLINE_SECONDS, CONCURRENCY
    if end == SILENCE:
        # All at once: later ones would be refused, since the servers are slow.
        seconds, concurrency = SILENT_DEADLINE_SECONDS, len(cases)
    running = asyncio.Semaphore(concurrency)

    async def one(number: int, case: Case) -> None:
        async with running:
            asked = await _ask(site, case, number, seconds)
        fault = _fault(case, asked)
        if fault:
            found[f"{fault}: {case}"] = asked

    await asyncio.gather(*(one(number, case) for number, case in enumerate(cases)))
    return found


async def _check(cases: list[Case], end: str, relayed: bool) -> None:
    servers = Servers(cases, end)
    async with silence_fakes.site(2 if relayed else 1, 3) as site:
        for engine in site.engines:
            engine.responder = servers.respond
        with contextlib.ExitStack() as stack:
            if relayed:
                stack.enter_context(cut_fakes.cut(site, OWNER))
            assert not await _faults(site, cases, end)


class _Stopping(raw_servers.RawServer):
    """Sends some bytes to each client and ends the connection.

    Parameters
    ----------
    sent : bytes
        The bytes.
    end : str
        How the connection ends.
    """

    def __init__(self, sent: bytes, end: str) -> None:
        super().__init__()
        self.sent = sent
        self.end = end

    async def respond(
        self, request: raw_servers.Request, writer: raw_servers.Writer
    ) -> None:
        """Stop within an answer."""
        writer.write(self.sent)
        await writer.drain()
        await _end(writer, self.end)


def _own_session() -> aiohttp.ClientSession:
    """Return the session for all but the gateway's requests."""
    return bounded_http.create_session(
        bounded_http.create_connector(), trace_configs=[backends.tracing()]
    )


async def _run(
    adapter: str, http: aiohttp.ClientSession, address: str
) -> answers.Answer:
    """Run a request of the own interface."""
    server = fleet.Server(name="s-1", address=address)
    call = backends.Call("k", "", "", "", 1, "/p", b"{}")
    answer = answers.Answer()
    backend = backends.backends.get(adapter)(http)
    await backend.run(
        server, call, answer, lambda: None, lambda found, is_failure: None
    )
    return answer


async def _run_stopped(sent: bytes, end: str) -> answers.Answer:
    standin = _Stopping(sent, end)
    await standin.start()
    try:
        async with _own_session() as http:
            return await _run("plain-http", http, standin.address)
    finally:
        await standin.stop()


@PARSERS
@pytest.mark.parametrize("framing", [LENGTH, CHUNKS, UNFRAMED])
@pytest.mark.parametrize("body", [b"", b"12"])
def test_own_answer_whose_body_is_reset_is_cut(
    framing: str, body: bytes, parser: type, monkeypatch
) -> None:
    """Guards against a number whose last digits are missing, or a wrong outcome."""
    monkeypatch.setattr(client_proto, "HttpResponseParser", parser)
    kind = Kind(200, framing)
    head = kind.head("k", b"123")
    if framing == CHUNKS and body:
        body = b"2\r\n%b\r\n" % body
    with pytest.raises(exceptions.ConnectionBroken):
        asyncio.run(_run_stopped(head + body, RESET))


class _Beginning(raw_servers.RawServer):
    """Begins another answer behind the first one of a connection, and goes on later.

    Parameters
    ----------
    begun : bytes
        The beginning.
    """

    def __init__(self, begun: bytes) -> None:
        super().__init__()
        self._begun = begun
        self._writers: set[raw_servers.Writer] = set()

    async def respond(
        self, request: raw_servers.Request, writer: raw_servers.Writer
    ) -> None:
        """Answer a request."""
        answer = SERVED.head(request.attempt, BODY) + BODY
        rest = DECLINED.head("other", BODY).removeprefix(self._begun) + BODY
        is_first = writer not in self._writers
        self._writers.add(writer)
        writer.write(answer + self._begun if is_first else rest + answer)
        await writer.drain()


@PARSERS
def test_connection_with_a_part_of_another_head_is_not_used_again(
    parser: type, monkeypatch
) -> None:
    """Guards against a lost answer behind the rest of another request's."""
    monkeypatch.setattr(client_proto, "HttpResponseParser", parser)
    head = DECLINED.head("other", BODY)

    async def ask(http: aiohttp.ClientSession, address: str) -> bytes:
        attempt = {"Cassiaquay-Attempt-Id": "a1"}
        async with http.post(f"http://{address}/", headers=attempt) as response:
            return await response.read()

    async def work() -> None:
        for size in range(1, len(head)):
            standin = _Beginning(head[:size])
            await standin.start()
            session = connections.Dialer(paths.Paths(dict)).create_session()
            async with session as http:
                assert [await ask(http, standin.address) for _ in "12"] == [BODY] * 2
            await standin.stop()

    asyncio.run(work())


async def _read_process(http: aiohttp.ClientSession, address: str) -> None:
    server = fleet.Server(name="s-1", address=address, started_ms=5)
    checks = process_checks.ProcessChecks(http, *typing.cast("typing.Any", (None,) * 2))
    if await checks._ask(server) is None:
        raise exceptions.BackendError("no report")


async def _read_load(http: aiohttp.ClientSession, address: str) -> None:
    server = fleet.Server(name="s-1", address=address)
    await engine_reports.EngineHttp(http).read_load(server)


async def _read_item(http: aiohttp.ClientSession, address: str) -> None:
    await store.Store(http, address).item("op/config")


async def _read_list(http: aiohttp.ClientSession, address: str) -> None:
    await store.Store(http, address).items("servers/")


async def _watch(http: aiohttp.ClientSession, address: str) -> None:
    after = positions.Position(1, 7)
    await store.Store(http, address).wait_for_change("servers/", after, 1.0)


async def _read_configuration(http: aiohttp.ClientSession, address: str) -> None:
    await platform.ConfigurationHttp(http, address).watch(positions.START, 1.0)


async def _read_from_owner(http: aiohttp.ClientSession, address: str) -> None:
    member = typing.cast("typing.Any", mock.Mock(http=address))
    settings = typing.cast("typing.Any", mock.Mock(instance="c-1"))
    await relay.Relay(settings, http, lambda name: None).wait_for_end(member, "/", {})


async def _call(http: aiohttp.ClientSession, address: str) -> None:
    adapter = adapters.AiohttpAdapter(models.Settings(seeds=[]))
    try:
        reply = await adapter.send(adapters.Call("GET", f"http://{address}/", {}))
        await reply.read_all()
    finally:
        await adapter.close()


Read = collections.abc.Callable[
    [aiohttp.ClientSession, str], collections.abc.Awaitable[object]
]


class Reader(typing.NamedTuple):
    """A read of an answer that is used whole or not at all.

    Attributes
    ----------
    read : callable
        Reads an answer.
    error : type
        What it raises without a whole answer.
    status : int
        HTTP status of the answer.
    body : bytes
        Body of the answer.
    """

    read: Read
    error: type[Exception]
    status: int
    body: bytes


_PLAIN = functools.partial(_run, "plain-http")
_ENGINE = functools.partial(_run, "engine-http")
_STREAM = b'event: done\ndata: {"count":0,"prompt_tokens":1,"cached_tokens":0}\n\n'
_LIST = b'{"items":[],"truncated":false,"current-rev":7}'
READERS = [
    Reader(_PLAIN, exceptions.StreamInterrupted, 200, b"123"),
    Reader(_PLAIN, exceptions.StreamInterrupted, 503, b"no"),
    Reader(_ENGINE, exceptions.StreamInterrupted, 200, _STREAM),
    Reader(_ENGINE, exceptions.StreamInterrupted, 400, b"no"),
    Reader(_ENGINE, exceptions.StreamInterrupted, 503, b"no"),
    Reader(_read_process, exceptions.BackendError, 200, b'{"born":5}'),
    Reader(
        _read_load,
        exceptions.BackendError,
        200,
        b'{"age_ms":1,"running":0,"waiting":0}',
    ),
    Reader(_read_item, exceptions.PlatformError, 404, b"{}"),
    Reader(_read_list, exceptions.PlatformError, 200, _LIST),
    Reader(_watch, exceptions.PlatformError, 410, b"{}"),
    Reader(_read_configuration, exceptions.PlatformError, 204, b""),
    Reader(_read_from_owner, relay.OwnerUnreachable, 200, b"x"),
    Reader(_call, caller_exceptions.AttemptFailed, 200, b"x"),
]


@PARSERS
@pytest.mark.parametrize("reader", READERS)
def test_part_of_an_answer_is_never_read_as_whole(
    reader: Reader, parser: type, monkeypatch
) -> None:
    """Guards against an empty list, a wrong status or a refusal from a cut answer."""
    monkeypatch.setattr(client_proto, "HttpResponseParser", parser)
    monkeypatch.setattr(backends, "RESUME_PAUSE_SECONDS", 0.0)
    framing = UNFRAMED if reader.status == 204 else LENGTH
    whole = Kind(reader.status, framing).head("k", reader.body) + reader.body

    async def work() -> None:
        standin = _Stopping(b"", CLOSE)
        await standin.start()
        async with _own_session() as http:
            for size, end in itertools.product(range(len(whole)), [CLOSE, RESET]):
                if end == RESET and size % 8:
                    continue
                standin.sent, standin.end = whole[:size], end
                with pytest.raises(reader.error):
                    await reader.read(http, standin.address)
        await standin.stop()

    asyncio.run(work())


@RELAYED
@PARSERS
@pytest.mark.parametrize("end", [CLOSE, RESET])
def test_part_of_a_head_is_no_answer(
    end: str, parser: type, relayed: bool, monkeypatch
) -> None:
    """Guards against a part of a head that passes for an answer or a refusal."""
    monkeypatch.setattr(client_proto, "HttpResponseParser", parser)
    asyncio.run(
        _check(_cases_of(KINDS, 4 * (end == RESET) + 2 * relayed), end, relayed)
    )


@RELAYED
@pytest.mark.parametrize(("kind", "end"), CUT_BODIES)
def test_part_of_a_body_is_no_answer(kind: Kind, end: str, relayed: bool) -> None:
    """Guards against a part of a body that passes for the whole answer."""
    asyncio.run(_check(_cases_in_bodies(kind), end, relayed))


@RELAYED
@pytest.mark.parametrize("route", [ROUTES[0], BOOKING])
def test_silence_within_a_head_is_no_answer(route: Route, relayed: bool) -> None:
    """Guards against requests that wait for the rest of a head, or run again."""
    cases = [case for case in _cases_in_heads(DECLINED) if case.route == route]
    asyncio.run(_check(cases, SILENCE, relayed))
