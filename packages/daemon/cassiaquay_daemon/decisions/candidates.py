"""The servers of a shard, as seen by one pass over its queue.

Load pattern: under overload a keeper makes hundreds of passes a second, each of which
weighs dozens of demands against every server. State that is constant during a pass is
looked up once at its start; time that the keeper spends on bookkeeping delays every
request of its shard.
"""

import collections.abc
import statistics
import typing

from cassiaquay_schema import fleet, messages

from .. import clock
from . import loads, rate_budgets, service_times, shards, software_versions

# A broken server is limited to probes only when its share of failures exceeds that of
# the shard's median server by this much.
BROKEN_EXCESS_SHARE = 0.3
# Time from the end of an answer until the next request reaches the server: a release to
# the keeper, a permit to an owner (the instance that dispatches a request), a request
# to the server.
TURNOVER_SECONDS = 0.06
# For answers longer than this, queueing requests inside the server gains too little:
# the server ignores tiers and serves in order of arrival.
SHORT_ANSWER_SECONDS = 3.0 * TURNOVER_SECONDS


class Candidate(typing.NamedTuple):
    """A server that may get work.

    Attributes
    ----------
    server : Server
        As configured.
    load : Load
        Its requests in flight; changes during the pass.
    times : ServiceTimes
        Its learned speed and health.
    median_failure_share : float
        Share of requests that fail at the median server of its shard.
    rate_budget : RateBudget or None
        The grants that it may still get while its rate is limited; None for no limit.
    room : int or None
        Requests at a time that it takes while it is brittle; None if it is not.
    is_lone : bool
        Whether it is the only open server of its software version among several: if it
        fails, no other one can go on with its streams.
    """

    server: fleet.Server
    load: loads.Load
    times: service_times.ServiceTimes
    median_failure_share: float
    rate_budget: rate_budgets.RateBudget | None = None
    room: int | None = None
    is_lone: bool = False

    @property
    def capacity(self) -> int:
        """Maximum number of concurrent requests.

        The slots plus, for short answers, the requests that the server can start during
        the turnover time. Without these, slots would be idle for a third of the time
        while requests are refused. The extra requests queue in the server for less than
        the duration of one answer.
        """
        slots = self.server.slots
        if self.room is not None:
            return self.room
        if self.times.slot_seconds > SHORT_ANSWER_SECONDS:
            return slots
        seconds = max(self.times.slot_seconds, TURNOVER_SECONDS)
        return slots + int(slots * TURNOVER_SECONDS / seconds)

    @property
    def queue_seconds(self) -> float:
        """Time that one more request would queue inside the server."""
        queued = self.load.count - self.server.slots + 1
        return max(queued, 0) * self.times.slot_seconds / self.server.slots

    @property
    def free_slots(self) -> int:
        """Number of requests that it may get now, if `has_slot` holds."""
        free = self.capacity - self.load.count
        return (
            free if self.rate_budget is None else min(free, self.rate_budget.available)
        )

    def has_slot(self, now: float) -> bool:
        """Return whether the server may get one more request now."""
        if self.load.count >= self.capacity or self.times.is_silent(now):
            return False
        if self.rate_budget is not None and not self.rate_budget.available:
            return False
        if not self.times.is_broken(now):
            return True
        # When all servers fail alike, waiting for a healthy one would only refuse
        # requests while nearly all slots are free.
        return (
            self.times.failure_share(now)
            < self.median_failure_share + BROKEN_EXCESS_SHARE
        )


