"""When the version of a stream is not derived, and what instances see themselves."""

import asyncio
import types
import typing
from unittest import mock

import pytest
import version_schedules as schedules

from cassiaquay_daemon import clock, platform
from cassiaquay_daemon.decisions import server_times, stream_ages
from cassiaquay_daemon.gateway import derivations
from cassiaquay_schema import messages

NOW = 100.0
LIFETIME = 25.0


def _entry(name: str, revision: int = 9, **changes: typing.Any) -> messages.ServerEntry:
    """Return the entry of a server that started long ago; its version is a letter."""
    born = int((schedules.EPOCH + 1.0) * 1000.0)
    entry = messages.ServerEntry(
        name, "chat", "h:1", "", 4, False, born, revision, 0, name[0], 0
    )
    return entry._replace(**changes)


class _Bench:
    """Derivations at an instance that has just started."""

    def __init__(self) -> None:
        self.listed = [_entry("a1"), _entry("a2"), _entry("b1"), _entry("b2")]
        self.servers = mock.Mock(steady_since=0.0)
        self.checks = mock.Mock(entries=lambda service: self.listed)
        self.servers.entries = lambda: self.listed
        # Each server has written some times; the oldest write is 24 s old.
        written = []
        for revision in range(21):
            written += [item._replace(revision=revision) for item in self.listed]
        self.past = platform.ServersPast(written, [], {}, {})
        self.stated_seconds = schedules.CALLER_SECONDS
        self.call = schedules.call("s-0", schedules.CALLER_SECONDS - 3.0)

    def derive(self) -> derivations.Derived | None:
        """Derive the version of the stream."""
        past = mock.Mock()

        async def read() -> platform.ServersPast | None:
            return self.past

        past.read = read
        before = clock.use(lambda: NOW)
        try:
            with mock.patch("time.time", return_value=schedules.EPOCH + NOW):
                made = derivations.Derivations(self.servers, past, self.checks, 1.2)
                made.note_servers()
                if self.stated_seconds:
                    made.note_new(schedules.call("new", self.stated_seconds))
                return asyncio.run(made.derive(self.call, LIFETIME))
        finally:
            clock.use(before)


def test_stream_of_steady_versions_is_derived() -> None:
    """Guards against the cases below passing whatever they change."""
    found = _Bench().derive()
    assert found is not None
    assert found.young == []


@pytest.mark.parametrize(
    "cause",
    [
        "restarted in another version",
        "several services",
        "not named",
        "no time stated",
        "no new stream yet",
        "not counted down",
        "history unreadable",
        "history too short",
    ],
)
def test_stream_is_not_derived_without_evidence(cause: str) -> None:
    """Guards against a guess where a server may be missing."""
    bench = _Bench()
    if cause == "restarted in another version":
        born = int((schedules.EPOCH + NOW - 1.0) * 1000.0)
        last = bench.past.written[-1].revision + 1
        restarted = _entry("b2", last, software="a", started_ms=born)
        bench.listed[-1] = restarted
        bench.past.written.append(restarted)
    elif cause == "several services":
        bench.call.route.shares = ("chat", "other")
    elif cause == "not named":
        bench.call.parsed.resumes = ""
    elif cause == "no time stated":
        bench.call.parsed.deadline_ms = 0
    elif cause == "no new stream yet":
        bench.stated_seconds = 0.0
    elif cause == "not counted down":
        bench.call.parsed.deadline_ms = int(bench.stated_seconds * 1000.0)
    elif cause == "history unreadable":
        bench.past = None
    else:
        bench.past = bench.past._replace(written=bench.past.written[-8:])
    assert bench.derive() is None


@pytest.mark.parametrize(("revision", "is_derived"), [(20, False), (5, True)])
def test_unknown_server_that_has_left_matters_only_if_late(
    revision: int, is_derived: bool
) -> None:
    """Guards against a server of unknown version that may have ranked first."""
    found = []
    for number in range(40):
        bench = _Bench()
        bench.past.removed.append("x")
        bench.past = bench.past._replace(removed_at={"x": revision})
        bench.call.parsed.resumes = f"s-{number}"
        found.append(bench.derive() is not None)
    assert all(found) == is_derived
    assert any(found)


def test_caller_that_had_more_time_than_the_route_began_longer_ago() -> None:
    """Guards against a window that is too short for callers with different times."""
    stated = stream_ages.StatedTimes()
    stated.note("r", 8_000)
    assert stated.age_seconds("r", 7_000, 15.0) == 8.0
    stated.note("r", 30_000)
    assert stated.age_seconds("r", 7_000, 15.0) == 23.0


def test_servers_that_left_in_sight_are_remembered() -> None:
    """Guards against candidates that are missing since the history was read before."""
    time = types.SimpleNamespace(now=10.0)
    before = clock.use(lambda: time.now)
    try:
        sightings = server_times.Sightings()
        sightings.note([])
        sightings.note([_entry("a1"), _entry("b1")])
        time.now = 20.0
        sightings.note([_entry("b1", sequence=7), _entry("c1")])
        time.now = 25.0
        assert [item.name for item in sightings.former_since(12.0)] == ["a1"]
        assert sightings.former_since(21.0) == []
        assert sightings.left_ages() == {"a1": 5.0}
        assert sightings.came_ages() == {"c1": 5.0}
        sightings.note([_entry("b1", slots=8), _entry("c1")])
        assert [item.slots for item in sightings.former_since(21.0)] == [4]
    finally:
        clock.use(before)
