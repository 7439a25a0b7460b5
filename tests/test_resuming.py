"""At which service and version a resumed stream goes on, by what is known of it."""

import asyncio
import time
from unittest import mock

import pytest

from cassiaquay_daemon import clock, exceptions, platform
from cassiaquay_daemon.configured import routing
from cassiaquay_daemon.decisions import stream_origins
from cassiaquay_daemon.fleet import stream_origins as origin_reports
from cassiaquay_daemon.gateway import calls, derivations, progress, resuming, writers
from cassiaquay_daemon.platform import headers
from cassiaquay_schema import fleet, messages

STREAM = routing.Kind.STREAM


class _Configured:
    """A configuration whose servers' versions a test changes."""

    def __init__(self, **versions: str):
        self._calls: list = []
        self.current = mock.Mock()
        self.put(**versions)

    def on_accept(self, call) -> None:
        """Record a callback."""
        self._calls.append(call)

    def put(self, **versions: str) -> None:
        """Publish servers of the service `chat` with their versions."""
        servers = {}
        for name, version in versions.items():
            servers[name] = fleet.Server(name=name, address="h:1", software=version)
        snapshot = mock.Mock()
        snapshot.fleet.pools = {"chat": mock.Mock(servers=list(servers.values()))}
        snapshot.server = lambda service, name: servers.get(name)
        self.current = snapshot
        for call in self._calls:
            call()


class _Bench:
    """A `Resuming` whose origins and list of servers a test sets."""

    def __init__(self, **versions: str):
        self.configured = _Configured(**versions)
        self.origin: stream_origins.Origin | None = None
        self.recorded: list[stream_origins.Origin] = []
        self.origins = mock.Mock()
        self.origins.has_missing.return_value = False
        # Whether each instance that may know the stream has answered.
        self.has_all_answers = True
        self.origins.find = self._find
        self.origins.add = lambda key, origin, lifetime: self.recorded.append(origin)
        self.servers = mock.Mock(age=0.0, age_ms=0, steady_ms=0, is_behind=False)
        self.servers.steady_since = clock.now()
        self.servers.read_since = mock.AsyncMock(return_value=True)
        self.checks = mock.Mock()
        self.checks.confirm = mock.AsyncMock(return_value=True)
        self.servers.position.revision = 1
        # Servers that leave, besides those in use; all began when `started_ms` says.
        self.leaving: dict[str, str] = {}
        self.started_ms = 1
        self.past = platform.ServersPast([], [])
        self.past_reads = 0
        self.servers.entries = self._entries
        self.servers.read_past = self._read_past
        written = writers.Writers(mock.Mock(), mock.Mock(), mock.Mock(), self.servers)
        self.resuming = resuming.Resuming(
            self.configured, self.origins, self.servers, written, self.checks
        )
        self.configured.put(**versions)

    async def _find(self, key: int) -> origin_reports.Lookup:
        return origin_reports.Lookup(self.origin, 2, 1 + self.has_all_answers)

    async def _read_past(self) -> platform.ServersPast:
        self.past_reads += 1
        if self.past is None:
            raise exceptions.PlatformError("unreadable")
        return self.past

    def _entries(self) -> list[messages.ServerEntry]:
        found = []
        for server in self.configured.current.fleet.pools["chat"].servers:
            found.append(self.entry(server.name, server.software))
        for name, version in self.leaving.items():
            found.append(self.entry(name, version)._replace(leaving=True))
        return found

    def entry(self, name: str, version: str) -> messages.ServerEntry:
        """Return the entry of a server."""
        return messages.ServerEntry(
            name, "chat", "h:1", "", 1, False, self.started_ms, 9, 0, version, 0
        )

    def age(self) -> None:
        """Let the service have been observed for longer than a stream may last."""
        self.servers.steady_since -= 60.0
        self.resuming._history._observed_since["chat"] -= 60.0

    def state(self, *services: str) -> progress.RequestState:
        """Return a resumed stream on a route to some services."""
        shares = tuple(routing.Share(name, 1) for name in services or ("chat",))
        route = routing.Route(
            "r", "h", "/", STREAM, shares, 15.0, 0.4, 0.3, 0, 2, True, True
        )
        pairs = [(b"cassiaquay-attempt-id", b"a2"), (b"resumes", b"a1")]
        parsed = headers.read([*pairs, (b"last-event-id", b"3")])
        service = shares[0].service
        snapshot = self.configured.current
        return progress.RequestState(
            calls.Call(
                "POST",
                "/",
                pairs,
                parsed,
                b"",
                route,
                service,
                None,
                snapshot,
                0.0,
                9.0,
            )
        )

    def resolve(self, state: progress.RequestState) -> None:
        """Resolve the origin of a stream."""
        asyncio.run(self.resuming.resolve(state))

    def note(self, state: progress.RequestState, server: str, demand: str) -> None:
        """Note events of a server."""
        ticket = mock.Mock()
        ticket.server = fleet.Server(name=server, address="h:1", software="v1")
        ticket.demand.id = demand
        self.resuming.note_events(state, ticket)


