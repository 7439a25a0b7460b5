"""Hands a shard over when its keeper role moves from this live instance to another.

Load pattern: the keeper becomes slow while hundreds of demands wait in its queue. Their
owners repeat them every renewal period, and learn of the new keeper by gossip, which
takes longer in a large fleet. Redirected at once, they lose only a round trip.
"""

import collections
import collections.abc

from cassiaquay_schema import messages
from cassiaquay_schema import settings as settings_schema

from .. import logs
from ..decisions import keeper_placement, shards
from ..fleet import members

# Causes of a hand-over: this instance is slow, or the possible keepers have changed.
SLOW = "slow"
PLACEMENT = "placement"


class HandOvers:
    """Tracks the shards kept here, and redirects their owners when a role moves.

    Parameters
    ----------
    settings : Settings
        How keepers are placed; without placement by capacity, this does nothing.
    membership : Membership
        Whether this instance is slow.

    Attributes
    ----------
    counts : Counter of str
        Number of shards handed over, by cause.
    """

    def __init__(
        self, settings: settings_schema.Settings, membership: members.Membership
    ):
        self.counts: collections.Counter[str] = collections.Counter()
        self._settings = settings
        self._membership = membership
        self._kept: set[str] = set()

    @property
    def _is_enabled(self) -> bool:
        return self._settings.membership.placement == keeper_placement.CAPACITY

    def update(
        self,
        known: collections.abc.Iterable[shards.Shard],
        keeper_of: collections.abc.Callable[[str], str],
    ) -> list[shards.Shard]:
        """Hand over shards that another instance keeps now; return those gained.

        The state of a shard that was kept here before is as old as the hand-over: its
        servers look idle. The caller must close it until owners have reported.
        """
        gained: list[shards.Shard] = []
        if not self._is_enabled:
            return gained
        for shard in known:
            keeper = keeper_of(shard.name)
            if keeper == self._settings.instance:
                if shard.name not in self._kept:
                    gained.append(shard)
                self._kept.add(shard.name)
                continue
            if shard.name in self._kept:
                self._kept.remove(shard.name)
                self._hand_over(shard, keeper)
        return gained

    def _hand_over(self, shard: shards.Shard, keeper: str) -> None:
        cause = SLOW if self._membership.instance_load.is_slow else PLACEMENT
        self.counts[cause] += 1
        waiting = list(shard.queue.values())
        logs.event(
            "keeper_handed_over",
            shard=shard.name,
            keeper=keeper,
            cause=cause,
            waiting=len(waiting),
        )
        shard.drop_queue()
        for item in waiting:
            item.replier.send(messages.NotKeeper(item.demand.id, keeper))
