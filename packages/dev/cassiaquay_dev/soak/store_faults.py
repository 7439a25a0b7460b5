"""Faults of the store: it returns from a copy, or others write entries into it."""

import asyncio
import random

from . import engines, faults, site

# Values of other types and sizes than those of engines.
FOREIGN_VALUES: dict[str, list[object]] = {
    "service": ["chat", "plain", "inventory", "", None, "s" * 100_000],
    "addr": ["127.0.0.1:9", "nowhere", 7],
    "zone": ["a", "z" * 100_000],
    "slots": [1, 0, 2**70, 1.5],
    "state": ["draining", "ready", "asleep"],
    "seq": [2**128, -1, "4", True],
    "born": [2**64, "yesterday", 1],
    "cold-left-ms": [1e300, 0],
    "version": ["v9", 2**90, [[[]]], None],
}
MAX_FOREIGN_ENTRIES = 5


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


@faults.faults.register("foreign_entries")
async def foreign_entries(deployment: site.Site, rng: random.Random) -> None:
    """Write entries that name no engine to use, and remove some of them again."""
    keys = []
    for _ in range(rng.randint(1, MAX_FOREIGN_ENTRIES)):
        entry: dict[str, object] = {"slots": engines.SLOTS}
        for name, values in FOREIGN_VALUES.items():
            if rng.random() < 0.8:
                entry[name] = rng.choice(values)
        if entry.get("state") == "ready":
            # Otherwise it would be an engine at which nothing listens.
            entry["seq"] = 2**128
        value: object = entry if rng.random() < 0.8 else rng.randbytes(50)
        keys.append(f"servers/foreign-{rng.randrange(1000)}")
        deployment.store.put(keys[-1], value)
        await asyncio.sleep(rng.uniform(0.0, 1.0))
    for key in keys:
        if rng.random() < 0.5 and key in deployment.store.items:
            deployment.store.remove(key)
