"""How many instances may be spending from a budget of the whole fleet.

Instances that fell silent may be alive on the other side of a partition and spend their
part there. They count for a while after they were heard last.
"""

from .. import clock

# Partitions of machines and switches end within this; counting the gone for longer
# would keep budgets small after a real loss.
RETENTION_S = 60.0


class BudgetPeers:
    """The most instances known of late."""

    def __init__(self) -> None:
        self._most = 1
        self._seen_at = clock.now()

    def count(self, known: int) -> int:
        """Return the count, given how many are known now."""
        now = clock.now()
        if known >= self._most or now - self._seen_at > RETENTION_S:
            self._most = max(known, 1)
            self._seen_at = now
        return self._most
