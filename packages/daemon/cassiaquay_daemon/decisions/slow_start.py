"""Slow start: how many requests a server gets while it is cold.

Load pattern: a server that has just started, or whose failure domain was taken back
into use, bears a few requests a second and crashes at many more. It has all its slots
free then, so that placement by free slots would send it everything that waits: after
the loss of a failure domain at a peak its servers would crash again and again.

The bound holds for all requests that the fleet sends to one server in a second. Only
the keeper of its shard grants them, from a token bucket, so no two instances need to
agree. The rate leaves room for a second keeper: for a moment two may take themselves
for it. A bucket starts empty, so that keepers that follow each other quickly add up to
no more than that, and in a partition each keeper gives out the part that belongs to the
instances it can hear.
"""

import collections.abc
import math
import typing

from cassiaquay_schema import fleet as fleet_schema
from cassiaquay_schema import settings as settings_schema

from .. import clock, logs
from . import buckets

# Life of a permit for a cold server: one that was used a second later would arrive
# together with the permits of that second.
PERMIT_MS = 200
# Keepers that may grant for one server at the same time.
MOST_KEEPERS = 2
# Part of the bound that may be granted at once.
DEPTH_SHARE = 0.125
# A server's own report that it is cold comes so much later: the period of its
# heartbeats, their way through the store and the next read of the list.
REPORT_SECONDS = 2.5


class Terms(typing.NamedTuple):
    """What the configuration says of a server's slow start.

    Attributes
    ----------
    seconds : float
        How long it is cold after a start.
    flow : Flow
        What one keeper may grant to it.
    """

    seconds: float
    flow: buckets.Flow


class _Seen(typing.NamedTuple):
    """A server as it was in the list before."""

    started_ms: int
    is_cold: bool
    is_evacuated: bool


class ColdBudget:
    """What one keeper may still grant to one cold server.

    Parameters
    ----------
    flow : Flow
        Requests that the fleet may send.
    share : callable
        Returns the part of the fleet's instances that this keeper hears.
    """

    def __init__(self, flow: buckets.Flow, share: collections.abc.Callable[[], float]):
        self._whole = flow
        self._share = share
        self._bucket = buckets.Bucket(clock.now())

    @property
    def _flow(self) -> buckets.Flow:
        return self._whole.scaled(self._share())

    @property
    def available(self) -> int:
        """Requests that it may get now."""
        return int(self._bucket.level(self._flow))

    def use(self) -> None:
        """Note that it gets one."""
        self._bucket.spend(1.0, self._flow)

    def waits(self, count: int) -> list[float]:
        """Return the seconds until each of the next ``count`` requests may go."""
        flow = self._flow
        if not flow.rate or flow.depth < 1.0:
            return []
        level = self._bucket.level(flow)
        found = []
        for number in range(1, count + 1):
            found.append(max(number - level, 0.0) / flow.rate)
        return found


