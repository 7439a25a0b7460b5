"""Answers of servers that seem to say that a request was not run."""

import asyncio
import collections.abc
import contextlib
import functools
import re
import typing
import weakref

import cut_fakes
import gateway_fakes as fakes
import pytest

from cassiaquay_daemon.gateway import relays
from cassiaquay_dev.network import listening
from cassiaquay_dev.standins import platform_standins as standins
from cassiaquay_dev.standins import raw_servers

NOT_RUN_STATUSES = (408, 421, 429, 503)
NOT_EXECUTED = {"Cassiaquay-Not-Executed": "1"}
# A booking that one server may get, one that two may get, a request that may be
# repeated, and a stream that may not.
PATHS = ["/once/x", "/book/x", "/safe/x", "/string/x"]
REPEATABLE = "/safe/x"
ASKED_COUNT = 4
SEAL = "cassiaquay-response-seal"
SEALED = {"Cassiaquay-Response-Seal": "s"}
# Long enough for the daemon to read an answer before the server's next one.
LATER_SECONDS = 0.05
# Longer than servers may be silent until requests that may be repeated go elsewhere.
SILENT_SECONDS = 1.5

Script = collections.abc.Callable[
    ["Server", raw_servers.Request, raw_servers.Writer],
    collections.abc.Awaitable[None],
]


class Server:
    """Answers the requests to all engines by a script.

    Attributes
    ----------
    executed : list of str
        Attempt ids of the requests that it ran.
    asked : mapping
        Requests by connection.
    request_count : int
        Number of all requests.
    """

    def __init__(self, script: Script):
        self.executed: list[str] = []
        self.asked: weakref.WeakKeyDictionary[
            raw_servers.Writer, list[raw_servers.Request]
        ] = weakref.WeakKeyDictionary()
        self.request_count = 0
        self._script = script

    async def respond(
        self, request: raw_servers.Request, writer: raw_servers.Writer
    ) -> None:
        """Answer one request."""
        self.request_count += 1
        self.asked.setdefault(writer, []).append(request)
        await self._script(self, request, writer)

    async def run(
        self, request: raw_servers.Request, writer: raw_servers.Writer
    ) -> None:
        """Run a request and answer it."""
        self.executed.append(request.attempt)
        await standins.send_complete_answer(request, writer)

    def is_first(self, writer: raw_servers.Writer) -> bool:
        """Return whether a connection has brought one request so far."""
        return len(self.asked[writer]) == 1


class Asked(typing.NamedTuple):
    """What became of a request."""

    path: str
    status: int
    run_count: int
    seal: str

    @property
    def is_broken(self) -> bool:
        """Whether it has run although it must not, or twice."""
        if self.path == REPEATABLE:
            return False
        return self.run_count > 1 or bool(
            self.run_count and self.status in NOT_RUN_STATUSES
        )


class Reply(typing.NamedTuple):
    """An answer without a body."""

    status: int
    headers: dict[str, str]
    is_identified: bool = False

    async def send(
        self, request: raw_servers.Request, writer: raw_servers.Writer
    ) -> None:
        """Send it as the answer to a request."""
        headers = dict(self.headers)
        if self.is_identified:
            headers["Cassiaquay-Attempt-Id"] = request.attempt
        await raw_servers.send(writer, self.status, b"", headers)


async def _configure(site: fakes.Site) -> None:
    """Add the route of requests that one server may get."""
    once = standins.route("/once/", "non_idempotent", "plain", attempts=1)
    routes = [*standins.ROUTES, once]
    site.store.put("op/config", standins.configuration(2, routes=routes))
    for made in site.daemons:
        while made._configuration.current.routes.find(standins.HOST, "/once/x") is None:
            await asyncio.sleep(0.01)


