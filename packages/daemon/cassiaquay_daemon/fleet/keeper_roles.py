"""The keeper of each shard and each limit, in this instance's view of the fleet."""

import typing

from cassiaquay_schema import messages
from cassiaquay_schema import settings as settings_schema

from .. import logs, rendezvous
from ..decisions import keeper_placement

# Keys of limits have a blank after their kind, as in `quota blue`; no shard has one.
LIMIT_MARK = " "


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
            is_limit = LIMIT_MARK in key
            names = self.placement.limits if is_limit else self.placement.shards
            self._keepers[key] = rendezvous.first(key, names or [self._instance])
        return self._keepers[key]
