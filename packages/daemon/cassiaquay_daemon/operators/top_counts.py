"""The heaviest few of very many names, counted in bounded memory.

The space-saving algorithm of Metwally, Agrawal and El Abbadi, "Efficient computation
of frequent and top-k elements in data streams" (2005).
"""

OTHER = "other"
# Counters for each name told of: a name with more than 1/n of all counts is never
# missed, so a few times the names told of is enough.
COUNTERS_PER_NAME = 8


class TopCounts:
    """Which names were counted most often.

    Parameters
    ----------
    names : int
        How many names are told of.
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
            least = min(self._counts, key=self._counts.__getitem__)
            self._counts[name] = self._counts.pop(least) + 1
            self._top.discard(least)
        if name in self._top:
            return
        self._enter(name)

    def label(self, name: str) -> str:
        """Return the name when it is one of the heaviest, ``other`` when not."""
        return name if name in self._top else OTHER

    def _enter(self, name: str) -> None:
        if len(self._top) < self._names:
            self._top.add(name)
            return
        lightest = min(self._top, key=self._counts.__getitem__)
        if self._counts[name] > self._counts[lightest]:
            self._top.remove(lightest)
            self._top.add(name)
