"""Spill-over, which moves demands between the shards of a pool to meet deadlines.

Load pattern: a pool of many servers has several shards, each with its own keeper, and
requests are distributed over them by prompt. At any moment one shard has slower
servers, longer prompts or busier sessions than the others. Without spill-over it would
shed requests, and make all shards hold lower tiers back, while others have free slots.

Keepers report to each other how long a new demand of each rank would wait. A demand
that would miss its deadline in its shard moves to the shard with the shortest wait, if
it meets the deadline there. Otherwise it is shed, as in a pool of one shard.
"""

import typing

from cassiaquay_schema import messages

from .. import clock
from ..decisions import shards
from ..links import peers
from . import siblings

# Waits are reported at each tick of the keeper, every 0.1 s; the sender adds the
# demands that it has moved since. After three ticks without a report no demand is moved
# to the shard: its keeper may be paused or partitioned.
REPORT_LIFETIME_SECONDS = 0.3
# Least gain for a move: covers the transfer and the error of the estimate.
GAIN_SECONDS = 0.03
# Keeps full shards from moving a demand among themselves again and again.
MAX_MOVES = 2


class KeeperRole(typing.Protocol):
    """The part of the keeper that spill-over uses."""

    shards: dict[str, shards.Shard]

    def keeps(self, shard: str) -> bool:
        """Return whether this instance should be the keeper of a shard."""


class _Report:
    """Waits that another shard has reported, and the demands moved there since."""

    def __init__(self, waits: list[messages.RankWait]):
        self.at = clock.now()
        self._waits = {item.rank: item for item in waits}
        self._moved_count = 0

    def wait(self, rank: int) -> float:
        """Return how many seconds one more demand of a rank would wait."""
        item = self._waits.get(rank)
        if item is None:
            return float("inf")
        return (item.wait_ms + item.step_ms * self._moved_count) / 1000.0

    def count_move(self) -> None:
        """Count a demand that is being moved to this shard."""
        self._moved_count += 1


class SpillOver:
    """Exchanges waits between the shards of a pool and selects targets for moves.

    Parameters
    ----------
    links : Peers
        Connections to other keepers.
    local_keeper : KeeperRole
        This instance's keeper role.
    pool_shards : Siblings
        The other shards of the pools and their keepers.
    """

    def __init__(
        self,
        links: peers.Peers,
        local_keeper: KeeperRole,
        pool_shards: siblings.Siblings,
    ):
        self._local_keeper = local_keeper
        self._siblings = pool_shards
        self._reports: dict[str, _Report] = {}
        links.on(messages.Waits, self.on_waits)

    def move(self, source: str, waiting: shards.Waiting, limit: float) -> str:
        """Return the shard that a demand should move to; empty when there is none.

        Parameters
        ----------
        source : str
            Shard that holds the demand.
        waiting : Waiting
            The demand.
        limit : float
            Seconds that it may wait for a slot.
        """
        if waiting.demand.moves >= MAX_MOVES:
            return ""
        fresh_since = clock.now() - REPORT_LIFETIME_SECONDS
        best = ""
        least = limit - GAIN_SECONDS
        for shard in self._siblings.of(source):
            report = self._reports.get(shard)
            if report is None or report.at < fresh_since:
                continue
            wait = report.wait(waiting.demand.rank)
            if wait < least:
                best, least = shard, wait
        if best:
            self._reports[best].count_move()
        return best

    def report_waits(self) -> None:
        """Report the waits of the shards kept here to the keepers of their siblings."""
        for name, shard in self._local_keeper.shards.items():
            if not self._local_keeper.keeps(name):
                continue
            others = self._siblings.of(name)
            if not others:
                continue
            message = messages.Waits(name, shard.waits(), shard.shares.report())
            for keeper in sorted({self._siblings.keeper_of(other) for other in others}):
                if not self._siblings.send(keeper, message):
                    self._store(message)

    def on_waits(self, replier: shards.Replier, message: messages.Waits) -> None:
        """Store the waits and the granted work that another shard's keeper reports."""
        if self._siblings.keeper_of(message.shard) == replier.instance:
            self._store(message)

    def _store(self, message: messages.Waits) -> None:
        self._reports[message.shard] = _Report(message.waits)
        for name in self._siblings.of(message.shard):
            if name in self._local_keeper.shards:
                shares = self._local_keeper.shards[name].shares
                shares.receive(message.shard, message.work)
