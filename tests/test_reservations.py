"""Slots that are kept for a tier after one of its requests was shed."""

import hypothesis
from hypothesis import strategies

from cassiaquay_daemon.decisions import reservations

_RANKS = strategies.integers(0, 3)
_TIMES = strategies.integers(0, 12)
_CALLS = strategies.one_of(
    strategies.tuples(strategies.just("add"), _RANKS, _TIMES),
    strategies.tuples(strategies.just("use"), _RANKS, _TIMES),
    strategies.tuples(strategies.just("above"), _RANKS, _TIMES),
)


class _ListedSlots:
    """The same slots as one list of rank and end, which each call scans."""

    def __init__(self) -> None:
        self._kept: list[tuple[int, float]] = []

    def add(self, rank: int, until: float) -> None:
        """Add a slot."""
        self._kept.append((rank, until))

    def use(self, rank: int) -> None:
        """Remove the first slot of this rank or a lower one."""
        usable = [slot for slot in self._kept if slot[0] >= rank]
        if usable:
            self._kept.remove(min(usable))

    def above(self, rank: int, now: float) -> int:
        """Remove the slots whose time is over, and count the others."""
        self._kept = [slot for slot in self._kept if slot[1] > now]
        return sum(slot[0] < rank for slot in self._kept)


def test_one_slot_is_kept_for_each_shed_request() -> None:
    """Two requests of the top rank are shed, and one of the rank below it.

    Three slots are kept from the lowest rank, two from the middle rank and none from
    the top rank.
    """
    reserved = reservations.Reservations()
    reserved.add(0, 10.0)
    reserved.add(0, 10.0)
    reserved.add(1, 10.0)
    assert [reserved.above(rank, 9.0) for rank in (0, 1, 2)] == [0, 2, 3]


def test_slot_is_kept_until_the_shed_request_would_be_late() -> None:
    reserved = reservations.Reservations()
    reserved.add(0, 10.0)
    reserved.add(0, 11.0)
    assert reserved.above(1, 10.5) == 1
    assert reserved.above(1, 11.5) == 0


def test_slots_expire_by_objective_not_in_order_of_sheds() -> None:
    reserved = reservations.Reservations()
    reserved.add(0, 20.0)
    reserved.add(0, 10.0)
    assert reserved.above(1, 15.0) == 1
    reserved.use(0)
    assert reserved.above(1, 15.0) == 0


def test_grant_of_the_same_or_a_higher_tier_releases_a_kept_slot() -> None:
    """Guards against a kept slot that outlasts its use by the shed tier.

    The next request of that tier has got a slot; keeping another one would refuse a
    lower tier without a reason.
    """
    reserved = reservations.Reservations()
    reserved.add(1, 10.0)
    reserved.use(2)
    assert reserved.above(2, 9.0) == 1
    reserved.use(0)
    assert reserved.above(2, 9.0) == 0
    reserved.use(0)
    assert reserved.above(2, 9.0) == 0


@hypothesis.given(strategies.lists(_CALLS, max_size=40))
def test_kept_slots_are_those_of_a_plain_list(calls) -> None:
    """Guards against heaps by rank that keep, release or expire another slot."""
    reserved, listed = reservations.Reservations(), _ListedSlots()
    for name, rank, number in calls:
        if name == "use":
            reserved.use(rank)
            listed.use(rank)
            continue
        expected = getattr(listed, name)(rank, float(number))
        assert getattr(reserved, name)(rank, float(number)) == expected
