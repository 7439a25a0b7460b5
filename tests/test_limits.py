"""Limits over the whole fleet, and services that depend on others."""

import asyncio

import policy_fakes as fakes
import pytest

from cassiaquay_daemon import exceptions
from cassiaquay_daemon.keepers import keeper, limit_keepers, limits
from cassiaquay_daemon.owners import dependencies
from cassiaquay_schema import messages

RATE = "[teams.questions]\nrequests_per_second = 10.0"
CONCURRENT = "[teams.questions]\nconcurrent = 3"
KEY = "team questions"


@pytest.fixture(name="time")
def _time():
    with fakes.Time().used() as time:
        yield time


def _keeper(extra: str, members: fakes.Membership) -> limit_keepers.LimitKeeper:
    return limit_keepers.LimitKeeper(
        fakes.settings(), fakes.Links(), members, fakes.Configured(extra)
    )


def _ask(kept, owner, needed=1, wanted=8, held=0) -> messages.LimitPermits:
    kept.query(owner, messages.LimitQuery(KEY, needed, wanted, held))
    return owner.sent[-1]


def _run(work) -> None:
    async def bounded() -> None:
        await asyncio.wait_for(work(), 8.0)

    asyncio.run(bounded())


def test_a_rate_holds_over_all_owners(time) -> None:
    """Nine owners ask as fast as they can for ten seconds, in chunks of eight."""
    members = fakes.Membership("cq-1", [])
    kept = _keeper(RATE, members)
    owners = [fakes.Owner(f"cq-{number}") for number in range(9)]
    granted = 0
    for _ in range(200):
        for owner in owners:
            granted += _ask(kept, owner).permits
        time.now += 0.05
    assert 90 <= granted <= 111


def test_a_chunk_leaves_permits_for_the_other_owners(time) -> None:
    """One owner asks for the whole second's permits with one request waiting."""
    members = fakes.Membership("cq-1", [])
    kept = _keeper(RATE, members)
    first, second = fakes.Owner("cq-1"), fakes.Owner("cq-2")
    _ask(kept, first)
    time.now += 5.0
    assert _ask(kept, first, wanted=10).permits == 2
    assert _ask(kept, second, wanted=10).permits == 2


def test_concurrency_holds_and_comes_back(time) -> None:
    members = fakes.Membership("cq-1", [])
    kept = _keeper(CONCURRENT, members)
    time.now += 2.0
    first, second = fakes.Owner("cq-1"), fakes.Owner("cq-2")
    assert _ask(kept, first, needed=2).permits == 2
    assert _ask(kept, second, needed=2).permits == 1
    refused = _ask(kept, second, held=1)
    assert refused.permits == 0
    assert refused.retry_after_ms > 0
    kept.give_back(first, messages.LimitReturn(KEY, 1))
    assert _ask(kept, second, held=1).permits == 1


def test_what_a_dead_owner_held_comes_back_after_its_lease(time) -> None:
    """An owner dies while it runs all that the limit allows; it renews no more."""
    members = fakes.Membership("cq-1", [])
    kept = _keeper(CONCURRENT, members)
    time.now += 2.0
    dead, alive = fakes.Owner("cq-1"), fakes.Owner("cq-2")
    assert _ask(kept, dead, needed=3).permits == 3
    time.now += 2.9
    assert _ask(kept, alive).permits == 0
    time.now += 0.2
    assert _ask(kept, alive).permits == 1


def test_a_new_keeper_of_a_limit_first_hears_what_runs(time) -> None:
    """The keeper moves while three requests run under a limit of three.

    Granting at once would let six run. The owner that runs them renews within the
    first second and a bit; only then are permits given out.
    """
    members = fakes.Membership("cq-2", [])
    kept = _keeper(CONCURRENT, members)
    time.now += 60.0
    members.move("cq-1")
    runs, asks = fakes.Owner("cq-3"), fakes.Owner("cq-4")
    assert _ask(kept, asks).permits == 0
    time.now += 0.7
    kept.give_back(runs, messages.LimitReturn(KEY, 3))
    time.now += 0.4
    assert _ask(kept, asks).permits == 0


