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
        # Seconds until each slot becomes free, by server and of all in ascending order.
        self._free_by_server: dict[str, list[float]] = {}
        self._free_in_seconds: list[float] = []
        # The latter without the slots of some servers.
        self._without: dict[frozenset[str], list[float]] = {}

    def refresh(self) -> None:
        """Recompute the forecast from all running requests."""
        now = clock.now()
        ends: dict[str, list[float]] = {}
        for running in self._shard.running.values():
            if running.server in self._servers.times:
                remaining = self._remaining_seconds(running, now)
                ends.setdefault(running.server, []).append(remaining)
        by_server = self._servers.slot_waits(ends, now)
        self._free_by_server = by_server
        self._free_in_seconds = _merge(by_server, frozenset())
        self._without.clear()

    def take_slot(self, request_id: str) -> None:
        """Replace a free slot by the end of the request that was granted it."""
        if self._free_in_seconds and not self._free_in_seconds[0]:
            del self._free_in_seconds[0]
            running = self._shard.running[request_id]
            remaining = self._remaining_seconds(running, clock.now())
            bisect.insort(self._free_in_seconds, remaining)
            of_server = self._free_by_server.get(running.server, [])
            if 0.0 in of_server:
                of_server.remove(0.0)
                of_server.append(remaining)
                self._without.clear()

    def wait_seconds(
        self, rank: int, ahead: int, excluded: frozenset[str] = frozenset()
    ) -> float:
        """Return the estimated wait for a slot behind ``ahead`` other demands.

        ``excluded`` are servers that the demand must not be sent to.
        """
        free_in = self._slots_without(excluded)
        if not free_in:
            return ABANDON_SECONDS
        rate = self._arriving.rate_above(rank)
        wait = free_in[min(ahead, len(free_in) - 1)]
        position = min(ahead + int(rate * wait), len(free_in) - 1)
        return free_in[position] * max((ahead + 1) / len(free_in), 1.0)

    def _slots_without(self, excluded: frozenset[str]) -> list[float]:
        if not excluded:
            return self._free_in_seconds
        if excluded not in self._without:
            self._without[excluded] = _merge(self._free_by_server, excluded)
        return self._without[excluded]

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


def _merge(
    free_by_server: dict[str, list[float]], excluded: frozenset[str]
) -> list[float]:
    """Return the times of all servers but the excluded ones in ascending order."""
    merged: list[float] = []
    for server, free_in_seconds in free_by_server.items():
        if server not in excluded:
            merged += free_in_seconds
    merged.sort()
    return merged