def _play(script: Script, is_relayed: bool) -> list[Asked]:
    """Send requests of each path in turn; return what became of them."""
    server = Server(script)
    answers: list[tuple[str, fakes.CallerResponse]] = []

    async def work(site: fakes.Site) -> None:
        await _configure(site)
        for engine in site.engines:
            engine.responder = server.respond
        with contextlib.ExitStack() as stack:
            if is_relayed:
                stack.enter_context(cut_fakes.cut(site, 0))
            for path in PATHS * ASKED_COUNT:
                answers.append((path, await site.ask(path)))
        await asyncio.sleep(LATER_SECONDS)

    fakes.run(work, 2 if is_relayed else 1)
    played = []
    for path, got in answers:
        run_count = server.executed.count(got.attempt)
        seal = got.headers.get(SEAL, "")
        played.append(Asked(path, got.status, run_count, seal))
    return played


def _check(played: list[Asked]) -> None:
    broken = [asked for asked in played if asked.is_broken]
    assert not broken
    # The script has run requests of each path.
    assert {asked.path for asked in played if asked.run_count} == set(PATHS)


async def _copy_on_kept(
    copy: Reply,
    server: Server,
    request: raw_servers.Request,
    writer: raw_servers.Writer,
) -> None:
    """Send a copy without an id before all answers of a connection but the first."""
    if server.is_first(writer):
        await server.run(request, writer)
        return
    server.executed.append(request.attempt)
    await copy.send(request, writer)
    if len(server.executed) % 2:
        await asyncio.sleep(LATER_SECONDS)
    await standins.send_complete_answer(request, writer)


@pytest.mark.parametrize(
    "copy",
    [
        Reply(503, NOT_EXECUTED),
        Reply(429, NOT_EXECUTED),
        Reply(421, {}),
        Reply(400, NOT_EXECUTED),
        Reply(503, {}),
    ],
)
@pytest.mark.parametrize("is_relayed", [False, True])
def test_answer_without_id_on_a_kept_connection_is_no_promise(
    copy: Reply, is_relayed: bool
) -> None:
    """Guards against "not run", read from a copy without an id of an earlier answer."""
    _check(_play(functools.partial(_copy_on_kept, copy), is_relayed))


async def _fail_after_running(
    failure: Reply,
    server: Server,
    request: raw_servers.Request,
    writer: raw_servers.Writer,
) -> None:
    server.executed.append(request.attempt)
    await failure.send(request, writer)


@pytest.mark.parametrize(
    "failure",
    [
        Reply(503, SEALED, True),
        Reply(503, SEALED | {"Retry-After": "0.1"}, True),
        Reply(429, SEALED, True),
        Reply(408, SEALED, True),
        Reply(503, {}),
    ],
)
@pytest.mark.parametrize("is_relayed", [False, True])
def test_failure_that_does_not_say_not_executed_is_no_promise(
    failure: Reply, is_relayed: bool
) -> None:
    """Guards against a server's own 503 passed on for a booking that has run."""
    played = _play(functools.partial(_fail_after_running, failure), is_relayed)
    _check(played)
    for asked in played:
        # No seal with another status than that of the server.
        assert asked.status == failure.status or not asked.seal


async def _send_interim(
    status: int,
    headers: dict[str, str],
    server: Server,
    request: raw_servers.Request,
    writer: raw_servers.Writer,
) -> None:
    server.executed.append(request.attempt)
    for _ in range(2):
        raw_servers.write_head(writer, headers, status)
    await writer.drain()
    if len(server.executed) % 2:
        await asyncio.sleep(LATER_SECONDS)
    await standins.send_complete_answer(request, writer)


@pytest.mark.parametrize("status", [100, 103])
@pytest.mark.parametrize("is_relayed", [False, True])
def test_interim_answer_is_no_promise(status: int, is_relayed: bool) -> None:
    """Guards against "not run", read from an interim answer before the final one."""
    headers = NOT_EXECUTED | {"Cassiaquay-Attempt-Id": "another"}
    played = _play(functools.partial(_send_interim, status, headers), is_relayed)
    _check(played)
    assert {asked.status for asked in played} == {200}


