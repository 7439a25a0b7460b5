"""``make demo``: run the Brindley deployment under a mixed load, print results by tier.

The history of callers, daemons and backend servers is checked against the promises.
"""

import asyncio
import collections
import json
import pathlib
import sys
import tempfile
import typing

import fire
import numpy

from . import cluster, deployments, gateway_demo
from .standins import engine_stream
from .trials import checker, driver, history, workloads

COLUMNS = (
    "tier         sent  in time  late  not run  unknown  failed   p50 s   p95 s"
    "  prefill  wasted"
)
WASTED_STATES = (engine_stream.CANCELLED, engine_stream.DROPPED)


class Prefill(typing.NamedTuple):
    """Prompt tokens that the engines prefilled for a tier, and the wasted part."""

    read: int = 0
    wasted: int = 0


async def prefill_by_tier(started: cluster.Cluster) -> dict[str, Prefill]:
    """Return the prefilled tokens by tier, from the dispatch logs of the engines."""
    tiers = _tiers_by_request(started)
    found: dict[str, Prefill] = collections.defaultdict(Prefill)
    for engine in started.deployment.engines:
        address = started.addresses[engine.name]
        log = await started.control(address, "GET", "/control/log")
        for line in log["dispatches"]:
            tier = tiers[line["id"].rpartition("~")[0]]
            read = line["prefilled_tokens"]
            wasted = read if line["state"] in WASTED_STATES else 0
            before = found[tier]
            found[tier] = Prefill(before.read + read, before.wasted + wasted)
    return found


def table(
    results: list[driver.Result], tiers: list[str], prefill: dict[str, Prefill]
) -> str:
    """Return a text table with one line of results for each tier."""
    lines = [COLUMNS]
    for tier in tiers:
        tier_results = [result for result in results if result.arrival.tier == tier]
        completed = [result for result in tier_results if result.outcome == "completed"]
        in_time = sum(1 for result in completed if result.in_time)
        counts = collections.Counter(result.outcome for result in tier_results)
        seconds = [result.seconds for result in completed] or [float("nan")]
        p50, p95 = numpy.percentile(seconds, [50, 95])
        read, wasted = prefill.get(tier, Prefill())
        lines.append(
            f"{tier:<12}{len(tier_results):>5}{in_time:>9}{len(completed) - in_time:>6}"
            f"{counts['not_run']:>9}{counts['outcome_unknown']:>9}"
            f"{counts['failed']:>8}{p50:>8.2f}{p95:>8.2f}{read:>9}{wasted:>8}"
        )
    return "\n".join(lines)


def record_answers(recorder: history.Recorder, results: list[driver.Result]) -> None:
    """Add the complete answers of model engines to the history."""
    for result in results:
        if result.outcome != "completed" or result.arrival.path:
            continue
        recorder.record_text(
            result.request_id,
            result.arrival.team.name,
            result.text,
            result.arrival.max_tokens,
        )


async def demo(seconds: float, rate: float, daemons: int, seed: int) -> int:
    """Run the demonstration; return 1 if a promise broke or a daemon failed."""
    deployment = deployments.deployments.get("brindley")
    recorder = history.Recorder()
    with tempfile.TemporaryDirectory(prefix="cassiaquay-demo-") as folder:
        started = cluster.Cluster(
            deployment, daemons, pathlib.Path(folder), level="DEBUG"
        )
        print(f"starting 5 engines, 3 plain servers and {daemons} daemons", flush=True)
        try:
            await started.start()
            arrivals = workloads.mixed(deployment, seed, seconds, rate)
            sender = driver.Driver(started.seeds, deployment.domains, recorder.watch)
            progress = asyncio.create_task(_print_progress(sender, len(arrivals)))
            results = await sender.run(arrivals)
            progress.cancel()
            prefill = await prefill_by_tier(started)
            await history.collect_back_ends(started, recorder.history)
        finally:
            codes = await started.stop()
        # Read after the planned stop, so that the checks cover it too.
        history.collect_daemons(started, recorder.history)
    record_answers(recorder, results)
    breaches = checker.check(recorder.history)
    print(table(results, deployment.tiers, prefill))
    arrived = len(recorder.history.of(history.Arrived))
    print(f"{arrived} dispatches at the back ends")
    print(f"checked: {', '.join(checker.checks.names())}")
    for breach in breaches:
        print(f"broken promise {breach.promise}: {breach.text}")
    print(
        f"{len(breaches)} promises broken; daemons stopped with {sorted(codes.items())}"
    )
    return 1 if breaches or any(codes.values()) else 0


def _tiers_by_request(started: cluster.Cluster) -> dict[str, str]:
    tiers = {}
    for process in started.daemons.values():
        for line in process.lines():
            if not line.startswith("{"):
                continue
            event = json.loads(line)
            if event.get("event") == "dispatch":
                tiers[event["id"]] = event["tier"]
    return tiers


async def _print_progress(sender: driver.Driver, total: int) -> None:
    while True:
        await asyncio.sleep(2.0)
        print(f"  {len(sender.results)} of {total} requests ended", flush=True)


def main(
    seconds: float = 15.0,
    rate: float = 12.0,
    daemons: int = 3,
    seed: int = 1,
    path: str = "own",
) -> None:
    """Run the demonstration and exit with its status; ``path`` is own or gateway."""
    if path == "gateway":
        sys.exit(gateway_demo.run(seconds, rate, daemons))
    sys.exit(asyncio.run(demo(seconds, rate, daemons, seed)))


if __name__ == "__main__":
    fire.Fire(main)
