"""Reconciles engines with the configuration; each engine's keeper sends its orders.

In each period it reads the state of a model's engines, drains those that may be loaded
and sends them their next order. Its own state is only a cache: after a change of
keeper, the new keeper reads the state from the engines.
"""

import asyncio
import typing

import aiohttp

from cassiaquay_schema import fleet
from cassiaquay_schema import settings as settings_schema

from .. import clock, exceptions, logs, pause
from ..configured import snapshots
from ..fleet import configuration, members
from ..keepers import keeper
from . import engine_orders, orders


class _SentOrder(typing.NamedTuple):
    order: orders.Order
    sent_at: float


class _Target(typing.NamedTuple):
    """An engine in the configuration, its shard and the protocol for its orders."""

    server: fleet.Server
    shard: str
    protocol: engine_orders.EngineOrders


class Reconciler:
    """Sends orders to the engines of the shards whose keeper is this instance.

    Parameters
    ----------
    settings : Settings
        Periods and limits.
    http : ClientSession
        Connections to engines.
    membership : Membership
        Names the keeper of each shard.
    configured : Configuration
        The desired state of engines.
    kept : Keeper
        Admits no new work to engines in its set ``draining``.
    pauses : Pauses
        Whether this process's view is current; after a pause of the process no order
        is sent until it is again.
    """

    def __init__(
        self,
        settings: settings_schema.Settings,
        http: aiohttp.ClientSession,
        membership: members.Membership,
        configured: configuration.Configuration,
        kept: keeper.Keeper,
        pauses: pause.Pauses,
    ):
        self._settings = settings
        self._membership = membership
        self._configured = configured
        self._keeper = kept
        self._pauses = pauses
        self._sent: dict[str, _SentOrder] = {}
        self._draining_since: dict[str, float] = {}
        self._protocols: dict[str, engine_orders.EngineOrders] = {}
        for name in engine_orders.protocols.names():
            self._protocols[name] = engine_orders.protocols.get(name)(http)

    async def run(self) -> None:
        """Reconcile in every period until cancelled."""
        while True:
            await asyncio.sleep(self._settings.orders.period)
            snapshot = self._configured.current
            if snapshot is not None and self._pauses.is_current:
                await self.reconcile(snapshot)

    async def reconcile(self, snapshot: snapshots.Snapshot) -> None:
        """Advance every engine kept here by at most one order."""
        models: dict[str, list[_Target]] = {}
        for target in self._targets(snapshot):
            models.setdefault(target.server.model, []).append(target)
        own_names: set[str] = set()
        for model, targets in models.items():
            own = [target for target in targets if self._is_mine(target)]
            if not own:
                continue
            own_names.update(target.server.name for target in own)
            await self._reconcile_model(snapshot, model, targets, own)
        for name in list(self._draining_since):
            if name not in own_names:
                del self._draining_since[name]
        self._keeper.draining &= own_names

    def _targets(self, snapshot: snapshots.Snapshot) -> list[_Target]:
        targets = []
        for name, pool in snapshot.fleet.pools.items():
            protocol = self._protocols.get(pool.adapter)
            if protocol is None:
                continue
            for number in range(snapshot.shard_count(name)):
                shard = f"{name}#{number}"
                for server in snapshot.shard_servers(shard):
                    if server.model:
                        targets.append(_Target(server, shard, protocol))
        return targets

    def _is_mine(self, target: _Target) -> bool:
        keeper_name = self._membership.keeper_of(target.shard)
        return keeper_name == self._settings.instance

    async def _reconcile_model(
        self,
        snapshot: snapshots.Snapshot,
        model: str,
        targets: list[_Target],
        own_targets: list[_Target],
    ) -> None:
        actual_by_name = dict(
            zip(
                [p.server.name for p in own_targets],
                await _read(own_targets),
                strict=True,
            )
        )
        wanted = orders.desired(snapshot, targets[0].server)
        if any(_needs_load(wanted, actual) for actual in actual_by_name.values()):
            # Engines of other keepers count only when a load is due here.
            foreign_targets = [
                target for target in targets if target.server.name not in actual_by_name
            ]
            foreign_states = await _read(foreign_targets)
            for target, actual in zip(foreign_targets, foreign_states, strict=True):
                actual_by_name[target.server.name] = actual
        engines = []
        for target in targets:
            name = target.server.name
            if name in actual_by_name:
                wanted = orders.desired(snapshot, target.server)
                engines.append(
                    self._engine(snapshot, name, wanted, actual_by_name[name])
                )
        limits = self._settings.orders
        minimum = snapshot.fleet.models[model].serving_minimum
        may_load = orders.may_load(engines, minimum, limits.loads_at_once)
        if not may_load and any(
            e.is_serving and not e.has_desired_version for e in engines
        ):
            logs.detail("loads_wait", model=model, minimum=minimum)
        by_name = {engine.name: engine for engine in engines}
        for target in own_targets:
            engine = by_name[target.server.name]
            await self._advance(snapshot, target, engine, engine.name in may_load)

    def _engine(
        self,
        snapshot: snapshots.Snapshot,
        name: str,
        wanted: orders.Desired,
        actual: orders.Actual | None,
    ) -> orders.Engine:
        is_load_ordered = False
        if actual is not None and _needs_load(wanted, actual):
            sent = self._sent.get(name)
            is_order_sent = sent is not None and sent.order.version == wanted.version
            # An engine with this fence has accepted an order of this configuration,
            # possibly from another keeper.
            is_load_ordered = is_order_sent or actual.fence >= orders.fence(snapshot)
        return orders.Engine(name, wanted, actual, is_load_ordered)

    async def _advance(
        self,
        snapshot: snapshots.Snapshot,
        target: _Target,
        engine: orders.Engine,
        may_load: bool,
    ) -> None:
        name = engine.name
        if engine.actual is None:
            return
        if engine.has_desired_version:
            self._sent.pop(name, None)
            self._draining_since.pop(name, None)
            self._keeper.draining.discard(name)
            order = orders.next_order(
                orders.fence(snapshot), engine.desired, engine.actual
            )
            if order is not None:
                await self._send(snapshot, target, order)
            return
        if not engine.has_desired_model or engine.is_load_ordered:
            self._keeper.draining.add(name)
        if engine.is_load_ordered:
            await self._repeat_if_due(snapshot, target, engine)
            return
        if not may_load:
            if engine.has_desired_model:
                # Another engine failed during the drain, so this one keeps serving.
                self._draining_since.pop(name, None)
                self._keeper.draining.discard(name)
            return
        self._keeper.draining.add(name)
        since = self._draining_since.setdefault(name, clock.now())
        if not self._is_empty(target, engine.actual, since):
            return
        order = orders.next_order(orders.fence(snapshot), engine.desired, engine.actual)
        if order is not None:
            await self._send(snapshot, target, order)

    def _is_empty(self, target: _Target, actual: orders.Actual, since: float) -> bool:
        waited = clock.now() - since
        if waited >= self._settings.orders.drain_seconds:
            return True
        # Permits granted before the drain stay valid for `permit_ms`, and the engine's
        # report is older than this check; a count of 0 is reliable only after both.
        if waited < self._settings.keeper.permit_ms / 1000.0:
            return False
        shard = self._keeper.shards.get(target.shard)
        running = shard.count_on(target.server.name) if shard is not None else 0
        return not running and not actual.running

    async def _repeat_if_due(
        self, snapshot: snapshots.Snapshot, target: _Target, engine: orders.Engine
    ) -> None:
        # An order may have been lost, or its load may have failed without a report.
        # Repeating it too early would make the engine restart a load in progress.
        sent = self._sent.get(engine.name)
        assert engine.actual is not None
        order = orders.next_order(orders.fence(snapshot), engine.desired, engine.actual)
        if order is None:
            return
        if sent is None:
            self._sent[engine.name] = _SentOrder(order, clock.now())
            return
        if clock.now() - sent.sent_at >= self._settings.orders.repeat_seconds:
            await self._send(snapshot, target, order)

    async def _send(
        self, snapshot: snapshots.Snapshot, target: _Target, order: orders.Order
    ) -> None:
        # Engines that ignore the fence obey the last order that arrives, so this
        # keeper's right to send is checked immediately before sending. The next
        # reading detects and corrects an order sent wrongly nevertheless.
        if self._configured.current is not snapshot or not self._pauses.is_current:
            return
        if not self._is_mine(target):
            return
        name = target.server.name
        self._sent[name] = _SentOrder(order, clock.now())
        try:
            state = await target.protocol.send(target.server, order)
        except exceptions.SupersededOrder as error:
            logs.trouble("order_outranked", server=name, cause=str(error))
            return
        except exceptions.BackendError as error:
            logs.detail("order_failed", server=name, cause=str(error))
            return
        logs.event("ordered", server=name, state=state, **order._asdict())


def _needs_load(wanted: orders.Desired, actual: orders.Actual | None) -> bool:
    if actual is None:
        return False
    return (actual.model, actual.version) != (wanted.model, wanted.version)


async def _read(targets: list[_Target]) -> list[orders.Actual | None]:
    async def read_or_none(target: _Target) -> orders.Actual | None:
        try:
            return await target.protocol.read(target.server)
        except exceptions.BackendError as error:
            logs.detail("state_unreadable", server=target.server.name, cause=str(error))
            return None

    return list(await asyncio.gather(*(read_or_none(target) for target in targets)))
