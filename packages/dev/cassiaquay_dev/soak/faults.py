"""Faults from outside, each a coroutine that begins, lasts and ends.

A fault notes what it disturbs and until when, so that the checks know which daemons
were left alone. Several run at a time, each with chances of its own, so that a seed
gives the same faults again.
"""

import asyncio
import collections.abc
import random
import signal
import typing

from cassiaquay_schema import registry

from ..network import proxies
from . import records, site

Fault = collections.abc.Callable[
    [site.Site, random.Random], collections.abc.Coroutine[typing.Any, typing.Any, None]
]
faults: registry.Registry[Fault] = registry.Registry("soak fault")
ALL = "all"
# Played when asked for only: a seed that was kept must play the faults that it found.
BY_REQUEST = ("crashing_request",)
# Planned work on several daemons leaves so much between them, as an operator would.
ROLLING_SECONDS = 0.7
DRAIN_SECONDS = 2.0
RETURN_SECONDS = 2.0


def _some(at: site.Site, chance: random.Random) -> list[site.Daemon]:
    """Return one daemon, a few or all."""
    count = chance.choice([1, 1, 1, 2, len(at.daemons)])
    return chance.sample(at.daemons, min(count, len(at.daemons)))


class _Disturbed:
    """Notes that something is disturbed from now to the end of a block."""

    def __init__(self, at: site.Site, *names: str):
        self._at = at
        self._names = names
        self._start = 0.0

    def __enter__(self) -> None:
        self._start = records.now()
        for name in self._names:
            self._at.seen.faults.add(name, self._start)

    def __exit__(self, *error: object) -> None:
        for name in self._names:
            self._at.seen.faults.end(name, self._start, records.now())


async def _kill(
    at: site.Site, chance: random.Random, chosen: list[site.Daemon]
) -> None:
    with _Disturbed(at, *(one.name for one in chosen)):
        down = chance.uniform(0.1, 2.0)
        for one in chosen:
            await one.kill()
        await asyncio.sleep(down)
        for one in chosen:
            await one.start()


@faults.register("kill")
async def kill(at: site.Site, chance: random.Random) -> None:
    """Kill daemons and start them again."""
    await _kill(at, chance, _some(at, chance))


@faults.register("kill_after_change")
async def kill_after_change(at: site.Site, chance: random.Random) -> None:
    """Kill all right after a new configuration."""
    _change(at, chance)
    await asyncio.sleep(chance.uniform(0.0, 0.3))
    await _kill(at, chance, at.daemons)


@faults.register("pause")
async def pause(at: site.Site, chance: random.Random) -> None:
    """Stop daemons for a while and let them go on."""
    chosen = _some(at, chance)
    with _Disturbed(at, *(one.name for one in chosen)):
        for one in chosen:
            one.send(signal.SIGSTOP)
        await asyncio.sleep(chance.uniform(0.1, 4.0))
        for one in chosen:
            one.send(signal.SIGCONT)


@faults.register("stop")
async def stop(at: site.Site, chance: random.Random) -> None:
    """Stop daemons as planned, one after the other, and start them again."""
    for one in _some(at, chance):
        if not one.is_running or not one.wanted:
            continue
        start = records.now()
        at.seen.planned.add(one.name, start)
        await one.stop()
        await one.start()
        at.seen.planned.end(one.name, start, records.now() + site.CONTACT_SECONDS)
        await asyncio.sleep(chance.uniform(0.0, ROLLING_SECONDS))


@faults.register("reload")
async def reload(at: site.Site, chance: random.Random) -> None:
    """Tell daemons that their settings have changed."""
    for one in _some(at, chance):
        one.tell(signal.SIGHUP)


@faults.register("clock")
async def clock(at: site.Site, chance: random.Random) -> None:
    """Let the time of day of daemons jump, and jump back."""
    chosen = _some(at, chance)
    with _Disturbed(at, *(one.name for one in chosen)):
        for one in chosen:
            one.tell(signal.SIGUSR1)
        await asyncio.sleep(chance.uniform(0.5, 4.0))
        for one in chosen:
            one.tell(signal.SIGUSR1)


async def _harm(chance: random.Random, harmed: list[proxies.Proxy]) -> None:
    """Do one thing to links for a while."""
    how = chance.choice(["delay", "cut", "inward", "outward", "reset", "silence"])
    if how == "reset":
        for proxy in harmed:
            proxy.reset()
        return
    if how == "silence":
        for proxy in harmed:
            proxy.silence()
        return
    delay = chance.uniform(0.05, 0.8)
    for proxy in harmed:
        if how == "delay":
            proxy.inward.delay = proxy.outward.delay = delay
        if how in ("cut", "inward"):
            proxy.inward.cut()
        if how in ("cut", "outward"):
            proxy.outward.cut()
    await asyncio.sleep(chance.uniform(0.3, 4.0))
    for proxy in harmed:
        proxy.heal()


