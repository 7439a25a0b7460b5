"""Fleet-wide limits, and services that depend on others."""

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


def _query(limit_keeper, owner, needed=1, wanted=8, held=0) -> messages.LimitPermits:
    limit_keeper.query(owner, messages.LimitQuery(KEY, needed, wanted, held))
    return owner.sent[-1]


def _run(work) -> None:
    async def bounded() -> None:
        await asyncio.wait_for(work(), 8.0)

    asyncio.run(bounded())


def test_a_rate_holds_over_all_owners(time) -> None:
    """Nine owners query as fast as they can for ten seconds, in chunks of eight."""
    members = fakes.Membership("cq-1", [])
    limit_keeper = _keeper(RATE, members)
    owners = [fakes.Owner(f"cq-{number}") for number in range(9)]
    granted = 0
    for _ in range(200):
        for owner in owners:
            granted += _query(limit_keeper, owner).permits
        time.now += 0.05
    assert 90 <= granted <= 111


def test_a_chunk_leaves_permits_for_the_other_owners(time) -> None:
    """One owner requests the permits of a whole second for one waiting request."""
    members = fakes.Membership("cq-1", [])
    limit_keeper = _keeper(RATE, members)
    first, second = fakes.Owner("cq-1"), fakes.Owner("cq-2")
    _query(limit_keeper, first)
    time.now += 5.0
    assert _query(limit_keeper, first, wanted=10).permits == 2
    assert _query(limit_keeper, second, wanted=10).permits == 2


def test_concurrency_permits_are_bounded_and_returned(time) -> None:
    members = fakes.Membership("cq-1", [])
    limit_keeper = _keeper(CONCURRENT, members)
    time.now += 2.0
    first, second = fakes.Owner("cq-1"), fakes.Owner("cq-2")
    assert _query(limit_keeper, first, needed=2).permits == 2
    assert _query(limit_keeper, second, needed=2).permits == 1
    refused = _query(limit_keeper, second, held=1)
    assert refused.permits == 0
    assert refused.retry_after_ms > 0
    limit_keeper.give_back(first, messages.LimitReturn(KEY, 1))
    assert _query(limit_keeper, second, held=1).permits == 1


def test_permits_of_a_failed_owner_are_freed_after_its_lease(time) -> None:
    """An owner fails while it holds all permits of the limit, and stops renewing."""
    members = fakes.Membership("cq-1", [])
    limit_keeper = _keeper(CONCURRENT, members)
    time.now += 2.0
    failed, alive = fakes.Owner("cq-1"), fakes.Owner("cq-2")
    assert _query(limit_keeper, failed, needed=3).permits == 3
    time.now += 2.9
    assert _query(limit_keeper, alive).permits == 0
    time.now += 0.2
    assert _query(limit_keeper, alive).permits == 1


def test_a_new_keeper_of_a_limit_waits_for_renewals(time) -> None:
    """The keeper changes while three requests run under a limit of three.

    If the new keeper granted at once, six could run. The owner that runs them renews
    within 1.5 renewal periods, and the keeper grants nothing before that.
    """
    members = fakes.Membership("cq-2", [])
    limit_keeper = _keeper(CONCURRENT, members)
    time.now += 60.0
    members.move("cq-1")
    running, waiting = fakes.Owner("cq-3"), fakes.Owner("cq-4")
    assert _query(limit_keeper, waiting).permits == 0
    time.now += 0.7
    limit_keeper.give_back(running, messages.LimitReturn(KEY, 3))
    time.now += 0.4
    assert _query(limit_keeper, waiting).permits == 0


def test_two_parts_of_a_partition_use_at_most_twice_the_limit(time) -> None:
    """Each part has its own keeper, which cannot reach the other one.

    Over-use is bounded by the number of parts, and each part can use the whole limit.
    After the partition one keeper holds the limit again.
    """
    parts = [_keeper(RATE, fakes.Membership("cq-1", [])) for _ in range(2)]
    granted = 0
    for _ in range(200):
        for number, limit_keeper in enumerate(parts):
            granted += _query(limit_keeper, fakes.Owner(f"cq-{number}")).permits
        time.now += 0.05
    assert 190 <= granted <= 222


