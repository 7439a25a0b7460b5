"""Slots that are kept for a tier after one of its requests was shed."""

from cassiaquay_daemon.decisions import reservations


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
