"""Floors between the shards of a pool: lower tiers wait everywhere before one is shed.

A pool of more than 16 backend servers has several shards with a keeper each. Strict
order within a shard does not keep one of them from shedding a tier while another
still serves a lower one. So a shard that must shed first asks the others of its pool
to hold the lower tiers back, and sheds when all of them do.
"""

import typing

from cassiaquay_schema import messages

from .. import clock
from ..decisions import shards
from ..links import peers
from . import siblings

# Lower tiers get no slot anywhere for so long after a request was shed: the time that
# the policies hold them back in the shard itself, and the way there and back.
HOLD_SECONDS = 0.4
# A floor is asked for again when so much of it is left, so that a long overload does
# not wait for answers each time.
RENEW_SECONDS = 0.2
# Whoever does not answer is cut off or dead. A request that is given up gets its answer
# at once, not when the partition heals.
ANSWER_TIMEOUT_SECONDS = 0.2


class Asked(typing.NamedTuple):
    """What a shard has asked of another one.

    Attributes
    ----------
    rank : int
        Ranks greater than this are to be held back.
    at : float
        When it was asked; seconds on this clock.
    first_at : float
        When it was first asked without an answer since; seconds on this clock.
    held_until : float
        Until when the other one holds back, as far as it has answered.
    """

    rank: int
    at: float
    first_at: float
    held_until: float = float("-inf")


class Role(typing.Protocol):
    """The keeper role, as floors need it."""

    shards: dict[str, shards.Shard]

    def hold(self, floor: messages.Floor) -> bool:
        """Hold the lower tiers of a shard back; False when it is not kept here."""

    def serve_soon(self, name: str) -> None:
        """Look at a shard's queue once more."""


class Floors:
    """What the shards kept here ask of the others, and are asked by them.

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
        self._asked: dict[tuple[str, str], Asked] = {}
        links.on(messages.Floor, self.floor)
        links.on(messages.FloorHeld, self.held)

    def ready(self, source: str, rank: int) -> bool:
        """Tell whether a shard may shed a rank now; ask the others when not yet."""
        found = True
        for shard in self._siblings.of(source):
            if not self._holds(source, shard, rank):
                found = False
        return found

    def floor(self, replier: shards.Replier, message: messages.Floor) -> None:
        """Hold back in a shard kept here and say so."""
        if not self._kept.hold(message):
            # No answer: the asker's patience ends, or it learns of another keeper.
            return
        replier.send(messages.FloorHeld(message.shard, message.source, message.rank))

    def held(self, replier: shards.Replier, message: messages.FloorHeld) -> None:
        """Take in that another shard holds back."""
        self._take(message.source, message.shard, message.rank)
        if message.source in self._kept.shards:
            self._kept.serve_soon(message.source)

    def _holds(self, source: str, shard: str, rank: int) -> bool:
        now = clock.now()
        asked = self._asked.get((source, shard))
        if asked is None or asked.rank > rank or now > asked.at + HOLD_SECONDS:
            # Nothing asked yet, only for a less important rank, or long ago.
            asked = Asked(rank, now, now)
            self._ask(source, shard, asked)
        elif now > asked.at + HOLD_SECONDS - RENEW_SECONDS:
            first_at = now if asked.held_until > now else asked.first_at
            asked = asked._replace(at=now, first_at=first_at)
            self._ask(source, shard, asked)
        asked = self._asked[(source, shard)]
        return now < asked.held_until or now > asked.first_at + ANSWER_TIMEOUT_SECONDS

    def _ask(self, source: str, shard: str, asked: Asked) -> None:
        self._asked[(source, shard)] = asked
        hold_ms = int(HOLD_SECONDS * 1000)
        message = messages.Floor(shard, source, asked.rank, hold_ms)
        if self._siblings.send(self._siblings.keeper_of(shard), message):
            return
        if self._kept.hold(message):
            self._take(source, shard, asked.rank)

    def _take(self, source: str, shard: str, rank: int) -> None:
        asked = self._asked.get((source, shard))
        if asked is None or asked.rank < rank:
            return
        # Counted from the question: the other one's own count began later, so it still
        # holds back when this one takes the floor for over.
        self._asked[(source, shard)] = asked._replace(
            held_until=asked.at + HOLD_SECONDS
        )
