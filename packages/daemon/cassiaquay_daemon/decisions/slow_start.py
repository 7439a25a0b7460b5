"""Slow start: a limit on the rate of requests to a server while it is cold.

Load pattern: a server that has just started, or whose failure domain was taken back
into use, handles a few requests a second and crashes at many more. All its slots are
free at that time, so placement by free slots would send it every waiting request: after
the loss of a failure domain at peak load its servers would crash again and again.

The keeper of its shard grants it no more than that; see ``rate_budgets``.
"""

import math
import typing

from cassiaquay_schema import fleet as fleet_schema
from cassiaquay_schema import settings as settings_schema

from .. import clock, logs
from . import buckets, grants, rate_budgets

# Maximum delay of a server's own report that it is cold: the period of its heartbeats,
# their way through the store and the next read of the server list.
MAX_REPORT_DELAY_SECONDS = 2.5


class SlowStartTerms(typing.NamedTuple):
    """The configured slow start of a server.

    Attributes
    ----------
    seconds : float
        Time for which it is cold after a start.
    flow : Flow
        Limit of one keeper's grants to it.
    """

    seconds: float
    flow: buckets.Flow


class _ServerState(typing.NamedTuple):
    """State of a server in the previous server list."""

    started_ms: int
    is_cold: bool
    is_evacuated: bool


class _Suspicion(typing.NamedTuple):
    """A server that may have restarted without being noticed.

    Attributes
    ----------
    until : float
        Seconds on this clock.
    heard_at : float
        Time of its last sign of life before it fell silent: a request that it got by
        then and answers later shows that it has not restarted. Minus infinity if no
        request can show that.
    is_back : bool
        Whether it has answered a request since then.
    """

    until: float
    heard_at: float
    is_back: bool = False


