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

import typing


class _KeptSlot(typing.NamedTuple):
    rank: int
    until: float


class Reservations:
    """The slots that one shard keeps."""

    def __init__(self) -> None:
        self._kept: list[_KeptSlot] = []

    def add(self, rank: int, until: float) -> None:
        """Keep one slot for a rank until a time, in seconds on the daemon's clock."""
        self._kept.append(_KeptSlot(rank, until))

    def use(self, rank: int) -> None:
        """Release one kept slot after a request of a rank got a slot.

        That is the slot kept for the most important rank at or below this one.
        """
        best_slot = min(
            (slot for slot in self._kept if slot.rank >= rank), default=None
        )
        if best_slot is not None:
            self._kept.remove(best_slot)

    def above(self, rank: int, now: float) -> int:
        """Return how many slots are kept for ranks more important than this one."""
        self._kept = [slot for slot in self._kept if slot.until > now]
        return sum(slot.rank < rank for slot in self._kept)
