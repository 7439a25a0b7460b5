"""Spill-over between the shards of a pool, for demands that would be late in their own.

Load pattern: a pool of many servers has several shards with a keeper each, and requests
are spread over them by their prompts. At any moment one of them has the slower servers,
the longer prompts or the busier sessions. Alone it would refuse requests, and have all
shards hold lower tiers back for that, while others have free slots.

Keepers report to each other how long a new demand of each rank would wait. A demand
that cannot be in time in its shard goes to the one where it waits least, if it is in
time there; what is in time nowhere is shed as in a pool of one shard.
"""

import typing

from cassiaquay_schema import messages

from .. import clock
from ..decisions import shards
from ..links import peers
from . import siblings

# Waits are reported at each tick of the keeper, every 0.1 s; what is moved meanwhile is
# added by the sender. After three ticks without a report nothing is moved there: its
# keeper may be paused or cut off.
REPORT_LIFETIME_SECONDS = 0.3
# A demand is moved only when it gains more than the way there and an estimate's error.
GAIN_SECONDS = 0.03
# After so many moves a demand stays: shards that are all full must not pass it round.
MAX_MOVES = 2


class Role(typing.Protocol):
    """The keeper role, as spill-over needs it."""

    shards: dict[str, shards.Shard]

    def keeps(self, shard: str) -> bool:
        """Tell whether this instance should be the keeper of a shard."""


class _Report:
    """What another shard has reported, and what was moved there since."""

    def __init__(self, waits: list[messages.RankWait]):
        self.at = clock.now()
        self._waits = {item.rank: item for item in waits}
        self._moved = 0

    def wait(self, rank: int) -> float:
        """Return the seconds that one more demand of a rank would wait."""
        item = self._waits.get(rank)
        if item is None:
            return float("inf")
        return (item.wait_ms + item.step_ms * self._moved) / 1000.0

    def moved(self) -> None:
        """Note that a demand goes there."""
        self._moved += 1


class SpillOver:
    """What the shards of this instance's pools know of each other's waits.

    Parameters
    ----------
    links : Peers
        Connections to other keepers.
    kept : Role
        This instance's keeper role.
    mates : Siblings
        The other shards of its pools.
    """

    def __init__(self, links: peers.Peers, kept: Role, mates: siblings.Siblings):
        self._kept = kept
        self._siblings = mates
        self._reports: dict[str, _Report] = {}
        links.on(messages.Waits, self.heard)

    def move(self, source: str, waiting: shards.Waiting, limit: float) -> str:
        """Return the shard that a demand should go to; empty when there is none.

        Parameters
        ----------
        source : str
            Shard that has it.
        waiting : Waiting
            The demand.
        limit : float
            Seconds that it may wait for a slot.
        """
        if waiting.demand.moves >= MAX_MOVES:
            return ""
        since = clock.now() - REPORT_LIFETIME_SECONDS
        best = ""
        least = limit - GAIN_SECONDS
        for shard in self._siblings.of(source):
            report = self._reports.get(shard)
            if report is None or report.at < since:
                continue
            wait = report.wait(waiting.demand.rank)
            if wait < least:
                best, least = shard, wait
        if best:
            self._reports[best].moved()
        return best

    def report_waits(self) -> None:
        """Report to other shards' keepers how long demands wait in those kept here."""
        for name, shard in self._kept.shards.items():
            if not self._kept.keeps(name):
                continue
            others = self._siblings.of(name)
            if not others:
                continue
            message = messages.Waits(name, shard.waits())
            for keeper in sorted({self._siblings.keeper_of(other) for other in others}):
                if not self._siblings.send(keeper, message):
                    self._reports[message.shard] = _Report(message.waits)

    def heard(self, replier: shards.Replier, message: messages.Waits) -> None:
        """Take in what another shard reports."""
        if self._siblings.keeper_of(message.shard) == replier.instance:
            self._reports[message.shard] = _Report(message.waits)
