"""How many callers each instance gets, in a fleet of several sizes and with slow ones.

The load: 8 of 86 instances have 0.717 of a core, the others 0.516. Callers cache an
answer of at most 64 addresses and pick one at random.
"""

import collections
import random

import capacity_fakes as fakes
import pytest

from cassiaquay_daemon.decisions import caller_spread
from cassiaquay_daemon.platform import directory
from cassiaquay_schema import messages

ANSWER_COUNT = 4000


def _spread(
    members: list[messages.Member], placement: str = "capacity"
) -> caller_spread.CallerSpread:
    weigh = caller_spread.spreads.get(placement)
    return caller_spread.CallerSpread(weigh(members), directory.MAX_ADDRESSES)


def _found_shares(spread: caller_spread.CallerSpread) -> dict[str, float]:
    """Return the shares of callers that pick an address of an answer at random."""
    shares: dict[str, float] = collections.defaultdict(float)
    for _ in range(ANSWER_COUNT):
        answer = spread.choose()
        assert len(answer) == len(set(answer)) <= directory.MAX_ADDRESSES
        for address in answer:
            shares[address] += 1.0 / len(answer) / ANSWER_COUNT
    return shares


@pytest.mark.parametrize("small", [3, 27, 78, 292])
def test_callers_are_spread_in_proportion_to_processors(small: int) -> None:
    """Guards against small instances that get as many callers as large ones."""
    random.seed(11)
    members = fakes.fleet(small=small)
    spread = _spread(members)
    found = _found_shares(spread)
    total = sum(member.processor_permille for member in members)
    for member in members:
        wanted = member.processor_permille / total
        assert abs(found[member.http] / wanted - 1.0) < 0.1
        assert abs(spread.shares[member.http] / wanted - 1.0) < 0.01


@pytest.mark.parametrize("count", [1, 3, 9, 64, 86, 300])
def test_answers_of_instances_that_are_alike_are_as_before(count: int) -> None:
    """The setting changes no answer of a fleet of equal instances, whatever its size.

    Before, the answer was the first 64 of all addresses in random order.
    """
    for capacity in ((0, 0), fakes.LARGE):
        members = [fakes.member(number, capacity) for number in range(count)]
        expected = [member.http for member in members]
        random.seed(5)
        random.shuffle(expected)
        random.seed(5)
        assert _spread(members).choose() == expected[:64]


def test_a_slow_instance_loses_its_callers_and_gets_them_back() -> None:
    """Guards against callers sent to an instance whose answers are late."""
    members = fakes.fleet()
    slow = {f"cq-{number}" for number in range(3, 86, 7)}
    shares = _spread(fakes.slowed(members, slow)).shares
    assert len(shares) == 86 - len(slow)
    assert not {f"{name}:80" for name in slow} & shares.keys()
    assert _spread(fakes.slowed(members, set())).shares.keys() == {
        member.http for member in members
    }


@pytest.mark.parametrize("slow_count", [44, 86])
def test_no_slow_instance_is_left_out_when_most_are(slow_count: int) -> None:
    """Guards against the callers of the whole fleet at a few instances, or at none."""
    slow = {f"cq-{number}" for number in range(slow_count)}
    assert len(_spread(fakes.slowed(fakes.fleet(), slow)).shares) == 86


def test_one_large_instance_is_not_the_only_address() -> None:
    """Guards against callers without a second address when that instance ends."""
    sizes = [(1000, 1000)] + [(50, 1000)] * 8
    members = [fakes.member(number, size) for number, size in enumerate(sizes)]
    for _ in range(100):
        answer = _spread(members).choose()
        assert len(answer) >= 3
        assert members[0].http in answer


def test_an_instance_without_stated_capacity_gets_as_much_as_the_smallest() -> None:
    """Guards against an instance of the version before without callers."""
    shares = _spread([*fakes.fleet(), fakes.member(100, (0, 0))]).shares
    assert shares["cq-100:80"] == pytest.approx(shares["cq-50:80"])


def test_even_spread_ignores_capacities_and_slowness() -> None:
    """Without the setting nothing depends on what other instances state."""
    members = fakes.slowed(fakes.fleet(), {"cq-1"})
    for share in _spread(members, "even").shares.values():
        assert share == pytest.approx(1.0 / 86.0)


def test_no_instance_gives_an_empty_answer() -> None:
    """Guards against an error in place of the answer 503."""
    assert _spread([]).choose() == []
