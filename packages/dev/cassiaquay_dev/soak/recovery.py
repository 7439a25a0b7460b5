"""Measure a cold start: ``python -m cassiaquay_dev.soak.recovery --daemons 8``.

All daemons are killed at once under load and started again after ``down`` seconds.
Prints the seconds from the kill to the first good answer and to the earlier rate.
"""

import asyncio
import pathlib
import typing

import fire

from . import records, site

BEFORE_SECONDS = 6.0
AFTER_SECONDS = 14.0
WINDOW_SECONDS = 0.5
# The earlier rate counts as reached at this share of it.
REACHED_SHARE = 0.9


class Recovered(typing.NamedTuple):
    """Seconds from the kill; infinite when it did not happen."""

    first_answer: float
    earlier_rate: float
    rate_before: float


async def measure(settings: site.SoakSettings, down: float) -> Recovered:
    """Kill all daemons under load and see when they serve again."""
    played = site.Site(settings)
    try:
        await played.start()
        traffic = played.callers()
        ended = asyncio.Event()
        calls = asyncio.create_task(traffic.run(settings.rate, ended))
        await asyncio.sleep(BEFORE_SECONDS)
        killed_at = records.now()
        await asyncio.gather(*(one.kill() for one in played.daemons))
        await asyncio.sleep(down)
        await asyncio.gather(*(one.start() for one in played.daemons))
        await asyncio.sleep(AFTER_SECONDS)
        ended.set()
        await calls
        return _judge(played.seen, killed_at)
    finally:
        await played.stop()


def _judge(seen: records.Records, killed_at: float) -> Recovered:
    good = []
    for attempt in seen.attempts.values():
        if attempt.is_served:
            good.append(attempt.ended_at)
    since = killed_at - BEFORE_SECONDS / 2
    before = sum(1 for at in good if since < at <= killed_at) / (killed_at - since)
    # An answer that had left the daemon before the kill may still be read after it.
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
