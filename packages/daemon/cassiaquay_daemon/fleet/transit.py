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

# Returned for the first heartbeat of a link, whose delay cannot be estimated.
UNKNOWN_DELAY_SECONDS = 3600.0


class Transit:
    """Transit delays of heartbeats, per link."""

    def __init__(self) -> None:
        self._smallest: weakref.WeakKeyDictionary[peers.Link, float]
        self._smallest = weakref.WeakKeyDictionary()

    def seconds(self, link: peers.Link, sent_ms: int) -> float:
        """Return a heartbeat's transit time beyond that of the fastest one.

        Zero when the sender does not state its sending time.
        """
        if not sent_ms:
            return 0.0
        difference = clock.now() - sent_ms / 1000.0
        smallest = self._smallest.get(link)
        if smallest is None:
            self._smallest[link] = difference
            return UNKNOWN_DELAY_SECONDS
        self._smallest[link] = min(smallest, difference)
        return difference - self._smallest[link]
