"""Faults of the engines' processes: signals that stop them and let them continue."""

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
