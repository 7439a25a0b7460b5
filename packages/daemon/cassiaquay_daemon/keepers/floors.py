"""Floors, which make all shards of a pool hold lower tiers back before one sheds.

A pool of more than 16 backend servers has several shards, each with its own keeper.
Strict priority within each shard does not prevent one shard from shedding a tier while
another still serves a lower one. So before a keeper sheds, it sends a request to hold
lower tiers back to the keepers of the pool's other shards, and sheds when all of them
have accepted it.
"""

import typing

from cassiaquay_schema import messages

from .. import clock
from ..decisions import shards
from ..links import peers
from . import siblings

# For this long after a request was shed, lower tiers get no slot in any shard: the time
# that policies hold them back in the shedding shard, plus a round trip.
HOLD_SECONDS = 0.4
# A floor is requested again when this much of it is left, so that shedding during a
# long overload doesn't wait for answers each time.
RENEW_BEFORE_SECONDS = 0.2
# A keeper that has not answered by then is partitioned or down. The request is shed
# without its answer, so that the caller needn't wait for the partition to heal.
ANSWER_TIMEOUT_SECONDS = 0.2


class FloorRequest(typing.NamedTuple):
    """A floor that one shard has requested from another.

    Attributes
    ----------
    rank : int
        Ranks greater than this are to be held back.
    at : float
        Time of the last request; seconds on this clock.
    first_at : float
        Time of the first request since the last answer; seconds on this clock.
    held_until : float
        When the floor that the other shard has acknowledged ends.
    """

    rank: int
    at: float
    first_at: float
    held_until: float = float("-inf")


class KeeperRole(typing.Protocol):
    """The part of the keeper that floors use."""

    shards: dict[str, shards.Shard]

    def hold(self, floor: messages.Floor) -> bool:
        """Hold a shard's lower tiers back; False if this instance is not its keeper."""

    def serve_soon(self, name: str) -> None:
        """Schedule a pass over a shard's queue."""


class Floors:
    """Requests floors for the shards kept here, and holds floors for other shards.

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
        self._floor_requests: dict[tuple[str, str], FloorRequest] = {}
        links.on(messages.Floor, self.on_floor)
        links.on(messages.FloorHeld, self.on_floor_held)

    def may_shed(self, source: str, rank: int) -> bool:
        """Return whether a shard may shed a rank now; request floors if not yet."""
        is_ready = True
        for shard in self._siblings.of(source):
            if not self._is_held(source, shard, rank):
                is_ready = False
        return is_ready

    def on_floor(self, replier: shards.Replier, message: messages.Floor) -> None:
        """Handle another shard's request for a floor and acknowledge it."""
        if not self._local_keeper.hold(message):
            # No answer: the sender times out, or learns which instance is the keeper.
            return
        replier.send(messages.FloorHeld(message.shard, message.source, message.rank))

    def on_floor_held(
        self, replier: shards.Replier, message: messages.FloorHeld
    ) -> None:
        """Handle another shard's acknowledgement of a floor."""
        self._record_held(message.source, message.shard, message.rank)
        if message.source in self._local_keeper.shards:
            self._local_keeper.serve_soon(message.source)

    def _is_held(self, source: str, shard: str, rank: int) -> bool:
        now = clock.now()
        request = self._floor_requests.get((source, shard))
        if request is None or request.rank > rank or now > request.at + HOLD_SECONDS:
            # No floor was requested, only one for a lower tier, or it has expired.
            request = FloorRequest(rank, now, now)
            self._request_floor(source, shard, request)
        elif now > request.at + HOLD_SECONDS - RENEW_BEFORE_SECONDS:
            first_at = now if request.held_until > now else request.first_at
            request = request._replace(at=now, first_at=first_at)
            self._request_floor(source, shard, request)
        request = self._floor_requests[(source, shard)]
        return (
            now < request.held_until or now > request.first_at + ANSWER_TIMEOUT_SECONDS
        )

    def _request_floor(self, source: str, shard: str, request: FloorRequest) -> None:
        self._floor_requests[(source, shard)] = request
        hold_ms = int(HOLD_SECONDS * 1000)
        message = messages.Floor(shard, source, request.rank, hold_ms)
        if self._siblings.send(self._siblings.keeper_of(shard), message):
            return
        if self._local_keeper.hold(message):
            self._record_held(source, shard, request.rank)

    def _record_held(self, source: str, shard: str, rank: int) -> None:
        request = self._floor_requests.get((source, shard))
        if request is None or request.rank < rank:
            return
        # Counted from the time of the request: the other keeper starts its timer later,
        # so it still holds back when this keeper considers the floor expired.
        self._floor_requests[(source, shard)] = request._replace(
            held_until=request.at + HOLD_SECONDS
        )