class SlowStart:
    """Tracks which servers are cold, from the server lists and from failures.

    Parameters
    ----------
    settings : Settings
        Tolerances by which the rate of a cold server may be exceeded.
    """

    name = "cold"

    def __init__(self, settings: settings_schema.Settings):
        self._keeper = settings.keeper
        self._terms: dict[str, SlowStartTerms] = {}
        self._previous: dict[str, _ServerState] = {}
        self._cold_until: dict[str, float] = {}
        self._suspicions: dict[str, _Suspicion] = {}

    def adopt(self, settings: settings_schema.Settings) -> None:
        """Use changed settings from the next server list on."""
        self._keeper = settings.keeper

    def update(self, fleet: fleet_schema.Fleet) -> None:
        """Compare the servers in use with the previous list."""
        is_first = not self._previous
        current: dict[str, _ServerState] = {}
        terms: dict[str, SlowStartTerms] = {}
        for pool in fleet.pools.values():
            if not pool.cold_seconds or not pool.cold_requests_per_second:
                continue
            pool_terms = SlowStartTerms(pool.cold_seconds, self._flow(pool))
            for server in pool.servers:
                terms[server.name] = pool_terms
                current[server.name] = _ServerState(
                    server.started_ms,
                    server.cold_ms > 0,
                    server.domain in fleet.evacuated,
                )
                self._compare(
                    server, pool_terms.seconds, current[server.name], is_first
                )
        self._previous = current
        self._terms = terms
        for table in (self._cold_until, self._suspicions):
            for name in [name for name in table if name not in terms]:
                del table[name]

    def suspect_restart(self, server: str, heard_at: float = -math.inf) -> None:
        """Treat a server as cold that refused a connection or has fallen silent.

        It may have crashed. The server list shows its restart only seconds after it
        serves again; a list without a restart by then rules out a crash.

        Parameters
        ----------
        server : str
            Name of the server.
        heard_at : float
            Time of the last sign of life of a silent server; seconds on this clock.
        """
        terms = self._terms.get(server)
        if terms is None:
            return
        seconds = terms.seconds + MAX_REPORT_DELAY_SECONDS
        earlier = self._suspicion(server)
        if earlier is None:
            _log_cold(server, seconds, "doubted")
        else:
            heard_at = min(heard_at, earlier.heard_at)
        self._suspicions[server] = _Suspicion(clock.now() + seconds, heard_at)

    def confirm_alive(self, server: str, sent_at: float = math.inf) -> None:
        """Handle the first event of a request that the server got at ``sent_at``.

        A server suspected of a restart is cold from now on.
        """
        suspicion = self._suspicion(server)
        if suspicion is None:
            return
        if sent_at <= suspicion.heard_at:
            self._drop_suspicion(server)
            return
        if suspicion.is_back:
            return
        seconds = self._terms[server].seconds
        self._suspicions[server] = suspicion._replace(
            until=clock.now() + seconds, is_back=True
        )
        _log_cold(server, seconds, "back")

    def rule_out_restart(self, running: grants.Running | None) -> None:
        """Handle an answer, or further events, of a request; None if it is unknown.

        A server that goes on with a request from before its silence was only paused.
        """
        if running is None:
            return
        suspicion = self._suspicion(running.server)
        if suspicion is not None and running.sent_at <= suspicion.heard_at:
            self._drop_suspicion(running.server)

    def is_cold(self, server: str) -> bool:
        """Return whether a server is cold or suspected of a restart."""
        return self._suspicion(server) is not None or self.seconds_left(server) > 0.0

    def seconds_left(self, server: str) -> float:
        """Return the seconds for which a server is still cold."""
        until = self._cold_until.get(server, -math.inf)
        suspicion = self._suspicion(server)
        if suspicion is not None and suspicion.is_back:
            until = max(until, suspicion.until)
        return max(until - clock.now(), 0.0)

    def cold_servers(self) -> list[str]:
        """Return the names of all servers that are cold or suspected of a restart."""
        return sorted(name for name in self._terms if self.is_cold(name))

    def flow(self, server: str) -> buckets.Flow:
        """Return the flow of a keeper that reaches the whole fleet to a cold server."""
        return self._terms[server].flow

    def limit(self, server: str) -> buckets.Flow | None:
        """Return the flow to a server that is cold now; None for a warm one."""
        if server not in self._cold_until and server not in self._suspicions:
            # Nearly all servers, at each pass of a keeper.
            return None
        return self.flow(server) if self.is_cold(server) else None

    def _suspicion(self, server: str) -> _Suspicion | None:
        """Return the suspicion of a server's restart unless it has expired."""
        suspicion = self._suspicions.get(server)
        if suspicion is None or clock.now() >= suspicion.until:
            return None
        return suspicion

    def _drop_suspicion(self, server: str) -> None:
        del self._suspicions[server]
        logs.event("server_not_restarted", server=server)

    def _flow(self, pool: fleet_schema.Pool) -> buckets.Flow:
        rate = pool.cold_requests_per_second
        max_requests = rate * self._keeper.cold_excess + self._keeper.cold_slack
        return rate_budgets.keeper_flow(rate, max_requests, 1.0)

    def _compare(
        self,
        server: fleet_schema.Server,
        seconds: float,
        current: _ServerState,
        is_first: bool,
    ) -> None:
        previous = self._previous.get(server.name)
        if previous is None:
            # To an instance that has just started all servers are new.
            if not is_first:
                self._set_cold(server.name, seconds, "new")
        elif previous.started_ms != current.started_ms:
            self._set_cold(server.name, seconds, "restarted")
        elif previous.is_evacuated and not current.is_evacuated:
            self._set_cold(server.name, seconds + MAX_REPORT_DELAY_SECONDS, "evacuated")
        if current.is_cold and (previous is None or not previous.is_cold):
            self._set_cold(server.name, server.cold_ms / 1000.0, "reported")

    def _set_cold(self, server: str, seconds: float, cause: str) -> None:
        until = clock.now() + seconds
        if until <= self._cold_until.get(server, -math.inf):
            return
        self._cold_until[server] = until
        _log_cold(server, seconds, cause)


def _log_cold(server: str, seconds: float, cause: str) -> None:
    logs.event(
        "server_cold", server=server, for_ms=round(seconds * 1000.0), cause=cause
    )