def test_known_origin_sets_the_version() -> None:
    """Guards against a resumed stream without a condition."""
    bench = _Bench(a="v1", b="v2")
    bench.origin = stream_origins.Origin("chat", "v2")
    state = bench.state()
    bench.resolve(state)
    assert state.software == "v2"


def test_unknown_stream_goes_on_at_the_sole_version_only() -> None:
    """Guards against another version that is listed before the stream is sent."""
    bench = _Bench(a="v1", b="v1")
    state = bench.state()
    bench.resolve(state)
    assert state.software == "v1"


def test_unknown_stream_ends_where_a_service_has_several_versions() -> None:
    """Guards against a guess; its caller is told when to come back."""
    bench = _Bench(a="v1", b="v2")
    with pytest.raises(exceptions.OriginUnknown) as refused:
        bench.resolve(bench.state())
    assert refused.value.retry_after_ms == resuming.UNKNOWN_RETRY_MS


@pytest.mark.parametrize("versions", [{"a": "v1"}, {"a": "v1", "b": "v2"}])
@pytest.mark.parametrize("cause", ["none", "outdated", "unanswered", "restarted"])
def test_version_is_not_concluded_if_others_may_know_more(
    cause: str, versions: dict[str, str]
) -> None:
    """Guards against a list of before a release that this instance has not seen."""
    bench = _Bench(**versions)
    bench.age()
    derived = derivations.Derived("v1", [])
    bench.resuming._derivations.derive = mock.AsyncMock(return_value=derived)
    if cause == "none":
        state = bench.state()
        bench.resolve(state)
        assert state.software == "v1"
        return
    if cause == "outdated":
        bench.servers.read_since.return_value = False
    elif cause == "unanswered":
        bench.has_all_answers = False
    else:
        bench.checks.confirm.return_value = False
    with pytest.raises(exceptions.OriginUnknown):
        bench.resolve(bench.state())


def test_version_is_not_derived_while_an_instance_is_missing() -> None:
    """Guards against streams that it begins by a list that no other one has."""
    bench = _Bench(a="v1", b="v2")
    derived = derivations.Derived("v1", [])
    bench.resuming._derivations.derive = mock.AsyncMock(return_value=derived)
    bench.resolve(bench.state())
    bench.origins.has_missing.return_value = True
    with pytest.raises(exceptions.OriginUnknown):
        bench.resolve(bench.state())


def test_version_that_the_read_shows_is_not_overlooked() -> None:
    """Guards against a decision by the list of before the stream was taken up."""
    bench = _Bench(a="v1")
    bench.age()

    async def read(since: float, seconds: float) -> bool:
        bench.configured.put(a="v1", b="v2")
        return True

    bench.servers.read_since = read
    with pytest.raises(exceptions.OriginUnknown):
        bench.resolve(bench.state())


def test_time_in_which_the_list_was_not_confirmed_is_not_observed() -> None:
    """Guards against versions that came and left while this instance was cut off."""
    bench = _Bench(a="v1")
    bench.started_ms = 0
    bench.age()
    bench.resolve(bench.state())
    bench.servers.steady_since = clock.now()
    with pytest.raises(exceptions.OriginUnknown):
        bench.resolve(bench.state())


