"""Slots that are kept for a tier after one of its requests was shed.

Load pattern: a burst fills all slots, and requests of a higher tier are shed because no
slot is expected to become free in time. If a slot becomes free sooner than expected, it
is kept for that tier: otherwise a lower tier would be served in place of the refused
higher one.

One slot is kept for each shed request, not all slots: in a pool of hundreds of slots
some request is shed at every moment of a burst, and keeping all slots empty for it
would refuse many others. The slot is kept until the shed request would have been late,
or until a request of its tier or above gets a slot.
"""

import heapq


class Reservations:
    """The slots that one shard keeps."""

    def __init__(self) -> None:
        # Ends of the kept slots by rank, each list a heap: under overload hundreds are
        # kept, and their number is asked for several times in each pass.
        self._kept: dict[int, list[float]] = {}

    def add(self, rank: int, until: float) -> None:
        """Keep one slot for a rank until a time, in seconds on the daemon's clock."""
        heapq.heappush(self._kept.setdefault(rank, []), until)

    def use(self, rank: int) -> None:
        """Release one kept slot after a request of a rank got a slot.

        That is the slot kept for the most important rank at or below this one.
        """
        ranks = [kept for kept, ends in self._kept.items() if kept >= rank and ends]
        if ranks:
            heapq.heappop(self._kept[min(ranks)])

    def above(self, rank: int, now: float) -> int:
        """Return how many slots are kept for ranks more important than this one."""
        count = 0
        for kept, ends in self._kept.items():
            while ends and ends[0] <= now:
                heapq.heappop(ends)
            if kept < rank:
                count += len(ends)
        return count
