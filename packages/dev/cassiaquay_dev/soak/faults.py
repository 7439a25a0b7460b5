"""Faults injected from outside, each a coroutine that starts and ends one fault.

A fault records what it disturbs and for how long, so that the timed checks skip the
disturbed daemons. Several faults run at a time, each with its own random generator, so
that a seed reproduces its faults.
"""

import asyncio
import collections.abc
import random
import signal
import typing

from cassiaquay_schema import registry

from ..network import cuts, proxies
from . import daemons, launch, records, site

Fault = collections.abc.Callable[
    [site.Site, random.Random], collections.abc.Coroutine[typing.Any, typing.Any, None]
]
faults: registry.Registry[Fault] = registry.Registry("soak fault")
ALL = "all"
# Run only when named by `only` or `also`: adding them to the usual faults would change
# the faults that the kept seeds reproduce.
EXPLICIT_ONLY = (
    "crashing_request",
    "crashing_part",
    "engine_limit",
    "engine_departure",
    "engine_backoff",
    "lost_paths",
    "engines_brittle",
    "engine_release",
    "stream_cuts",
    "store_restored",
    "engine_endless",
    "engine_copies",
    "engine_head_cuts",
    "engine_unframed",
    "foreign_entries",
    "release_and_kill",
    "release_out_of_step",
    "restart_out_of_step",
    "release_in_step",
    site.PAUSE_FAULT,
)
# Longest pause between planned stops of several daemons, as an operator leaves one.
MAX_ROLLING_PAUSE_SECONDS = 0.7
DRAIN_SECONDS = 2.0
RETURN_SECONDS = 2.0


def _choose_daemons(deployment: site.Site, rng: random.Random) -> list[daemons.Daemon]:
    """Return a random choice of one daemon, two or all."""
    count = rng.choice([1, 1, 1, 2, len(deployment.daemons)])
    return rng.sample(deployment.daemons, min(count, len(deployment.daemons)))


class Disturbance:
    """Context manager that records a disturbance of daemons or links.

    Without ``breaks``, it is one that breaks no connection.
    """

    def __init__(self, deployment: site.Site, *names: str, breaks: bool = True):
        recorded = deployment.recorded
        self._kinds = [recorded.faults, recorded.breaks][: 1 + breaks]
        self._names = names
        self._start = 0.0

    def __enter__(self) -> None:
        self._start = records.now()
        for kind in self._kinds:
            for name in self._names:
                kind.add(name, self._start)

    def __exit__(self, *error: object) -> None:
        for kind in self._kinds:
            for name in self._names:
                kind.end(name, self._start, records.now())


async def kill_together(
    deployment: site.Site, rng: random.Random, chosen: list[daemons.Daemon]
) -> None:
    """Kill daemons at the same moment, and start them again together."""
    with Disturbance(deployment, *(one.name for one in chosen)):
        down = rng.uniform(0.1, 2.0)
        for one in chosen:
            await one.kill()
        await asyncio.sleep(down)
        for one in chosen:
            await one.start()


@faults.register("kill")
async def kill(deployment: site.Site, rng: random.Random) -> None:
    """Kill daemons and start them again."""
    await kill_together(deployment, rng, _choose_daemons(deployment, rng))


@faults.register("kill_after_change")
async def kill_after_change(deployment: site.Site, rng: random.Random) -> None:
    """Kill all daemons right after a change of the configuration."""
    _change_configuration(deployment, rng)
    await asyncio.sleep(rng.uniform(0.0, 0.3))
    await kill_together(deployment, rng, deployment.daemons)


@faults.register("pause")
async def pause(deployment: site.Site, rng: random.Random) -> None:
    """Suspend daemons with SIGSTOP for a while."""
    chosen = _choose_daemons(deployment, rng)
    with Disturbance(deployment, *(one.name for one in chosen)):
        for one in chosen:
            one.send(signal.SIGSTOP)
        await asyncio.sleep(rng.uniform(0.1, 4.0))
        for one in chosen:
            one.send(signal.SIGCONT)