class Candidates:
    """The servers of one shard.

    Parameters
    ----------
    shard : Shard
        The shard.
    times_of : callable
        Returns the learned service times of a server by name.
    """

    def __init__(
        self,
        shard: shards.Shard,
        times_of: collections.abc.Callable[[str], service_times.ServiceTimes],
    ):
        self._shard = shard
        self._times_of = times_of
        self.open: list[Candidate] = []
        self.times: dict[str, service_times.ServiceTimes] = {}
        self._reachable: list[Candidate] = []
        # The open servers at the last refresh, and their lone software versions.
        self._open_servers: list[fleet.Server] = []
        self._lone_versions: set[str] = set()
        # Base seconds and prefill rate (tokens per second) of the servers that are the
        # fastest for some length of prompt.
        self._fastest_speeds: list[tuple[float, float]] = []
        self._min_event_seconds = 0.0
        # Times to the first event by length of prompt, as they are asked for.
        self._min_first_seconds: dict[int, float] = {}
        # Reachable servers with a free slot, and the number of free slots of all open
        # ones; None after a grant. Within a pass nothing else takes or frees a slot.
        self._free: list[Candidate] | None = None
        self._free_count: int | None = None

    def refresh(self) -> None:
        """Rebuild the state of all servers at the start of a pass."""
        self.granted()
        self._min_first_seconds.clear()
        shard = self._shard
        self.times = {name: self._times_of(name) for name in shard.servers}
        self.open = []
        self._reachable = []
        servers = shard.open_servers()
        median_share = self._median_failure_share(servers)
        lone_versions = self._lone_versions_of(servers)
        for server in servers:
            name = server.name
            candidate = Candidate(
                server,
                shard.load(name),
                self.times[name],
                median_share,
                shard.rate_budgets.get(name),
                shard.rooms.capacity(name, server.slots),
                server.software in lone_versions,
            )
            self.open.append(candidate)
            if not shard.exclusions.is_excluded(name):
                self._reachable.append(candidate)
        all_times = [candidate.times for candidate in self.open]
        self._fastest_speeds = _fastest_speeds(all_times)
        self._min_event_seconds = min(
            [times.event_seconds for times in all_times], default=0.0
        )

    def granted(self) -> None:
        """Look up all free slots again, after a demand got one of them."""
        self._free = None
        self._free_count = None

    def with_free_slots(self, now: float) -> list[Candidate]:
        """Return the servers that may get a demand now."""
        if self._free is None:
            self._free = [item for item in self._reachable if item.has_slot(now)]
        return self._free

    def free_slots(self, now: float) -> int:
        """Return the number of free slots on servers that may get work."""
        if self._free_count is None:
            self._free_count = 0
            for candidate in self.open:
                if candidate.has_slot(now):
                    self._free_count += candidate.free_slots
        return self._free_count

    def slot_waits(
        self, ends: dict[str, list[float]], now: float
    ) -> dict[str, list[float]]:
        """Return the seconds until each slot may be used, by server.

        A slot of a limited server is of use once it is free and the limit allows one
        more request.

        Parameters
        ----------
        ends : dict of str to list of float
            Seconds until each running request ends, by server. The slots of servers
            that get no new work are of no use.
        now : float
            Seconds on this clock.
        """
        waits = {}
        for candidate in self.open:
            name = candidate.server.name
            free = [0.0] * candidate.free_slots if candidate.has_slot(now) else []
            later = ends.get(name, [])
            if candidate.rate_budget is not None:
                later = _limited_waits(candidate, candidate.rate_budget, later)
            waits[name] = free + later
        return waits

    def min_first_seconds(self, tokens: int) -> float:
        """Return the time to the first event of a prompt on the fastest server."""
        least = self._min_first_seconds.get(tokens)
        if least is None:
            least = float("inf")
            for base, rate in self._fastest_speeds:
                least = min(least, base + tokens / rate)
            self._min_first_seconds[tokens] = least
        return least

    def min_finish_seconds(self, demand: messages.Demand) -> float:
        """Return a lower bound of the time to the end of an answer."""
        events = demand.output_tokens * self._min_event_seconds
        return self.min_first_seconds(demand.prompt_tokens) + events

    def _lone_versions_of(self, servers: list[fleet.Server]) -> set[str]:
        """Return the versions of one server only; the servers seldom change."""
        if servers != self._open_servers:
            self._open_servers = servers
            self._lone_versions = software_versions.lone(servers)
        return self._lone_versions

    def _median_failure_share(self, servers: list[fleet.Server]) -> float:
        now = clock.now()
        shares = [self.times[server.name].failure_share(now) for server in servers]
        # Mostly no server has failed.
        return statistics.median(shares) if any(shares) else 0.0


def _fastest_speeds(
    all_times: list[service_times.ServiceTimes],
) -> list[tuple[float, float]]:
    """Return the speeds that no other server beats for all lengths of prompt."""
    speeds = sorted([(times.base_seconds, -times.rate) for times in all_times])
    best: list[tuple[float, float]] = []
    for base, slowness in speeds:
        rate = -slowness
        if not best or rate > best[-1][1]:
            best.append((base, rate))
    return best


def _limited_waits(
    candidate: Candidate, budget: rate_budgets.RateBudget, ends: list[float]
) -> list[float]:
    """Return the waits for the slots of a limited server that may not be used now."""
    free = max(candidate.capacity - candidate.load.count, 0)
    slot_waits = [0.0] * free + sorted(ends)
    budget_waits = budget.waits(len(slot_waits))
    limited_waits = []
    for waits in zip(slot_waits, budget_waits, strict=False):
        if max(waits) > 0.0:
            limited_waits.append(max(waits))
    return limited_waits