async def _register_alone(
    site: fakes.Site, addresses: dict[str, str], service: str = "plain"
) -> None:
    """Leave no servers of a service but some names with their addresses."""
    for key in list(site.store.items):
        if key.startswith("servers/") and key.endswith("-plain"):
            site.store.remove(key)
    for name, address in addresses.items():
        entry = {"service": service, "addr": address, "zone": "a", "slots": 4}
        site.store.put(f"servers/{name}", entry | {"state": "ready", "born": 1})
    for made in site.daemons:
        while not _knows(made, set(addresses)):
            await asyncio.sleep(0.01)


def _knows(made: typing.Any, names: set[str]) -> bool:
    pool = made._configuration.current.fleet.pools["plain"]
    return {server.name for server in pool.servers} == names


async def _copy_misdirected(
    server: Server, request: raw_servers.Request, writer: raw_servers.Writer
) -> None:
    """Answer 421 to requests for the server that had the address before."""
    misdirected = Reply(421, NOT_EXECUTED, True)
    if request.headers["cassiaquay-expect-instance"] == "i-0-plain":
        await misdirected.send(request, writer)
        return
    server.executed.append(request.attempt)
    before = server.asked[writer][:-1]
    if request.attempt in [earlier.attempt for earlier in before]:
        await misdirected.send(request, writer)
        await asyncio.sleep(LATER_SECONDS)
    await standins.send_complete_answer(request, writer)


@pytest.mark.parametrize("is_relayed", [False, True])
def test_copy_of_an_answer_to_the_same_attempt_is_no_promise(is_relayed: bool) -> None:
    """Guards against "not run" by the answer to the address's former server."""
    server = Server(_copy_misdirected)
    answers: list[fakes.CallerResponse] = []

    async def work(site: fakes.Site) -> None:
        [engine, _] = site.engines
        engine.respond = server.respond
        address = engine.address
        await _register_alone(site, {"i-0-plain": address, "i-1-plain": address})
        with contextlib.ExitStack() as stack:
            if is_relayed:
                stack.enter_context(cut_fakes.cut(site, 0))
            for _ in range(8):
                answers.append(await site.ask("/book/x"))

    fakes.run(work, 2 if is_relayed else 1)
    # Some came to the address by its former name first.
    assert server.request_count > len(answers)
    for got in answers:
        assert (got.status, server.executed.count(got.attempt)) == (200, 1)


class CopyingRelay(raw_servers.RawServer):
    """Sends nothing for the first request of a connection, and copies that answer."""

    def __init__(self) -> None:
        super().__init__()
        self.server = Server(self._answer)

    async def respond(
        self, request: raw_servers.Request, writer: raw_servers.Writer
    ) -> None:
        """Answer one request."""
        await self.server.respond(request, writer)

    async def _answer(
        self,
        server: Server,
        request: raw_servers.Request,
        writer: raw_servers.Writer,
    ) -> None:
        not_sent = {relays.OUTCOME: relays.NOT_SENT}
        if not server.is_first(writer):
            # What it answers to this request comes later.
            server.executed.append(request.attempt)
        await raw_servers.send(writer, relays.STATUS, b"no path", not_sent)


def test_copy_of_a_relay_that_sent_nothing_is_no_promise() -> None:
    """Guards against "not run" by a relay's answer to an earlier sending."""
    relay = CopyingRelay()
    answers: list[fakes.CallerResponse] = []

    async def work(site: fakes.Site) -> None:
        await relay.start()
        chosen = site.gateway(0)._parts.forwarder._relays
        own = site.daemons[0]._membership.serving()[0]
        chosen.choose = lambda service: [own._replace(relay=relay.address)]
        with cut_fakes.cut(site, 0):
            for _ in range(4):
                answers.append(await site.ask("/book/x"))
        await relay.stop()

    fakes.run(work)
    assert {got.status for got in answers} == {503}
    assert len(relay.requests) >= len(answers)
    for got in answers:
        assert got.attempt not in relay.server.executed