@faults.register("stop")
async def stop(deployment: site.Site, rng: random.Random) -> None:
    """Stop and restart daemons gracefully, one after the other."""
    for one in _choose_daemons(deployment, rng):
        if not one.is_running or not one.expected_running:
            continue
        start = records.now()
        deployment.recorded.planned.add(one.name, start)
        await one.stop()
        await one.start()
        deployment.recorded.planned.end(
            one.name, start, records.now() + site.CONTACT_SECONDS
        )
        await asyncio.sleep(rng.uniform(0.0, MAX_ROLLING_PAUSE_SECONDS))


@faults.register("reload")
async def reload(deployment: site.Site, rng: random.Random) -> None:
    """Send SIGHUP to daemons, so that they reload their settings."""
    for one in _choose_daemons(deployment, rng):
        one.send_if_handled(signal.SIGHUP)


@faults.register("clock")
async def clock(deployment: site.Site, rng: random.Random) -> None:
    """Shift the wall clock of daemons for a while."""
    chosen = _choose_daemons(deployment, rng)
    with Disturbance(deployment, *(one.name for one in chosen)):
        for one in chosen:
            one.send_if_handled(signal.SIGUSR1)
        await asyncio.sleep(rng.uniform(0.5, 4.0))
        for one in chosen:
            one.send_if_handled(signal.SIGUSR1)


async def _disturb_links(rng: random.Random, links: list[proxies.Proxy]) -> None:
    """Apply one random kind of fault to links, for a random time."""
    kind = rng.choice(["delay", "cut", "inward", "outward", "reset", "silence"])
    if kind == "reset":
        for proxy in links:
            proxy.reset()
        return
    if kind == "silence":
        for proxy in links:
            proxy.silence()
        return
    delay = rng.uniform(0.05, 0.8)
    for proxy in links:
        if kind == "delay":
            proxy.inward.delay = proxy.outward.delay = delay
        if kind in ("cut", "inward"):
            proxy.inward.cut()
        if kind in ("cut", "outward"):
            proxy.outward.cut()
    await asyncio.sleep(rng.uniform(0.3, 4.0))
    for proxy in links:
        proxy.heal()


@faults.register("peers")
async def peers(deployment: site.Site, rng: random.Random) -> None:
    """Disturb the links between daemons."""
    chosen = _choose_daemons(deployment, rng)
    # Every daemon that talks to one with disturbed links is disturbed as well.
    with Disturbance(deployment, *(one.name for one in deployment.daemons)):
        await _disturb_links(rng, [one.peer for one in chosen])


@faults.register("callers")
async def callers_links(deployment: site.Site, rng: random.Random) -> None:
    """Disturb the links between callers and daemons."""
    chosen = _choose_daemons(deployment, rng)
    with Disturbance(deployment, *(one.name for one in chosen)):
        await _disturb_links(rng, [one.front for one in chosen])


@faults.register("store")
async def store_links(deployment: site.Site, rng: random.Random) -> None:
    """Disturb the links between the store and one, two or all daemons."""
    with Disturbance(deployment, "store"):
        await _disturb_links(
            rng, [one.store for one in _choose_daemons(deployment, rng)]
        )


