"""Drain rate of a shard's queue, from which waits and Retry-After are estimated."""

import random

from .. import clock

HALF_LIFE_SECONDS = 2.0
# Seconds of saturation after which the measured drain rate is used.
MIN_SATURATED_SECONDS = 0.7
MIN_RETRY_MS = 200
MAX_RETRY_MS = 15_000
JITTER_SHARE = 0.5


class Drain:
    """Work granted per second while the queue was saturated, by rank.

    Time without a queue does not count: the rate of grants is then the arrival rate,
    not the capacity of the engines.
    """

    def __init__(self) -> None:
        self._work: dict[int, float] = {}
        self._seconds = 0.0
        self._updated_at = clock.now()
        self._saturated = False

    def granted(self, rank: int, work: int) -> None:
        """Count a grant, if the queue is saturated."""
        if self._saturated:
            self._work[rank] = self._work.get(rank, 0.0) + work

    def set_saturated(self, saturated: bool) -> None:
        """Set whether the queue is saturated from now on."""
        now = clock.now()
        elapsed = now - self._updated_at
        self._updated_at = now
        if elapsed > 0.0:
            factor = 0.5 ** (elapsed / HALF_LIFE_SECONDS)
            self._seconds *= factor
            for rank in self._work:
                self._work[rank] *= factor
        if self._saturated:
            self._seconds += elapsed
        self._saturated = saturated

    def rate(self, rank: int) -> float | None:
        """Return the work granted per second to a rank and those below it.

        Work of more important ranks does not count. None while the saturated time is
        too short for an estimate.
        """
        if self._seconds < MIN_SATURATED_SECONDS:
            return None
        total = sum(self._work[other] for other in self._work if other >= rank)
        return total / self._seconds

    def wait_seconds(self, rank: int, work_before: int) -> float:
        """Return the estimated wait behind ``work_before``; 0 when unknown."""
        rate = self.rate(rank)
        if rate is None or not work_before:
            return 0.0
        return work_before / max(rate, 1.0)

    def retry_after_ms(self, seconds: float) -> int:
        """Return a Retry-After of at least ``seconds``, in milliseconds."""
        return retry_after_ms(seconds)


def retry_after_ms(seconds: float) -> int:
    """Return a Retry-After of at least ``seconds``, in milliseconds.

    Jitter is added, because callers with the same Retry-After would retry at the same
    moment and be shed again.
    """
    milliseconds = min(max(seconds * 1000.0, MIN_RETRY_MS), MAX_RETRY_MS)
    return int(milliseconds * (1.0 + JITTER_SHARE * random.random()))
