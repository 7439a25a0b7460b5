"""Measure a cold start: ``python -m cassiaquay_dev.soak.recovery --daemons 8``.

Kills all daemons at once under load and starts them again after ``down`` seconds.
Prints the seconds from the kill to the first good answer, and to the rate of good
answers before the kill.
"""

import asyncio
import pathlib
import typing

import fire

from . import records, site

BEFORE_SECONDS = 6.0
AFTER_SECONDS = 14.0
WINDOW_SECONDS = 0.5
# Share of the rate before the kill at which it counts as reached again.
REACHED_SHARE = 0.9


class Recovered(typing.NamedTuple):
    """Seconds from the kill, infinite if not reached; rate in answers per second."""

    first_answer: float
    earlier_rate: float
    rate_before: float


async def measure(settings: site.SoakSettings, down: float) -> Recovered:
    """Kill all daemons under load and measure when they serve again."""
    deployment = site.Site(settings)
    try:
        await deployment.start()
        traffic = deployment.callers()
        ended = asyncio.Event()
        calls = asyncio.create_task(traffic.run(settings.rate, ended))
        await asyncio.sleep(BEFORE_SECONDS)
        killed_at = records.now()
        await asyncio.gather(*(one.kill() for one in deployment.daemons))
        await asyncio.sleep(down)
        await asyncio.gather(*(one.start() for one in deployment.daemons))
        await asyncio.sleep(AFTER_SECONDS)
        ended.set()
        await calls
        return _measure_recovery(deployment.recorded, killed_at)
    finally:
        await deployment.stop()


def _measure_recovery(recorded: records.Records, killed_at: float) -> Recovered:
    good = []
    for attempt in recorded.attempts.values():
        if attempt.is_served:
            good.append(attempt.ended_at)
    since = killed_at - BEFORE_SECONDS / 2
    before = sum(1 for at in good if since < at <= killed_at) / (killed_at - since)
    # A caller may read an answer after the kill that was sent before it.
    after = sorted(at for at in good if at > killed_at + WINDOW_SECONDS / 5)
    first = after[0] - killed_at if after else records.FOREVER
    for at in after:
        found = sum(1 for other in after if at - WINDOW_SECONDS < other <= at)
        if found >= REACHED_SHARE * before * WINDOW_SECONDS:
            return Recovered(first, at - killed_at, before)
    return Recovered(first, records.FOREVER, before)


def main(down: float = 0.5, count: int = 5, **flags: typing.Any) -> None:
    """Measure several times; further flags are the fields of `site.SoakSettings`."""
    for seed in range(1, count + 1):
        folder = pathlib.Path(flags.get("folder", "target/recovery")) / str(seed)
        settings = site.SoakSettings(**flags | {"seed": seed, "folder": str(folder)})
        found = site.run(measure(settings, down))
        print(
            f"seed={seed} down={down} rate_before={found.rate_before:.1f} "
            f"first_answer_seconds={found.first_answer:.2f} "
            f"earlier_rate_seconds={found.earlier_rate:.2f}",
            flush=True,
        )


if __name__ == "__main__":
    fire.Fire(main)
