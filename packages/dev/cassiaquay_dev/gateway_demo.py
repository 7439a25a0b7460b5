"""``make demo ARGS=--path=gateway``: the users' platform here, a table by kind.

Three daemons before engines and plain servers; one daemon is stopped as planned and
started again while callers go on. What callers and engines saw is checked.
"""

import asyncio
import statistics
import tempfile

from .soak import callers, checks, records, site

COLUMNS = "kind      sent  served  refused  gave up   p50 ms"


def table(recorded: records.Records) -> str:
    """Return what became of each kind of request."""
    lines = [COLUMNS]
    for kind in callers.PATHS:
        mine = [one for one in recorded.attempts.values() if one.kind == kind]
        served = [one for one in mine if one.is_served]
        refused = sum(1 for one in mine if one.status in callers.NOT_RUN)
        gone = sum(1 for one in mine if one.gave_up)
        times = [(one.ended_at - one.sent_at) * 1000.0 for one in served]
        middle = statistics.median(times) if times else float("nan")
        lines.append(
            f"{kind:<8}{len(mine):>6}{len(served):>8}{refused:>9}{gone:>9}{middle:>9.1f}"
        )
    return "\n".join(lines)


async def demo(settings: site.SoakSettings) -> int:
    """Run the demonstration; return 1 when a promise broke."""
    print(f"starting {settings.engines} engines and {settings.daemons} daemons")
    played = site.Site(settings)
    try:
        await played.start()
        await _ask(played)
    finally:
        await played.stop()
    found = checks.run(played.recorded, timed=False)
    print(table(played.recorded))
    print(f"{len(played.recorded.runs)} arrivals at the engines")
    for finding in found:
        print(f"broken: {finding.check}: {finding.text}")
    print(f"{len(found)} promises broken")
    return 1 if found else 0


async def _ask(played: site.Site) -> None:
    settings = played.settings
    asking = played.callers()
    ended = asyncio.Event()
    calls = asyncio.create_task(asking.run(settings.rate, ended))
    await asyncio.sleep(settings.seconds / 2.0)
    stopped = played.daemons[-1]
    print(f"stopping {stopped.name} as planned, and starting it again", flush=True)
    await stopped.stop()
    await stopped.start()
    await asyncio.sleep(settings.seconds / 2.0)
    ended.set()
    await calls


def run(seconds: float = 10.0, rate: float = 40.0, daemons: int = 3) -> int:
    """Run the demonstration; return 1 when a promise broke."""
    with tempfile.TemporaryDirectory(prefix="cassiaquay-demo-") as folder:
        settings = site.SoakSettings(
            folder=folder, daemons=daemons, rate=rate, seconds=seconds
        )
        return int(site.run(demo(settings)))
