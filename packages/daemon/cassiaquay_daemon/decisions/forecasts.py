"""When the slots of a shard come free, and so how long a demand would wait.

Load pattern: under overload the wait for a slot decides whether a request is in time.
It is reckoned from the ends of what runs: events that are left of each answer at the
speed of its server. More important requests that arrive meanwhile go before.
"""

import bisect

from .. import clock
from . import arrivals, candidates, shards

# A stream whose first event is this late is given up by its caller, who waits at least
# two seconds; what waits longer is read for nobody.
ABANDON_SECONDS = 1.8
# An answer that is longer than its caller said goes on for about this share of what it
# has already. Taken to end at once, all that overrun look like slots that are about to
# come free, and demands wait for them until their time has passed.
OVERRUN_SHARE = 0.3


class Forecast:
    """The slots of one shard, as reckoned at one moment.

    Parameters
    ----------
    shard : Shard
        Whose slots they are.
    servers : Candidates
        Its servers.
    arriving : Arrivals
        How many requests of each rank arrive.
    """

    def __init__(
        self,
        shard: shards.Shard,
        servers: candidates.Candidates,
        arriving: arrivals.Arrivals,
    ):
        self._shard = shard
        self._servers = servers
        self._arriving = arriving
        # In how many seconds slots come free, the soonest first.
        self._free_at: list[float] = []

    def refresh(self) -> None:
        """Reckon from all that runs now."""
        now = clock.now()
        found = [0.0] * self._servers.free_slots()
        found += self._servers.cold_waits()
        for running in self._shard.running.values():
            if running.server in self._servers.times:
                found.append(self._left(running, now))
        found.sort()
        self._free_at = found

    def granted(self, request_id: str) -> None:
        """Take in that one of the free slots has been taken."""
        if self._free_at and not self._free_at[0]:
            del self._free_at[0]
            left = self._left(self._shard.running[request_id], clock.now())
            bisect.insort(self._free_at, left)

    def wait_seconds(self, rank: int, ahead: int) -> float:
        """Return the estimated wait for a slot behind ``ahead`` others."""
        ends = self._free_at
        if not ends:
            return ABANDON_SECONDS
        rate = self._arriving.rate_above(rank)
        wait = ends[min(ahead, len(ends) - 1)]
        place = min(ahead + int(rate * wait), len(ends) - 1)
        return ends[place] * max((ahead + 1) / len(ends), 1.0)

    def _left(self, running: shards.Running, now: float) -> float:
        known = self._servers.times[running.server]
        if running.demand is None:
            return known.base_seconds
        events = float(running.demand.output_tokens - running.produced)
        if running.produced:
            events = max(events, running.produced * OVERRUN_SHARE)
            passed = now - running.produced_at
            return max(events * known.event_seconds - passed, 0.0)
        return known.expect(float(running.demand.prompt_tokens)).first_seconds + (
            max(events, 0.0) * known.event_seconds
        )
