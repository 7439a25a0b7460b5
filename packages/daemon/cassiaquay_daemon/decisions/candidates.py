"""The servers of a shard, as one pass over its queue sees them.

Load pattern: under overload hundreds of passes a second weigh dozens of demands against
every server. What does not change during a pass is looked up once at its beginning; a
keeper that is busy with its own bookkeeping makes every caller of its shard late.
"""

import collections.abc
import statistics
import typing

from cassiaquay_schema import fleet, messages

from .. import clock
from . import loads, service_times, shards, slow_start

# A server is left to its probes only when it fails by so much more than the median one
# of its shard.
BROKEN_EXCESS = 0.3
# From the end of an answer until the next request arrives at its server: the end goes
# to the keeper, its permit to an owner, the request to the server.
TURNOVER_SECONDS = 0.06
# Answers longer than this gain too little from requests that wait in the server, where
# they are served in order of arrival.
SHORT_SECONDS = 3.0 * TURNOVER_SECONDS


class Candidate(typing.NamedTuple):
    """A server that may get work.

    Attributes
    ----------
    server : Server
        As configured.
    load : Load
        What is out on it; changes during the pass.
    times : ServiceTimes
        What is known of its speed and health.
    usual_failing : float
        Share of requests that the median server of its shard fails.
    ration : Ration or None
        What it may still get while it is cold; None when it is warm.
    """

    server: fleet.Server
    load: loads.Load
    times: service_times.ServiceTimes
    usual_failing: float
    cold_budget: slow_start.ColdBudget | None = None

    @property
    def capacity(self) -> int:
        """Requests that it may have at a time.

        Its slots, and those that it starts while the news of an end is on its way: with
        answers as short as that, slots would stand empty for a third of the time while
        callers are refused. They wait in the server for less than one answer.
        """
        slots = self.server.slots
        if self.times.whole_seconds > SHORT_SECONDS:
            return slots
        seconds = max(self.times.whole_seconds, TURNOVER_SECONDS)
        return slots + int(slots * TURNOVER_SECONDS / seconds)

    @property
    def queue_seconds(self) -> float:
        """Time that one more request would wait in the server."""
        queued = self.load.count - self.server.slots + 1
        return max(queued, 0) * self.times.whole_seconds / self.server.slots

    @property
    def free_slots(self) -> int:
        """Requests that it may get now, where it may get any."""
        free = self.capacity - self.load.count
        return (
            free if self.cold_budget is None else min(free, self.cold_budget.available)
        )

    def has_slot(self, now: float) -> bool:
        """Tell whether one more request may go there now."""
        if self.load.count >= self.capacity or self.times.is_silent(now):
            return False
        if self.cold_budget is not None and not self.cold_budget.available:
            return False
        if not self.times.is_broken(now):
            return True
        # Where all fail alike there is no sound server to wait for: held back, callers
        # would be refused while nearly all slots are free.
        return self.times.failing(now) < self.usual_failing + BROKEN_EXCESS


class Candidates:
    """The servers of one shard.

    Parameters
    ----------
    shard : Shard
        Whose servers they are.
    times_of : callable
        Returns what is known of a server's speed.
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
        # Fixed seconds and tokens a second of those that are fastest for some prompt.
        self._fastest: list[tuple[float, float]] = []
        self._least_event_seconds = 0.0

    def refresh(self) -> None:
        """Look at all servers anew."""
        self.times = {name: self._times_of(name) for name in self._shard.servers}
        self.open = []
        self._reachable = []
        servers = self._shard.open_servers()
        usual = self._usual_failing(servers)
        for server in servers:
            load = self._shard.load(server.name)
            cold_budget = self._shard.cold_budgets.of(server.name)
            found = Candidate(server, load, self.times[server.name], usual, cold_budget)
            self.open.append(found)
            if not self._shard.is_refusing(server.name):
                self._reachable.append(found)
        self._fastest = _fastest(self.open)
        self._least_event_seconds = min(
            (found.times.event_seconds for found in self.open), default=0.0
        )

    def with_slots(
        self, avoid: collections.abc.Set[str], now: float
    ) -> collections.abc.Iterator[Candidate]:
        """Yield the servers that a demand may go to now."""
        for found in self._reachable:
            if found.has_slot(now) and found.server.name not in avoid:
                yield found

    def free_slots(self) -> int:
        """Return the free slots of servers that may get work."""
        now = clock.now()
        count = 0
        for found in self.open:
            if found.has_slot(now):
                count += found.free_slots
        return count

    def cold_waits(self) -> list[float]:
        """Return the seconds until free slots of cold servers may be used."""
        found: list[float] = []
        for item in self.open:
            if item.cold_budget is None:
                continue
            free = item.capacity - item.load.count
            waits = item.cold_budget.waits(max(free, 0))
            found += [seconds for seconds in waits if seconds > 0.0]
        return found

    def least_first_seconds(self, tokens: int) -> float:
        """Return the time to the first event of a prompt at the fastest server."""
        return min(
            (base + tokens / rate for base, rate in self._fastest),
            default=float("inf"),
        )

    def least_seconds(self, demand: messages.Demand) -> float:
        """Return the time to the end of an answer, at the best of all speeds."""
        events = demand.output_tokens * self._least_event_seconds
        return self.least_first_seconds(demand.prompt_tokens) + events

    def _usual_failing(self, servers: list[fleet.Server]) -> float:
        now = clock.now()
        found = [self.times[server.name].failing(now) for server in servers]
        return statistics.median(found) if found else 0.0


def _fastest(found: list[Candidate]) -> list[tuple[float, float]]:
    """Return the speeds that no other server beats for every prompt."""
    speeds = sorted((item.times.base_seconds, -item.times.rate) for item in found)
    best: list[tuple[float, float]] = []
    for base, slowness in speeds:
        rate = -slowness
        if not best or rate > best[-1][1]:
            best.append((base, rate))
    return best
