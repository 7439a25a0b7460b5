"""How fast a shard's queue drains: who cannot be in time, and Retry-After."""

import random

from .. import clock

HALF_LIFE_SECONDS = 2.0
# Seconds of saturation needed before the measured drain is used.
BELIEF_SECONDS = 0.7
LEAST_RETRY_MS = 200
MOST_RETRY_MS = 15_000
JITTER = 0.5


class Drain:
    """Work granted a second while somebody waited, by rank.

    Time without a queue does not count: there the rate is that of the arrivals and
    says nothing of what the engines could do.
    """

    def __init__(self) -> None:
        self._work: dict[int, float] = {}
        self._seconds = 0.0
        self._since = clock.now()
        self._saturated = False

    def granted(self, rank: int, work: int) -> None:
        """Count a grant."""
        if self._saturated:
            self._work[rank] = self._work.get(rank, 0.0) + work

    def note(self, saturated: bool) -> None:
        """Note whether somebody waits from now on."""
        now = clock.now()
        passed = now - self._since
        self._since = now
        if passed > 0.0:
            factor = 0.5 ** (passed / HALF_LIFE_SECONDS)
            self._seconds *= factor
            for rank in self._work:
                self._work[rank] *= factor
        if self._saturated:
            self._seconds += passed
        self._saturated = saturated

    def rate(self, rank: int) -> float | None:
        """Return work a second that reach a rank and those below it.

        What more important tiers take is not for it. None when not yet known.
        """
        if self._seconds < BELIEF_SECONDS:
            return None
        reached = sum(self._work[other] for other in self._work if other >= rank)
        return reached / self._seconds

    def wait_seconds(self, rank: int, work_before: int) -> float:
        """Return the estimated wait behind ``work_before``; 0 when not known."""
        rate = self.rate(rank)
        if rate is None or not work_before:
            return 0.0
        return work_before / max(rate, 1.0)

    def retry_after_ms(self, seconds: float) -> int:
        """Return when to ask again, at least ``seconds`` from now."""
        return retry_after_ms(seconds)


def retry_after_ms(seconds: float) -> int:
    """Return when to ask again, at least ``seconds`` from now.

    Spread, because callers with the same Retry-After would return together and be shed
    together.
    """
    milliseconds = min(max(seconds * 1000.0, LEAST_RETRY_MS), MOST_RETRY_MS)
    return int(milliseconds * (1.0 + JITTER * random.random()))
