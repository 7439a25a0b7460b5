"""Servers that have asked this instance to send them nothing for some time.

Load pattern: a server turns requests of some instances, or of all, away with 503 and
Retry-After. Its slots look free to the keeper, so it would be chosen for the next
request of the same instance, which costs a try out of the retry budget.

The time concerns the instance that was answered only: the server may still take
requests from the others, so it is neither shared nor counted as a failure.
"""

import random

from .. import clock

# Bounds the effect of a wrong value: the server is asked again after this long.
MAX_SECONDS = 600.0
# Instances that were turned away together do not come back in the same moment.
JITTER = 0.1


class Backoffs:
    """Until when each server wants no request from this instance."""

    def __init__(self) -> None:
        self._until: dict[str, float] = {}

    def add(self, server: str, seconds: float) -> None:
        """Record a server's Retry-After; a later end that it named before stays."""
        seconds = min(seconds, MAX_SECONDS) * random.uniform(1.0, 1.0 + JITTER)
        until = max(self._until.get(server, 0.0), clock.now() + seconds)
        self._until[server] = until

    def seconds_left(self, server: str) -> float:
        """Return for how long a server wants no request; 0 if it takes requests."""
        until = self._until.get(server)
        if until is None:
            return 0.0
        left = until - clock.now()
        if left <= 0.0:
            del self._until[server]
        return max(left, 0.0)

    def servers(self) -> list[str]:
        """Return the names of all servers that want no request now."""
        return [name for name in list(self._until) if self.seconds_left(name) > 0.0]
