"""Orders to engines: a rolling load after a drain, by the keeper only, with fencing."""

import asyncio
import collections.abc
import contextlib
import typing

import aiohttp
import hypothesis
import msgspec
from hypothesis import strategies

from cassiaquay_daemon import pause, platform
from cassiaquay_daemon.decisions import shards
from cassiaquay_daemon.engines import orders, reconciler
from cassiaquay_daemon.fleet import configuration, members
from cassiaquay_daemon.keepers import keeper
from cassiaquay_daemon.links import peers
from cassiaquay_dev.sizing import light
from cassiaquay_dev.standins import engine, engine_settings, serving
from cassiaquay_schema import settings as settings_schema

ACTUAL = orders.Actual("m", "1", [], "", 0, 0)
WANTED = orders.Desired("m", "2", {}, "")
BASE = light.settings_of("cq-1")


def _settings() -> settings_schema.Settings:
    chosen = settings_schema.Orders(period=0.02, repeat_seconds=2.0)
    quick = msgspec.structs.replace(BASE.keeper, permit_ms=50)
    return msgspec.structs.replace(BASE, orders=chosen, keeper=quick)


class Rig:
    """Engine stand-ins and the reconcilers of one or more keepers."""

    def __init__(self) -> None:
        self.engines: dict[str, engine.Engine] = {}
        self.addresses: dict[str, str] = {}
        self.keepers: dict[str, str] = {}
        self.tasks: list[asyncio.Task[None]] = []
        self.lowest = 99

    def text(self, version: str, minimum: int, adapters: str = "") -> str:
        lines = ["[tiers.one]", "rank = 0", "[teams.a]"]
        lines += [f'credentials = ["{"0" * 64}"]', 'tiers = ["one"]']
        lines += ["[models.m]", f'version = "{version}"']
        lines += [f"serving_minimum = {minimum}", f"adapters = {{{adapters}}}"]
        lines += ["[pools.p]"]
        for name, address in self.addresses.items():
            lines += ["[[pools.p.servers]]", f'name = "{name}"']
            lines += [f'address = "{address}"', 'model = "m"', 'role = "general"']
        lines += ["[services.s]", 'pool = "p"', 'model = "m"']
        return "\n".join(lines) + "\n"

    def instance(
        self, http: aiohttp.ClientSession, name: str, text: str, revision: int
    ) -> tuple[reconciler.Reconciler, keeper.Keeper, configuration.Configuration]:
        settings = msgspec.structs.replace(_settings(), instance=name)
        links = peers.Peers(settings, "a" * 12)
        configured = configuration.Configuration(settings, links)
        membership = members.Membership(
            settings, "a" * 12, links, str, lambda: (0.0, 1)
        )
        membership.keeper_of = lambda shard: self.keepers.get(  # type: ignore[method-assign]
            shard, "cq-1"
        )
        configured.accept(platform.Published(revision, text))
        pauses = pause.Pauses(60.0)
        kept = keeper.Keeper(settings, links, membership, configured, pauses)
        reconciling = reconciler.Reconciler(
            settings, http, membership, configured, kept, pauses
        )
        return reconciling, kept, configured

    def run(self, reconciling: reconciler.Reconciler) -> None:
        self.tasks.append(asyncio.create_task(reconciling.run()))

    async def watch(self) -> None:
        """Record the lowest number of engines that serve at the same time."""
        while True:
            ready = sum(1 for e in self.engines.values() if not e.orders.loading)
            self.lowest = min(self.lowest, ready)
            await asyncio.sleep(0.002)

    def at_version(self, version: str) -> bool:
        return all(e.orders.version == version for e in self.engines.values())


@contextlib.asynccontextmanager
async def running_rig(
    count: int, **overrides: typing.Any
) -> collections.abc.AsyncIterator[tuple[Rig, aiohttp.ClientSession]]:
    rig = Rig()
    served = []
    for number in range(count):
        settings = engine_settings.EngineSettings(
            model="m", load_ms=60.0, adapter_load_ms=5.0, report_lag_ms=0, **overrides
        )
        one = engine.Engine(settings)
        listening = serving.Served(one)
        await listening.start()
        rig.engines[f"e{number}"] = one
        rig.addresses[f"e{number}"] = listening.address
        served.append(listening)
    try:
        async with aiohttp.ClientSession() as http:
            async with asyncio.timeout(20):
                yield rig, http
            for task in rig.tasks:
                task.cancel()
            await asyncio.gather(*rig.tasks, return_exceptions=True)
    finally:
        await asyncio.gather(*(one.stop() for one in served))


def test_rolling_load_reaches_all_engines_and_keeps_serving_minimum() -> None:
    """Two of three engines serve at any time while all change to a new version."""

    async def run() -> None:
        async with running_rig(3) as (rig, http):
            rig.tasks.append(asyncio.create_task(rig.watch()))
            sender, *_ = rig.instance(http, "cq-1", rig.text("2", 2), 5)
            rig.run(sender)
            await light.until(lambda: rig.at_version("2"), 15)
            assert rig.lowest == 2
            fences = {o.fence for e in rig.engines.values() for o in e.orders.orders}
            assert fences == {5}

    asyncio.run(run())


