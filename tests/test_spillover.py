"""Spill-over: demands that would be late in their shard move to another shard."""

import asyncio

import policy_fakes as fakes
import pytest
import spillover_fakes

from cassiaquay_daemon.keepers import demands, spillover
from cassiaquay_schema import messages

HERE, THERE, BUSY = spillover_fakes.HERE, spillover_fakes.THERE, spillover_fakes.BUSY


@pytest.fixture(name="time")
def _time():
    with fakes.Time().used() as time:
        yield time


def test_demand_moves_to_a_shard_where_it_is_in_time(time) -> None:
    """Guards against shedding in one shard while another has free slots.

    The only slot here is occupied for seconds. A shed would make the caller wait and
    retry, and make all shards hold lower tiers back in the meantime.
    """
    pool = spillover_fakes.Pool()
    pool.fill()
    pool.report_waits(THERE, (0, 20.0, 5.0))
    pool.report_waits(BUSY, (0, 150.0, 5.0))
    pool.demand("late")
    pool.policy.serve()
    assert pool.moved() == {"late": THERE}
    assert "late" not in pool.shard.queue


def test_demand_is_not_moved_where_it_would_be_late(time) -> None:
    pool = spillover_fakes.Pool()
    pool.fill()
    pool.report_waits(THERE, (0, 900.0, 5.0))
    pool.demand("late")
    pool.policy.serve()
    assert not pool.moved()


def test_demand_is_not_moved_where_its_rank_is_held_back(time) -> None:
    """A shard reports no wait for ranks that get no slot in it."""
    pool = spillover_fakes.Pool()
    pool.fill()
    pool.report_waits(THERE, (0, 0.0, 5.0))
    pool.demand("lower", rank=1)
    pool.policy.serve()
    assert not pool.moved()


def test_moved_demands_count_until_the_next_report(time) -> None:
    """Guards against moving more demands than the other shard can serve in time.

    Ten demands arrive between two of its reports.
    """
    pool = spillover_fakes.Pool()
    pool.fill()
    pool.report_waits(THERE, (0, 100.0, 60.0))
    for number in range(10):
        pool.demand(f"d{number}")
    pool.policy.serve()
    assert 1 <= len(pool.moved()) <= 5


def test_old_report_is_ignored(time) -> None:
    """The other shard's keeper was paused after it had reported free capacity."""
    pool = spillover_fakes.Pool()
    pool.fill()
    pool.report_waits(THERE, (0, 0.0, 0.0))
    time.now += spillover.REPORT_LIFETIME_SECONDS + 0.05
    pool.demand("late")
    pool.policy.serve()
    assert not pool.moved()


def test_number_of_moves_of_a_demand_is_bounded(time) -> None:
    pool = spillover_fakes.Pool()
    pool.fill()
    pool.report_waits(THERE, (0, 0.0, 0.0))
    pool.demand("moved", moves=spillover.MAX_MOVES)
    pool.policy.serve()
    assert not pool.moved()


def test_keeper_reports_its_waits(time) -> None:
    pool = spillover_fakes.Pool()
    pool.demand("first")
    pool.policy.serve()
    pool.spillover.report_waits()
    [message] = pool.other.sent
    assert isinstance(message, messages.Waits)
    assert message.shard == HERE
    assert [item.rank for item in message.waits] == [0]
    assert message.waits[0].wait_ms > 0


class Local(fakes.Owner):
    """Fake of the instance's own keeper, which keeps no shard."""

    def on_renewal_query(self, call) -> None:
        """Ignore the callback."""

    def keeper_of(self, shard: str) -> str:
        """Return another instance for each shard."""
        return "cq-2" if shard == HERE else "cq-3"


def test_owner_sends_a_moved_demand_to_the_other_keeper(time) -> None:
    """A moved demand is sent to the other keeper with the remaining time.

    A permit of the first keeper that arrives afterwards is withdrawn: two permits would
    occupy two slots.
    """

    async def work() -> None:
        first, second = fakes.Owner("cq-2"), fakes.Owner("cq-3")
        links = fakes.Links()
        members = fakes.Membership("cq-1", [first, second])
        owner_demands = demands.Demands(fakes.settings("cq-1"), links, members, Local())
        demand = fakes.demand("d1")._replace(shard=HERE, first_ms=400)
        task = asyncio.create_task(owner_demands.obtain(demand, time.now + 5.0))
        await asyncio.sleep(0)
        time.now += 0.1
        owner_demands.answer(first, messages.Moved("d1", HERE, THERE))
        [message] = second.sent
        assert (message.shard, message.moves, message.first_ms) == (THERE, 1, 300)
        owner_demands.answer(first, messages.Permit("d1", "a", 1000, HERE))
        assert isinstance(first.sent[-1], messages.Withdraw)
        owner_demands.answer(second, messages.Permit("d1", "b", 1000, THERE))
        permission = await task
        assert (permission.server, permission.shard) == ("b", THERE)

    asyncio.run(work())
