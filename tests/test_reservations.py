"""Slots that are kept for tiers of which a request was shed."""

from cassiaquay_daemon.decisions import reservations


def test_a_slot_is_kept_for_each_request_shed() -> None:
    """Two requests of the top rank are shed, and one of the rank below it.

    The lowest rank must leave three slots alone, the one between them two; nobody
    keeps anything from the top rank.
    """
    found = reservations.Reservations()
    found.add(0, 10.0)
    found.add(0, 10.0)
    found.add(1, 10.0)
    assert [found.above(rank, 9.0) for rank in (0, 1, 2)] == [0, 2, 3]


def test_a_slot_is_kept_until_the_request_would_have_been_late() -> None:
    found = reservations.Reservations()
    found.add(0, 10.0)
    found.add(0, 11.0)
    assert found.above(1, 10.5) == 1
    assert found.above(1, 11.5) == 0


def test_a_short_objective_ends_before_a_longer_one_that_was_shed_first() -> None:
    found = reservations.Reservations()
    found.add(0, 20.0)
    found.add(0, 10.0)
    assert found.above(1, 15.0) == 1
    found.use(0)
    assert found.above(1, 15.0) == 0


def test_one_of_the_tier_that_gets_a_slot_uses_what_was_kept() -> None:
    """The next request of the shed tier got the slot that came free.

    Kept on, it would refuse a lower tier for a request that was made good.
    """
    found = reservations.Reservations()
    found.add(1, 10.0)
    found.use(2)
    assert found.above(2, 9.0) == 1
    found.use(0)
    assert found.above(2, 9.0) == 0
    found.use(0)
    assert found.above(2, 9.0) == 0