def test_no_engine_is_loaded_when_all_are_needed_for_the_minimum() -> None:
    async def run() -> None:
        async with running_rig(2) as (rig, http):
            sender, _, configured = rig.instance(http, "cq-1", rig.text("2", 2), 5)
            for _ in range(10):
                assert configured.current is not None
                await sender.reconcile(configured.current)
                await asyncio.sleep(0.02)
            assert not any(e.orders.orders for e in rig.engines.values())

    asyncio.run(run())


def test_adapters_and_roles_are_ordered_after_the_model() -> None:
    async def run() -> None:
        async with running_rig(1, role="other") as (rig, http):
            text = rig.text("2", 0, 'law = "1"')
            sender, *_ = rig.instance(http, "cq-1", text, 5)
            rig.run(sender)
            received = rig.engines["e0"].orders
            await light.until(lambda: received.role == "general", 15)
            assert received.adapters == ["law"]
            kinds = [order.kind for order in received.orders]
            assert kinds == ["load_model", "load_adapter", "set_role"]

    asyncio.run(run())


def test_engine_is_drained_before_load() -> None:
    """Guards against loading a new version while a request runs on the engine.

    The keeper stops admitting work to the engine, waits until the request is released
    and only then sends the order.
    """

    async def run() -> None:
        async with running_rig(1) as (rig, http):
            text = rig.text("2", 0)
            sender, kept, _ = rig.instance(http, "cq-1", text, 5)
            shard = kept._shard("p#0")
            assert shard is not None
            shard.renew("cq-2", [_outstanding("x", "e0")])
            rig.run(sender)
            await light.until(lambda: "e0" in kept.draining, 10)
            await asyncio.sleep(0.2)
            assert rig.engines["e0"].orders.orders == []
            kept._on_configuration()
            assert shard.closed_servers == {"e0"}
            shard.drop("x")
            await light.until(lambda: rig.at_version("2"), 10)
            await light.until(lambda: "e0" not in kept.draining, 10)

    asyncio.run(run())


def _outstanding(name: str, server: str) -> typing.Any:
    return shards.messages.Outstanding(name, "s", "a", 0, server, 10, 10)


def test_engine_that_ignores_fences_is_corrected_after_an_old_order() -> None:
    """A keeper that was paused sends an old order to an engine that ignores fences.

    The engine goes back to version 1. The current keeper detects this at its next
    reading and sends its order again.
    """

    async def run() -> None:
        async with running_rig(1, refuse_old_fence=False) as (rig, http):
            new, *_ = rig.instance(http, "cq-1", rig.text("2", 0), 6)
            rig.run(new)
            await light.until(lambda: rig.at_version("2"), 10)
            old, *_ = rig.instance(http, "cq-1", rig.text("1", 0), 5)
            old_task = asyncio.create_task(old.run())
            await light.until(lambda: rig.at_version("1"), 10)
            old_task.cancel()
            await light.until(lambda: rig.at_version("2"), 15)

    asyncio.run(run())


def test_engine_that_checks_fences_refuses_an_old_keeper() -> None:
    async def run() -> None:
        async with running_rig(1) as (rig, http):
            new, *_ = rig.instance(http, "cq-1", rig.text("2", 0), 6)
            rig.run(new)
            await light.until(lambda: rig.at_version("2"), 10)
            old, _, configured = rig.instance(http, "cq-1", rig.text("1", 0), 5)
            for _ in range(12):
                assert configured.current is not None
                await old.reconcile(configured.current)
                await asyncio.sleep(0.02)
            assert rig.at_version("2")
            assert {o.fence for o in rig.engines["e0"].orders.orders} == {6}

    asyncio.run(run())


def test_only_the_keeper_sends_orders() -> None:
    """An instance that is not the keeper of the shard sends no order."""

    async def run() -> None:
        async with running_rig(1) as (rig, http):
            sender, _, configured = rig.instance(http, "cq-1", rig.text("2", 0), 5)
            rig.keepers["p#0"] = "cq-2"
            for _ in range(5):
                assert configured.current is not None
                await sender.reconcile(configured.current)
            assert rig.engines["e0"].orders.orders == []

    asyncio.run(run())


ENGINES = strategies.lists(
    strategies.builds(
        lambda version, is_load_ordered, silent: (version, is_load_ordered, silent),
        strategies.sampled_from(["1", "2"]),
        strategies.booleans(),
        strategies.booleans(),
    ),
    max_size=9,
)


@hypothesis.given(ENGINES, strategies.integers(0, 5), strategies.integers(1, 4))
def test_loads_keep_serving_minimum_and_concurrency_limit(
    states: list[tuple[str, bool, bool]], minimum: int, at_once: int
) -> None:
    engines = []
    for index, (version, is_load_ordered, silent) in enumerate(states):
        actual = None if silent else ACTUAL._replace(version=version)
        engines.append(orders.Engine(f"e{index}", WANTED, actual, is_load_ordered))
    names = orders.may_load(engines, minimum, at_once)
    assert names == orders.may_load(engines[::-1], minimum, at_once)
    serving = {engine.name for engine in engines if engine.is_serving}
    loading = [e for e in engines if e.is_load_ordered and not e.has_desired_version]
    assert not names or len(loading) + len(names) <= at_once
    assert not serving & set(names) or len(serving - set(names)) >= minimum
