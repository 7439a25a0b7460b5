"""One instance of a plan: real lists, origins and decisions, and its streams."""

import asyncio
import types
import typing

import msgspec
import out_of_step_fakes as surroundings
import out_of_step_plans as plans
import policy_fakes as fakes

from cassiaquay_daemon import clock, exceptions, pause, platform
from cassiaquay_daemon.configured import routing
from cassiaquay_daemon.decisions import (
    paths,
    software_versions,
    stream_origins,
    version_choice,
)
from cassiaquay_daemon.fleet import members, server_breaks, servers
from cassiaquay_daemon.fleet import stream_origins as origin_reports
from cassiaquay_daemon.gateway import calls, progress, resuming, writers
from cassiaquay_daemon.platform import headers
from cassiaquay_schema import fleet

# What became of a stream that was taken up.
JOINED = "joined"
WENT_ON = "went on"
# Refused since its origin is not known.
UNKNOWN = "unknown"
# No server of its version could be used.
UNSERVED = "unserved"
EVENTS_SECONDS = 0.1
CONNECT_SECONDS = 0.002
ASKED_REPORTS = 4


class Outcome(typing.NamedTuple):
    """What became of a stream at one return of its caller."""

    stream: plans.Stream
    at: float
    instance: str
    result: str
    began_version: str
    # Whether its version was on record where it began.
    is_settled: bool
    version: str = ""


