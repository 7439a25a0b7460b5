"""Decides whether this instance is slow, from the lag of its own event loop.

Load pattern: 15% of the instances get 6.5 times less of their processors for 4 s, or an
instance starts on a busy machine. Others cannot tell a slow instance from a busy
network, but its own timers fire late.

A move of a keeper's role closes its shard for up to 0.45 s. So slowness must last
before it counts, and it ends only after some seconds without it.
"""

import collections
import typing

LATE_SECONDS = 0.05
# An instance is slow if most checks of the last second were late, or of the last few
# if there were fewer. One to three late checks in a row are a pause of the process and
# the work that has waited meanwhile; pauses have their own handling.
SLOW_SECONDS = 1.0
MIN_CHECKS = 6
SLOW_SHARE = 0.5
# It has recovered when this much time has passed since the last late check, but for
# single ones: a garbage collection or another process delays a check on any machine.
RECOVERY_SECONDS = 3.0
SINGLE_SHARE = 0.2


class _Check(typing.NamedTuple):
    """One check of the event loop: when it ran, and whether it was late."""

    at: float
    is_late: bool


class InstanceLoad:
    """Whether this instance is slow.

    Attributes
    ----------
    is_slow : bool
        Whether its event loop has been late for a while.
    slow_count : int
        Number of times that it became slow.
    """

    def __init__(self) -> None:
        self.is_slow = False
        self.slow_count = 0
        self._last_late_at = 0.0
        self._checks: collections.deque[_Check] = collections.deque()

    def note(self, now: float, lag_seconds: float) -> bool:
        """Note one check of the event loop; return whether ``is_slow`` has changed."""
        check = _Check(now, lag_seconds > LATE_SECONDS)
        self._checks.append(check)
        while (
            len(self._checks) > MIN_CHECKS and self._checks[0].at <= now - SLOW_SECONDS
        ):
            self._checks.popleft()
        late_share = self._late_share()
        if check.is_late and late_share > SINGLE_SHARE:
            self._last_late_at = now
        was_slow = self.is_slow
        if was_slow:
            self.is_slow = now - self._last_late_at < RECOVERY_SECONDS
        else:
            self.is_slow = late_share > SLOW_SHARE
            self.slow_count += self.is_slow
        return self.is_slow != was_slow

    def _late_share(self) -> float:
        if len(self._checks) < MIN_CHECKS:
            return 0.0
        return sum(check.is_late for check in self._checks) / len(self._checks)
