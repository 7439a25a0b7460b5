"""Forecast of when a shard's slots become free, and of the wait of a demand.

Load pattern: under overload the wait for a slot decides whether a request is in time.
It is estimated from the ends of the running requests: the remaining events of each
answer at the speed of its server. Requests of more important ranks that arrive in the
meantime are served first.
"""

import bisect

from .. import clock
from . import arrivals, candidates, grants, service_times, shards

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
        # Arrivals per second of more important ranks, by rank.
        self._rates_above: dict[int, float] = {}

    def refresh(self) -> None:
        """Recompute the forecast from all running requests."""
        now = clock.now()
        ends: dict[str, list[float]] = {}
        known = self._servers.times
        for running in self._shard.running.values():
            server = running.server
            times = known.get(server)
            if times is None:
                continue
            remaining = _remaining_seconds(running, times, now)
            if server in ends:
                ends[server].append(remaining)
            else:
                ends[server] = [remaining]
        by_server = self._servers.slot_waits(ends, now)
        self._free_by_server = by_server
        self._free_in_seconds = _merge(by_server, frozenset())
        self._without.clear()
        self._rates_above.clear()

    def take_slot(self, request_id: str) -> None:
        """Replace a free slot by the end of the request that was granted it."""
        if self._free_in_seconds and not self._free_in_seconds[0]:
            del self._free_in_seconds[0]
            running = self._shard.running[request_id]
            times = self._servers.times[running.server]
            remaining = _remaining_seconds(running, times, clock.now())
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
        rate = self._rates_above.get(rank)
        if rate is None:
            rate = self._rates_above[rank] = self._arriving.rate_above(rank)
        last = len(free_in) - 1
        if ahead > last:
            return free_in[last] * ((ahead + 1) / len(free_in))
        position = min(ahead + int(rate * free_in[ahead]), last)
        return free_in[position]

    def _slots_without(self, excluded: frozenset[str]) -> list[float]:
        if not excluded:
            return self._free_in_seconds
        if excluded not in self._without:
            self._without[excluded] = _merge(self._free_by_server, excluded)
        return self._without[excluded]


def _remaining_seconds(
    running: grants.Running, times: service_times.ServiceTimes, now: float
) -> float:
    # A refresh calls this for each running request, in most passes under overload.
    demand = running.demand
    if demand is None:
        return times.base_seconds
    produced = running.produced
    events: float = demand.output_tokens - produced
    if produced:
        least = produced * OVERRUN_SHARE
        if events < least:
            events = least
        left = events * times.event_seconds - (now - running.produced_at)
        return left if left > 0.0 else 0.0
    first = times.base_seconds + demand.prompt_tokens / times.rate
    return first + events * times.event_seconds if events > 0 else first


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
