"""Demands that cannot be in time in their shard go to one where they can."""

import asyncio

import policy_fakes as fakes
import pytest

from cassiaquay_daemon.decisions import objectives, shards
from cassiaquay_daemon.keepers import demands, siblings, spillover
from cassiaquay_schema import messages

HERE, THERE, BUSY = "tutor#0", "tutor#1", "tutor#2"


class Snapshot:
    """A pool of three shards."""

    def siblings(self, shard: str) -> list[str]:
        """Return the other shards."""
        return [name for name in (HERE, THERE, BUSY) if name != shard]


class Role:
    """A keeper role that has one shard; cq-2 has the others."""

    def __init__(self, shard: shards.Shard):
        self.shards = {HERE: shard}

    def keeper_of(self, shard: str) -> str:
        """Return the keeper."""
        return "cq-1" if shard == HERE else "cq-2"

    def keeps(self, shard: str) -> bool:
        """Tell whether it is kept here."""
        return shard == HERE


class Pool:
    """One shard's keeper, and what the others tell it."""

    def __init__(self) -> None:
        self.shard = fakes.shard({"a": 1})
        self.policy = fakes.policy(self.shard, objectives.NAME)
        self.owner = fakes.Owner()
        self.other = fakes.Owner("cq-2")
        self.links = fakes.Links()
        members = fakes.Membership("cq-1", [self.other])
        role = Role(self.shard)
        mates = siblings.Siblings("cq-1", members, role.keeper_of, lambda: Snapshot())
        self.spillover = spillover.SpillOver(self.links, role, mates)
        self.shard.find_sibling = lambda waiting, limit: self.spillover.move(
            HERE, waiting, limit
        )

    def told(self, shard: str, *waits: tuple[int, float, float]) -> None:
        """Hear what demands wait in another shard."""
        found = [messages.RankWait(*wait) for wait in waits]
        self.links.handlers[messages.Waits](self.other, messages.Waits(shard, found))

    def fill(self) -> None:
        """Let an answer of some seconds take the only slot."""
        self.policy._times_of("a").event_seconds = 0.05
        self.demand("full", output_tokens=100)
        self.policy.serve()
        assert "full" in self.owner.permits()

    def demand(self, name: str, rank: int = 0, **fields) -> None:
        """Bring a demand that should begin within 0.4 s."""
        found = fakes.demand(name, rank=rank)._replace(
            first_ms=400, remaining_ms=12_000, pause_ms=300
        )
        self.shard.add(found._replace(**fields), self.owner)

    def moved(self) -> dict[str, str]:
        """Return where demands were sent."""
        found = [item for item in self.owner.sent if isinstance(item, messages.Moved)]
        return {item.id: item.target for item in found}


@pytest.fixture(name="time")
def _time():
    with fakes.Time().used() as time:
        yield time


def test_a_demand_goes_where_it_is_in_time(time) -> None:
    """The only slot here is taken for seconds; another shard has free ones.

    Refused here, its caller would wait and come back, and all shards would hold lower
    tiers back meanwhile.
    """
    pool = Pool()
    pool.fill()
    pool.told(THERE, (0, 20.0, 5.0))
    pool.told(BUSY, (0, 150.0, 5.0))
    pool.demand("late")
    pool.policy.serve()
    assert pool.moved() == {"late": THERE}
    assert "late" not in pool.shard.queue


def test_nothing_is_moved_where_it_would_be_late_too(time) -> None:
    pool = Pool()
    pool.fill()
    pool.told(THERE, (0, 900.0, 5.0))
    pool.demand("late")
    pool.policy.serve()
    assert not pool.moved()


def test_a_rank_that_is_held_back_there_is_not_moved_there(time) -> None:
    """A shard tells no wait for ranks that get no slot in it."""
    pool = Pool()
    pool.fill()
    pool.told(THERE, (0, 0.0, 5.0))
    pool.demand("lower", rank=1)
    pool.policy.serve()
    assert not pool.moved()


def test_what_was_moved_there_counts_until_the_next_news(time) -> None:
    """Ten arrive at once; the other shard has room for a few of them in time."""
    pool = Pool()
    pool.fill()
    pool.told(THERE, (0, 100.0, 60.0))
    for number in range(10):
        pool.demand(f"d{number}")
    pool.policy.serve()
    assert 1 <= len(pool.moved()) <= 5


def test_old_news_is_not_trusted(time) -> None:
    """The other shard's keeper was paused: its last word was that it has room."""
    pool = Pool()
    pool.fill()
    pool.told(THERE, (0, 0.0, 0.0))
    time.now += spillover.REPORT_LIFETIME_SECONDS + 0.05
    pool.demand("late")
    pool.policy.serve()
    assert not pool.moved()


def test_a_demand_is_not_passed_round(time) -> None:
    pool = Pool()
    pool.fill()
    pool.told(THERE, (0, 0.0, 0.0))
    pool.demand("tired", moves=spillover.MAX_MOVES)
    pool.policy.serve()
    assert not pool.moved()


def test_keepers_tell_what_demands_wait(time) -> None:
    pool = Pool()
    pool.demand("first")
    pool.policy.serve()
    pool.spillover.report_waits()
    [told] = pool.other.sent
    assert isinstance(told, messages.Waits)
    assert told.shard == HERE
    assert [item.rank for item in told.waits] == [0]
    assert told.waits[0].wait_ms > 0


class Local(fakes.Owner):
    """The keeper role of the instance, which keeps nothing."""

    def on_renewal_query(self, call) -> None:
        """Keep nothing."""

    def keeper_of(self, shard: str) -> str:
        """Return another instance for each shard."""
        return "cq-2" if shard == HERE else "cq-3"


def test_an_owner_asks_where_it_is_sent(time) -> None:
    """The demand is told to the other keeper, with the time that is left.

    A permit that the first keeper gave before that is given back: two permits would
    take two slots.
    """

    async def work() -> None:
        first, second = fakes.Owner("cq-2"), fakes.Owner("cq-3")
        links = fakes.Links()
        members = fakes.Membership("cq-1", [first, second])
        found = demands.Demands(fakes.settings("cq-1"), links, members, Local())
        demand = fakes.demand("d1")._replace(shard=HERE, first_ms=400)
        task = asyncio.create_task(found.obtain(demand, time.now + 5.0))
        await asyncio.sleep(0)
        time.now += 0.1
        found.answer(first, messages.Moved("d1", HERE, THERE))
        [told] = second.sent
        assert (told.shard, told.moves, told.first_ms) == (THERE, 1, 300)
        found.answer(first, messages.Permit("d1", "a", 1000, HERE))
        assert isinstance(first.sent[-1], messages.Withdraw)
        found.answer(second, messages.Permit("d1", "b", 1000, THERE))
        permission = await task
        assert (permission.server, permission.shard) == ("b", THERE)

    asyncio.run(work())
