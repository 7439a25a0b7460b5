"""Faults of engines whose answers have neither a length nor chunks."""

import asyncio
import random

from . import faults, site

MAX_PROCESS_ENDS = 3
MIN_SECONDS = 1.0
MAX_SECONDS = 4.0
MAX_DOWN_SECONDS = 1.0


@faults.faults.register("engine_unframed")
async def engine_unframed(deployment: site.Site, rng: random.Random) -> None:
    """Let engines answer without lengths and chunks, whole or in part, for a while.

    In this time the processes of some of them may end.
    """
    service = rng.choice(["chat", "plain"])
    share = rng.choice([0.0, 0.5, 1.0])
    cut_share = rng.choice([0.0, 0.3, 1.0])
    names = []
    for name, engine in sorted(deployment.engines.items()):
        # One that another fault has chosen is left to that fault.
        if engine.service == service and engine.unframed_cut_share is None:
            names.append(name)
    count = min(len(names), max(1, round(len(names) * share)))
    chosen = [deployment.engines[name] for name in rng.sample(names, count)]
    for engine in chosen:
        engine.unframed_cut_share = cut_share
    ends = [
        rng.uniform(0.0, MAX_SECONDS) for _ in range(rng.randint(0, MAX_PROCESS_ENDS))
    ]
    ending = [
        _end_process(deployment, rng, engine.name, after)
        for engine, after in zip(chosen, ends, strict=False)
    ]
    await asyncio.gather(asyncio.sleep(rng.uniform(MIN_SECONDS, MAX_SECONDS)), *ending)
    for engine in chosen:
        engine.unframed_cut_share = None


async def _end_process(
    deployment: site.Site, rng: random.Random, name: str, after: float
) -> None:
    """End the process of an engine after some seconds."""
    down = rng.uniform(0.1, MAX_DOWN_SECONDS)
    await asyncio.sleep(after)
    if name not in deployment.engines or name in deployment.recorded.leaving_since:
        return
    with faults.Disturbance(deployment, name):
        await deployment.end_engine_process(name, down)
        await asyncio.sleep(rng.uniform(0.1, MAX_DOWN_SECONDS))
        deployment.remove_entry(name)
