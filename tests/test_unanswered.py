"""Requests that were read whole: each gets an answer or a refusal, or is counted."""

import asyncio
import collections
import collections.abc
import re
import typing

import gateway_fakes as fakes
import pytest
import uvloop

from cassiaquay_daemon.operators import unanswered
from cassiaquay_dev.standins import platform_standins as standins
from cassiaquay_dev.standins import raw_servers

BODY = b"the body"
# Time in which a connection must bring an answer or be closed.
READ_SECONDS = 8.0
# Shorter than the objectives, so that requests still wait at its end.
GRACE_SECONDS = 2.0
CALLERS = 6
# Within the grace period of a site, and after a shutdown without open requests.
UNREAD_SECONDS = 2.2


class Ended(typing.NamedTuple):
    """What a caller read until its connection was closed, or for its first answer."""

    data: bytes

    @property
    def status(self) -> int:
        """Status of the first answer; 0 if no byte has come."""
        return int(self.data.split(b" ", 2)[1]) if self.data else 0

    @property
    def code(self) -> str:
        """Code of a refusal; empty for other answers."""
        _, _, rest = self.data.partition(b'"code":"')
        return rest.partition(b'"')[0].decode()

    @property
    def is_whole(self) -> bool:
        """Whether there is one answer, and it is complete."""
        head, _, body = self.data.partition(b"\r\n\r\n")
        if body.count(b"HTTP/1.1"):
            return False
        for line in head.lower().split(b"\r\n"):
            name, _, value = line.partition(b":")
            if name == b"content-length":
                return len(body) == int(value)
        return body.endswith(b"0\r\n\r\n")


def form(path: str, attempt: str, **more: str) -> bytes:
    """Return the bytes of a request after which the connection is to be closed."""
    pairs = {
        "Host": standins.HOST,
        "Cassiaquay-Attempt-Id": attempt,
        "Cassiaquay-Deadline-Ms": "5000",
        "Api-Key": "key",
        "Content-Length": "1",
        "Connection": "close",
    }
    if path.startswith("/st"):
        pairs["Cassiaquay-Model"] = "m"
        pairs["Cassiaquay-Token-Counts"] = "100,6"
        pairs["Cassiaquay-Prompt-Prefix"] = "aa:100"
    for name, value in more.items():
        pairs[name.replace("_", "-")] = value
    lines = "".join(f"{name}: {value}\r\n" for name, value in pairs.items())
    return f"POST {path} HTTP/1.1\r\n{lines}\r\nb".encode("latin-1")