class Cutting(typing.NamedTuple):
    """When a server ends its connections.

    Attributes
    ----------
    kept_count : int
        Requests that a connection serves before.
    read_bytes : int
        Bytes of the next request that it reads; it has run then.
    is_reset : bool
        Whether it resets the connection.
    answer : bytes
        What it sends before the end.
    """

    kept_count: int
    read_bytes: int
    is_reset: bool
    answer: bytes = b""


class CuttingServer(listening.Listener):
    """Ends its connections at some point of a request."""

    def __init__(self, cutting: Cutting):
        super().__init__()
        self.executed: list[str] = []
        self._cutting = cutting

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: raw_servers.Writer
    ) -> None:
        for _ in range(self._cutting.kept_count):
            request = await raw_servers._read_request(reader)
            if request is None:
                return
            self.executed.append(request.attempt)
            await standins.send_complete_answer(request, writer)
        head = await reader.read(self._cutting.read_bytes)
        found = re.search(rb"(?i)cassiaquay-attempt-id: (\S+)", head)
        if found:
            self.executed.append(found[1].decode())
        writer.write(self._cutting.answer)
        await asyncio.sleep(0)
        if self._cutting.is_reset:
            raw_servers.reset(writer)


@pytest.mark.parametrize(
    "cutting",
    [
        Cutting(0, 2000, True),
        Cutting(0, 2000, False),
        Cutting(1, 2000, True),
        Cutting(1, 2000, False),
        Cutting(0, 2000, False, b"HTTP/1.1 503 X\r\nCassiaquay-Not-Executed: 1\r\n"),
        Cutting(1, 2000, True, b"HTTP/1.1 503 X\r\nCassiaquay-Not-Executed: 1\r\n"),
        Cutting(1, 2000, False, b"HTTP/1.1 503 X\r\nCassiaquay-Not-Executed: 1\r\n"),
        Cutting(
            1, 2000, False, b"HTTP/1.1 100 X\r\nCassiaquay-Not-Executed: 1\r\n\r\n"
        ),
    ],
)
@pytest.mark.parametrize("is_relayed", [False, True])
def test_connection_that_ends_within_a_request_is_no_promise(
    cutting: Cutting, is_relayed: bool
) -> None:
    """Guards against a lost connection that is taken for one never opened."""
    server = CuttingServer(cutting)
    answers: list[fakes.CallerResponse] = []

    async def work(site: fakes.Site) -> None:
        await server.start()
        other = CuttingServer(cutting)
        other.executed = server.executed
        await other.start()
        addresses = {"i-8-plain": server.address, "i-9-plain": other.address}
        await _register_alone(site, addresses)
        site.server_addresses = lambda: set(addresses.values())
        with contextlib.ExitStack() as stack:
            if is_relayed:
                stack.enter_context(cut_fakes.cut(site, 0))
            for method in ["POST", "GET"] * 3:
                answers.append(await site.ask("/book/x", method, b"b" * 90_000))
        await server.stop()
        await other.stop()

    fakes.run(work, 2 if is_relayed else 1)
    assert server.executed
    for got in answers:
        run_count = server.executed.count(got.attempt)
        assert run_count <= 1
        if got.status in NOT_RUN_STATUSES:
            assert not run_count


class EarlyServer(listening.Listener):
    """Answers before it has read the body, and reads on.

    Parameters
    ----------
    is_declining : bool
        Whether it declines requests.
    """

    def __init__(self, is_declining: bool):
        super().__init__()
        self.executed: list[str] = []
        self.is_declining = is_declining
        self.bodies: list[bytes] = []

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: raw_servers.Writer
    ) -> None:
        while True:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                return
            attempt = re.search(rb"(?i)cassiaquay-attempt-id: (\S+)", head)[1].decode()
            length = int(re.search(rb"(?i)content-length: (\d+)", head)[1])
            headers = {"Cassiaquay-Attempt-Id": attempt}
            if self.is_declining:
                headers |= NOT_EXECUTED
            else:
                self.executed.append(attempt)
            await raw_servers.send(writer, 503, b"", headers)
            await asyncio.sleep(LATER_SECONDS)
            try:
                self.bodies.append(await reader.readexactly(length))
            except (asyncio.IncompleteReadError, ConnectionError):
                return


