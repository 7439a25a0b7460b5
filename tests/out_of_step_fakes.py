"""The surroundings of an instance in virtual time: links, store and servers.

What a paused instance awaits comes when it goes on.
"""

import asyncio
import contextvars
import typing
from unittest import mock

import out_of_step_plans as plans
import policy_fakes as fakes

from cassiaquay_daemon import clock, exceptions, platform, positions
from cassiaquay_daemon.configured import snapshots
from cassiaquay_daemon.decisions import paths
from cassiaquay_daemon.gateway import process_checks
from cassiaquay_dev.lab import virtual_time
from cassiaquay_schema import fleet, messages

REPORT_SECONDS = 0.02
# The instance whose work runs, empty for none.
OWNER: contextvars.ContextVar[str] = contextvars.ContextVar("owner", default="")


class Network(typing.Protocol):
    """What links and stores need of all instances."""

    plan: plans.Plan

    def transmit(self, sender: str, receiver: str, message: messages.Message) -> None:
        """Deliver a message to a handler, or hold or lose it."""


class Loop(virtual_time.VirtualLoop):
    """A loop in which the timers of a paused instance fire when it goes on."""

    plan: plans.Plan

    def call_at(
        self,
        when: float,
        callback: typing.Any,
        *args: typing.Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedule a callback, after the pause of its instance."""
        owner = OWNER.get() if context is None else context.get(OWNER, "")
        pausing = self.plan.pause()
        if owner == self.plan.odd and pausing is not None and pausing.holds(when):
            # All of them run in the first pass after it, in any order.
            when = pausing.ended_at + self.plan.random.random() * 1e-10
        return super().call_at(when, callback, *args, context=context)


class Link:
    """One instance's end of a link."""

    def __init__(self, wire: "Wire", instance: str):
        self.instance = instance
        self.dialled = True
        self.is_closing = False
        self._wire = wire

    def send(self, message: messages.Message) -> bool:
        """Send a message, which a fault may hold or lose."""
        self._wire.fleet.transmit(self._wire.name, self.instance, message)
        return True


class Wire(fakes.Links):
    """The links of one instance."""

    address = ""

    def __init__(self, made: Network, name: str):
        super().__init__()
        self.fleet = made
        self.name = name
        self.up_calls: list = []
        self.down_calls: list = []
        self._links: dict[str, Link] = {}

    def on_up(self, call: typing.Any) -> None:
        """Register a callback for links that have come up."""
        self.up_calls.append(call)

    def on_down(self, call: typing.Any) -> None:
        """Register a callback for links that have closed."""
        self.down_calls.append(call)

    def end(self, instance: str) -> Link:
        """Return the link to an instance."""
        return self._links.setdefault(instance, Link(self, instance))

    def link(self, instance: str, address: str) -> Link | None:
        """Return the link to an instance; None while it is dialled."""
        if self.fleet.plan.is_dialling(self.name, instance, clock.now()):
            return None
        return self.end(instance)

    def close_idle(self) -> None:
        """Keep all links."""


class Configured:
    """The configuration in force: one service with the listed servers."""

    def __init__(self) -> None:
        pool = fleet.Pool(servers=[])
        made = fleet.Fleet(tiers={}, teams={}, pools={"chat": pool}, services={})
        self._text = snapshots.Snapshot(1, "", made, {})
        self.current = self._text
        self._calls: list = []

    def on_accept(self, call: typing.Any) -> None:
        """Register a callback."""
        self._calls.append(call)

    def should_fetch(self, version: positions.TextVersion) -> bool:
        """Return that no newer text is known."""
        return False

    def set_registered_servers(self, registered: snapshots.RegisteredServers) -> None:
        """Publish the listed servers."""
        self.current = snapshots.with_servers(self._text, registered)
        for call in self._calls:
            call()

    async def read_once(self, texts: object) -> None:
        """Read no text."""


class Store:
    """The store as one instance reads it."""

    def __init__(self, made: Network, name: str):
        self._fleet = made
        self._name = name

    async def read(self) -> platform.ServersRead:
        """Return the servers as of a time between the call and its return."""
        return self._fleet.plan.read(await self._answer(1))

    async def read_past(self) -> platform.ServersPast:
        """Return the history as of the first of some calls."""
        return self._fleet.plan.read_past(await self._answer(4))

    async def _answer(self, count: int) -> float:
        plan = self._fleet.plan
        seconds = plan.store_seconds * plan.random.uniform(0.5, 1.5)
        taken_at = clock.now() + seconds * plan.random.random()
        is_away = self._is_away(clock.now()) or self._is_away(taken_at)
        await asyncio.sleep(seconds * count)
        if is_away or self._is_away(clock.now()):
            await asyncio.sleep(plan.random.choice([0.0, 0.5]))
            raise exceptions.PlatformError("away")
        return taken_at

    def _is_away(self, at: float) -> bool:
        plan = self._fleet.plan
        if plan.has_fault(plans.OUTAGE, at):
            return True
        return self._name == plan.odd and plan.has_fault(plans.STORE, at)


class Connection:
    """A connection to a process of a server."""

    def __init__(self, observed: paths.Paths, server: fleet.Server):
        self.opened_at = clock.now()
        self._heard_at = self.opened_at
        self._processes = observed.processes
        self._address = server.address
        self._started_ms: int | None = None

    @property
    def started_ms(self) -> int | None:
        """Start time that the process has reported; None if not known."""
        if self._started_ms is None:
            self._started_ms = self._processes.identify(
                self._address, self.opened_at, self._heard_at
            )
        return self._started_ms

    def heard(self) -> None:
        """Record events."""
        self._heard_at = clock.now()
        self._started_ms = self._processes.note_alive(
            self._address, self.opened_at, self._started_ms
        )


class Checks(process_checks.ProcessChecks):
    """Asks the servers of a plan for their reports."""

    def __init__(self, made: Network, observed: paths.Paths):
        super().__init__(mock.Mock(), observed, mock.Mock())
        self._network = made

    async def _ask(self, server: fleet.Server) -> int | None:
        """Return the reported start; None without an answer."""
        asked_at = clock.now()
        await asyncio.sleep(REPORT_SECONDS)
        process = self._network.plan.running(server.name, clock.now())
        if process is None:
            # Its machine refuses connections.
            self._note_refused(server.address, asked_at)
            return None
        started_ms = process.started_ms
        opened_at = max(asked_at, process.born)
        self._paths.processes.note_report(
            server.address, opened_at, started_ms, asked_at
        )
        return started_ms
