"""When the slots of a shard come free, and so how long a demand would wait.

Load pattern: under overload the wait for a slot decides whether a request is in time.
It is reckoned from the ends of what runs: events that are left of each answer at the
pace of its server. More important requests that arrive meanwhile go before.
"""

import collections.abc

from .. import clock
from . import arrivals, pace, shards

# A stream whose first event is this late is given up by its caller, who waits at least
# two seconds; what waits longer is read for nobody.
PATIENCE_SECONDS = 1.8


class Forecast:
    """The slots of one shard, as reckoned at one moment.

    Parameters
    ----------
    shard : Shard
        Whose slots they are.
    pace_of : callable
        Returns what is known of a server's speed.
    arriving : Arrivals
        How many requests of each rank arrive.
    """

    def __init__(
        self,
        shard: shards.Shard,
        pace_of: collections.abc.Callable[[str], pace.Pace],
        arriving: arrivals.Arrivals,
    ):
        self._shard = shard
        self._pace_of = pace_of
        self._arriving = arriving
        # In how many seconds slots come free, the soonest first.
        self._free_at: list[float] = []

    def refresh(self) -> None:
        """Reckon again, after slots have been taken or have come free."""
        now = clock.now()
        found = [0.0] * self.free_slots()
        for running in self._shard.running.values():
            if running.server in self._shard.servers:
                found.append(self._left(running, now))
        found.sort()
        self._free_at = found

    def free_slots(self) -> int:
        """Return the free slots of servers that may get work."""
        now = clock.now()
        count = 0
        for server in self._shard.open_servers():
            if not self._pace_of(server.name).is_stalled(now):
                count += max(server.slots - self._shard.load(server.name).count, 0)
        return count

    def wait_seconds(self, rank: int, ahead: int) -> float:
        """Return the estimated wait for a slot behind ``ahead`` others."""
        ends = self._free_at
        if not ends:
            return PATIENCE_SECONDS
        rate = self._arriving.rate_above(rank)
        wait = ends[min(ahead, len(ends) - 1)]
        place = min(ahead + int(rate * wait), len(ends) - 1)
        return ends[place] * max((ahead + 1) / len(ends), 1.0)

    def _left(self, running: shards.Running, now: float) -> float:
        known = self._pace_of(running.server)
        if running.demand is None:
            return known.base_seconds
        events = running.demand.output_tokens - running.produced
        if running.produced:
            passed = now - running.produced_at
            return max(events * known.event_seconds - passed, 0.0)
        return known.expect(float(running.demand.prompt_tokens)).first_seconds + (
            max(events, 0) * known.event_seconds
        )
