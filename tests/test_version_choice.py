"""The version at which a stream begins is found again after a kill of all instances."""

import collections

import msgspec
import pytest
import version_schedules as schedules

from cassiaquay_daemon.decisions import version_choice
from cassiaquay_schema import fleet

SEEDS = 1000


def _servers(**slots: int) -> list[fleet.Server]:
    """Return servers whose versions are the first letters of their names."""
    found = []
    for name, count in slots.items():
        found.append(
            fleet.Server(
                name=name,
                address="h:1",
                slots=count,
                software=name[0],
                started_ms=1,
            )
        )
    return found


def _count_wrong(
    history: float = schedules.HISTORY_SECONDS,
    is_heartbeat_known: bool = True,
    has_heartbeats: bool = True,
) -> int:
    """Return how many streams go on at another version, over all schedules."""
    wrong = 0
    for seed in range(SEEDS):
        made = schedules.Schedule(
            seed,
            seed % 7,
            70.0 + seed % 29,
            history,
            is_heartbeat_known,
            has_heartbeats,
        )
        for stream in made.begin(6):
            found = made.derive(stream)
            wrong += found not in (None, stream.version)
    return wrong


def _count_wrong_after_a_crash() -> int:
    """Return the same where all servers of a version crash before the kill."""
    wrong = 0
    for seed in range(SEEDS):
        made = schedules.Schedule(seed, 0, 0.0)
        made.crash_version(schedules.KILLED_AT - 1.0)
        for stream in made.begin(6):
            wrong += made.derive(stream) not in (None, stream.version)
    return wrong


def test_new_streams_are_spread_over_versions_by_slots() -> None:
    """Guards against a version whose slots stay empty while the other's are full."""
    servers = _servers(a1=4, a2=4, b1=8)
    counts = collections.Counter(
        version_choice.choose(key, servers) for key in range(4000)
    )
    assert counts.keys() == {"a", "b"}
    assert abs(counts["a"] - 2000) < 150


def test_one_version_restricts_no_stream() -> None:
    """Guards against demands of a version where nothing is to be chosen."""
    assert version_choice.choose(1, _servers(a1=4, a2=4)) is None
    assert version_choice.choose(1, []) is None


def test_servers_without_start_times_restrict_no_stream() -> None:
    """Guards against a version that is demanded, but could not be derived later."""
    servers = _servers(a1=4, b1=4)
    assert version_choice.choose(1, servers) in ("a", "b")
    without = msgspec.structs.replace(servers[1], started_ms=0)
    assert version_choice.choose(1, [servers[0], without]) is None


@pytest.mark.parametrize("is_heartbeat_known", [True, False])
@pytest.mark.parametrize("history", [schedules.HISTORY_SECONDS, 6.0, 0.0])
def test_no_schedule_derives_a_wrong_version(
    history: float, is_heartbeat_known: bool
) -> None:
    """Guards against streams that go on at another version than they began at."""
    assert _count_wrong(history, is_heartbeat_known) == 0


@pytest.mark.parametrize("is_heartbeat_known", [True, False])
def test_history_without_heartbeats_derives_no_wrong_version(
    is_heartbeat_known: bool,
) -> None:
    """Guards against the same where only changes of entries are in the history."""
    history = schedules.HISTORY_SECONDS
    assert _count_wrong(history, is_heartbeat_known, has_heartbeats=False) == 0


@pytest.mark.parametrize("is_heartbeat_known", [True, False])
def test_streams_after_a_release_are_derived_without_heartbeats(
    is_heartbeat_known: bool,
) -> None:
    """Guards against refusals of all streams after a release and a kill of all."""
    derived = begun = 0
    for seed in range(200):
        made = schedules.Schedule(
            seed, 0, 0.0, schedules.HISTORY_SECONDS, is_heartbeat_known, False
        )
        made.start(schedules.KILLED_AT - 17.0)
        for stream in made.begin(6):
            begun += 1
            found = made.derive(stream)
            assert found in (None, stream.version)
            derived += found is not None
    assert begun
    assert derived >= begun / 2


@pytest.mark.parametrize("is_heartbeat_known", [True, False])
def test_all_streams_of_steady_versions_are_derived(is_heartbeat_known: bool) -> None:
    """Guards against refusals while nothing has changed since the streams began."""
    for seed in range(100):
        made = schedules.Schedule(seed, 0, 0.0, is_heartbeat_known=is_heartbeat_known)
        for stream in made.begin(6):
            assert made.derive(stream) == stream.version


@pytest.mark.parametrize("mutant", ["removed", "young", "dead"])
def test_schedules_catch_a_walk_that_ignores_servers(
    mutant: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against schedules in which no server matters that has come or gone."""
    known = version_choice._candidates

    def ignore(service, evidence, since_ms):
        if mutant == "young":
            found = known(service, evidence, since_ms)
            return [item._replace(is_steady=True) for item in found]
        names = {item.name for item in evidence.listed}
        return [i for i in known(service, evidence, since_ms) if i.name in names]

    if mutant == "dead":
        monkeypatch.setattr(version_choice, "young_servers", lambda *_: [])
        assert _count_wrong_after_a_crash()
        return
    monkeypatch.setattr(version_choice, "_candidates", ignore)
    assert _count_wrong()


def test_version_whose_servers_had_crashed_is_not_derived() -> None:
    """Guards against a server that came after the stream began at another version."""
    assert _count_wrong_after_a_crash() == 0
