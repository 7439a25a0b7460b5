"""The keeper of each shard and each limit, in this instance's view of the fleet."""

import typing

from cassiaquay_schema import messages
from cassiaquay_schema import settings as settings_schema

from .. import logs, rendezvous
from ..decisions import keeper_placement

# Keys of limits have a blank after their kind, as in `quota blue`; no shard has one.
LIMIT_MARK = " "
# The name of a shard is that of its pool, this mark and its number.
SHARD_MARK = "#"
MAX_SEPARATED_SHARE = 0.5


class KeeperRoles:
    """Assigns shards and limits to instances by rendezvous hashing.

    Parameters
    ----------
    settings : Settings
        Name of this instance, and how keepers are placed.

    Attributes
    ----------
    placement : Placement
        The instances that may be keepers.
    """

    def __init__(self, settings: settings_schema.Settings):
        self._instance = settings.instance
        self._place = keeper_placement.placements.get(settings.membership.placement)
        self.placement = self._place([])
        self._seen: list[messages.Member] | None = None
        self._seen_fields: list[typing.Any] = []
        self._keepers: dict[str, str] = {}

    def update(self, serving: list[messages.Member]) -> None:
        """Choose among the serving members, whose list is replaced by each change."""
        if serving is self._seen:
            return
        self._seen = serving
        fields = list(map(keeper_placement.relevant_fields, serving))
        if fields == self._seen_fields:
            return
        self._seen_fields = fields
        placement = self._place(serving)
        if placement == self.placement:
            return
        if placement.level != self.placement.level:
            logs.event(
                "keepers_placed", among=placement.level, count=len(placement.shards)
            )
        self.placement = placement
        self._keepers.clear()

    def keeper_of(self, key: str) -> str:
        """Return the instance that should be the keeper of a shard or a limit."""
        if key not in self._keepers:
            self._keepers[key] = self._choose(key)
        return self._keepers[key]

    def _choose(self, key: str) -> str:
        placement = self.placement
        if LIMIT_MARK in key:
            return rendezvous.first(key, placement.limits or [self._instance])
        names = set(placement.shards) or {self._instance}
        pool, _, number = key.rpartition(SHARD_MARK)
        is_class = placement.shards != placement.limits and number.isdecimal()
        # The best class is small: by hashing alone, two of four shards of a pool would
        # mostly be at one of eight instances and share its processor. Only as many
        # shards as half of the class are kept apart. With more, an instance that drops
        # out would move many shards of others.
        if is_class and int(number) < len(names) * MAX_SEPARATED_SHARE:
            for earlier in range(int(number)):
                names.remove(self.keeper_of(f"{pool}{SHARD_MARK}{earlier}"))
        return rendezvous.first(key, names)