@faults.register("peers")
async def peers(at: site.Site, chance: random.Random) -> None:
    """Harm the links between daemons."""
    chosen = _some(at, chance)
    # Whoever speaks to a daemon whose links are harmed is disturbed as well.
    with _Disturbed(at, *(one.name for one in at.daemons)):
        await _harm(chance, [one.peer for one in chosen])


@faults.register("callers")
async def callers_links(at: site.Site, chance: random.Random) -> None:
    """Harm the links between callers and daemons."""
    chosen = _some(at, chance)
    with _Disturbed(at, *(one.name for one in chosen)):
        await _harm(chance, [one.front for one in chosen])


@faults.register("store")
async def store_links(at: site.Site, chance: random.Random) -> None:
    """Harm the links between daemons and the store, of some or all of them."""
    with _Disturbed(at, "store"):
        await _harm(chance, [one.store for one in _some(at, chance)])


@faults.register("store_down")
async def store_down(at: site.Site, chance: random.Random) -> None:
    """Let the store answer that it is down; some entries run out meanwhile."""
    with _Disturbed(at, "store"):
        at.store.down = True
        await asyncio.sleep(chance.uniform(0.5, 5.0))
        lapsed = chance.sample(sorted(at.engines), len(at.engines) // 2)
        for name in lapsed:
            at.store.items.pop(f"servers/{name}", None)
        at.store.down = False
        await asyncio.sleep(chance.uniform(0.2, 1.8))
        for name in lapsed:
            if name in at.engines and name not in at.seen.leaving:
                at.enlist(name, "ready")


@faults.register("engine_links")
async def engine_links(at: site.Site, chance: random.Random) -> None:
    """Harm the links to an engine."""
    name = chance.choice(sorted(at.fronts))
    with _Disturbed(at, name):
        await _harm(chance, [at.fronts[name]])


@faults.register("engine_faulty")
async def engine_faulty(at: site.Site, chance: random.Random) -> None:
    """Let an engine answer wrongly, or slowly."""
    engine = at.engines[chance.choice(sorted(at.engines))]
    with _Disturbed(at, engine.name):
        if chance.random() < 0.5:
            engine.slow = chance.uniform(2.0, 20.0)
        else:
            engine.faulty_share = chance.uniform(0.2, 1.0)
        await asyncio.sleep(chance.uniform(0.5, 4.0))
        engine.slow = 1.0
        engine.faulty_share = 0.0


@faults.register("engine_crash")
async def engine_crash(at: site.Site, chance: random.Random) -> None:
    """Let an engine crash; a new one comes, its entry stays for a while."""
    name = chance.choice(sorted(at.engines))
    with _Disturbed(at, name):
        await at.crash_engine(name, chance.uniform(0.1, 1.0))
        await asyncio.sleep(chance.uniform(0.1, 3.0))
        at.store.items.pop(f"servers/{name}", None)
        at.store.revision += 1


@faults.register("engine_leaves")
async def engine_leaves(at: site.Site, chance: random.Random) -> None:
    """Let an engine leave as planned, with or without telling; a new one comes."""
    names = [name for name in sorted(at.engines) if name not in at.seen.leaving]
    name = chance.choice(names)
    await at.add_engine(at.engines[name].service)
    at.seen.leaving[name] = records.now()
    if chance.random() < 0.7:
        at.enlist(name, "draining")
    else:
        at.store.remove(f"servers/{name}")
    await asyncio.sleep(DRAIN_SECONDS + chance.uniform(1.0, 4.0))
    with _Disturbed(at, name):
        if name in at.engines:
            await at.remove_engine(name)
        if f"servers/{name}" in at.store.items:
            at.store.remove(f"servers/{name}")


def _change(at: site.Site, chance: random.Random) -> None:
    how = chance.choice(["key", "key", "route", "move"])
    if how == "key":
        at.keys ^= {"key-b"}
    if how == "route":
        path = f"/extra{chance.randrange(3)}/"
        if path in at.services:
            del at.services[path]
        else:
            at.services[path] = "plain"
    if how == "move":
        before = at.services.get("/extra0/", "plain")
        at.services["/extra0/"] = "chat" if before == "plain" else "plain"
    at.publish()


@faults.register("change")
async def change(at: site.Site, chance: random.Random) -> None:
    """Write one new configuration, or several in a row."""
    for _ in range(chance.choice([1, 1, 2, 5])):
        _change(at, chance)
        await asyncio.sleep(chance.uniform(0.0, 0.6))


@faults.register("crashing_request")
async def crashing_request(at: site.Site, chance: random.Random) -> None:
    """Let callers send one request that crashes engines, again and again."""
    path = f"/stream/crashes{len(at.seen.crashing)}?a=%2F"
    at.seen.crashing.add(path)
    at.seen.coming.add(path)
    await asyncio.sleep(chance.uniform(4.0, 10.0))
    at.seen.coming.discard(path)
