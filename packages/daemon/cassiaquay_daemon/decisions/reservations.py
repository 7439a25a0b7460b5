"""Slots that are kept for a tier of which a request was shed.

Load pattern: a burst fills all slots, and requests of a higher tier are shed because no
slot comes free in time. A slot that comes free sooner than reckoned belongs to that
tier: given to a lower one, the lower is served in place of the higher that was refused.

One slot is kept for each request shed, not all of them: in a pool of hundreds of slots
some request is shed in every moment of a burst, and slots that stand empty for it
refuse many others. It is kept until the shed request would have been late, or until one
of its tier or above gets a slot.
"""

import typing


class _Kept(typing.NamedTuple):
    rank: int
    until: float


class Reservations:
    """What one shard keeps."""

    def __init__(self) -> None:
        self._kept: list[_Kept] = []

    def add(self, rank: int, until: float) -> None:
        """Keep one slot for a rank until a time; seconds on the daemon's clock."""
        self._kept.append(_Kept(rank, until))

    def use(self, rank: int) -> None:
        """Take in that a request of a rank got a slot.

        It was kept for that rank, or for a lower one that is next to be served.
        """
        found = min((kept for kept in self._kept if kept.rank >= rank), default=None)
        if found is not None:
            self._kept.remove(found)

    def above(self, rank: int, now: float) -> int:
        """Return how many slots are kept for ranks more important than this one."""
        self._kept = [kept for kept in self._kept if kept.until > now]
        return sum(kept.rank < rank for kept in self._kept)