def test_history_is_read_again_after_a_time_without_a_current_list() -> None:
    """Guards against a history of before a cut that lacks the versions of meanwhile."""
    bench = _Bench(a="v1")

    async def work() -> None:
        await bench.resuming.resolve(bench.state())
        await bench.resuming.resolve(bench.state())
        assert bench.past_reads == 1
        bench.past.written.append(bench.entry("b", "v2"))
        bench.past.removed.append("b")
        bench.servers.steady_since = clock.now()
        with pytest.raises(exceptions.OriginUnknown):
            await bench.resuming.resolve(bench.state())
        assert bench.past_reads == 2

    asyncio.run(work())


@pytest.mark.parametrize("is_whole", [True, False])
def test_whole_history_shows_the_version_of_young_servers(is_whole: bool) -> None:
    """Guards against refusals because servers have started a short time ago."""
    bench = _Bench(a="v1")
    bench.started_ms = int(time.time() * 1000)
    bench.past = bench.past._replace(is_whole=is_whole)
    state = bench.state()
    if is_whole:
        bench.resolve(state)
        assert state.software == "v1"
        return
    with pytest.raises(exceptions.OriginUnknown):
        bench.resolve(state)


def test_stream_goes_on_at_its_service_or_not_at_all() -> None:
    """Guards against another service in which the same version is in use."""
    bench = _Bench(a="v1")
    bench.origin = stream_origins.Origin("other", "v1")
    shared = bench.state("chat", "other")
    bench.resolve(shared)
    assert shared.call.service == "other"
    with pytest.raises(exceptions.OriginUnknown):
        bench.resolve(bench.state("chat"))


def test_version_of_a_stream_follows_the_entry_of_its_server() -> None:
    """Guards against the version of the process before, whose entry was listed late."""
    bench = _Bench(a="v1")
    state = bench.state()
    bench.note(state, "a", "a2")
    bench.note(state, "a", "a2")
    bench.configured.put(a="v2")
    bench.note(state, "a", "a2")
    assert [origin.software for origin in bench.recorded] == ["v1", "v2"]
    assert state.software == "v2"


def test_events_of_another_version_are_not_passed_on() -> None:
    """Guards against a server that was restarted in another version before it ran."""
    bench = _Bench(a="v1", b="v2")
    bench.origin = stream_origins.Origin("chat", "v1")
    state = bench.state()
    bench.resolve(state)
    bench.configured.put(a="v2", b="v2")
    with pytest.raises(exceptions.StreamInterrupted):
        bench.note(state, "a", "a2")
    assert not bench.recorded


@pytest.mark.parametrize(
    "cause", ["leaving", "young", "unstated", "gone", "unreadable"]
)
def test_version_that_others_may_have_preceded_is_not_the_sole_one(cause: str) -> None:
    """Guards against a guess by an instance that has just started, as all others."""
    bench = _Bench(a="v1")
    if cause == "leaving":
        bench.leaving["b"] = "v0"
    elif cause == "young":
        bench.started_ms = int(time.time() * 1000)
    elif cause == "unstated":
        bench.started_ms = 0
    elif cause == "gone":
        bench.past.removed.append("b")
    else:
        bench.past = None
    with pytest.raises(exceptions.OriginUnknown):
        bench.resolve(bench.state())


def test_sole_version_that_was_observed_for_long_needs_no_evidence() -> None:
    """Guards against reads of the platform for each stream that is taken up."""
    bench = _Bench(a="v1")
    bench.past = None
    bench.started_ms = 0
    later = clock.now() + 60.0
    before = clock.use(lambda: later)
    try:
        state = bench.state()
        bench.resolve(state)
    finally:
        clock.use(before)
    assert state.software == "v1"


@pytest.mark.parametrize(("version", "is_sole"), [("v1", True), ("v0", False)])
def test_server_that_has_gone_is_known_by_what_it_wrote(
    version: str, is_sole: bool
) -> None:
    """Guards against refusals after a server of the same version has left."""
    bench = _Bench(a="v1")
    bench.past.written.append(bench.entry("b", version))
    bench.past.removed.append("b")
    state = bench.state()
    if is_sole:
        bench.resolve(state)
        assert state.software == "v1"
        return
    with pytest.raises(exceptions.OriginUnknown):
        bench.resolve(state)


def test_stream_waits_for_a_service_that_lists_no_server_yet() -> None:
    """Guards against any version that is listed next, right after a start."""
    bench = _Bench()
    with pytest.raises(exceptions.OriginUnknown):
        bench.resolve(bench.state())