def test_two_parts_of_a_partition_use_at_most_twice_the_limit(time) -> None:
    """Each part has its own keeper, which cannot know of the other one.

    Over-use is bounded by the number of parts; under-use does not occur, and after
    the partition one keeper holds the limit again.
    """
    parts = [_keeper(RATE, fakes.Membership("cq-1", [])) for _ in range(2)]
    granted = 0
    for _ in range(200):
        for number, kept in enumerate(parts):
            granted += _ask(kept, fakes.Owner(f"cq-{number}")).permits
        time.now += 0.05
    assert 190 <= granted <= 222


def _limits(extra: str) -> limits.Limits:
    members = fakes.Membership("cq-1", [])
    kept = _keeper(extra, members)
    return limits.Limits(fakes.settings(), fakes.Links(), members, kept)


def test_an_owner_refuses_with_the_time_of_the_next_permit(time) -> None:
    async def work() -> None:
        found = _limits(RATE)
        async with found.hold("questions", "tutor-assist", 0):
            pass
        refusals = []
        for rank in (0, 3):
            with pytest.raises(exceptions.LimitReached) as caught:
                async with found.hold("questions", "tutor-assist", rank):
                    pass
            refusals.append(caught.value.retry_after_ms)
        assert 100 <= refusals[0] <= 150
        # Less important callers are told to stay away longer.
        assert 250 <= refusals[1] <= 300
        async with found.hold("parents", "tutor-assist", 0):
            pass

    _run(work)


def test_a_permit_of_concurrency_is_back_when_the_request_fails(time) -> None:
    async def work() -> None:
        found = _limits(CONCURRENT)
        time.now += 2.0
        for _ in range(5):
            with pytest.raises(exceptions.AnswerLost):
                async with found.hold("questions", "tutor-assist", 0):
                    raise exceptions.AnswerLost()

    _run(work)


def test_a_silent_keeper_of_a_limit_means_not_run(time) -> None:
    """The limit's keeper is cut off: the caller hears "not run" after a bounded wait.

    Letting requests through instead would make the limit void in every partition.
    """

    async def work() -> None:
        members = fakes.Membership("cq-9", [])
        kept = _keeper(RATE, members)
        found = limits.Limits(fakes.settings(), fakes.Links(), members, kept)
        with pytest.raises(exceptions.LimitReached):
            async with found.hold("questions", "tutor-assist", 0):
                pass

    _run(work)


def test_dependents_of_a_service_that_is_down_are_refused_early(time) -> None:
    """All bookings servers refuse connections; tutor-assist calls bookings-app.

    Its requests hear "not run" before they take an engine's time, and get through
    again when the keeper of the bookings says nothing bad any more.
    """
    members = fakes.Membership("cq-1", [])
    configured = fakes.Configured()
    kept = keeper.Keeper(fakes.settings(), fakes.Links(), members, configured)
    found = dependencies.Dependencies(fakes.settings(), fakes.Links(), members, kept)
    snapshot = configured.current

    async def work() -> None:
        owner = fakes.Owner()
        down = ["bookings-1", "bookings-2", "bookings-3"]
        demand = fakes.demand("b")._replace(shard="plain#0", avoid=down)
        kept.demand(owner, demand)
        found.check("tutor-assist", 0, snapshot)
        found.answer(owner, kept.health("plain#0"))
        with pytest.raises(exceptions.DependencyDown) as caught:
            found.check("tutor-assist", 0, snapshot)
        assert caught.value.retry_after_ms > 0
        found.check("bookings-app", 0, snapshot)
        time.now += 2.1
        found.check("tutor-assist", 0, snapshot)
        found.answer(owner, kept.health("plain#0"))
        found.check("tutor-assist", 0, snapshot)

    _run(work)


def test_only_the_tiers_that_a_dependency_sheds_are_refused(time) -> None:
    members = fakes.Membership("cq-1", [])
    configured = fakes.Configured()
    kept = keeper.Keeper(fakes.settings(), fakes.Links(), members, configured)
    found = dependencies.Dependencies(fakes.settings(), fakes.Links(), members, kept)
    found.answer(fakes.Owner(), messages.Health("plain#0", 2, 700))
    found.check("tutor-assist", 1, configured.current)
    with pytest.raises(exceptions.DependencyDown):
        found.check("tutor-assist", 2, configured.current)
