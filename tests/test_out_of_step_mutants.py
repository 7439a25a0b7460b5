"""Schedules around an instance out of step find code that ignores one of the signs."""

import collections.abc
import typing
import weakref

import out_of_step_choices as choices
import out_of_step_instances as instances
import out_of_step_plans as plans
import out_of_step_schedules as schedules
import pytest

from cassiaquay_daemon.decisions import version_choice
from cassiaquay_daemon.fleet import server_past, servers, stream_origins
from cassiaquay_daemon.gateway import process_checks

SEEDS = 5
KILLED_SEEDS = 40
NEVER = float("-inf")
# Age of a read that is taken for one of now.
STALE_SECONDS = 3.0

Make = collections.abc.Callable[[int], plans.Plan]
Apply = collections.abc.Callable[[pytest.MonkeyPatch], None]


class Mutant(typing.NamedTuple):
    """A change of the code, and the plans in which it must join a stream."""

    apply: Apply
    make: Make
    seeds: range


MUTANTS: dict[str, Mutant] = {}


def _mutant(
    make: Make, first_seed: int = 0
) -> collections.abc.Callable[[Apply], Apply]:
    def register(apply: Apply) -> Apply:
        seeds = range(first_seed, first_seed + KILLED_SEEDS)
        MUTANTS[apply.__name__.strip("_")] = Mutant(apply, make, seeds)
        return apply

    return register


def _is_joined(plan: plans.Plan) -> bool:
    outcomes = schedules.play(plan)
    return any(item.result == instances.JOINED for item in outcomes)


@_mutant(choices.make_outdated)
def _list_is_not_read(patch: pytest.MonkeyPatch) -> None:
    """Take any list for a current one."""

    async def read_since(self, since: float, seconds: float) -> bool:
        return True

    patch.setattr(servers.Servers, "read_since", read_since)


@_mutant(choices.make_outdated)
def _read_began_before(patch: pytest.MonkeyPatch) -> None:
    """Take a read that began before the stream was taken up."""
    read = servers.Servers.read_since

    async def read_since(self, since: float, seconds: float) -> bool:
        return await read(self, since - STALE_SECONDS, seconds)

    patch.setattr(servers.Servers, "read_since", read_since)


@_mutant(choices.make_killed)
def _gaps_count_as_observed(patch: pytest.MonkeyPatch) -> None:
    """Take the time without a confirmed list for observed."""
    patch.setattr(servers.Servers, "steady_since", NEVER)


# Few schedules have a version that comes and goes in a gap and is read about before.
@_mutant(choices.make_killed, first_seed=150)
def _past_is_read_once(patch: pytest.MonkeyPatch) -> None:
    """Take the history of before a gap."""
    read = server_past.ServerPast.read
    kept: weakref.WeakKeyDictionary = weakref.WeakKeyDictionary()

    async def read_once(self):
        if kept.get(self) is None:
            kept[self] = await read(self)
        return kept[self]

    patch.setattr(server_past.ServerPast, "read", read_once)


@_mutant(choices.make_vanished)
def _silence_is_an_answer(patch: pytest.MonkeyPatch) -> None:
    """Take an instance that has not answered for one that does not know a stream."""
    find = stream_origins.StreamOrigins.find

    async def find_at_all(self, key: int) -> stream_origins.Lookup:
        lookup = await find(self, key)
        return lookup._replace(answered=lookup.asked)

    patch.setattr(stream_origins.StreamOrigins, "find", find_at_all)
    patch.setattr(stream_origins.StreamOrigins, "has_missing", lambda *_: False)


@_mutant(choices.make_lost)
def _entries_are_not_confirmed(patch: pytest.MonkeyPatch) -> None:
    """Take all servers for the processes that their entries describe."""

    async def confirm(self, entries: list, since: float) -> bool:
        return True

    patch.setattr(process_checks.ProcessChecks, "confirm", confirm)


@_mutant(choices.make_killed)
def _former_versions_are_ignored(patch: pytest.MonkeyPatch) -> None:
    """Derive versions that a server may have left before its entry was listed."""
    patch.setattr(version_choice, "_was_left", lambda *_: False)


@pytest.mark.parametrize(
    "make", [choices.make_lost, choices.make_outdated, choices.make_vanished]
)
def test_no_stream_that_is_forgotten_is_joined(make: Make) -> None:
    """Guards against a guess where those that knew a stream were killed or cut off."""
    for seed in range(SEEDS):
        assert not _is_joined(make(seed)), seed


@pytest.mark.parametrize("name", MUTANTS)
def test_schedules_find_code_that_ignores_a_sign(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against schedules in which a sign does not count."""
    mutant = MUTANTS[name]
    for seed in mutant.seeds:
        with monkeypatch.context() as patch:
            mutant.apply(patch)
            is_found = _is_joined(mutant.make(seed))
        if is_found:
            assert not _is_joined(mutant.make(seed))
            return
    pytest.fail("all schedules pass")