@faults.register("store_down")
async def store_down(deployment: site.Site, rng: random.Random) -> None:
    """Let the store answer 503 while the entries of half of the engines expire."""
    with Disturbance(deployment, "store"):
        deployment.store.down = True
        await asyncio.sleep(rng.uniform(0.5, 5.0))
        expired = rng.sample(sorted(deployment.engines), len(deployment.engines) // 2)
        for name in expired:
            deployment.store.items.pop(f"servers/{name}", None)
        deployment.store.down = False
        await asyncio.sleep(rng.uniform(0.2, 1.8))
        for name in expired:
            if (
                name in deployment.engines
                and name not in deployment.recorded.leaving_since
            ):
                deployment.write_entry(name, "ready")


@faults.register("engine_links")
async def engine_links(deployment: site.Site, rng: random.Random) -> None:
    """Disturb the links to an engine."""
    name = rng.choice(sorted(deployment.engine_proxies))
    with Disturbance(deployment, name):
        await _disturb_links(rng, [deployment.engine_proxies[name]])


@faults.register("engine_faulty")
async def engine_faulty(deployment: site.Site, rng: random.Random) -> None:
    """Let an engine send invalid answers, or answer slowly."""
    engine = deployment.engines[rng.choice(sorted(deployment.engines))]
    with Disturbance(deployment, engine.name, breaks=False):
        if rng.random() < 0.5:
            engine.slowdown = rng.uniform(2.0, 20.0)
        else:
            engine.faulty_share = rng.uniform(0.2, 1.0)
        await asyncio.sleep(rng.uniform(0.5, 4.0))
        engine.slowdown = 1.0
        engine.faulty_share = 0.0


@faults.register("engine_crash")
async def engine_crash(deployment: site.Site, rng: random.Random) -> None:
    """Crash and replace an engine; its entry in the store stays for a while."""
    name = rng.choice(sorted(deployment.engines))
    with Disturbance(deployment, name):
        await deployment.crash_engine(name, rng.uniform(0.1, 1.0))
        await asyncio.sleep(rng.uniform(0.1, 3.0))
        deployment.remove_entry(name)


@faults.register("engine_leaves")
async def engine_leaves(deployment: site.Site, rng: random.Random) -> None:
    """Replace an engine as planned, either draining it or just removing its entry."""
    names = [
        name
        for name in sorted(deployment.engines)
        if name not in deployment.recorded.leaving_since
    ]
    name = rng.choice(names)
    engine = deployment.engines[name]
    await deployment.add_engine(engine.service, engine.software)
    await _drain_engine(deployment, rng, name)


async def _drain_engine(deployment: site.Site, rng: random.Random, name: str) -> None:
    if name not in deployment.engines:
        return
    deployment.recorded.leaving_since[name] = records.now()
    deployment.end_engine_time(name)
    if rng.random() < 0.7:
        deployment.write_entry(name, "draining")
    else:
        deployment.remove_entry(name)
    await asyncio.sleep(DRAIN_SECONDS + rng.uniform(1.0, 4.0))
    with Disturbance(deployment, name):
        if name in deployment.engines:
            await deployment.remove_engine(name)
        deployment.remove_entry(name)


def _change_configuration(deployment: site.Site, rng: random.Random) -> None:
    kind = rng.choice(["key", "key", "route", "move"])
    if kind == "key":
        deployment.keys ^= {"key-b"}
    if kind == "route":
        path = f"/extra{rng.randrange(3)}/"
        if path in deployment.services:
            del deployment.services[path]
        else:
            deployment.services[path] = "plain"
    if kind == "move":
        before = deployment.services.get("/extra0/", "plain")
        deployment.services["/extra0/"] = "chat" if before == "plain" else "plain"
    deployment.publish()


@faults.register("change")
async def change(deployment: site.Site, rng: random.Random) -> None:
    """Publish one new configuration, or several in a row."""
    for _ in range(rng.choice([1, 1, 2, 5])):
        _change_configuration(deployment, rng)
        await asyncio.sleep(rng.uniform(0.0, 0.6))


@faults.register("engine_limit")
async def engine_limit(deployment: site.Site, rng: random.Random) -> None:
    """Let an engine name a limit in its answers for a while."""
    engine = deployment.engines[rng.choice(sorted(deployment.engines))]
    if engine.limit:
        return
    engine.limit = round(rng.uniform(0.5, 6.0), 1)
    engine.limited_at = 0.0
    await asyncio.sleep(rng.uniform(8.0, 11.0))
    if engine.limited_at:
        deployment.recorded.limits.append(
            records.Named(engine.name, engine.limit, engine.limited_at, records.now())
        )
    engine.limit = 0.0


@faults.register("engine_departure")
async def engine_departure(deployment: site.Site, rng: random.Random) -> None:
    """Let an engine say in its answers that it leaves, while it stays listed."""
    name = rng.choice(sorted(deployment.engines))
    engine = deployment.engines[name]
    of_service = [
        other
        for other in deployment.engines.values()
        if other.service == engine.service and not other.is_leaving
    ]
    if engine.is_leaving or len(of_service) < 2:
        return
    engine.is_leaving = True
    await asyncio.sleep(rng.uniform(4.0, 8.0))
    if name in deployment.engines:
        await deployment.crash_engine(name, RETURN_SECONDS)


@faults.register("engine_backoff")
async def engine_backoff(deployment: site.Site, rng: random.Random) -> None:
    """Let an engine turn all requests away and ask for time, again and again."""
    engine = deployment.engines[rng.choice(sorted(deployment.engines))]
    if engine.retry_after:
        return
    engine.retry_after = rng.choice([0.3, 1.0, 1.5, 3.0])
    await asyncio.sleep(rng.uniform(2.0, 8.0))
    engine.retry_after = 0.0


@faults.register("lost_paths")
async def lost_paths(deployment: site.Site, rng: random.Random) -> None:
    """Cut daemons off from all engines, or from some, while others reach them."""
    most = len(deployment.daemons) - 1
    chosen = rng.sample(deployment.daemons, rng.randint(1, max(most, 1)))
    names = sorted(deployment.engines)
    is_whole = rng.random() < 0.7
    if not is_whole:
        names = rng.sample(names, len(names) // 2)
    addresses = [deployment.engine_proxies[name].address for name in names]
    mode: cuts.Mode = rng.choice(["refused", "silent"])
    open_ones = rng.choice(["live", "reset", "silence"])
    start = records.now()
    with cuts.hole() as hole:
        for one in chosen:
            launch.write_cut(one.control, cuts.Cut(mode, addresses, hole))
            for name in names:
                proxy = deployment.engine_proxies.get(name)
                if proxy is None or open_ones == "live":
                    continue
                if open_ones == "reset":
                    proxy.reset(one.source)
                else:
                    proxy.silence(one.source)
        if open_ones != "live":
            # Answers that were on their way are lost; the kernel drops the connections
            # within this time.
            for name in names:
                end = start + site.CONTACT_SECONDS
                deployment.recorded.faults.add(name, start, end)
                deployment.recorded.breaks.add(name, start, end)
        await asyncio.sleep(rng.uniform(3.0, 8.0))
        for one in chosen:
            one.control.unlink(missing_ok=True)
    if is_whole:
        daemons = frozenset(one.name for one in chosen)
        deployment.recorded.cuts.append(records.Cut(daemons, start, records.now()))


@faults.register("engines_brittle")
async def engines_brittle(deployment: site.Site, rng: random.Random) -> None:
    """Let all engines of a service bear few rejections, and later have no queue."""
    service = rng.choice(["chat", "plain"])
    if service in deployment.brittle:
        return
    bears = rng.choice([1, 2, 4, 8])
    deployment.brittle[service] = site.Brittle(bears, True)
    deployment.apply_brittle()
    await asyncio.sleep(site.CONTACT_SECONDS)
    deployment.brittle[service] = site.Brittle(bears, False)
    deployment.apply_brittle()
    start = records.now()
    await asyncio.sleep(rng.uniform(3.0, 6.0))
    del deployment.brittle[service]
    deployment.apply_brittle()
    count = sum(one.service == service for one in deployment.engines.values())
    deployment.recorded.brittle_times.append(
        records.BrittleTime(service, count, start, records.now())
    )


@faults.register("engine_release")
async def engine_release(deployment: site.Site, rng: random.Random) -> None:
    """Replace some model engines by ones of another software version."""
    names = [
        name
        for name, engine in sorted(deployment.engines.items())
        if engine.service == "chat" and name not in deployment.recorded.leaving_since
    ]
    software = f"v{rng.randrange(1, 4)}"
    drains = []
    for name in rng.sample(names, min(len(names), rng.randint(1, 2))):
        if name not in deployment.engines:
            continue
        deployment.recorded.leaving_since.setdefault(name, records.FOREVER)
        await deployment.add_engine("chat", software)
        await asyncio.sleep(rng.uniform(0.2, 1.0))
        drains.append(_drain_engine(deployment, rng, name))
    # Both drain at the same time: a fault must end within the soak's timeout.
    await asyncio.gather(*drains)
