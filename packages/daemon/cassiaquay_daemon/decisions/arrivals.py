"""Recent arrival rates of requests, by rank of their tier."""

import collections

from .. import clock

HALF_LIFE_SECONDS = 1.5


class Arrivals:
    """Exponentially decaying arrival counts by rank."""

    def __init__(self) -> None:
        self._counts: collections.Counter[int] = collections.Counter()
        self._weights: dict[int, float] = {}
        self._decayed_at = clock.now()

    def add(self, rank: int) -> None:
        """Count an arrival."""
        self._decay()
        self._weights[rank] = self._weights.get(rank, 0.0) + 1.0

    def rate_above(self, rank: int) -> float:
        """Return the arrivals per second of all ranks more important than ``rank``."""
        self._decay()
        total = sum(self._weights[other] for other in self._weights if other < rank)
        # The sum of the weights is the rate times their mean life, half-life / ln 2.
        return total * 0.693 / HALF_LIFE_SECONDS

    def _decay(self) -> None:
        now = clock.now()
        factor = 0.5 ** (max(now - self._decayed_at, 0.0) / HALF_LIFE_SECONDS)
        self._decayed_at = now
        for rank in self._weights:
            self._weights[rank] *= factor
