"""A token bucket whose room can be taken ahead.

Load pattern: a team floods the fleet, and instances die or part while it does. A window
that is full counts as such only where it is remembered: an instance that has just
started would have to take the whole window before for spent, and give nothing for as
long, or let the team spend the bound twice. A bucket that starts empty is safe at once:
what was spent before and what it fills up with are never more than one bucket's depth
and its rate over any window.

Where there will be room soon, a request gets a reservation: it waits for some
hundredths of a second instead of coming back seconds later, and each has a moment of
its own, so that those who wait do not all try at once.
"""

import math
import typing

from .. import clock

NEVER = math.inf


class Flow(typing.NamedTuple):
    """What may be spent: `depth` at once and `rate` a second besides."""

    rate: float
    depth: float

    def scaled(self, share: float) -> "Flow":
        """Return a share of it; shares that add up to one give the whole."""
        return Flow(self.rate * share, self.depth * share)


class Bucket:
    """What is left of a flow; less than nothing where room was taken ahead.

    Parameters
    ----------
    empty_at : float
        Until when it may have been spent, by whom is not known: seconds on this clock,
        minus infinity where nothing can have been.
    """

    def __init__(self, empty_at: float):
        self._level = 0.0
        self._at = empty_at

    def reserve(self, amount: float, flow: Flow, patience: float) -> float:
        """Spend an amount as soon as it is there; return the seconds until then.

        Nothing is spent when that is longer than ``patience``; infinity says that it
        never fits.
        """
        if amount > flow.depth or not flow.rate:
            return NEVER
        self._fill(flow)
        wait = max((amount - self._level) / flow.rate, 0.0)
        if wait <= patience:
            self._level -= amount
        return wait

    def level(self, flow: Flow) -> float:
        """Return what may be spent at once."""
        self._fill(flow)
        return self._level

    def spend(self, amount: float, flow: Flow) -> None:
        """Spend an amount, whether it is there or not."""
        self._fill(flow)
        self._level -= amount

    def refund(self, amount: float) -> None:
        """Take back what was spent for something that never ran."""
        self._level += amount

    def _fill(self, flow: Flow) -> None:
        now = clock.now()
        filled = self._level + flow.rate * (now - self._at)
        self._level = min(filled, flow.depth)
        self._at = now