class SlowStart:
    """Which servers are cold, as far as this instance knows.

    Parameters
    ----------
    settings : Settings
        By how much the rate of a cold server may be passed.
    """

    def __init__(self, settings: settings_schema.Settings):
        self._keeper = settings.keeper
        self._terms: dict[str, Terms] = {}
        self._seen: dict[str, _Seen] = {}
        self._cold_until: dict[str, float] = {}
        # Servers that may have crashed, and until when that is not known.
        self._doubted_until: dict[str, float] = {}

    def adopt(self, settings: settings_schema.Settings) -> None:
        """Take in changed settings."""
        self._keeper = settings.keeper

    def update(self, fleet: fleet_schema.Fleet) -> None:
        """Take in the servers in use."""
        is_first = not self._seen
        seen: dict[str, _Seen] = {}
        terms: dict[str, Terms] = {}
        for pool in fleet.pools.values():
            if not pool.cold_seconds or not pool.cold_requests_per_second:
                continue
            found = Terms(pool.cold_seconds, self._flow(pool))
            for server in pool.servers:
                terms[server.name] = found
                seen[server.name] = _Seen(
                    server.started_ms,
                    server.cold_ms > 0,
                    server.domain in fleet.evacuated,
                )
                self._compare(server, found.seconds, seen[server.name], is_first)
        self._seen = seen
        self._terms = terms
        for known in (self._cold_until, self._doubted_until):
            for name in [name for name in known if name not in terms]:
                del known[name]

    def suspect_restart(self, server: str) -> None:
        """Take in that a server refuses connections or has fallen silent.

        It may have crashed. The list shows its new start seconds after it serves again,
        and no start by then says that there was none.
        """
        terms = self._terms.get(server)
        if terms is None:
            return
        seconds = terms.seconds + REPORT_SECONDS
        if not self._is_doubted(server):
            _log(server, seconds, "doubted")
        self._doubted_until[server] = clock.now() + seconds

    def confirm_alive(self, server: str) -> None:
        """Take in a sign of life."""
        if self._is_doubted(server):
            del self._doubted_until[server]
            self._set_cold(server, self._terms[server].seconds, "back")

    def is_cold(self, server: str) -> bool:
        """Tell whether a server may be cold."""
        return self._is_doubted(server) or self.seconds_left(server) > 0.0

    def seconds_left(self, server: str) -> float:
        """Return how long a server is still taken for cold."""
        until = self._cold_until.get(server)
        return max(until - clock.now(), 0.0) if until is not None else 0.0

    def cold_servers(self) -> list[str]:
        """Return the names of all that may be cold."""
        return sorted(name for name in self._terms if self.is_cold(name))

    def flow(self, server: str) -> buckets.Flow:
        """Return what one keeper that hears all instances may grant to a server."""
        return self._terms[server].flow

    def _is_doubted(self, server: str) -> bool:
        until = self._doubted_until.get(server)
        return until is not None and clock.now() < until

    def _flow(self, pool: fleet_schema.Pool) -> buckets.Flow:
        rate = pool.cold_requests_per_second
        bound = rate * self._keeper.cold_excess + self._keeper.cold_slack
        depth = max(bound * DEPTH_SHARE, min(bound, 1.0))
        # Permits of that much more than a second may be used within one.
        seconds = 1.0 + PERMIT_MS / 1000.0
        most = (bound - depth) / (MOST_KEEPERS * seconds)
        return buckets.Flow(min(rate, most), depth)

    def _compare(
        self, server: fleet_schema.Server, seconds: float, now: _Seen, is_first: bool
    ) -> None:
        before = self._seen.get(server.name)
        if before is None:
            # All servers are new to an instance that has just started.
            if not is_first:
                self._set_cold(server.name, seconds, "new")
        elif before.started_ms != now.started_ms:
            self._set_cold(server.name, seconds, "restarted")
        elif before.is_evacuated and not now.is_evacuated:
            self._set_cold(server.name, seconds + REPORT_SECONDS, "evacuated")
        if now.is_cold and (before is None or not before.is_cold):
            self._set_cold(server.name, server.cold_ms / 1000.0, "reported")

    def _set_cold(self, server: str, seconds: float, cause: str) -> None:
        until = clock.now() + seconds
        if until <= self._cold_until.get(server, -math.inf):
            return
        self._cold_until[server] = until
        _log(server, seconds, cause)


class ColdBudgets:
    """What the keeper of one shard may grant to its cold servers.

    Parameters
    ----------
    cold : SlowStart
        Which servers are cold.
    """

    def __init__(self, cold: SlowStart):
        self.cold = cold
        # Part of the fleet's instances that this keeper hears.
        self.reachable_share: collections.abc.Callable[[], float] = _all
        self.granted_count = 0
        self._known: dict[str, ColdBudget] = {}

    def of(self, server: str) -> ColdBudget | None:
        """Return what a cold server may still get; None for one that is warm."""
        if not self.cold.is_cold(server):
            self._known.pop(server, None)
            return None
        found = self._known.get(server)
        if found is None:
            found = self._known[server] = ColdBudget(
                self.cold.flow(server), self.reachable_share
            )
        return found

    def allows(self, server: str) -> bool:
        """Tell whether a server may have one more request now."""
        cold_budget = self.of(server)
        return cold_budget is None or cold_budget.available > 0

    def granted(self, server: str, permit_ms: int) -> int:
        """Note a grant; return for how many milliseconds its permit may live."""
        cold_budget = self.of(server)
        if cold_budget is None:
            return permit_ms
        cold_budget.use()
        self.granted_count += 1
        return min(permit_ms, PERMIT_MS)

    def forget(self) -> None:
        """Begin with empty rations: what another keeper has granted is not known."""
        self._known.clear()


def _all() -> float:
    """Hear all instances: the keeper knows no others."""
    return 1.0


def _log(server: str, seconds: float, cause: str) -> None:
    logs.event(
        "server_cold", server=server, for_ms=round(seconds * 1000.0), cause=cause
    )
