"""Sums over a sliding window of time."""

import collections
import collections.abc

from .. import clock


class Window:
    """Amounts of the last ``seconds`` and their sum."""

    def __init__(self, seconds: float):
        self._seconds = seconds
        self._amounts: collections.deque[tuple[float, float]] = collections.deque()
        self._sum = 0.0

    def add(self, amount: float) -> None:
        """Add an amount at the current time."""
        self._amounts.append((clock.now(), amount))
        self._sum += amount

    def take_back(self) -> None:
        """Remove the last amount."""
        if self._amounts:
            self._sum -= self._amounts.pop()[1]

    def sum(self) -> float:
        """Return the sum over the window that ends now."""
        horizon = clock.now() - self._seconds
        while self._amounts and self._amounts[0][0] < horizon:
            self._sum -= self._amounts.popleft()[1]
        return self._sum


def window_of(
    windows: collections.abc.MutableMapping[str, Window], key: str, seconds: float
) -> Window:
    """Return the window of a key; create it when there is none."""
    window = windows.get(key)
    if window is None:
        window = windows[key] = Window(seconds)
    return window
