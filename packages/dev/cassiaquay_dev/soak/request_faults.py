"""Faults of requests: those that crash the engines which run them."""

import asyncio
import random

from . import faults, records, site


@faults.faults.register("crashing_request")
async def crashing_request(deployment: site.Site, rng: random.Random) -> None:
    """Let callers repeatedly send one request that crashes engines."""
    path = f"/stream/crashes{len(deployment.recorded.crashing_targets)}?a=%2F"
    deployment.recorded.crashing_targets.add(path)
    deployment.recorded.active_crashing_targets.add(path)
    await asyncio.sleep(rng.uniform(4.0, 10.0))
    deployment.recorded.active_crashing_targets.discard(path)


@faults.faults.register("crashing_part")
async def crashing_part(deployment: site.Site, rng: random.Random) -> None:
    """Let callers send many requests with one part that crashes engines."""
    parts = deployment.recorded.crashing_parts
    start = records.now()
    if any(span.end > start for span in parts.values()):
        return
    part = f"bad{len(parts)}"
    parts[part] = records.Span(start, records.FOREVER)
    await asyncio.sleep(rng.uniform(8.0, 12.0))
    parts[part] = records.Span(start, records.now())
