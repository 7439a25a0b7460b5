"""Instances that no heartbeat arrives from any more, and that are redialled in turn.

After a partition both sides have forgotten each other, and neither would dial.
"""

import collections.abc
import typing

from .. import clock

# Partitions of regions last up to an hour; unlisted instances are redialled for two.
RETENTION_SECONDS = 7200.0


class _LostMember(typing.NamedTuple):
    """Address of a suspected or forgotten instance, and when it was last suspected."""

    address: str
    since: float


class LostMembers:
    """The lost instances by name."""

    def __init__(self) -> None:
        self._lost: dict[str, _LostMember] = {}

    def __contains__(self, instance: str) -> bool:
        return instance in self._lost

    def add(self, instance: str, address: str) -> None:
        """Add a suspected instance, or note that it is still suspected."""
        self._lost[instance] = _LostMember(address, clock.now())

    def remove(self, instance: str) -> None:
        """Remove an instance that is alive."""
        self._lost.pop(instance, None)

    def expire(self, listed: collections.abc.Container[str]) -> None:
        """Forget those lost for long, unless the platform still lists them."""
        horizon = clock.now() - RETENTION_SECONDS
        for name, lost in list(self._lost.items()):
            if lost.since < horizon and name not in listed:
                del self._lost[name]

    def turn(self, number: int) -> list[tuple[str, str]]:
        """Return name and address of the one to redial in a round; empty for none."""
        if not self._lost:
            return []
        names = sorted(self._lost)
        name = names[number % len(names)]
        return [(name, self._lost[name].address)]
