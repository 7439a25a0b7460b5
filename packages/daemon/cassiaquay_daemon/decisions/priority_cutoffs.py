"""Ranks that are held back because a more important one is being shed."""

from .. import clock

NO_FLOOR = (-1, 0)


class PriorityCutoffs:
    """The ranks that a shard holds back, for its own sheds and for its siblings'.

    The floor is the most important rank that this shard itself is shedding.
    """

    def __init__(self) -> None:
        self._floor = -1
        self._floor_until = float("-inf")
        self._floor_retry_ms = 0
        self._held_until: dict[int, float] = {}

    @property
    def floor(self) -> tuple[int, int]:
        """The rank from which on this shard sheds, and the Retry-After in ms."""
        if clock.now() < self._floor_until:
            return self._floor, self._floor_retry_ms
        return NO_FLOOR

    def hold_back(self, rank: int, until: float) -> None:
        """Hold back all ranks below ``rank``, which another shard of the pool sheds."""
        for expired_rank in [
            held_rank
            for held_rank in self._held_until
            if self._held_until[held_rank] < clock.now()
        ]:
            del self._held_until[expired_rank]
        self._held_until[rank] = max(until, self._held_until.get(rank, until))

    def raise_floor(self, rank: int, until: float, retry_after_ms: int) -> None:
        """Record that this shard sheds a rank, and therefore all ranks below it."""
        now = clock.now()
        if now >= self._floor_until or rank < self._floor:
            self._floor = rank
        self._floor_until = until
        self._floor_retry_ms = retry_after_ms

    def is_held_back(self, rank: int) -> bool:
        """Return whether a more important rank was shed a moment ago."""
        if rank > self._floor and clock.now() < self._floor_until:
            return True
        return self.is_held_back_by_others(rank)

    def is_held_back_by_others(self, rank: int) -> bool:
        """Return whether another shard of the pool sheds a more important rank."""
        now = clock.now()
        return any(
            rank > floor and now < self._held_until[floor] for floor in self._held_until
        )
