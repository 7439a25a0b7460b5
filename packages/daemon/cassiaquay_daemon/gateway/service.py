"""Assembles, starts and drains the gateway's listeners in one instance."""

import asyncio
import collections.abc
import contextlib
import functools
import typing

import uvicorn

from cassiaquay_schema import settings as settings_schema

from .. import (
    clock,
    connection_room,
    early_bind,
    http_connections,
    listeners,
    logs,
    pause,
    sockets,
    supervision,
)
from ..configured import snapshots
from ..decisions import (
    budgets,
    held_bytes,
    paths,
    rate_budgets,
    return_visits,
    returns,
)
from ..fleet import (
    configuration,
    crash_reports,
    members,
    server_reports,
    servers,
    stream_origins,
)
from ..keepers import demands, quotas
from ..links import peers
from ..operators import reach
from . import (
    accepting,
    accounting,
    admission,
    body_room,
    caller_connections,
    completions,
    connections,
    departing,
    directory,
    end_checks,
    forwarding,
    front,
    holding,
    probing,
    process_checks,
    relay_connections,
    relaying,
    relays,
    replies,
    resuming,
    serving,
    writers,
)

# Share of the grace period in which a draining instance still accepts connections. Most
# cached directory answers that name it have expired by then.
ACCEPTING_SHARE = 0.3
# Time at the end of the grace period for closing the remaining connections.
CLOSING_SECONDS = 0.4
POLL_SECONDS = 0.05
# Time without an open request after which the drain ends. The listeners check ten times
# a second whether to stop, and requests in transit have arrived by then.
QUIET_SECONDS = 0.5


class Shared(typing.NamedTuple):
    """Components of the daemon that the gateway uses."""

    incarnation: str
    configured: configuration.Configuration
    server_list: servers.Servers
    membership: members.Membership
    links: peers.Peers
    demand_client: demands.Demands
    rate_limits: collections.abc.Sequence[rate_budgets.Source]
    reports: server_reports.ServerReports
    crashes: crash_reports.CrashReports
    pauses: pause.Pauses
    origins: stream_origins.StreamOrigins
    clients: connection_room.Room


class Gateway:
    """Runs the listeners for requests, the directory and readiness checks.

    Parameters
    ----------
    settings : Settings
        Listen addresses and the grace period.
    shared : Shared
        Components of the daemon.
    parts : Parts
        Components that serve requests.
    relay : RelayServer
        Relays requests of other instances.
    prober : Prober
        Probes the paths to servers.
    observed : Paths
        The state of these paths.
    """

    def __init__(
        self,
        settings: settings_schema.Settings,
        shared: Shared,
        parts: serving.Parts,
        relay: relaying.RelayServer,
        prober: probing.Prober,
        observed: paths.Paths,
    ):
        self._relay = relay
        self._prober = prober
        self._paths = observed
        self._origin_count = shared.origins.__len__
        self._gateway = settings.gateway
        self._clients = shared.clients
        self._membership = shared.membership
        self._parts = parts
        self._visits = return_visits.ReturnVisits()
        acceptor = accepting.Acceptor(
            shared.configured,
            shared.server_list,
            shared.pauses,
            self._visits if settings.keeper.returns == returns.RECOGNIZED else None,
            parts.departure,
        )
        self._front = front.Front(
            acceptor,
            serving.RequestHandler(parts),
            parts.reply,
            parts.accounting,
            shared.pauses,
            relay.bodies,
            parts.departure,
        )
        self._directory = directory.Directory(
            settings, shared.membership, shared.configured, shared.pauses, self._front
        )
        self._servers: list[uvicorn.Server] = []
        self._serving: list[asyncio.Task[None]] = []
        self._background = supervision.Supervisor()

    @property
    def accounting(self) -> accounting.Accounting:
        """Reports the outcomes of requests to its listeners."""
        return self._parts.accounting

    def reach(self) -> reach.Reach:
        """Return which servers are reached, and what relays have done."""
        room = self._parts.room
        return reach.Reach(
            self._paths.lost_counts(),
            self._paths.relayed_count,
            self._relay.sent_count,
            dict(self._parts.resuming.counts),
            self._origin_count(),
            dict(self._visits.counts),
            room.held.used,
            room.held.peak,
            room.waiting_count,
            dict(self._parts.process_checks.counts),
        )

    def start(self) -> None:
        """Listen on all addresses."""
        gateway = self._gateway
        protocol = functools.partial(
            caller_connections.CallerConnection, self._parts.accounting
        )
        self._listen(self._front, gateway.front, protocol)
        if gateway.ready:
            self._listen(self._directory.readiness(), gateway.ready)
        if gateway.directory:
            self._listen(self._directory.directory(), gateway.directory)
        if gateway.relay:
            self._listen(self._relay, gateway.relay, relay_connections.RelayConnection)
            self._membership.relay_address = gateway.relay
        self._background.start("probes", self._prober.run)

    def adopt(self, settings: settings_schema.Settings) -> None:
        """Apply changed settings of retry budgets and team limits."""
        self._parts.budget.adopt(settings)
        self._parts.team_limits.adopt(settings)

    async def drain(self) -> None:
        """Stop accepting and complete the open requests within the grace period.

        Requests whose deadlines lie behind its end are refused from now on, and those
        that wait at once, so that their callers have time left for another instance.
        """
        loop = asyncio.get_running_loop()
        grace = self._gateway.grace_seconds
        ends_at = loop.time() + grace - CLOSING_SECONDS
        self._front.leave()
        self._parts.departure.begin(clock.now() + grace - CLOSING_SECONDS)
        self._membership.announce_leaving()
        # Callers that hold a directory answer with this address keep sending requests.
        await asyncio.sleep(grace * ACCEPTING_SHARE)
        for server in self._servers:
            server.should_exit = True
        await self._wait_until_idle(ends_at)
        logs.event("drained", cut_off=self._open_count)
        await self._front.end_requests()
        for server in self._servers:
            server.force_exit = True
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CLOSING_SECONDS / 2):
                await asyncio.gather(*self._serving, return_exceptions=True)
        await self._background.stop()
        self._parts.completions.close()
        self._parts.process_checks.close()
        self._parts.resuming.close()
        await self._parts.forwarder.close()

    @property
    def _open_count(self) -> int:
        """Number of requests in progress, of callers and of other instances."""
        return self._front.open_count + self._relay.open_count

    @property
    def _has_unsent_bytes(self) -> bool:
        """Whether bytes of an answer wait for their reader."""
        return any(listeners.has_unsent_bytes(server) for server in self._servers)

    async def _wait_until_idle(self, ends_at: float) -> None:
        """Return when no request was open for QUIET_SECONDS, or at ``ends_at``.

        The listeners stop with a delay and until then read requests that callers send
        on kept-alive connections. Returning as soon as no request is open would cut
        such a request off. A large answer is complete for the application while its
        caller still reads it.
        """
        loop = asyncio.get_running_loop()
        busy_at = loop.time()
        while loop.time() < min(busy_at + QUIET_SECONDS, ends_at):
            await asyncio.sleep(POLL_SECONDS)
            if self._open_count or self._has_unsent_bytes:
                busy_at = loop.time()

    def _listen(
        self,
        application: listeners.Application,
        address: str,
        protocol: listeners.Protocol = http_connections.Connection,
    ) -> None:
        bound = early_bind.take(address)
        if address == self._gateway.relay:
            # Accepted connections inherit the options of the listening socket.
            sockets.set_timeouts(bound)
        server = listeners.server(
            application, self._clients, http_connections.BY_LIMITS, protocol
        )
        self._servers.append(server)
        self._serving.append(asyncio.create_task(server.serve([bound])))


