"""The other shards of a pool, and messages to their keepers."""

import collections.abc

from cassiaquay_schema import messages

from ..configured import snapshots
from ..fleet import members


class Siblings:
    """Finds the shards that share a pool with a given one, and their keepers.

    Parameters
    ----------
    instance : str
        Name of this instance.
    membership : Membership
        Links to live instances.
    keeper_of : callable
        Returns the instance that should be the keeper of a shard.
    current : callable
        Returns the snapshot in force, or None.
    """

    def __init__(
        self,
        instance: str,
        membership: members.Membership,
        keeper_of: collections.abc.Callable[[str], str],
        current: collections.abc.Callable[[], snapshots.Snapshot | None],
    ):
        self.keeper_of = keeper_of
        self._instance = instance
        self._membership = membership
        self._current = current

    def of(self, shard: str) -> list[str]:
        """Return the other shards of a shard's pool."""
        snapshot = self._current()
        return snapshot.siblings(shard) if snapshot is not None else []

    def send(self, keeper: str, message: messages.Message) -> bool:
        """Send a message to a keeper; False when this instance is the keeper."""
        if keeper == self._instance:
            return False
        link = self._membership.link(keeper)
        if link is not None:
            link.send(message)
        return True
