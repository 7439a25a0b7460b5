"""Brings engines to what the configuration wants: one keeper for each engine.

It reads what the engines of a model say, drains those that may be loaded, orders, and
looks again. All it knows can be lost: the next keeper reads it from the engines.
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


class _Sent(typing.NamedTuple):
    order: orders.Order
    at: float


class _Place(typing.NamedTuple):
    """An engine in the configuration."""

    server: fleet.Server
    shard: str
    protocol: engine_orders.EngineOrders


class Reconciler:
    """Orders of this instance to the engines of the shards that it keeps.

    Parameters
    ----------
    settings : Settings
        Periods and limits.
    http : ClientSession
        Connections to engines.
    membership : Membership
        Whose the shards are.
    configured : Configuration
        What is wanted.
    kept : Keeper
        Told which engines get no new work.
    pauses : Pauses
        Whether this process knows what is true.
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
        self._sent: dict[str, _Sent] = {}
        self._draining_since: dict[str, float] = {}
        self._protocols: dict[str, engine_orders.EngineOrders] = {}
        for name in engine_orders.protocols.names():
            self._protocols[name] = engine_orders.protocols.get(name)(http)

    async def run(self) -> None:
        """Reconcile for ever."""
        while True:
            await asyncio.sleep(self._settings.orders.period)
            snapshot = self._configured.current
            if snapshot is not None and self._pauses.is_current:
                await self.reconcile(snapshot)

    async def reconcile(self, snapshot: snapshots.Snapshot) -> None:
        """Take one step under a configuration."""
        models: dict[str, list[_Place]] = {}
        for place in self._places(snapshot):
            models.setdefault(place.server.model, []).append(place)
        mine: set[str] = set()
        for model, places in models.items():
            own = [place for place in places if self._is_mine(place)]
            if not own:
                continue
            mine.update(place.server.name for place in own)
            await self._reconcile_model(snapshot, model, places, own)
        for name in list(self._draining_since):
            if name not in mine:
                del self._draining_since[name]
        self._keeper.draining &= mine

    def _places(self, snapshot: snapshots.Snapshot) -> list[_Place]:
        found = []
        for name, pool in snapshot.fleet.pools.items():
            protocol = self._protocols.get(pool.adapter)
            if protocol is None:
                continue
            for number in range(snapshot.shard_count(name)):
                shard = f"{name}#{number}"
                for server in snapshot.shard_servers(shard):
                    if server.model:
                        found.append(_Place(server, shard, protocol))
        return found

    def _is_mine(self, place: _Place) -> bool:
        keeper_name = self._membership.keeper_of(place.shard)
        return keeper_name == self._settings.instance

    async def _reconcile_model(
        self,
        snapshot: snapshots.Snapshot,
        model: str,
        places: list[_Place],
        own: list[_Place],
    ) -> None:
        seen = dict(zip([p.server.name for p in own], await _read(own), strict=True))
        wanted = orders.desired(snapshot, places[0].server)
        if any(_differs(wanted, actual) for actual in seen.values()):
            # Only then do the engines that other instances keep matter.
            others = [place for place in places if place.server.name not in seen]
            found = await _read(others)
            for place, actual in zip(others, found, strict=True):
                seen[place.server.name] = actual
        engines = []
        for place in places:
            name = place.server.name
            if name in seen:
                wanted = orders.desired(snapshot, place.server)
                engines.append(self._engine(snapshot, name, wanted, seen[name]))
        chosen = self._settings.orders
        minimum = snapshot.fleet.models[model].serving_minimum
        may_load = orders.may_load(engines, minimum, chosen.loads_at_once)
        if not may_load and any(e.serves and not e.has_version for e in engines):
            logs.detail("loads_wait", model=model, minimum=minimum)
        by_name = {engine.name: engine for engine in engines}
        for place in own:
            engine = by_name[place.server.name]
            await self._step(snapshot, place, engine, engine.name in may_load)

    def _engine(
        self,
        snapshot: snapshots.Snapshot,
        name: str,
        wanted: orders.Desired,
        actual: orders.Actual | None,
    ) -> orders.Engine:
        ordered = False
        if actual is not None and _differs(wanted, actual):
            sent = self._sent.get(name)
            remembered = sent is not None and sent.order.version == wanted.version
            # Its number says that this configuration's order has reached it, whoever
            # sent that.
            ordered = remembered or actual.fence >= orders.fence(snapshot)
        return orders.Engine(name, wanted, actual, ordered)

    async def _step(
        self,
        snapshot: snapshots.Snapshot,
        place: _Place,
        engine: orders.Engine,
        may_load: bool,
    ) -> None:
        name = engine.name
        if engine.actual is None:
            return
        if engine.has_version:
            self._sent.pop(name, None)
            self._draining_since.pop(name, None)
            self._keeper.draining.discard(name)
            order = orders.next_order(
                orders.fence(snapshot), engine.desired, engine.actual
            )
            if order is not None:
                await self._send(snapshot, place, order)
            return
        if not engine.has_model or engine.ordered:
            self._keeper.draining.add(name)
        if engine.ordered:
            await self._repeat(snapshot, place, engine)
            return
        if not may_load:
            if engine.has_model:
                # Another engine has failed meanwhile: this one goes on serving.
                self._draining_since.pop(name, None)
                self._keeper.draining.discard(name)
            return
        self._keeper.draining.add(name)
        since = self._draining_since.setdefault(name, clock.now())
        if not self._is_empty(place, engine.actual, since):
            return
        order = orders.next_order(orders.fence(snapshot), engine.desired, engine.actual)
        if order is not None:
            await self._send(snapshot, place, order)

    def _is_empty(self, place: _Place, actual: orders.Actual, since: float) -> bool:
        waited = clock.now() - since
        if waited >= self._settings.orders.drain_seconds:
            return True
        # Permits given before the drain live on for a while, and what the engine
        # reports is a moment old: both must have passed.
        if waited < self._settings.keeper.permit_ms / 1000.0:
            return False
        shard = self._keeper.shards.get(place.shard)
        running = shard.count_on(place.server.name) if shard is not None else 0
        return not running and not actual.running

    async def _repeat(
        self, snapshot: snapshots.Snapshot, place: _Place, engine: orders.Engine
    ) -> None:
        # An order may have been lost, or its load may have failed without a word.
        # Repeating it too soon would make an engine begin the load again.
        sent = self._sent.get(engine.name)
        assert engine.actual is not None
        order = orders.next_order(orders.fence(snapshot), engine.desired, engine.actual)
        if order is None:
            return
        if sent is None:
            self._sent[engine.name] = _Sent(order, clock.now())
            return
        if clock.now() - sent.at >= self._settings.orders.repeat_seconds:
            await self._send(snapshot, place, order)

    async def _send(
        self, snapshot: snapshots.Snapshot, place: _Place, order: orders.Order
    ) -> None:
        # Engines that ignore the fencing number obey whoever comes last: so the right
        # to send is checked at the last moment. What slips through is seen and put
        # right by the next reading.
        if self._configured.current is not snapshot or not self._pauses.is_current:
            return
        if not self._is_mine(place):
            return
        name = place.server.name
        self._sent[name] = _Sent(order, clock.now())
        try:
            state = await place.protocol.send(place.server, order)
        except exceptions.SupersededOrder as error:
            logs.trouble("order_outranked", server=name, cause=str(error))
            return
        except exceptions.BackendError as error:
            logs.detail("order_failed", server=name, cause=str(error))
            return
        logs.event("ordered", server=name, state=state, **order._asdict())


def _differs(wanted: orders.Desired, actual: orders.Actual | None) -> bool:
    if actual is None:
        return False
    return (actual.model, actual.version) != (wanted.model, wanted.version)


async def _read(places: list[_Place]) -> list[orders.Actual | None]:
    async def one(place: _Place) -> orders.Actual | None:
        try:
            return await place.protocol.read(place.server)
        except exceptions.BackendError:
            return None

    return list(await asyncio.gather(*(one(place) for place in places)))