def assemble(settings: settings_schema.Settings, shared: Shared) -> Gateway:
    """Return a gateway built from the components of a daemon."""
    observed = paths.Paths(lambda: _addresses(shared.configured.current))
    shared.membership.lost_services = observed.lost_services
    chosen_relays = relays.Relays(settings, shared.membership)
    if not settings.gateway.first_start:
        observed.processes.doubt_all()
    dialer = connections.Dialer(observed)
    http = dialer.create_session()
    forwarder = forwarding.Forwarder(http, shared.reports, observed, chosen_relays)
    room = holding.Room(held_bytes.HeldBytes())
    capacity = admission.Admission(
        shared.demand_client, shared.membership, shared.rate_limits, shared.reports
    )
    checks = process_checks.ProcessChecks(http, observed, capacity)
    ends = end_checks.EndChecks(shared.configured, dialer)
    departure = departing.Departure(
        functools.partial(_has_others, settings.instance, shared.membership)
    )
    parts = serving.Parts(
        shared.configured,
        capacity,
        forwarder,
        budgets.RetryBudget(settings, shared.membership.fleet_size),
        shared.crashes,
        completions.Completions(shared.crashes, observed, dialer),
        shared.reports,
        quotas.Quotas(
            settings,
            shared.links,
            shared.membership,
            shared.configured,
            shared.pauses,
        ),
        shared.pauses,
        replies.Replies(),
        accounting.Accounting(),
        resuming.Resuming(
            shared.configured,
            shared.origins,
            shared.server_list,
            writers.Writers(
                checks, observed, shared.crashes.breaks, shared.server_list
            ),
            checks,
            settings.platform.heartbeat_seconds,
        ),
        room,
        checks,
        ends,
        departure,
    )
    relay_parts = relaying.Parts(
        shared.configured,
        forwarder,
        shared.crashes,
        shared.reports,
        shared.pauses,
        chosen_relays,
        room,
        body_room.BodyRoom(settings.capacity.memory_mb),
        ends,
        departure,
    )
    relay = relaying.RelayServer(relay_parts, shared.incarnation)
    prober = probing.Prober(observed, dialer)
    return Gateway(settings, shared, parts, relay, prober, observed)


def _has_others(instance: str, membership: members.Membership) -> bool:
    """Return whether instances serve beside the one that is named."""
    return any(member.instance != instance for member in membership.serving())


def _addresses(snapshot: snapshots.Snapshot | None) -> dict[str, list[str]]:
    """Return the addresses of all listed servers by service."""
    if snapshot is None:
        return {}
    addresses = {}
    for name, pool in snapshot.fleet.pools.items():
        addresses[name] = [server.address for server in pool.servers]
    return addresses
