"""Faults of the store: it returns from a copy, and everything is written again."""

import asyncio
import random

from . import faults, site


@faults.faults.register("store_restored")
async def store_restored(deployment: site.Site, rng: random.Random) -> None:
    """Bring the store back from a copy that is some seconds old, once or twice."""
    copy = deployment.store.copy()
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    with faults.Disturbance(deployment, "store"):
        for _ in range(rng.choice([1, 1, 2])):
            deployment.store.down = True
            await asyncio.sleep(rng.uniform(0.0, 1.5))
            deployment.store.restore(copy)
            deployment.store.down = False
            await asyncio.sleep(rng.uniform(0.0, 0.5))
        deployment.publish_again()
        await asyncio.sleep(rng.uniform(0.1, 1.0))
        deployment.write_entries_again()