@pytest.mark.parametrize("is_declining", [False, True])
@pytest.mark.parametrize("is_relayed", [False, True])
def test_answer_before_the_body_is_read(is_declining: bool, is_relayed: bool) -> None:
    """Guards against a false "not run", or a next request within the body."""
    servers = [EarlyServer(is_declining), EarlyServer(is_declining)]
    answers: list[fakes.CallerResponse] = []

    async def work(site: fakes.Site) -> None:
        addresses = {}
        for number, server in enumerate(servers):
            await server.start()
            addresses[f"i-{number}-plain"] = server.address
        await _register_alone(site, addresses)
        site.server_addresses = lambda: set(addresses.values())
        with contextlib.ExitStack() as stack:
            if is_relayed:
                stack.enter_context(cut_fakes.cut(site, 0))
            for _ in range(8):
                answers.append(await site.ask("/book/x", body=b"b" * 95_000))
        await asyncio.sleep(LATER_SECONDS)
        for server in servers:
            await server.stop()

    fakes.run(work, 2 if is_relayed else 1)
    executed = servers[0].executed + servers[1].executed
    for body in servers[0].bodies + servers[1].bodies:
        assert not body.strip(b"b")
    assert {got.status for got in answers} == {503 if is_declining else 502}
    assert len(executed) == len(set(executed))


@pytest.mark.parametrize("is_reset", [False, True])
def test_relay_that_ends_within_its_answer_is_no_promise(is_reset: bool) -> None:
    """Guards against "not sent", read from an answer of a relay without its end."""
    head = f"HTTP/1.1 502 X\r\n{relays.OUTCOME}: {relays.NOT_SENT}\r\n"
    relay = CuttingServer(Cutting(0, 2000, is_reset, head.encode()))
    answers: list[fakes.CallerResponse] = []

    async def work(site: fakes.Site) -> None:
        await relay.start()
        chosen = site.gateway(0)._parts.forwarder._relays
        own = site.daemons[0]._membership.serving()[0]
        chosen.choose = lambda service: [own._replace(relay=relay.address)]
        with cut_fakes.cut(site, 0):
            answers.append(await site.ask("/book/x"))
        await relay.stop()

    fakes.run(work)
    assert [got.status for got in answers] == [502]
    assert relay.executed == [answers[0].attempt]


async def _answer_late(
    server: Server, request: raw_servers.Request, writer: raw_servers.Writer
) -> None:
    server.executed.append(request.attempt)
    await asyncio.sleep(SILENT_SECONDS)
    await standins.send_complete_answer(request, writer)


@pytest.mark.parametrize("is_relayed", [False, True])
def test_request_of_a_silent_server_is_sent_to_no_other(is_relayed: bool) -> None:
    """Guards against a second run while the first server is silent."""
    server = Server(_answer_late)
    answers: list[fakes.CallerResponse] = []

    async def work(site: fakes.Site) -> None:
        await _configure(site)
        for engine in site.engines:
            engine.responder = server.respond
        with contextlib.ExitStack() as stack:
            if is_relayed:
                stack.enter_context(cut_fakes.cut(site, 0))
            paths = ["/once/x", "/book/x", "/string/x", "/short/x"]
            answers.extend(await asyncio.gather(*[site.ask(path) for path in paths]))

    fakes.run(work, 2 if is_relayed else 1)
    assert [got.status for got in answers] == [200, 200, 200, 504]
    for got in answers:
        assert server.executed.count(got.attempt) == 1
