"""Faults of engines: signals, late copies, heads cut off, releases beside kills."""

import asyncio
import random

from . import faults, records, site

MAX_PAUSES = 3
MIN_PAUSE_SECONDS = 0.3
MAX_PAUSE_SECONDS = 2.0
MAX_GAP_SECONDS = 0.5


@faults.faults.register(site.PAUSE_FAULT)
async def engine_paused(deployment: site.Site, rng: random.Random) -> None:
    """Suspend one, half or all engines of a service with SIGSTOP, several times."""
    service = rng.choice(["chat", "plain"])
    share = rng.choice([0.0, 0.5, 1.0])
    for _ in range(rng.randint(1, MAX_PAUSES)):
        names = []
        for name, engine in sorted(deployment.engines.items()):
            # One that another fault has paused is left to that fault.
            if engine.service == service and not deployment.is_paused(name):
                names.append(name)
        count = min(len(names), max(1, round(len(names) * share)))
        await _pause(deployment, rng, rng.sample(names, count))
        await asyncio.sleep(rng.uniform(0.0, MAX_GAP_SECONDS))


async def _pause(deployment: site.Site, rng: random.Random, names: list[str]) -> None:
    """Pause engines together for one random time."""
    forwarders = [deployment.forwarders[name] for name in names]
    start = records.now()
    with faults.Disturbance(deployment, *names, breaks=False):
        for name in names:
            deployment.recorded.pauses.add(name, start)
        try:
            for forwarder in forwarders:
                forwarder.pause()
            await asyncio.sleep(rng.uniform(MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS))
        finally:
            for forwarder in forwarders:
                forwarder.resume()
            for name in names:
                deployment.recorded.pauses.end(name, start, records.now())


@faults.faults.register("engine_copies")
async def engine_copies(deployment: site.Site, rng: random.Random) -> None:
    """Let some engines decline requests and send copies of these answers later."""
    names = sorted(deployment.engines)
    chosen = rng.sample(names, rng.randint(1, len(names)))
    with faults.Disturbance(deployment, *chosen, breaks=False):
        for name in chosen:
            deployment.engines[name].copying_share = rng.uniform(0.1, 0.6)
        await asyncio.sleep(rng.uniform(1.0, 5.0))
        for name in chosen:
            if name in deployment.engines:
                deployment.engines[name].copying_share = 0.0


@faults.faults.register("engine_head_cuts")
async def engine_head_cuts(deployment: site.Site, rng: random.Random) -> None:
    """Let some engines run requests and stop within the heads of their answers."""
    names = sorted(deployment.engines)
    chosen = rng.sample(names, rng.randint(1, len(names)))
    with faults.Disturbance(deployment, *chosen, breaks=False):
        for name in chosen:
            deployment.engines[name].head_cut_share = rng.uniform(0.1, 0.6)
        await asyncio.sleep(rng.uniform(1.0, 5.0))
        for name in chosen:
            if name in deployment.engines:
                deployment.engines[name].head_cut_share = 0.0


@faults.faults.register("release_and_kill")
async def release_and_kill(deployment: site.Site, rng: random.Random) -> None:
    """Kill all daemons at once while model engines get another software version."""
    releasing = asyncio.create_task(faults.engine_release(deployment, rng))
    await asyncio.sleep(rng.uniform(0.5, 6.0))
    await faults.kill_together(deployment, rng, deployment.daemons)
    await releasing


@faults.faults.register("stream_cuts")
async def stream_cuts(deployment: site.Site, rng: random.Random) -> None:
    """Reset all connections of one model engine or of all, several times."""
    names = [
        name
        for name, engine in sorted(deployment.engines.items())
        if engine.service == "chat"
    ]
    chosen = rng.choice([names, rng.sample(names, 1)])
    with faults.Disturbance(deployment, *chosen):
        for _ in range(rng.randint(1, 4)):
            for name in chosen:
                proxy = deployment.engine_proxies.get(name)
                if proxy is not None:
                    proxy.reset()
            await asyncio.sleep(rng.uniform(0.1, 0.8))
