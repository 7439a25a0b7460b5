"""Tiers that get no slot because a more important one is being shed."""

from .. import clock

ALL_PASS = (-1, 0)


class PriorityCutoffs:
    """What a shard holds back, for its own sheds and for those of its pool's others."""

    def __init__(self) -> None:
        self._floor = -1
        self._floor_until = float("-inf")
        self._floor_retry_ms = 0
        self._held: dict[int, float] = {}

    @property
    def floor(self) -> tuple[int, int]:
        """The rank from which on requests are shed here, and when to ask again."""
        if clock.now() < self._floor_until:
            return self._floor, self._floor_retry_ms
        return ALL_PASS

    def hold_back(self, rank: int, until: float) -> None:
        """Hold back all ranks below one that another shard of the pool sheds."""
        for other in [held for held in self._held if self._held[held] < clock.now()]:
            del self._held[other]
        self._held[rank] = max(until, self._held.get(rank, until))

    def raise_floor(self, rank: int, until: float, retry_after_ms: int) -> None:
        """Note that a rank, and so all below it, is being shed."""
        now = clock.now()
        if now >= self._floor_until or rank < self._floor:
            self._floor = rank
        self._floor_until = until
        self._floor_retry_ms = retry_after_ms

    def holds(self, rank: int) -> bool:
        """Tell whether a more important rank was shed a moment ago."""
        if rank > self._floor and clock.now() < self._floor_until:
            return True
        return self.holds_for_others(rank)

    def holds_for_others(self, rank: int) -> bool:
        """Tell whether another shard of the pool sheds a more important rank."""
        now = clock.now()
        return any(rank > floor and now < self._held[floor] for floor in self._held)
