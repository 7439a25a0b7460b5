"""Decides which instances' addresses callers get, and how often each.

Load pattern: 8 of 86 instances have 0.717 of a core, the others 0.516, and callers that
are spread evenly overload the small ones while the large ones have room. Another time
15% of the instances are slow for 4 s, and each request that they accept is late.

Callers cache an answer for some seconds and pick one of its addresses at random. So an
instance's expected share of callers is the probability with which answers list it.
"""

import collections.abc
import operator
import random

from cassiaquay_schema import messages, registry

from . import capacities, keeper_placement

# Instances that reach all servers are listed alone if they are at least this share of
# all. With a smaller share, the callers of all instances would overload a few.
MIN_LISTED_SHARE = 0.25
# The same for instances that are not slow: a slow one still serves.
MIN_FAST_SHARE = 0.5
# Callers need other addresses to turn to when one of them is gone.
MIN_LISTED = 4

Members = collections.abc.Sequence[messages.Member]
Weigh = collections.abc.Callable[[Members], dict[str, float]]
# The fields that weights depend on. Others, like the load, change all the time.
relevant_fields = operator.attrgetter(
    "http", "lost_services", "processor_permille", "slow"
)
# By the same names as the placements of keepers.
spreads: registry.Registry[Weigh] = registry.Registry("placement")


@spreads.register(keeper_placement.EVEN)
def weigh_evenly(serving: Members) -> dict[str, float]:
    """Return equal weights, by the instances' addresses for callers."""
    return {member.http: 1.0 for member in _usable(serving)}


@spreads.register(keeper_placement.CAPACITY)
def weigh_by_processor(serving: Members) -> dict[str, float]:
    """Return the processor shares of the instances that are not slow, by address."""
    usable = _usable(serving)
    fast = [member for member in usable if not member.slow]
    if len(fast) >= len(usable) * MIN_FAST_SHARE:
        usable = fast
    known = capacities.of(usable)
    weights = {}
    for member in usable:
        weights[member.http] = float(known[member.instance].processor_permille)
    return weights


class CallerSpread:
    """Chooses the addresses of each answer.

    Parameters
    ----------
    weights : dict of str to float
        Weights of the addresses.
    max_listed : int
        Maximum number of addresses of an answer.
    """

    def __init__(self, weights: dict[str, float], max_listed: int):
        self._addresses = list(weights)
        self._max_listed = max_listed
        self._is_even = len(set(weights.values())) <= 1
        self._probabilities = _probabilities(weights, max_listed)

    @property
    def shares(self) -> dict[str, float]:
        """Expected share of all callers by address."""
        total = sum(self._probabilities.values())
        return {name: p / total for name, p in self._probabilities.items()}

    def choose(self) -> list[str]:
        """Return the addresses of one answer, in random order."""
        addresses = self._addresses.copy()
        random.shuffle(addresses)
        if self._is_even:
            return addresses[: self._max_listed]
        # Systematic sampling: each address has exactly its probability, and all answers
        # have the same length, so that lists of few addresses do not favour any.
        chosen: list[str] = []
        threshold = random.random()
        total = 0.0
        for address in addresses:
            total += self._probabilities[address]
            if total > threshold:
                chosen.append(address)
                threshold += 1.0
        return chosen[: self._max_listed]


def _usable(serving: Members) -> Members:
    """Return the instances that callers should use.

    Instances that do not reach the servers of a service serve its requests through
    others. Callers do better without that detour while enough instances are left.
    """
    reachable = [member for member in serving if member.http]
    whole = [member for member in reachable if not member.lost_services]
    if len(whole) < len(reachable) * MIN_LISTED_SHARE:
        return reachable
    return whole


def _probabilities(weights: dict[str, float], max_listed: int) -> dict[str, float]:
    """Return the probability with which an answer lists each address."""
    if not weights:
        return {}
    length = int(sum(weights.values()) / max(weights.values()))
    length = min(max(length, min(MIN_LISTED, len(weights))), max_listed)
    probabilities: dict[str, float] = {}
    # No probability exceeds 1; what the heaviest cannot take goes to the others.
    left = float(length)
    left_weight = sum(weights.values())
    for address in sorted(weights, key=weights.__getitem__, reverse=True):
        probability = min(left * weights[address] / left_weight, 1.0)
        probabilities[address] = probability
        left -= probability
        left_weight -= weights[address]
    return probabilities