def _limits(extra: str) -> limits.Limits:
    members = fakes.Membership("cq-1", [])
    limit_keeper = _keeper(extra, members)
    return limits.Limits(fakes.settings(), fakes.Links(), members, limit_keeper)


def test_an_owner_refuses_with_the_time_of_the_next_permit(time) -> None:
    async def work() -> None:
        client = _limits(RATE)
        async with client.hold("questions", "tutor-assist", 0):
            pass
        refusals = []
        for rank in (0, 3):
            with pytest.raises(exceptions.LimitReached) as caught:
                async with client.hold("questions", "tutor-assist", rank):
                    pass
            refusals.append(caught.value.retry_after_ms)
        assert 100 <= refusals[0] <= 150
        # Callers of lower tiers get a longer retry-after time.
        assert 250 <= refusals[1] <= 300
        async with client.hold("parents", "tutor-assist", 0):
            pass

    _run(work)


def test_a_concurrency_permit_is_returned_when_the_request_fails(time) -> None:
    async def work() -> None:
        client = _limits(CONCURRENT)
        time.now += 2.0
        for _ in range(5):
            with pytest.raises(exceptions.AnswerLost):
                async with client.hold("questions", "tutor-assist", 0):
                    raise exceptions.AnswerLost()

    _run(work)


def test_a_request_is_not_run_when_the_keeper_of_its_limit_is_silent(time) -> None:
    """The limit's keeper is unreachable: the caller gets "not run" in bounded time.

    If requests were let through instead, the limit would not hold in a partition.
    """

    async def work() -> None:
        members = fakes.Membership("cq-9", [])
        limit_keeper = _keeper(RATE, members)
        client = limits.Limits(fakes.settings(), fakes.Links(), members, limit_keeper)
        with pytest.raises(exceptions.LimitReached):
            async with client.hold("questions", "tutor-assist", 0):
                pass

    _run(work)


def test_dependents_of_a_service_that_is_down_are_refused_early(time) -> None:
    """All bookings servers refuse connections; tutor-assist calls bookings-app.

    Requests to tutor-assist get "not run" before they use an engine, and are let
    through again when the report of the bookings' keeper is old or good.
    """
    members = fakes.Membership("cq-1", [])
    configured = fakes.Configured()
    local_keeper = keeper.Keeper(fakes.settings(), fakes.Links(), members, configured)
    checker = dependencies.Dependencies(
        fakes.settings(), fakes.Links(), members, local_keeper
    )
    snapshot = configured.current

    async def work() -> None:
        owner = fakes.Owner()
        down = ["bookings-1", "bookings-2", "bookings-3"]
        demand = fakes.demand("b")._replace(shard="plain#0", avoid=down)
        local_keeper.demand(owner, demand)
        checker.check("tutor-assist", 0, snapshot)
        checker.answer(owner, local_keeper.health("plain#0"))
        with pytest.raises(exceptions.DependencyDown) as caught:
            checker.check("tutor-assist", 0, snapshot)
        assert caught.value.retry_after_ms > 0
        checker.check("bookings-app", 0, snapshot)
        time.now += 2.1
        checker.check("tutor-assist", 0, snapshot)
        checker.answer(owner, local_keeper.health("plain#0"))
        checker.check("tutor-assist", 0, snapshot)

    _run(work)


def test_only_the_tiers_that_a_dependency_sheds_are_refused(time) -> None:
    members = fakes.Membership("cq-1", [])
    configured = fakes.Configured()
    local_keeper = keeper.Keeper(fakes.settings(), fakes.Links(), members, configured)
    checker = dependencies.Dependencies(
        fakes.settings(), fakes.Links(), members, local_keeper
    )
    checker.answer(fakes.Owner(), messages.Health("plain#0", 2, 700))
    checker.check("tutor-assist", 1, configured.current)
    with pytest.raises(exceptions.DependencyDown):
        checker.check("tutor-assist", 2, configured.current)
