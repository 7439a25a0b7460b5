"""Finds the most frequent of many names in bounded memory.

Implements the space-saving algorithm of Metwally, Agrawal and El Abbadi, "Efficient
computation of frequent and top-k elements in data streams" (2005).
"""

OTHER = "other"
# Counters for each reported name. With n counters, a name with more than 1/n of all
# counts is never missed, so a small multiple of the reported names is enough.
COUNTERS_PER_NAME = 8


class TopCounts:
    """Counts names and tracks the most frequent ones.

    Parameters
    ----------
    names : int
        Number of names reported.
    """

    def __init__(self, names: int):
        self._names = names
        self._limit = names * COUNTERS_PER_NAME
        self._counts: dict[str, int] = {}
        self._top: set[str] = set()

    def add(self, name: str) -> None:
        """Count a name once."""
        if name in self._counts or len(self._counts) < self._limit:
            self._counts[name] = self._counts.get(name, 0) + 1
        else:
            least_counted = min(self._counts, key=self._counts.__getitem__)
            self._counts[name] = self._counts.pop(least_counted) + 1
            self._top.discard(least_counted)
        if name in self._top:
            return
        self._update_top(name)

    def label(self, name: str) -> str:
        """Return the name if it is among the most frequent, otherwise ``other``."""
        return name if name in self._top else OTHER

    def _update_top(self, name: str) -> None:
        if len(self._top) < self._names:
            self._top.add(name)
            return
        lightest = min(self._top, key=self._counts.__getitem__)
        if self._counts[name] > self._counts[lightest]:
            self._top.remove(lightest)
            self._top.add(name)
