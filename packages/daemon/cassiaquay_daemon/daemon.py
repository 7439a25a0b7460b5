"""Assembles the components of one daemon, starts them and shuts them down in order."""

import asyncio
import functools
import signal
import socket

import uvicorn
from starlette import applications

from cassiaquay_schema import settings as settings_schema

from . import (
    connection_room,
    early_bind,
    listeners,
    logs,
    pause,
    platform,
    reloading,
    sockets,
    supervision,
)
from .adapters import backends, identified_http
from .decisions import quarantine, server_states
from .engines import engine_reports, reconciler
from .fleet import (
    configuration,
    crash_reports,
    members,
    renewal,
    server_reports,
    servers,
    stream_origins,
)
from .gateway import service
from .interface import addresses, relay, web
from .keepers import demands, keeper, limit_keepers, limits
from .links import peers
from .operators import admin, reports
from .owners import dependencies, gates, owner, recovery, tokens

# Callers that fetched addresses just before the shutdown still connect for a moment.
# They get "not run" and another address instead of a refused connection.
LINGER_SECONDS = 1.0
# Servers close idle connections, commonly after 5 s. A request written to a connection
# that is being closed may or may not have run, and its caller gets `outcome_unknown`.
# Closing idle connections well before the servers do makes that rare.
MAX_IDLE_CONNECTION_SECONDS = 2.0


