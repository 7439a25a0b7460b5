"""How many requests of each tier arrive in a second, of late."""

import collections

from .. import clock

HALF_LIFE_SECONDS = 1.5


class Arrivals:
    """Moving rates by rank."""

    def __init__(self) -> None:
        self._counts: collections.Counter[int] = collections.Counter()
        self._weights: dict[int, float] = {}
        self._at = clock.now()

    def add(self, rank: int) -> None:
        """Count an arrival."""
        self._decay()
        self._weights[rank] = self._weights.get(rank, 0.0) + 1.0

    def rate_above(self, rank: int) -> float:
        """Return the arrivals a second of the tiers more important than a rank."""
        self._decay()
        total = sum(self._weights[other] for other in self._weights if other < rank)
        # The sum of decaying weights is the rate times their mean life.
        return total * 0.693 / HALF_LIFE_SECONDS

    def _decay(self) -> None:
        now = clock.now()
        factor = 0.5 ** (max(now - self._at, 0.0) / HALF_LIFE_SECONDS)
        self._at = now
        for rank in self._weights:
            self._weights[rank] *= factor
