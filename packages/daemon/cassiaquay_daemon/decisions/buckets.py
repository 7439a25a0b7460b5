"""A token bucket whose future tokens can be reserved.

Load pattern: a team floods the fleet while instances crash or are cut off by a
partition. With a sliding window, an instance that has just started has lost the record
of what was spent: it would have to count the whole previous window as spent and admit
nothing for that long, or let the team spend the limit twice. A bucket that starts empty
is safe at once: what was spent before the start plus what the bucket admits after it
never exceeds the depth plus the rate times the length of any window.

When tokens will be available soon, a request gets a reservation: it waits for some
hundredths of a second instead of retrying seconds later. Each reservation has its own
time, so that waiting requests do not all proceed at once.
"""

import math
import typing

from .. import clock

NEVER = math.inf


class Flow(typing.NamedTuple):
    """A limit: `depth` tokens at once and `rate` tokens per second on top."""

    rate: float
    depth: float

    def scaled(self, share: float) -> "Flow":
        """Return a share of the limit; shares that sum to one give the whole limit."""
        return Flow(self.rate * share, self.depth * share)


class Bucket:
    """The unspent tokens of a flow; negative while future tokens are reserved.

    Parameters
    ----------
    empty_at : float
        Time at which the bucket counts as empty, in seconds on this clock: the last
        time at which another process may have spent from it; minus infinity when none
        can have.
    """

    def __init__(self, empty_at: float):
        self._level = 0.0
        self._filled_at = empty_at

    def reserve(self, amount: float, flow: Flow, max_wait_seconds: float) -> float:
        """Reserve an amount; return the seconds until it is available.

        Nothing is spent when that is longer than ``max_wait_seconds``. Infinity means
        that the amount exceeds the depth and can never be available.
        """
        if amount > flow.depth or not flow.rate:
            return NEVER
        self._fill(flow)
        wait = max((amount - self._level) / flow.rate, 0.0)
        if wait <= max_wait_seconds:
            self._level -= amount
        return wait

    def level(self, flow: Flow) -> float:
        """Return the amount that is available now."""
        self._fill(flow)
        return self._level

    def spend(self, amount: float, flow: Flow) -> None:
        """Spend an amount, whether it is available or not."""
        self._fill(flow)
        self._level -= amount

    def refund(self, amount: float) -> None:
        """Return the amount of a request that was charged but never ran."""
        self._level += amount

    def _fill(self, flow: Flow) -> None:
        now = clock.now()
        filled = self._level + flow.rate * (now - self._filled_at)
        self._level = min(filled, flow.depth)
        self._filled_at = now
