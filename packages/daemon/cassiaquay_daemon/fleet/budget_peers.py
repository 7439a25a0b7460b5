"""Counts the instances that may be spending from a fleet-wide budget.

An instance that cannot be reached may still run on the other side of a partition and
spend its share there, so it is counted for a while after it was last seen.
"""

from .. import clock

# Partitions by failed machines and switches end within this time; counting lost
# instances for longer would keep budgets too small after a permanent loss.
RETENTION_SECONDS = 60.0


class BudgetPeers:
    """Tracks the highest recent number of known instances."""

    def __init__(self) -> None:
        self._highest = 1
        self._highest_at = clock.now()

    def count(self, known: int) -> int:
        """Return the number of instances to divide by; ``known`` are known now."""
        now = clock.now()
        if known >= self._highest or now - self._highest_at > RETENTION_SECONDS:
            self._highest = max(known, 1)
            self._highest_at = now
        return self._highest
