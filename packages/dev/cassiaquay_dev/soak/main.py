"""Run seeds of the soak: ``python -m cassiaquay_dev.soak.main --seed 1 --count 5``.

Prints one line for each seed and its findings; exits with 1 if there are any.
"""

import asyncio
import collections
import random
import sys
import typing

import fire

from . import (
    callers,
    checks,
    endless_checks,
    endless_faults,
    engine_faults,
    faults,
    out_of_step_faults,
    part_checks,
    records,
    report_checks,
    request_faults,
    silence_checks,
    site,
    store_faults,
    stream_checks,
    unframed_checks,
    unframed_faults,
)

# Imported because they register faults and checks.
FAULTS = (
    faults,
    endless_faults,
    engine_faults,
    out_of_step_faults,
    request_faults,
    store_faults,
    unframed_faults,
)
CHECKS = (
    checks,
    endless_checks,
    part_checks,
    report_checks,
    silence_checks,
    stream_checks,
    unframed_checks,
)

# Longest time for faults to end after the last one has started.
FAULT_TIMEOUT_SECONDS = 12.0
MAX_SHOWN_FINDINGS = 10
# Seeds with earlier findings and their causes; `--kept` runs them again.
KEPT = {
    1: "a SIGHUP while the daemon imported its modules ended the process",
    3: "as seed 1, and overlapping faults of the soak started one daemon twice",
    11: "source files changed during the run; the daemon had no fault",
    107: "callers computed the remaining time before they resolved an address",
    121: "as seed 107, and the delay of an engine's link counted as granted time",
    122: "the delay of an engine's link counted as granted time",
    80003: "streams went on at a version derived from an outdated list",
    80006: "streams went on at the only version that an outdated list had",
}
_RELEASES = {"only": "release_out_of_step", "seconds": 24.0, "rate": 80.0}
# Settings with which a kept seed has found something, if not with the usual ones.
KEPT_SETTINGS: dict[int, dict[str, typing.Any]] = {
    80003: _RELEASES | {"daemons": 9},
    80006: _RELEASES | {"daemons": 8},
}


class Outcome(typing.NamedTuple):
    """Findings and counts of one seed."""

    findings: list[checks.Finding]
    faults: collections.Counter[str]
    sent: int
    served: int
    refused: int
    runs: int
    unmarked: unframed_checks.Counts
    max_lag: float
    memory_peak: int


async def run_seed(settings: site.SoakSettings, timed: bool = True) -> Outcome:
    """Run one seed and its checks."""
    deployment = site.Site(settings)
    try:
        await deployment.start()
        counts = await _run_faults(deployment)
        deployment.check_forwarders()
        recorded = deployment.recorded
    finally:
        await deployment.stop()
    attempts = recorded.attempts.values()
    return Outcome(
        checks.run(recorded, timed),
        counts,
        len(attempts),
        sum(1 for one in attempts if one.is_served),
        sum(1 for one in attempts if one.status in callers.NOT_RUN),
        len(recorded.runs),
        unframed_checks.count(recorded),
        recorded.max_lag(),
        max(recorded.memory_peaks.values(), default=0),
    )


async def _run_faults(deployment: site.Site) -> collections.Counter[str]:
    settings = deployment.settings
    traffic = deployment.callers()
    traffic.keys = sorted(site.TEAMS)
    traffic.extra_paths = ["/extra0/", "/extra1/", "/extra2/"]
    traffic.breaks_streams = "engine_release" in _fault_names(settings)
    ended = asyncio.Event()
    calls = asyncio.create_task(traffic.run(settings.rate, ended))
    names = _fault_names(settings)
    schedule_rng = random.Random(settings.seed)
    counts: collections.Counter[str] = collections.Counter()
    running: list[asyncio.Task[None]] = []
    end = records.now() + settings.seconds
    while records.now() < end:
        await asyncio.sleep(schedule_rng.expovariate(1.0 / settings.pause))
        name = schedule_rng.choice(names)
        counts[name] += 1
        rng = random.Random(schedule_rng.random())
        work = faults.faults.get(name)(deployment, rng)
        running.append(asyncio.create_task(work))
    async with asyncio.timeout(FAULT_TIMEOUT_SECONDS):
        await asyncio.gather(*running)
    deployment.recorded.faults_ended_at = records.now()
    await asyncio.sleep(settings.recovery)
    ended.set()
    await calls
    return counts


def _fault_names(settings: site.SoakSettings) -> list[str]:
    if settings.only:
        return settings.only.split(",")
    found = [name for name in faults.faults.names() if name not in faults.EXPLICIT_ONLY]
    if settings.also:
        found += settings.also.split(",")
    return found


def _listed(counts: collections.Counter[str]) -> str:
    return " ".join(f"{name}={count}" for name, count in sorted(counts.items()))


def _described(unmarked: unframed_checks.Counts) -> str:
    """Return the counts of answers without a mark of their end, if there are any."""
    if not any(unmarked):
        return ""
    return " ".join(f"{name}={n}" for name, n in unmarked._asdict().items()) + " "


def main(
    seed: int = 1,
    count: int = 1,
    timed: bool = True,
    kept: bool = False,
    **flags: typing.Any,
) -> None:
    """Run seeds in a row; further flags are the fields of `site.SoakSettings`."""
    failed_seeds = 0
    for number in KEPT if kept else range(seed, seed + count):
        folder = f"{flags.get('folder', 'target/soak')}/{number}"
        own = KEPT_SETTINGS.get(number, {}) if kept else {}
        settings = site.SoakSettings(**own | flags | {"seed": number, "folder": folder})
        outcome = site.run(run_seed(settings, timed))
        found = collections.Counter(one.check for one in outcome.findings)
        print(
            f"seed={number} sent={outcome.sent} served={outcome.served} "
            f"refused={outcome.refused} runs={outcome.runs} "
            f"{_described(outcome.unmarked)}"
            f"lag={outcome.max_lag:.2f} memory_mb={outcome.memory_peak / 1e6:.0f} "
            f"findings={len(outcome.findings)} faults: {_listed(outcome.faults)} "
            f"checks: {_listed(found) or 'none'}",
            flush=True,
        )
        for finding in outcome.findings[:MAX_SHOWN_FINDINGS]:
            lag = f" lag={finding.lag:.2f}" if finding.lag else ""
            print(f"  {finding.check}: {finding.text}{lag}", flush=True)
        failed_seeds += bool(outcome.findings)
    sys.exit(1 if failed_seeds else 0)


if __name__ == "__main__":
    fire.Fire(main)
