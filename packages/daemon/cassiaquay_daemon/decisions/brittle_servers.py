"""Servers that fall over when they have to reject many requests in a second.

Load pattern: all servers of a service become brittle under load and shorten their
queues. A keeper that lets requests wait inside them, or counts a slot as free that is
not, has dozens rejected in a second; the servers fall over, and their load falls on the
others.

A brittle server gets no more requests at a time than it has slots. Each rejection shows
that it takes fewer than the keeper thought, since some run that the keeper does not
know of. Well before as many are rejected as the server bears, it gets none for a while.
"""

import collections
import collections.abc
import math
import typing

from .. import clock
from . import reported_values

# Rejections are counted over this time. It is longer than the second that the server
# counts over, as reports of rejections arrive late.
WINDOW_SECONDS = 1.2
# A server gets nothing more after this share of the rejections that it bears.
STOP_SHARE = 0.5
# Period in which a server that has rejected requests gets one more of them at a time.
GROWTH_SECONDS = 1.0


class BrittleServers(reported_values.ReportedValues):
    """The rejections in a second that brittle servers bear, by server."""


class _Room(typing.NamedTuple):
    """Requests at a time that a server takes, as of a time on this clock."""

    requests: int
    at: float


class Rooms:
    """The requests at a time that the brittle servers of one shard take.

    Parameters
    ----------
    brittle : BrittleServers
        Tells which servers are brittle.
    """

    def __init__(self, brittle: BrittleServers):
        # Returns the share of the fleet's instances that this keeper can reach. In a
        # partition, the keepers of both sides must not fill a server together.
        self.reachable_share: collections.abc.Callable[[], float] = _whole_fleet
        self._brittle = brittle
        self._rooms: dict[str, _Room] = {}
        self._rejected_at: dict[str, collections.deque[float]] = {}

    def rejected(self, server: str, in_flight: int) -> None:
        """Record a rejection by a server that had ``in_flight`` requests with it."""
        if not self._brittle.holds(server):
            return
        now = clock.now()
        self._rejected_at.setdefault(server, collections.deque()).append(now)
        room = max(in_flight - 1, 1)
        known = self._rooms.get(server)
        if known is not None:
            room = min(room, _grown(known, now))
        self._rooms[server] = _Room(room, now)

    def capacity(self, server: str, slots: int) -> int | None:
        """Return how many requests a server may have; None if it is not brittle."""
        bears = self._brittle.current(server).number
        if bears is None:
            # Nearly all servers, at each pass of a keeper.
            if self._rejected_at:
                self._rooms.pop(server, None)
                self._rejected_at.pop(server, None)
            return None
        now = clock.now()
        if self._count_rejected(server, now) >= max(bears * STOP_SHARE, 1.0):
            return 0
        most = max(math.floor(slots * self.reachable_share()), 1)
        room = self._rooms.get(server)
        return most if room is None else min(most, _grown(room, now))

    def _count_rejected(self, server: str, now: float) -> int:
        times = self._rejected_at.get(server)
        if times is None:
            return 0
        while times and times[0] < now - WINDOW_SECONDS:
            times.popleft()
        return len(times)


def _whole_fleet() -> float:
    """Return the share of a keeper that reaches the whole fleet."""
    return 1.0


def _grown(room: _Room, now: float) -> int:
    return room.requests + int((now - room.at) / GROWTH_SECONDS)
