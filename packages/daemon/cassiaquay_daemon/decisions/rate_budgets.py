"""Limits on the rate of requests that the whole fleet sends to one server.

Load pattern: a server has free slots but handles only a few requests a second, because
it has just started or reports that it needs relief. Placement by free slots would send
it every waiting request.

Only the keeper of a server's shard grants requests to it, from a token bucket for each
reason of a limit, so instances need not agree with each other. The rate is low enough
for two keepers, since during a handover two instances may act as keeper. A bucket
starts empty, so that keepers in quick succession stay within the limit together; in a
partition each keeper grants a share in proportion to the instances that it can reach.
"""

import collections
import collections.abc
import typing

from .. import clock
from . import buckets

# Lifetime of a permit for a limited server: one that is used later would arrive
# together with the permits granted then.
PERMIT_MS = 200
# Number of keepers that may grant for one server at the same time.
MAX_KEEPERS = 2
# Part of the limit that each keeper may grant at once.
DEPTH_SHARE = 1.0 / 16.0


class Source(typing.Protocol):
    """A reason to limit the rate of requests to servers.

    Attributes
    ----------
    name : str
        Names the reason in reports.
    """

    name: str

    def limit(self, server: str) -> buckets.Flow | None:
        """Return the flow of a keeper that reaches the whole fleet; None for none."""


def keeper_flow(
    rate: float, max_requests: float, window_seconds: float
) -> buckets.Flow:
    """Return the flow of one keeper that reaches the whole fleet.

    Parameters
    ----------
    rate : float
        Requests per second that the server takes.
    max_requests : float
        Requests that may reach it within any window.
    window_seconds : float
        Length of the window.
    """
    depth = max(max_requests * DEPTH_SHARE, min(max_requests, 1.0))
    # Permits granted over this much time may all be used within one window.
    seconds = window_seconds + PERMIT_MS / 1000.0
    max_rate = max(max_requests / MAX_KEEPERS - depth, 0.0) / seconds
    return buckets.Flow(min(rate, max_rate), depth)


def is_limited(sources: collections.abc.Iterable[Source], server: str) -> bool:
    """Return whether any source limits the rate of requests to a server."""
    return any(source.limit(server) is not None for source in sources)


class RateBudget:
    """The requests that one keeper may still grant to one limited server."""

    def __init__(self) -> None:
        self._flows: dict[str, buckets.Flow] = {}
        self._buckets: dict[str, buckets.Bucket] = {}

    @property
    def reasons(self) -> list[str]:
        """Names of the reasons that limit the server now."""
        return list(self._flows)

    @property
    def available(self) -> int:
        """Number of requests that may be granted now."""
        levels = []
        for key, flow in self._flows.items():
            levels.append(int(self._buckets[key].level(flow)))
        return min(levels)

    def adopt(self, flows: dict[str, buckets.Flow], share: float) -> None:
        """Use the current flows, one for each reason; a new one starts empty.

        ``share`` is that of the fleet's instances which this keeper can reach.
        """
        for key in [key for key in self._buckets if key not in flows]:
            del self._buckets[key]
        self._flows = {}
        for key, flow in flows.items():
            if key not in self._buckets:
                self._buckets[key] = buckets.Bucket(clock.now())
            scaled = flow.scaled(share)
            # With a depth under one request, nothing could ever be granted.
            depth = max(scaled.depth, min(flow.depth, 1.0))
            self._flows[key] = scaled._replace(depth=depth)

    def use(self) -> None:
        """Spend one grant."""
        for key, flow in self._flows.items():
            self._buckets[key].spend(1.0, flow)

    def waits(self, count: int) -> list[float]:
        """Return the seconds until each of the next ``count`` grants is allowed."""
        waits = [0.0] * count
        for key, flow in self._flows.items():
            if not flow.rate or flow.depth < 1.0:
                return []
            level = self._buckets[key].level(flow)
            for number in range(count):
                seconds = max(number + 1 - level, 0.0) / flow.rate
                waits[number] = max(waits[number], seconds)
        return waits


class RateBudgets:
    """The budgets of one shard's keeper for its limited servers.

    Parameters
    ----------
    sources : sequence of Source
        Reasons to limit servers.
    """

    def __init__(self, sources: collections.abc.Sequence[Source]):
        # Returns the share of the fleet's instances that this keeper can reach.
        self.reachable_share: collections.abc.Callable[[], float] = _whole_fleet
        # Grants to limited servers, by the name of the reason.
        self.granted_counts: collections.Counter[str] = collections.Counter()
        self._sources = sources
        self._budgets: dict[str, RateBudget] = {}

    def get(self, server: str) -> RateBudget | None:
        """Return the budget of a limited server; None for any other."""
        flows: dict[str, buckets.Flow] | None = None
        for source in self._sources:
            flow = source.limit(server)
            if flow is not None:
                flows = flows or {}
                flows[source.name] = flow
        if flows is None:
            # Nearly all servers, at each pass of a keeper.
            if self._budgets:
                self._budgets.pop(server, None)
            return None
        budget = self._budgets.get(server)
        if budget is None:
            budget = self._budgets[server] = RateBudget()
        budget.adopt(flows, self.reachable_share())
        return budget

    def allows(self, server: str) -> bool:
        """Return whether a server may get one more request now."""
        budget = self.get(server)
        return budget is None or budget.available > 0

    def granted(self, server: str, permit_ms: int) -> int:
        """Record a grant; return the lifetime of its permit in milliseconds."""
        budget = self.get(server)
        if budget is None:
            return permit_ms
        budget.use()
        self.granted_counts.update(budget.reasons)
        return min(permit_ms, PERMIT_MS)

    def clear(self) -> None:
        """Start with empty budgets: the previous keeper's grants are unknown."""
        self._budgets.clear()


def _whole_fleet() -> float:
    """Return the share of a keeper that reaches the whole fleet."""
    return 1.0
