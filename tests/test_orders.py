"""Orders to engines: loads in turn, drained first, by one keeper, put right after."""

import asyncio
import collections.abc
import contextlib
import typing

import aiohttp
import hypothesis
import msgspec
from hypothesis import strategies

from cassiaquay_daemon import pause
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
        configured.accept(revision, text)
        pauses = pause.Pauses(60.0)
        kept = keeper.Keeper(settings, links, membership, configured, pauses)
        made = reconciler.Reconciler(
            settings, http, membership, configured, kept, pauses
        )
        return made, kept, configured

    def run(self, made: reconciler.Reconciler) -> None:
        self.tasks.append(asyncio.create_task(made.run()))

    async def watch(self) -> None:
        """Note the lowest number of engines that serve at a time."""
        while True:
            ready = sum(1 for e in self.engines.values() if not e.orders.loading)
            self.lowest = min(self.lowest, ready)
            await asyncio.sleep(0.002)

    def at_version(self, version: str) -> bool:
        return all(e.orders.version == version for e in self.engines.values())


@contextlib.asynccontextmanager
async def rig(
    count: int, **more: typing.Any
) -> collections.abc.AsyncIterator[tuple[Rig, aiohttp.ClientSession]]:
    made = Rig()
    served = []
    for number in range(count):
        settings = engine_settings.EngineSettings(
            model="m", load_ms=60.0, adapter_load_ms=5.0, report_lag_ms=0, **more
        )
        one = engine.Engine(settings)
        listening = serving.Served(one)
        await listening.start()
        made.engines[f"e{number}"] = one
        made.addresses[f"e{number}"] = listening.address
        served.append(listening)
    try:
        async with aiohttp.ClientSession() as http:
            async with asyncio.timeout(20):
                yield made, http
            for task in made.tasks:
                task.cancel()
            await asyncio.gather(*made.tasks, return_exceptions=True)
    finally:
        await asyncio.gather(*(one.stop() for one in served))


def test_a_new_version_reaches_all_engines_and_keeps_the_minimum() -> None:
    """Callers find two of three engines at every moment while all change version."""

    async def run() -> None:
        async with rig(3) as (made, http):
            made.tasks.append(asyncio.create_task(made.watch()))
            one, *_ = made.instance(http, "cq-1", made.text("2", 2), 5)
            made.run(one)
            await light.until(lambda: made.at_version("2"), 15)
            assert made.lowest == 2
            fences = {o.fence for e in made.engines.values() for o in e.orders.orders}
            assert fences == {5}

    asyncio.run(run())


def test_where_no_engine_can_be_spared_none_is_loaded() -> None:
    async def run() -> None:
        async with rig(2) as (made, http):
            one, _, configured = made.instance(http, "cq-1", made.text("2", 2), 5)
            for _ in range(10):
                assert configured.current is not None
                await one.reconcile(configured.current)
                await asyncio.sleep(0.02)
            assert not any(e.orders.orders for e in made.engines.values())

    asyncio.run(run())


def test_adapters_and_roles_are_ordered_after_the_model() -> None:
    async def run() -> None:
        async with rig(1, role="other") as (made, http):
            text = made.text("2", 0, 'law = "1"')
            one, *_ = made.instance(http, "cq-1", text, 5)
            made.run(one)
            told = made.engines["e0"].orders
            await light.until(lambda: told.role == "general", 15)
            assert told.adapters == ["law"]
            kinds = [order.kind for order in told.orders]
            assert kinds == ["load_model", "load_adapter", "set_role"]

    asyncio.run(run())


def test_an_engine_is_drained_before_it_loads() -> None:
    """A request that runs on an engine is not cut off by the load of a new version.

    The keeper gives the engine no new work, waits until the request is released, and
    only then sends the order.
    """

    async def run() -> None:
        async with rig(1) as (made, http):
            text = made.text("2", 0)
            one, kept, _ = made.instance(http, "cq-1", text, 5)
            shard = kept._shard("p#0")
            assert shard is not None
            shard.renew("cq-2", [_outstanding("x", "e0")])
            made.run(one)
            await light.until(lambda: "e0" in kept.draining, 10)
            await asyncio.sleep(0.2)
            assert made.engines["e0"].orders.orders == []
            kept._on_configuration()
            assert shard.closed_servers == {"e0"}
            shard.drop("x")
            await light.until(lambda: made.at_version("2"), 10)
            await light.until(lambda: "e0" not in kept.draining, 10)

    asyncio.run(run())


def _outstanding(name: str, server: str) -> typing.Any:
    return shards.messages.Outstanding(name, "s", "a", 0, server, 10, 10)


def test_an_engine_that_ignores_the_number_is_put_right() -> None:
    """A paused keeper's old order reaches an engine that obeys whoever comes last.

    The engine goes back to version 1. The keeper of now reads that and orders anew.
    """

    async def run() -> None:
        async with rig(1, refuse_old_fence=False) as (made, http):
            new, *_ = made.instance(http, "cq-1", made.text("2", 0), 6)
            made.run(new)
            await light.until(lambda: made.at_version("2"), 10)
            old, *_ = made.instance(http, "cq-1", made.text("1", 0), 5)
            old_task = asyncio.create_task(old.run())
            await light.until(lambda: made.at_version("1"), 10)
            old_task.cancel()
            await light.until(lambda: made.at_version("2"), 15)

    asyncio.run(run())


def test_an_engine_that_checks_the_number_refuses_an_old_keeper() -> None:
    async def run() -> None:
        async with rig(1) as (made, http):
            new, *_ = made.instance(http, "cq-1", made.text("2", 0), 6)
            made.run(new)
            await light.until(lambda: made.at_version("2"), 10)
            old, _, configured = made.instance(http, "cq-1", made.text("1", 0), 5)
            for _ in range(12):
                assert configured.current is not None
                await old.reconcile(configured.current)
                await asyncio.sleep(0.02)
            assert made.at_version("2")
            assert {o.fence for o in made.engines["e0"].orders.orders} == {6}

    asyncio.run(run())


def test_nobody_but_the_keeper_orders() -> None:
    """An instance that loses a shard between reading and ordering sends nothing."""

    async def run() -> None:
        async with rig(1) as (made, http):
            one, _, configured = made.instance(http, "cq-1", made.text("2", 0), 5)
            made.keepers["p#0"] = "cq-2"
            for _ in range(5):
                assert configured.current is not None
                await one.reconcile(configured.current)
            assert made.engines["e0"].orders.orders == []

    asyncio.run(run())


ENGINES = strategies.lists(
    strategies.builds(
        lambda version, ordered, silent: (version, ordered, silent),
        strategies.sampled_from(["1", "2"]),
        strategies.booleans(),
        strategies.booleans(),
    ),
    max_size=9,
)


@hypothesis.given(ENGINES, strategies.integers(0, 5), strategies.integers(1, 4))
def test_loads_never_go_below_the_minimum_nor_above_the_rate(
    made: list[tuple[str, bool, bool]], minimum: int, at_once: int
) -> None:
    engines = []
    for index, (version, ordered, silent) in enumerate(made):
        actual = None if silent else ACTUAL._replace(version=version)
        engines.append(orders.Engine(f"e{index}", WANTED, actual, ordered))
    names = orders.may_load(engines, minimum, at_once)
    assert names == orders.may_load(engines[::-1], minimum, at_once)
    serving = {engine.name for engine in engines if engine.serves}
    loading = [e for e in engines if e.ordered and not e.has_version]
    assert not names or len(loading) + len(names) <= at_once
    assert not serving & set(names) or len(serving - set(names)) >= minimum