async def connect(
    site: fakes.Site,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection to the daemon, as a caller."""
    host, _, port = site.settings[0].gateway.front.rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def read_end(reader: asyncio.StreamReader) -> Ended:
    """Return what comes until the connection is closed."""
    async with asyncio.timeout(READ_SECONDS):
        return Ended(await reader.read())


async def ask(site: fakes.Site, path: str, attempt: str = "a1") -> Ended:
    """Send a request on a connection of its own and return how it ended."""
    reader, writer = await connect(site)
    writer.write(form(path, attempt))
    try:
        return await read_end(reader)
    finally:
        writer.close()


def respond_with(site: fakes.Site, respond: raw_servers.Respond) -> None:
    """Let all engines answer by a function."""
    for engine in site.engines:
        engine.responder = respond


@pytest.mark.parametrize(
    ("status", "value", "expected"),
    [
        (200, "a\x01b", (200, b"a b")),
        (200, "\u20ac", (200, "\u20ac".encode())),
        (200, "\u00e9", (200, "\u00e9".encode())),
        (200, "\udcff", (200, b"\xff")),
        (101, "a", (502, b"")),
        (600, "a", (502, b"")),
        (999, "a", (502, b"")),
    ],
)
@pytest.mark.parametrize("path", ["/book/x", "/string/x"])
def test_answer_that_the_listener_would_refuse_leaves_no_caller_without_a_status(
    path: str, status: int, value: str, expected: tuple[int, bytes]
) -> None:
    """A server's invalid header or status closed its caller's connection at once."""

    async def respond(request: raw_servers.Request, writer: raw_servers.Writer) -> None:
        head = f"HTTP/1.1 {status} X\r\nX-Note: {value}\r\n"
        writer.write(head.encode(errors="surrogateescape"))
        for name, text in standins.seal_headers(request).items():
            writer.write(f"{name}: {text}\r\n".encode())
        data = standins.stream_events() if path.startswith("/st") else BODY
        writer.write(b"Content-Length: %d\r\n\r\n%b" % (len(data), data))
        await writer.drain()

    async def work(site: fakes.Site) -> None:
        respond_with(site, respond)
        ended = await ask(site, path)
        assert ended.is_whole
        assert ended.status == expected[0]
        if expected[1]:
            assert b"x-note: %b\r\n" % expected[1] in ended.data.lower()

    fakes.run(work)


PATHS = ("/safe/x", "/book/x", "/stream/x", "/string/x")
# Requests of each path; the servers have slots for two thirds of them.
REQUESTS = 6
# Objectives that are long enough for all of them to wait.
ROUTES = [route | {"slo-ms": 4000} for route in standins.ROUTES]
MOVED = {"chat": "plain", "plain": "chat"}
Change = collections.abc.Callable[[fakes.Site, int], None]


class Held:
    """Engines that begin to answer, and go on when they are told to."""

    def __init__(self) -> None:
        self.go_on = asyncio.Event()

    async def respond(
        self, request: raw_servers.Request, writer: raw_servers.Writer
    ) -> None:
        """Answer a request."""
        if not request.target.startswith("/st"):
            await self.go_on.wait()
            pairs = standins.seal_headers(request)
            await raw_servers.send(writer, 200, BODY, pairs)
            return
        await standins.write_stream_head(request, writer)
        await standins.write_events(request, writer, 2)
        await self.go_on.wait()
        for number in range(2, standins.EVENT_COUNT):
            data = standins.event(number)
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))
        writer.write(b"0\r\n\r\n")
        await writer.drain()


def put(site: fakes.Site, version: int, **overrides: object) -> None:
    """Publish a configuration."""
    wanted = {"routes": ROUTES} | overrides
    site.store.put("op/config", standins.configuration(version, **wanted))


def put_routes(site: fakes.Site, version: int, **overrides: object) -> None:
    """Publish a configuration with changed routes."""
    put(site, version, routes=[route | overrides for route in ROUTES])


def put_team(site: fakes.Site, version: int, **overrides: object) -> None:
    """Publish a configuration with a changed team."""
    team = {"name": "blue", "api-keys": ["key"]} | overrides
    put(site, version, tenants=[team])


def put_many(site: fakes.Site, version: int) -> None:
    """Publish a configuration with 300 more routes."""
    more = [standins.route(f"/{n}/", "idempotent", "plain") for n in range(300)]
    put(site, version, routes=ROUTES + more)


def put_storm(site: fakes.Site, version: int) -> None:
    """Publish forty configurations at once; each second one has no routes."""
    for number in range(40):
        put(site, version + number, routes=ROUTES if number % 2 else [])


def move_routes(site: fakes.Site, version: int) -> None:
    """Exchange the services of all routes."""
    moved = [route | {"service": MOVED[route["service"]]} for route in ROUTES]
    put(site, version, routes=moved)


def remove_servers(site: fakes.Site, version: int) -> None:
    """Remove the entries of all servers."""
    for key in [key for key in site.store.items if key.startswith("servers/")]:
        site.store.remove(key)


def return_from_copy(site: fakes.Site, version: int) -> None:
    """Let the store return from a copy that lacks the last configuration."""
    copy = site.store.copy()
    put(site, version, routes=[])
    site.store.restore(copy)


CHANGES: dict[str, Change] = {
    "no routes": lambda site, version: put(site, version, routes=[]),
    "no pools": lambda site, version: put(site, version, services=[]),
    "nothing": lambda site, version: put(site, version, services=[], routes=[]),
    "services exchanged": move_routes,
    "limits far below use": lambda site, version: put_team(
        site, version, **{"rate-per-s": 0.01, "burst": 0.01}
    ),
    "key dropped": lambda site, version: put_team(
        site, version, **{"api-keys": ["other"]}
    ),
    "no teams": lambda site, version: put(site, version, tenants=[]),
    "no bodies": lambda site, version: put(site, version, limits={"max-body-bytes": 0}),
    "short time limit": lambda site, version: put_routes(
        site, version, **{"timeout-ms": 1, "slo-ms": 1}
    ),
    "one attempt": lambda site, version: put_routes(site, version, attempts=1),
    "unreadable": lambda site, version: site.store.put("op/config", b"{no"),
    "removed": lambda site, version: site.store.remove("op/config"),
    "300 routes": put_many,
    "storm of versions": put_storm,
    "servers removed": remove_servers,
    "store back from a copy": return_from_copy,
}


async def change_beside_requests(
    site: fakes.Site, change: Change
) -> tuple[list[Ended], list[Ended]]:
    """Return how requests ended that ran, and that waited or came, at a change."""
    held = Held()
    respond_with(site, held.respond)
    put(site, 2)
    while site.gateway(0)._parts.configured.current.routes.version < 2:
        await asyncio.sleep(0.01)
    sent = {}
    for number in range(REQUESTS):
        for path in PATHS:
            attempt = f"{path[1:-2]}{number}"
            sent[attempt] = asyncio.create_task(ask(site, path, attempt))
    slots = 2 * sum(4 for _ in site.engines)
    while sum(len(engine.runs) for engine in site.engines) < slots:
        await asyncio.sleep(0.01)
    running = {attempt for engine in site.engines for attempt in engine.runs}
    change(site, 3)
    for number in range(20):
        path = PATHS[number % len(PATHS)]
        attempt = f"late{number}"
        sent[attempt] = asyncio.create_task(ask(site, path, attempt))
        await asyncio.sleep(0.02)
    held.go_on.set()
    ran, others = [], []
    for attempt, task in sent.items():
        (ran if attempt in running else others).append(await task)
    return ran, others


@pytest.mark.parametrize("name", CHANGES)
def test_change_beside_requests_leaves_none_without_an_answer(name: str) -> None:
    """A change of the configuration ended requests with neither answer nor refusal."""

    async def work(site: fakes.Site) -> None:
        ran, others = await change_beside_requests(site, CHANGES[name])
        assert all(ended.is_whole for ended in ran + others)
        assert {ended.status for ended in ran} == {200}
        assert not {ended.status for ended in others} & {500, 502, 504}
        # Refusals name their cause, and none is an error of the daemon.
        assert "internal_error" not in {ended.code for ended in others}

    fakes.run(work)


async def counts(site: fakes.Site) -> dict[tuple[str, str], int]:
    """Return the requests without a complete answer by cause and dispatch."""
    url = f"http://{site.daemons[0]._membership.admin_address}/metrics"
    async with site.http.get(url) as response:
        page = await response.text()
    pattern = r'_unanswered_requests_total\{cause="(\w+)",dispatched="(\w+)"\} (\d+)'
    found = {}
    for cause, dispatched, count in re.findall(pattern, page):
        found[cause, dispatched] = int(count)
    return found


async def until_counted(site: fakes.Site, expected: dict[tuple[str, str], int]) -> None:
    """Wait until requests without a complete answer are counted so."""
    while await counts(site) != expected:
        await asyncio.sleep(0.01)


async def fail(*args: object) -> None:
    """Raise an error that nobody expects."""
    raise RuntimeError("unexpected")


async def be_cancelled(*args: object) -> None:
    """End as a task does that somebody has cancelled."""
    raise asyncio.CancelledError


def fail_at_once(*args: object) -> None:
    """Raise an error that nobody expects."""
    raise RuntimeError("unexpected")


async def cut(request: raw_servers.Request, writer: raw_servers.Writer) -> None:
    """Break a stream off after two events."""
    await standins.write_stream_head(request, writer)
    await standins.write_events(request, writer, 2)
    raw_servers.reset(writer)


@pytest.mark.parametrize(
    ("path", "cause"),
    [
        ("/string/cut", "stream_cut"),
        ("/string/late", "deadline"),
        ("/string/crash", "crashed"),
        ("/string/left", "caller_left"),
        ("/safe/left", "caller_left"),
        ("/book/left", "caller_left"),
    ],
)
def test_request_without_a_complete_answer_is_counted_by_its_cause(
    path: str, cause: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Requests ended in the middle of their answers, and nothing counted them."""
    held = Held()

    async def work(site: fakes.Site) -> None:
        respond_with(site, cut if path.endswith("cut") else held.respond)
        resuming = site.gateway(0)._parts.resuming
        if path.endswith("crash"):
            monkeypatch.setattr(type(resuming), "note_events", fail_at_once)
        reader, writer = await connect(site)
        more = {"Cassiaquay-Deadline-Ms": "300"} if path.endswith("late") else {}
        writer.write(form(path, "a1", **more))
        while not any(engine.runs for engine in site.engines):
            await asyncio.sleep(0.01)
        if path.endswith("left"):
            writer.close()
            await asyncio.sleep(0.05)
            held.go_on.set()
        else:
            assert not (await read_end(reader)).is_whole
            writer.close()
        await until_counted(site, {(cause, "yes"): 1})

    fakes.run(work)


@pytest.mark.parametrize(
    ("target", "replacement"),
    [
        ("platform.headers.read", fail_at_once),
        ("gateway.calls.compute_deadline", fail_at_once),
        ("keepers.quotas.Quotas.take", fail),
        ("keepers.quotas.Quotas.take", be_cancelled),
        ("gateway.accounting.Accounting.record_ended", fail_at_once),
    ],
)
def test_unexpected_error_leaves_no_caller_without_a_refusal(
    target: str,
    replacement: object,
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
) -> None:
    """An error before or after the handler became a status 500 that nothing logged."""

    async def work(site: fakes.Site) -> None:
        for engine in site.engines:
            site.register(engine, state="draining")
        while site.gateway(0)._parts.configured.current.open_servers("plain"):
            await asyncio.sleep(0.01)
        monkeypatch.setattr(f"cassiaquay_daemon.{target}", replacement)
        ended = await ask(site, "/book/x")
        assert ended.is_whole
        # Not run, whatever has failed.
        assert ended.status == 503
        assert await counts(site) == {}
        monkeypatch.undo()

    fakes.run(work)
    crashes = [item for item in caplog.records if item.message == "request_crashed"]
    assert [vars(item)["id"] for item in crashes] == ["a1"]


async def until_all_run(site: fakes.Site, count: int) -> None:
    """Wait until servers have received this number of requests."""
    while sum(len(engine.runs) for engine in site.engines) < count:
        await asyncio.sleep(0.01)


@pytest.mark.parametrize(
    ("path", "waits", "status", "code"),
    [
        ("/book/x", True, 503, "caller_gone"),
        ("/safe/x", False, 502, "caller_gone_running"),
        ("/book/x", False, 200, ""),
    ],
)
def test_caller_that_closes_its_sending_side_only_gets_a_status(
    path: str, waits: bool, status: int, code: str
) -> None:
    """A caller that sent a whole request and then its end got no byte at all."""
    held = Held()

    async def work(site: fakes.Site) -> None:
        respond_with(site, held.respond)
        put(site, 2)
        while site.gateway(0)._parts.configured.current.routes.version < 2:
            await asyncio.sleep(0.01)
        slots = 4 * len(site.engines) if waits else 0
        others = []
        for number in range(slots):
            others.append(asyncio.create_task(ask(site, "/book/x", f"b{number}")))
        await until_all_run(site, slots)
        reader, writer = await connect(site)
        writer.write(form(path, "a1"))
        if not waits:
            await until_all_run(site, 1)
        writer.write_eof()
        if status != 200:
            ended = await read_end(reader)
            assert (ended.status, ended.code) == (status, code)
            assert ended.is_whole
            await until_counted(site, {("caller_left", "no" if waits else "yes"): 1})
        held.go_on.set()
        if status == 200:
            assert (await read_end(reader)).data.endswith(BODY)
        writer.close()
        assert {(await other).status for other in others} <= {200}
        run = sum(engine.runs.count("a1") for engine in site.engines)
        assert run == (0 if waits else 1)

    fakes.run(work)


@pytest.mark.parametrize("path", ["/book/x", "/string/x"])
def test_bytes_after_a_whole_request_do_not_replace_its_answer(path: str) -> None:
    """Bytes that are no request were answered with 400 in the midst of an answer."""
    held = Held()

    async def work(site: fakes.Site) -> None:
        respond_with(site, held.respond)
        reader, writer = await connect(site)
        writer.write(form(path, "a1", Connection="keep-alive"))
        await until_all_run(site, 1)
        for _ in range(2):
            writer.write(b"\x00 no request\r\n\r\n")
            await asyncio.sleep(0.05)
        held.go_on.set()
        ended = await read_end(reader)
        assert (ended.status, ended.is_whole) == (200, True)
        writer.close()

    fakes.run(work)


def test_malformed_pipelined_request_does_not_replace_the_answer_before_it() -> None:
    """A request that ran was answered with the 400 of the one behind it."""
    held = Held()

    async def work(site: fakes.Site) -> None:
        respond_with(site, held.respond)
        reader, writer = await connect(site)
        writer.write(form("/book/x", "a1", Connection="keep-alive"))
        await until_all_run(site, 1)
        chunked = form("/safe/x", "a2", Transfer_Encoding="chunked")
        writer.write(chunked.replace(b"Content-Length: 1\r\n", b"") + b"no size\r\n")
        await asyncio.sleep(0.05)
        held.go_on.set()
        ended = await read_end(reader)
        assert (ended.status, ended.is_whole) == (200, True)
        writer.close()

    fakes.run(work)


def test_caller_that_leaves_with_a_request_in_the_pipeline_stops_its_server() -> None:
    """Servers worked to the deadline for callers that had left."""

    async def work(site: fakes.Site) -> None:
        respond_with(site, Held().respond)
        _, writer = await connect(site)
        first = form("/string/x", "a1", Connection="keep-alive")
        writer.write(first + form("/safe/x", "a2"))
        await until_all_run(site, 1)
        writer.transport.abort()
        async with asyncio.timeout(1.0):
            while not any(engine.aborted_attempts for engine in site.engines):
                await asyncio.sleep(0.01)

    fakes.run(work)


def test_request_behind_the_last_answer_of_a_connection_is_counted() -> None:
    """A pipelined request was dropped when the connection was closed before it."""

    async def work(site: fakes.Site) -> None:
        respond_with(site, Held().respond)
        site.gateway(0)._front.leave()
        reader, writer = await connect(site)
        first = form("/missing/x", "a1", Connection="keep-alive")
        writer.write(first + form("/book/x", "a2"))
        ended = await read_end(reader)
        assert (ended.status, ended.is_whole) == (404, True)
        writer.close()
        await until_counted(site, {("pipelined", "no"): 1})
        assert not any(engine.runs for engine in site.engines)

    fakes.run(work)


def test_each_request_gets_a_status_when_the_grace_period_ends() -> None:
    """A shutdown closed connections of requests that waited or had no answer yet."""
    held = Held()

    async def work() -> None:
        async with fakes.site(1, GRACE_SECONDS) as site, asyncio.timeout(READ_SECONDS):
            respond_with(site, held.respond)
            put(site, 2)
            while site.gateway(0)._parts.configured.current.routes.version < 2:
                await asyncio.sleep(0.01)
            found = []
            site.gateway(0).accounting.on_unanswered(found.append)
            slots = 4 * len(site.engines)
            sent = {}
            for path, count in (("/book/x", slots + 2), ("/string/x", 1)):
                for number in range(count):
                    attempt = f"{path[1:-2]}{number}"
                    sent[attempt] = asyncio.create_task(ask(site, path, attempt))
            await until_all_run(site, slots + 1)
            site.daemons[0]._stopping.set()
            answers: collections.Counter[tuple[int, str]] = collections.Counter()
            for attempt, task in sent.items():
                ended = await task
                assert ended.is_whole == attempt.startswith("book")
                answers[ended.status, ended.code] += 1
            assert answers == {
                (502, "answer_lost"): slots,
                (503, "instance_leaving"): 2,
                (200, ""): 1,
            }
            assert found == [unanswered.Unanswered("drained", True)]
            assert sum(len(engine.runs) for engine in site.engines) == slots + 1

    asyncio.run(work())


def test_large_answer_is_read_to_its_end_during_a_shutdown() -> None:
    """A shutdown ended with parts of answers that their callers were still reading."""
    large = b"x" * 12 * 1024 * 1024

    async def respond(request: raw_servers.Request, writer: raw_servers.Writer) -> None:
        await raw_servers.send(writer, 200, large, standins.seal_headers(request))

    async def work() -> None:
        async with fakes.site(1) as site, asyncio.timeout(READ_SECONDS):
            respond_with(site, respond)
            reader, writer = await connect(site)
            writer.write(form("/book/x", "a1"))
            await until_all_run(site, 1)
            await reader.readexactly(1)
            # The rest is more than what the sockets hold.
            site.daemons[0]._stopping.set()
            [running] = site._tasks
            await asyncio.wait([running], timeout=UNREAD_SECONDS)
            assert not running.done()
            ended = await read_end(reader)
            assert ended.data.endswith(large)
            writer.close()
            await running

    asyncio.run(work())


async def keep_asking(
    site: fakes.Site, name: str, open_attempts: list[str], answered: list[int]
) -> None:
    """Send requests on one connection after the other until none can be opened.

    A caller that finds its connection closed may send the same request again.
    """
    number = 0
    while True:
        try:
            reader, writer = await connect(site)
        except ConnectionError:
            return
        try:
            while True:
                number += 1
                attempt = f"{name}-{number}"
                writer.write(form("/book/x", attempt, Connection="keep-alive"))
                open_attempts.append(attempt)
                head = await reader.readuntil(b"\r\n\r\n")
                length = re.search(rb"content-length: (\d+)", head.lower())
                assert length is not None
                await reader.readexactly(int(length[1]))
                open_attempts.pop()
                answered.append(int(head.split()[1]))
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()


def test_kept_connections_lose_no_request_that_was_passed_on_in_a_shutdown() -> None:
    """A shutdown closed connections on which requests had just been read."""

    async def respond(request: raw_servers.Request, writer: raw_servers.Writer) -> None:
        await asyncio.sleep(0.005)
        await raw_servers.send(writer, 200, BODY, standins.seal_headers(request))

    async def work() -> None:
        async with fakes.site(1, GRACE_SECONDS) as site, asyncio.timeout(READ_SECONDS):
            respond_with(site, respond)
            found: list[unanswered.Unanswered] = []
            site.gateway(0).accounting.on_unanswered(found.append)
            open_attempts: list[list[str]] = [[] for _ in range(CALLERS)]
            answered: list[int] = []
            callers = []
            for number in range(CALLERS):
                callers.append(
                    asyncio.create_task(
                        keep_asking(site, f"c{number}", open_attempts[number], answered)
                    )
                )
            while len(answered) < 10 * CALLERS:
                await asyncio.sleep(0.01)
            site.daemons[0]._stopping.set()
            await asyncio.gather(*callers)
            run = {attempt for engine in site.engines for attempt in engine.runs}
            assert not run & {attempt for left in open_attempts for attempt in left}
            assert set(answered) <= {200, 503}
            assert found == []

    # The event loop of the daemon's command.
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(work())
