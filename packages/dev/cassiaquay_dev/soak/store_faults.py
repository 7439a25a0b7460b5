"""Faults of the store: it returns from a copy, or others write entries into it."""

import asyncio
import json
import random

from . import engines, faults, site

CLOSED_ADDRESS = "127.0.0.1:9"
# Values of other types and sizes than those of engines.
FOREIGN_VALUES: dict[str, list[object]] = {
    "service": ["chat", "plain", "inventory", "", None, "s" * 100_000],
    "addr": [
        *(CLOSED_ADDRESS, "nowhere", 7, "127.0.0.1:99999", "127.0.0.1:0"),
        *("127.0.0.1:-1", "127.0.0.1:" + "9" * 400, "010.0.0.1:80", "0.0.0.0:9"),
    ],
    "zone": ["a", "z" * 100_000],
    "slots": [1, 0, 2**70, 1.5, 10**400],
    "state": ["draining", "ready", "asleep"],
    "seq": [2**128, -1, "4", True],
    "born": [2**64, "yesterday", 1],
    "cold-left-ms": [1e300, 0],
    "version": ["v9", 2**90, [[[]]], None],
}
# Values whose JSON text is written as it is, in any field or as a whole entry.
FOREIGN_TEXTS = [
    *("[" * depth + "]" * depth for depth in (500, 990, 100_000)),
    *('{"a":' * depth + "1" + "}" * depth for depth in (500, 990, 100_000)),
    *("[" * 1_000_000, "[" + "[]," * 300_000 + "1]", "9" * 100_000, "1e309", "NaN"),
]
# Ends of keys: line feeds, the longest, and one that names no server.
FOREIGN_NAMES = ["{}", "{}", "{}", "{}\nx", "{}/x", "\u00e9{}" + "z" * 150, ""]
MAX_FOREIGN_ENTRIES = 12


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
        if entry.get("state") == "ready" and entry.get("addr") == CLOSED_ADDRESS:
            # Otherwise it would be an engine at which nothing listens.
            entry["seq"] = 2**128
        name = rng.choice(FOREIGN_NAMES).format(rng.randrange(1000))
        keys.append(f"servers/foreign-{name}" if name else "servers/")
        deployment.store.put(keys[-1], _foreign_value(entry, rng))
        await asyncio.sleep(rng.uniform(0.0, 1.0))
    for key in keys:
        if rng.random() < 0.5 and key in deployment.store.items:
            deployment.store.remove(key)


def _foreign_value(entry: dict[str, object], rng: random.Random) -> bytes:
    """Return an entry, one with a field of any JSON text, such a text, or bytes."""
    text = rng.choice(FOREIGN_TEXTS)
    kind = rng.random()
    if kind < 0.4:
        return json.dumps(entry).encode()
    if kind < 0.7:
        marked = entry | {rng.choice([*FOREIGN_VALUES, "unknown"]): "TEXT"}
        return json.dumps(marked).replace('"TEXT"', text).encode()
    return text.encode() if kind < 0.85 else rng.randbytes(50)
