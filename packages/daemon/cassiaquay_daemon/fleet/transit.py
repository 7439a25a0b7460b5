"""How long a heartbeat was on its way, without comparing clocks.

Load pattern: a link loses packets, and heartbeats arrive seconds late, several at once.
What they tell was true when they were sent. Taken as true now, a list that nobody could
read for seconds looks fresh at every hop: instances that could read it do not, and a
key that was taken away is served for as long.

Both clocks run at the same rate, so the difference between a heartbeat's arrival here
and its sending there is the same for all of a link but for the time on the way. The
least difference seen is that of the fastest one; what is more than that is delay.
"""

import weakref

from .. import clock
from ..links import peers

# Until a second heartbeat has come nothing is known of the way of the first.
UNKNOWN_SECONDS = 3600.0


class Transit:
    """The ways that heartbeats come by."""

    def __init__(self) -> None:
        self._least: weakref.WeakKeyDictionary[peers.Link, float]
        self._least = weakref.WeakKeyDictionary()

    def seconds(self, link: peers.Link, sent_ms: int) -> float:
        """Return how much longer than the fastest one a heartbeat was on its way.

        Zero where the sender does not say when it was sent.
        """
        if not sent_ms:
            return 0.0
        passed = clock.now() - sent_ms / 1000.0
        least = self._least.get(link)
        if least is None:
            self._least[link] = passed
            return UNKNOWN_SECONDS
        self._least[link] = min(least, passed)
        return passed - self._least[link]
