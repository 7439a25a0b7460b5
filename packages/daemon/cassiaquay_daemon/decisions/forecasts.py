"""Forecast of when a shard's slots become free, and of the wait of a demand.

Load pattern: under overload the wait for a slot decides whether a request is in time.
It is estimated from the ends of the running requests: the remaining events of each
answer at the speed of its server. Requests of more important ranks that arrive in the
meantime are served first.
"""

import bisect

from .. import clock
from . import arrivals, candidates, grants, shards

# Callers wait at least two seconds for the first event of a stream and then close it:
# the prefill of a request that has waited longer than this would be wasted.
ABANDON_SECONDS = 1.8
# An answer that exceeds its caller's estimate continues for about this share of its
# length so far. If such answers counted as about to end, demands would wait for their
# slots until too late.
OVERRUN_SHARE = 0.3


class Forecast:
    """The times at which the slots of one shard become free, as of the last refresh.

    Parameters
    ----------
    shard : Shard
        The shard.
    servers : Candidates
        Its servers.
    arriving : Arrivals
        Arrival rates by rank.
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
        # Seconds until each slot becomes free, in ascending order.
        self._free_in_seconds: list[float] = []

    def refresh(self) -> None:
        """Recompute the forecast from all running requests."""
        now = clock.now()
        ends: dict[str, list[float]] = {}
        for running in self._shard.running.values():
            if running.server in self._servers.times:
                remaining = self._remaining_seconds(running, now)
                ends.setdefault(running.server, []).append(remaining)
        free_in_seconds = [0.0] * self._servers.free_slots()
        free_in_seconds += self._servers.limited_slot_waits(ends)
        for server, remaining_seconds in ends.items():
            if not self._servers.is_limited(server):
                free_in_seconds += remaining_seconds
        free_in_seconds.sort()
        self._free_in_seconds = free_in_seconds

    def take_slot(self, request_id: str) -> None:
        """Replace a free slot by the end of the request that was granted it."""
        if self._free_in_seconds and not self._free_in_seconds[0]:
            del self._free_in_seconds[0]
            remaining = self._remaining_seconds(
                self._shard.running[request_id], clock.now()
            )
            bisect.insort(self._free_in_seconds, remaining)

    def wait_seconds(self, rank: int, ahead: int) -> float:
        """Return the estimated wait for a slot behind ``ahead`` other demands."""
        free_in = self._free_in_seconds
        if not free_in:
            return ABANDON_SECONDS
        rate = self._arriving.rate_above(rank)
        wait = free_in[min(ahead, len(free_in) - 1)]
        position = min(ahead + int(rate * wait), len(free_in) - 1)
        return free_in[position] * max((ahead + 1) / len(free_in), 1.0)

    def _remaining_seconds(self, running: grants.Running, now: float) -> float:
        times = self._servers.times[running.server]
        if running.demand is None:
            return times.base_seconds
        events = float(running.demand.output_tokens - running.produced)
        if running.produced:
            events = max(events, running.produced * OVERRUN_SHARE)
            elapsed = now - running.produced_at
            return max(events * times.event_seconds - elapsed, 0.0)
        return times.expect(float(running.demand.prompt_tokens)).first_seconds + (
            max(events, 0.0) * times.event_seconds
        )