class Instance:
    """One instance with its list, its origins and the streams that it serves."""

    def __init__(self, made: surroundings.Network, name: str, domain: str):
        self.name = name
        self.domain = domain
        settings = msgspec.structs.replace(fakes.settings(name), domain=domain)
        self.wire = surroundings.Wire(made, name)
        self.configured = surroundings.Configured()
        wire = typing.cast(typing.Any, self.wire)
        configured = typing.cast(typing.Any, self.configured)
        self.pauses = pause.Pauses(pause.shortest_lease(settings))
        self.members = members.Membership(
            settings, f"{clock.now()}", wire, lambda: name, lambda: (0.0, 1)
        )
        texts = types.SimpleNamespace(evacuated=platform.NOTHING_EVACUATED)
        self.servers = servers.Servers(
            settings,
            wire,
            self.members,
            configured,
            surroundings.Store(made, name),
            typing.cast(typing.Any, texts),
        )
        self.members.servers_state = lambda: self.servers.state
        self.pauses.on_resume(self.members.restart_silence_timers)
        self.pauses.on_resume(self._renew)
        self.origins = origin_reports.StreamOrigins(settings, wire, self.members)
        self.paths = paths.Paths(dict)
        self.checks = surroundings.Checks(made, self.paths)
        breaks = server_breaks.ServerBreaks()
        self.resuming = resuming.Resuming(
            configured,
            self.origins,
            self.servers,
            writers.Writers(self.checks, self.paths, breaks, self.servers),
            self.checks,
        )
        self.is_dead = False
        self._network = made
        self._tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Start the periodic work."""
        for work in (
            self.pauses.check_periodically(),
            self.members.send_heartbeats(),
            self.servers.read(),
        ):
            self._tasks.append(asyncio.get_running_loop().create_task(work))

    def kill(self) -> None:
        """End this process, which loses everything that it knows."""
        self.is_dead = True
        for task in self._tasks:
            task.cancel()

    async def begin(self, stream: plans.Stream) -> "Running | None":
        """Begin a stream; return it once its first event has come."""
        state = self._state(stream.attempt, "", plans.CALLER_SECONDS)
        await self.resuming.resolve(state)
        listed = self.configured.current.fleet.pools["chat"].servers
        key = stream_origins.key_of("", stream.attempt)
        state.begins_at = version_choice.choose(key, listed)
        usable = software_versions.matching(listed, state.begins_at)
        await asyncio.sleep(CONNECT_SECONDS)
        process, server = self._connect(usable or listed)
        if process is None or server is None:
            return None
        return Running(self, stream, state, self._ticket(state, server), process)

    async def take_up(
        self, run: "Running", attempt: str, resumes: str, left: float
    ) -> Outcome:
        """Take a stream up that has broken."""
        state = self._state(attempt, resumes, left)
        outcome = Outcome(
            run.stream,
            clock.now(),
            self.name,
            UNSERVED,
            run.process.version,
            run.is_settled,
        )
        try:
            await self.resuming.resolve(state)
            process = await self._send(state)
        except exceptions.OriginUnknown:
            return outcome._replace(result=UNKNOWN)
        if process is None:
            return outcome
        result = WENT_ON if process.version == run.process.version else JOINED
        return outcome._replace(result=result, version=process.version)

    async def _send(self, state: progress.RequestState) -> plans.Process | None:
        """Send a stream to a server of its version; return the process."""
        silent: set[str] = set()
        for _ in range(ASKED_REPORTS):
            if not await self.pauses.wait(1.0):
                return None
            self.resuming.settle_origin(state)
            listed = self.configured.current.fleet.pools["chat"].servers
            found = software_versions.matching(listed, state.software)
            found = [server for server in found if server.name not in state.tried]
            if not found:
                return None
            answering = [item for item in found if item.name not in silent]
            server = self._network.plan.random.choice(answering or found)
            ticket = self._ticket(state, server)
            try:
                await self.checks.check(state, ticket)
            except exceptions.NotSent:
                silent.add(server.name)
                continue
            if not self.pauses.is_current or not self._is_usable(state, server):
                continue
            process = self._network.plan.running(server.name, clock.now())
            if process is None:
                state.add_tried(server.name)
                continue
            self.note(state, ticket, surroundings.Connection(self.paths, server))
            return process
        return None

    def note_reset(self, address: str) -> None:
        """Note that the idle connections to a server were reset."""
        self.paths.processes.note_broken(address)

    def _is_usable(self, state: progress.RequestState, server: fleet.Server) -> bool:
        listed = self.configured.current.server("chat", server.name)
        return listed is not None and listed.software == state.software

    def _connect(
        self, usable: list[fleet.Server]
    ) -> tuple[plans.Process | None, fleet.Server | None]:
        plan = self._network.plan
        for server in plan.random.sample(usable, len(usable)):
            process = plan.running(server.name, clock.now())
            if process is not None:
                return process, server
        return None, None

    def note(
        self,
        state: progress.RequestState,
        ticket: typing.Any,
        connection: surroundings.Connection,
    ) -> None:
        """Pass an event on."""
        connection.heard()
        self.resuming.note_events(state, ticket, typing.cast(typing.Any, connection))

    def _ticket(self, state: progress.RequestState, server: fleet.Server) -> typing.Any:
        demand = types.SimpleNamespace(id=state.call.parsed.attempt)
        return types.SimpleNamespace(server=server, demand=demand)

    def _state(
        self, attempt: str, resumes: str, seconds: float
    ) -> progress.RequestState:
        pairs = [(b"cassiaquay-attempt-id", attempt.encode())]
        if resumes:
            pairs += [(b"resumes", resumes.encode()), (b"last-event-id", b"3")]
        parsed = headers.read(pairs)._replace(deadline_ms=int(seconds * 1000.0))
        now = clock.now()
        return progress.RequestState(
            calls.Call(
                "POST",
                "/",
                pairs,
                parsed,
                b"",
                ROUTE,
                "chat",
                None,
                self.configured.current,
                now,
                now + seconds,
            )
        )

    def _renew(self) -> None:
        self.pauses.hold()
        seconds = self._network.plan.random.choice([0.02, 0.3])
        asyncio.get_running_loop().call_later(seconds, self.pauses.release)


ROUTE = routing.Route(
    "r",
    "h",
    "/",
    routing.Kind.STREAM,
    (routing.Share("chat", 1),),
    plans.CALLER_SECONDS,
    0.4,
    0.3,
    0,
    2,
    True,
    True,
)


class Running:
    """A stream that is being written."""

    def __init__(
        self,
        instance: Instance,
        stream: plans.Stream,
        state: progress.RequestState,
        ticket: typing.Any,
        process: plans.Process,
    ):
        self.stream = stream
        self.process = process
        self._instance = instance
        self._state = state
        self._ticket = ticket
        self._connection = surroundings.Connection(instance.paths, ticket.server)
        instance.note(state, ticket, self._connection)

    @property
    def is_settled(self) -> bool:
        """Whether its version is on record where it began."""
        origin = self._state.origin
        return origin is not None and not origin.is_open

    async def run(self) -> None:
        """Pass events on until it breaks or its server ends."""
        ended_at = clock.now() + self.stream.seconds
        while clock.now() < min(ended_at, self.process.dead_at):
            await asyncio.sleep(min(EVENTS_SECONDS, self.stream.seconds))
            if self._instance.is_dead:
                return
            if clock.now() < self.process.dead_at:
                self._instance.note(self._state, self._ticket, self._connection)
