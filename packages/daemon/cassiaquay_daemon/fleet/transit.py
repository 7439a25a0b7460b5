"""Estimates the transit delay of heartbeats without synchronized clocks.

When a link loses packets, heartbeats arrive seconds late, several at once, and their
contents are as old. If the delay were ignored, a list that no instance has read for
seconds would look fresh at every hop: instances that could read it would not, and a
revoked key would be accepted all that time.

The clocks of sender and receiver run at the same rate. The difference between arrival
and sending time is therefore constant per link, apart from the transit time. The
smallest difference seen belongs to the fastest heartbeat; any excess is delay.
"""

import weakref

from .. import clock
from ..links import peers

# Returned for the first heartbeats of a link, whose delay cannot be estimated.
UNKNOWN_DELAY_SECONDS = 3600.0
# Heartbeats that arrive this soon after the first one may have waited with it, all of
# them for about as long. Heartbeats are sent every few tenths of a second.
BURST_SECONDS = 0.1


class Transit:
    """Transit delays of heartbeats, per link."""

    def __init__(self) -> None:
        self._smallest: weakref.WeakKeyDictionary[peers.Link, float]
        self._smallest = weakref.WeakKeyDictionary()
        self._first_at: weakref.WeakKeyDictionary[peers.Link, float]
        self._first_at = weakref.WeakKeyDictionary()

    def seconds(self, link: peers.Link, sent_ms: int) -> float:
        """Return a heartbeat's transit time beyond that of the fastest one.

        Zero when the sender does not state its sending time.
        """
        if not sent_ms:
            return 0.0
        now = clock.now()
        difference = now - sent_ms / 1000.0
        smallest = min(self._smallest.get(link, difference), difference)
        self._smallest[link] = smallest
        if now - self._first_at.setdefault(link, now) < BURST_SECONDS:
            return UNKNOWN_DELAY_SECONDS
        return difference - smallest
