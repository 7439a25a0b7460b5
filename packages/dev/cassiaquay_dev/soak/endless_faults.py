"""Faults of engines whose answers do not end."""

import asyncio
import random

from ..standins import endless
from . import engines, faults, site

MAX_FLOODS = 3
MIN_FLOOD_SECONDS = 0.5
MAX_FLOOD_SECONDS = 2.5
MAX_GAP_SECONDS = 0.5
DRIPPING_SHARE = 0.4
# Bounds of one fault: the bytes go through the soak's own event loop.
FLOOD_BYTES_PER_SECOND = 100e6
FLOOD_BYTES = 400_000_000


@faults.faults.register("engine_endless")
async def engine_endless(deployment: site.Site, rng: random.Random) -> None:
    """Let one, half or all engines of a service answer without end, several times."""
    service = rng.choice(["chat", "plain"])
    share = rng.choice([0.0, 0.5, 1.0])
    allowance = endless.Allowance(FLOOD_BYTES_PER_SECOND, FLOOD_BYTES)
    for _ in range(rng.randint(1, MAX_FLOODS)):
        kind = rng.choice(endless.endless.names())
        drips = rng.random() < DRIPPING_SHARE
        chosen = []
        for name, engine in sorted(deployment.engines.items()):
            # One that another fault has made endless is left to that fault.
            if engine.service == service and engine.endlessness is None:
                chosen.append(name)
        count = min(len(chosen), max(1, round(len(chosen) * share)))
        how = engines.Endlessness(kind, drips, allowance)
        await _flood(deployment, rng, rng.sample(chosen, count), how)
        await asyncio.sleep(rng.uniform(0.0, MAX_GAP_SECONDS))


async def _flood(
    deployment: site.Site,
    rng: random.Random,
    names: list[str],
    how: engines.Endlessness,
) -> None:
    """Let engines answer without end together, for one random time."""
    chosen = [deployment.engines[name] for name in names]
    with faults.Disturbance(deployment, *names, breaks=False):
        for engine in chosen:
            engine.endlessness = how
        await asyncio.sleep(rng.uniform(MIN_FLOOD_SECONDS, MAX_FLOOD_SECONDS))
        for engine in chosen:
            engine.endlessness = None