class Daemon:
    """All components of one instance.

    Parameters
    ----------
    settings : Settings
        The settings of the process.
    file : Reloading, optional
        Source of changed settings.
    """

    def __init__(
        self,
        settings: settings_schema.Settings,
        file: reloading.Reloading | None = None,
    ):
        self._settings = settings
        self._file = file
        self._stopping = asyncio.Event()
        self._background = supervision.Supervisor()
        self._incarnation = tokens.new_incarnation()
        self._http = identified_http.create_session(
            {
                "keepalive_timeout": MAX_IDLE_CONNECTION_SECONDS,
                "socket_factory": sockets.create,
            },
            trace_configs=[backends.tracing()],
            auto_decompress=False,
        )
        self._pauses = pause.Pauses(pause.shortest_lease(settings))
        self._peers = peers.Peers(settings, self._incarnation)
        self._configuration = configuration.Configuration(settings, self._peers)
        self._membership = members.Membership(
            settings, self._incarnation, self._peers, self._mint, self._measure
        )
        self._server_states = server_states.ServerStates(settings)
        self._server_reports = server_reports.ServerReports(
            self._server_states, self._peers, self._membership
        )
        self._keeper = keeper.Keeper(
            settings,
            self._peers,
            self._membership,
            self._configuration,
            self._pauses,
            self._server_states,
        )
        self._demands = demands.Demands(
            settings, self._peers, self._membership, self._keeper, self._server_reports
        )
        self._limits = limits.Limits(
            settings,
            self._peers,
            self._membership,
            limit_keepers.LimitKeeper(
                settings,
                self._peers,
                self._membership,
                self._configuration,
                self._pauses,
            ),
        )
        self._engine_reports = engine_reports.EngineReports(
            self._http, self._keeper, self._configuration
        )
        self._dependencies = dependencies.Dependencies(
            settings, self._peers, self._membership, self._keeper
        )
        self._owner = owner.Owner(
            settings,
            self._incarnation,
            self._http,
            self._demands,
            self._is_excluded,
            self._better_address,
            gates.CheckedGate(self._dependencies, self._limits),
        )
        self._owner.use_pauses(self._pauses)
        self._membership.on_heartbeat(self._configuration.handle_heartbeat)
        self._membership.text_version = lambda: self._configuration.version_in_force
        self._configuration.on_accept(self._membership.update)
        self._pauses.on_resume(self._membership.restart_silence_timers)
        self._pauses.on_check(self._membership.note_lag)
        platform_settings = settings.platform
        self._texts = platform.configuration_services.get(
            platform_settings.configuration_adapter
        )(self._http, platform_settings.configuration)
        self._servers = self._create_servers()
        self._quarantine = quarantine.Quarantine(settings)
        self._crashes = crash_reports.CrashReports(
            self._quarantine,
            self._peers,
            self._membership,
            settings,
        )
        self._origins = stream_origins.StreamOrigins(
            settings, self._peers, self._membership
        )
        self._owner.use_crash_reports(self._crashes)
        self._owner.use_server_reports(self._server_reports)
        self._clients = connection_room.Room(
            settings.capacity.memory_mb,
            settings.capacity.max_descriptors or sockets.descriptor_limit(),
        )
        self._configuration.on_accept(self._adopt_limits)
        self._pauses.on_check(listeners.Watch(self._clients).check)
        self._gateway = self._create_gateway()

    async def run(self) -> None:
        """Serve until a signal or a drain, then shut down gracefully."""
        settings = self._settings
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._stopping.set)
        if self._file is not None:
            loop.add_signal_handler(signal.SIGHUP, self._file.request_check)
        await self._peers.start()
        parts = reports.Parts(
            self._configuration,
            self._membership,
            self._owner,
            self._keeper,
            self._peers,
            relay.Relay(settings, self._http, self._membership.find),
            recovery.Recovery(self._http),
            self._quarantine,
        )
        operator_reports = reports.Reports(settings, parts)
        self._pauses.on_check(operator_reports.record_lag)
        caller_interface = web.Web(
            settings,
            self._configuration,
            self._membership,
            self._owner,
            parts.passing,
            parts.recovering,
            self._pauses,
        )
        caller_interface.on_refused(operator_reports.record_refusal)
        admin_interface = admin.Admin(
            settings,
            self._incarnation,
            parts,
            operator_reports,
            self._http,
            self._stopping.set,
        )
        bound = [self._listen(admin_interface.application(), settings.admin_port)]
        admin_socket = bound[0][1]
        if self._gateway is not None:
            self._membership.http_address = settings.gateway.front
            accounts = self._gateway.accounting
            accounts.on_ended(operator_reports.record_gateway_request)
            accounts.on_refused(operator_reports.record_refusal)
            accounts.on_silence(operator_reports.record_silence)
            accounts.on_kept(operator_reports.record_kept)
            accounts.on_unanswered(operator_reports.record_unanswered)
            operator_reports.read_reach = self._gateway.reach
            self._gateway.start()
        else:
            bound.append(
                self._listen(caller_interface.application(), settings.http_port)
            )
            self._membership.http_address = _address(bound[1][1])
        early_bind.close_unclaimed()
        self._membership.admin_address = _address(admin_socket)
        for name, work in self._background_work().items():
            self._background.start(name, work)
        serving = []
        for server, listening in bound:
            serving.append(asyncio.create_task(server.serve([listening])))
        logs.event(
            "ready",
            http=self._membership.http_address,
            peer=self._peers.address,
            admin=_address(admin_socket),
            incarnation=self._incarnation,
        )
        await self._stopping.wait()
        await self._shut_down([server for server, _ in bound], serving)

    def _background_work(self) -> dict[str, supervision.Work]:
        """Return what runs until the shutdown, by the names in log lines."""
        platform_settings = self._settings.platform
        listing = platform.instance_lists.get(platform_settings.instances_adapter)
        instances = listing(self._http, platform_settings.instances)
        texts = self._texts
        renewing = renewal.Renewal(
            self._settings,
            self._pauses,
            self._peers,
            self._membership,
            self._configuration,
            texts,
            instances,
            self._servers,
        )
        renewing.start()
        work: dict[str, supervision.Work] = {
            "pauses": self._pauses.check_periodically,
            "renewal": renewing.run,
            "heartbeats": self._membership.send_heartbeats,
            "keeper": self._keeper.tick,
            "leases": self._demands.renew,
            "progress": self._demands.report,
        }
        if self._file is not None:
            self._file.on_change(self._membership.adopt)
            self._file.on_change(self._keeper.cold.adopt)
            self._file.on_change(self._server_states.adopt)
            self._file.on_change(self._quarantine.adopt)
            self._file.on_change(logs.adopt)
            work["settings"] = self._file.run
        if self._servers is not None:
            return work | {"servers": self._servers.read}
        orders = reconciler.Reconciler(
            self._settings,
            self._http,
            self._membership,
            self._configuration,
            self._keeper,
            self._pauses,
        )
        return work | {
            "instances": functools.partial(self._membership.read_list, instances),
            "configuration": functools.partial(
                self._configuration.watch, texts, self._membership
            ),
            "orders": orders.run,
            "limits": self._limits.renew,
            "dependencies": self._dependencies.poll,
            "engine_reports": self._engine_reports.poll,
            "table": self._owner.sweep,
        }

    async def _shut_down(
        self,
        listening: list[uvicorn.Server],
        serving: list[asyncio.Task[None]],
    ) -> None:
        logs.event("leaving", open=self._owner.open_count)
        if self._gateway is not None:
            await self._gateway.drain()
        else:
            self._membership.announce_leaving()
            await self._owner.leave()
            await asyncio.sleep(LINGER_SECONDS)
        for server in listening:
            server.should_exit = True
        await asyncio.gather(*serving, return_exceptions=True)
        await self._background.stop()
        await self._peers.stop()
        await self._http.close()
        logs.event("stopped")

    def _listen(
        self, application: applications.Starlette, port: int
    ) -> tuple[uvicorn.Server, socket.socket]:
        bound = socket.create_server((self._settings.host, port), backlog=512)
        return listeners.server(application, self._clients), bound

    def _adopt_limits(self) -> None:
        """Apply the operators' limits on clients of the configuration in force."""
        snapshot = self._configuration.current
        if snapshot is None or snapshot.routes is None:
            return
        bounds = snapshot.routes.bounds
        self._clients.limits = connection_room.Limits(
            bounds.header_bytes, bounds.header_seconds, bounds.idle_seconds
        )

    def _create_servers(self) -> servers.Servers | None:
        platform_settings = self._settings.platform
        if not platform_settings.servers:
            return None
        store = platform.server_stores.get(platform_settings.servers_adapter)
        server_list = servers.Servers(
            self._settings,
            self._peers,
            self._membership,
            self._configuration,
            store(self._http, platform_settings.servers),
            self._texts,
        )
        self._membership.servers_state = lambda: server_list.state
        return server_list

    def _create_gateway(self) -> service.Gateway | None:
        if not self._settings.gateway.front or self._servers is None:
            return None
        shared = service.Shared(
            self._incarnation,
            self._configuration,
            self._servers,
            self._membership,
            self._peers,
            self._demands,
            self._keeper.rate_limits,
            self._server_reports,
            self._crashes,
            self._pauses,
            self._origins,
            self._clients,
        )
        gateway = service.assemble(self._settings, shared)
        if self._file is not None:
            self._file.on_change(gateway.adopt)
        return gateway

    def _better_address(self) -> str:
        lookup = addresses.answer(
            self._settings, self._membership, self._settings.domain
        )
        for entry in lookup["addresses"]:
            if entry["instance"] != self._settings.instance:
                return entry["address"]
        return ""

    def _is_excluded(self, server: str) -> bool:
        """Return whether a backend server is leaving or evacuated."""
        snapshot = self._configuration.current
        if snapshot is not None and server in snapshot.evacuated_names:
            return True
        return self._membership.is_leaving(server)

    def _mint(self) -> str:
        return self._owner.mint()

    def _measure(self) -> tuple[float, int]:
        return float(self._owner.open_count), self._configuration.revision


def _address(bound: socket.socket) -> str:
    host, port = bound.getsockname()[:2]
    return f"{host}:{port}"
