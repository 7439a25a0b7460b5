"""``make demo ARGS=--path=gateway``: run the gateway path, print results by kind.

Runs three daemons before engines and plain servers, and stops and restarts one daemon
gracefully while callers send requests. The records of callers and engines are checked.
"""

import asyncio
import statistics
import tempfile

from .soak import callers, checks, records, site

COLUMNS = "kind      sent  served  refused  gave up   p50 ms"


def table(recorded: records.Records) -> str:
    """Return a text table with one line of results for each kind of request."""
    lines = [COLUMNS]
    for kind in callers.PATHS:
        kind_attempts = [one for one in recorded.attempts.values() if one.kind == kind]
        served = [one for one in kind_attempts if one.is_served]
        refused = sum(1 for one in kind_attempts if one.status in callers.NOT_RUN)
        gave_up_count = sum(1 for one in kind_attempts if one.gave_up)
        durations_ms = [(one.ended_at - one.sent_at) * 1000.0 for one in served]
        median_ms = statistics.median(durations_ms) if durations_ms else float("nan")
        lines.append(
            f"{kind:<8}{len(kind_attempts):>6}{len(served):>8}{refused:>9}"
            f"{gave_up_count:>9}{median_ms:>9.1f}"
        )
    return "\n".join(lines)


async def demo(settings: site.SoakSettings) -> int:
    """Run the demonstration with given settings; return 1 if a promise broke."""
    print(f"starting {settings.engines} engines and {settings.daemons} daemons")
    deployment = site.Site(settings)
    try:
        await deployment.start()
        await _send_requests(deployment)
    finally:
        await deployment.stop()
    found = checks.run(deployment.recorded, timed=False)
    print(table(deployment.recorded))
    print(f"{len(deployment.recorded.runs)} arrivals at the engines")
    for finding in found:
        print(f"broken: {finding.check}: {finding.text}")
    print(f"{len(found)} promises broken")
    return 1 if found else 0


async def _send_requests(deployment: site.Site) -> None:
    settings = deployment.settings
    traffic = deployment.callers()
    ended = asyncio.Event()
    calls = asyncio.create_task(traffic.run(settings.rate, ended))
    await asyncio.sleep(settings.seconds / 2.0)
    stopped = deployment.daemons[-1]
    print(f"stopping {stopped.name} as planned, and starting it again", flush=True)
    await stopped.stop()
    await stopped.start()
    await asyncio.sleep(settings.seconds / 2.0)
    ended.set()
    await calls


def run(seconds: float = 10.0, rate: float = 40.0, daemons: int = 3) -> int:
    """Run the demonstration in a temporary folder; return 1 if a promise broke."""
    with tempfile.TemporaryDirectory(prefix="cassiaquay-demo-") as folder:
        settings = site.SoakSettings(
            folder=folder, daemons=daemons, rate=rate, seconds=seconds
        )
        return int(site.run(demo(settings)))
