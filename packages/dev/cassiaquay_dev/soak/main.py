"""Play seeds of the soak: ``python -m cassiaquay_dev.soak.main --seed 1 --count 5``.

Prints one line a seed, and what was found; the exit status is 1 when anything was.
"""

import asyncio
import collections
import random
import sys
import typing

import fire

from . import callers, checks, faults, records, site

# Requests go on for so long after the faults, to see the recovery.
CALM_SECONDS = 9.0
# Faults that have begun may last as long.
LAST_SECONDS = 12.0
SHOWN = 10
# Seeds that have found something, with its cause; `--kept` plays them again.
KEPT = {
    1: "a reload asked for while the modules loaded ended the process",
    3: "the same, and two starts of one daemon by overlapping faults of the soak",
    11: "sources were edited while it ran; kept because its cause was ours alone",
    107: "callers declared their time left before they had found an address",
    121: "the same, and an engine's delayed link counted as time handed on",
    122: "an engine's delayed link counted as time handed on",
}


class Outcome(typing.NamedTuple):
    """What one seed gave."""

    findings: list[checks.Finding]
    faults: collections.Counter[str]
    sent: int
    served: int
    refused: int
    runs: int


async def play(settings: site.SoakSettings, timed: bool = True) -> Outcome:
    """Play one seed."""
    played = site.Site(settings)
    try:
        await played.start()
        counts = await _play(played)
        seen = played.seen
    finally:
        await played.stop()
    attempts = seen.attempts.values()
    return Outcome(
        checks.run(seen, timed),
        counts,
        len(attempts),
        sum(1 for one in attempts if one.is_served),
        sum(1 for one in attempts if one.status in callers.NOT_RUN),
        len(seen.runs),
    )


async def _play(played: site.Site) -> collections.Counter[str]:
    settings = played.settings
    traffic = played.callers()
    traffic.keys = sorted(site.TEAMS)
    traffic.extra_paths = ["/extra0/", "/extra1/", "/extra2/"]
    ended = asyncio.Event()
    calls = asyncio.create_task(traffic.run(settings.rate, ended))
    names = _kinds(settings)
    plan = random.Random(settings.seed)
    counts: collections.Counter[str] = collections.Counter()
    running: list[asyncio.Task[None]] = []
    end = records.now() + settings.seconds
    while records.now() < end:
        await asyncio.sleep(plan.expovariate(1.0 / settings.pause))
        name = plan.choice(names)
        counts[name] += 1
        chance = random.Random(plan.random())
        work = faults.faults.get(name)(played, chance)
        running.append(asyncio.create_task(work))
    async with asyncio.timeout(LAST_SECONDS):
        await asyncio.gather(*running)
    played.seen.calm_from = records.now()
    await asyncio.sleep(CALM_SECONDS)
    ended.set()
    await calls
    return counts


def _kinds(settings: site.SoakSettings) -> list[str]:
    if settings.only:
        return settings.only.split(",")
    found = [name for name in faults.faults.names() if name not in faults.BY_REQUEST]
    if settings.also:
        found += settings.also.split(",")
    return found


def main(
    seed: int = 1,
    count: int = 1,
    timed: bool = True,
    kept: bool = False,
    **flags: typing.Any,
) -> None:
    """Play seeds in a row; further flags are the fields of `site.SoakSettings`."""
    bad = 0
    for number in KEPT if kept else range(seed, seed + count):
        folder = f"{flags.get('folder', 'target/soak')}/{number}"
        settings = site.SoakSettings(**flags | {"seed": number, "folder": folder})
        outcome = site.run(play(settings, timed))
        kinds = " ".join(f"{name}={n}" for name, n in sorted(outcome.faults.items()))
        print(
            f"seed={number} sent={outcome.sent} served={outcome.served} "
            f"refused={outcome.refused} runs={outcome.runs} "
            f"findings={len(outcome.findings)} faults: {kinds}",
            flush=True,
        )
        for finding in outcome.findings[:SHOWN]:
            print(f"  {finding.check}: {finding.text}", flush=True)
        bad += bool(outcome.findings)
    sys.exit(1 if bad else 0)


if __name__ == "__main__":
    fire.Fire(main)
