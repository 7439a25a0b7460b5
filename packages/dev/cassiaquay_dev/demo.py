"""``make demo``: Brindley Lane on this machine, a mixed workload, a table by tier."""

import asyncio
import pathlib
import sys
import tempfile
import typing

import fire
import numpy

from . import cluster, deployments, driver, texts, workloads

COLUMNS = "tier         sent  in time  late  not run  unknown  failed   p50 s   p95 s"


class Promises(typing.NamedTuple):
    """What the stand-ins' own logs say.

    Attributes
    ----------
    dispatches : int
        Dispatches seen at the back ends.
    repeats : list of str
        Ids that a back end got twice.
    wrong : list of str
        Ids whose answer is not what the engine made.
    ran_though_not_run : list of str
        Ids that callers were told had not run, and that a back end got.
    prefill_tokens, wasted_tokens : int
        Prompt tokens read, and read for nothing.
    """

    dispatches: int
    repeats: list[str]
    wrong: list[str]
    ran_though_not_run: list[str]
    prefill_tokens: int
    wasted_tokens: int

    @property
    def broken(self) -> bool:
        """Whether a promise broke."""
        return bool(self.repeats or self.wrong or self.ran_though_not_run)


async def check(started: cluster.Cluster, results: list[driver.Result]) -> Promises:
    """Compare what callers were told with the back ends' logs."""
    seen: list[str] = []
    prefill = 0
    wasted = 0
    for engine in started.deployment.engines:
        address = started.addresses[engine.name]
        log = await started.control(address, "GET", "/control/log")
        seen += [line["id"] for line in log["dispatches"]]
        totals = await started.control(address, "GET", "/control/totals")
        prefill += totals["prefilled"]
        wasted += totals["prefill_wasted"]
    for plain in started.deployment.plains:
        address = started.addresses[plain.name]
        log = await started.control(address, "GET", "/control/log")
        seen += [line["id"] for line in log["runs"]]
    repeats = sorted({key for key in seen if seen.count(key) > 1})
    wrong = [result.request_id for result in results if _is_wrong(result)]
    at_back_ends = set(seen)
    told_not_run = []
    for result in results:
        if result.outcome == "not_run" and _key(result) in at_back_ends:
            told_not_run.append(result.request_id)
    return Promises(len(seen), repeats, wrong, told_not_run, prefill, wasted)


def table(results: list[driver.Result], tiers: list[str]) -> str:
    """Return the table by tier."""
    lines = [COLUMNS]
    for tier in tiers:
        mine = [result for result in results if result.arrival.tier == tier]
        done = [result for result in mine if result.outcome == "completed"]
        in_time = sum(1 for result in done if result.in_time)
        counts = dict.fromkeys(("not_run", "outcome_unknown", "failed"), 0)
        for result in mine:
            if result.outcome in counts:
                counts[result.outcome] += 1
        seconds = [result.seconds for result in done] or [float("nan")]
        p50, p95 = numpy.percentile(seconds, [50, 95])
        lines.append(
            f"{tier:<12}{len(mine):>5}{in_time:>9}{len(done) - in_time:>6}"
            f"{counts['not_run']:>9}{counts['outcome_unknown']:>9}"
            f"{counts['failed']:>8}{p50:>8.2f}{p95:>8.2f}"
        )
    return "\n".join(lines)


async def demo(seconds: float, rate: float, daemons: int, seed: int) -> int:
    """Run the demonstration; return 1 when a promise broke."""
    deployment = deployments.deployments.get("brindley")
    with tempfile.TemporaryDirectory(prefix="cassiaquay-demo-") as folder:
        started = cluster.Cluster(deployment, daemons, pathlib.Path(folder))
        print(f"starting 5 engines, 3 plain servers and {daemons} daemons", flush=True)
        try:
            await started.start()
            arrivals = workloads.mixed(deployment, seed, seconds, rate)
            sender = driver.Driver(started.seeds, deployment.domains)
            progress = asyncio.create_task(_progress(sender, len(arrivals)))
            results = await sender.run(arrivals)
            progress.cancel()
            promises = await check(started, results)
        finally:
            codes = await started.stop()
    print(table(results, deployment.tiers))
    print(f"dispatches {promises.dispatches}, repeated {len(promises.repeats)}")
    print(f"wrong answers {len(promises.wrong)}")
    print(f"ran though told not run {len(promises.ran_though_not_run)}")
    share = promises.wasted_tokens / max(promises.prefill_tokens, 1)
    print(f"prefill {promises.prefill_tokens} tokens, wasted {share:.2%}")
    print(f"daemons stopped with {sorted(codes.items())}")
    return 1 if promises.broken or any(codes.values()) else 0


async def _progress(sender: driver.Driver, total: int) -> None:
    while True:
        await asyncio.sleep(2.0)
        print(f"  {len(sender.results)} of {total} requests ended", flush=True)


def _key(result: driver.Result) -> str:
    return f"{result.request_id}~{result.arrival.team.name}"


def _is_wrong(result: driver.Result) -> bool:
    if result.outcome != "completed" or result.arrival.path:
        return False
    expected = texts.expected_answer(_key(result), result.arrival.max_tokens)
    return result.text != expected


def main(
    seconds: float = 15.0, rate: float = 12.0, daemons: int = 3, seed: int = 1
) -> None:
    """Run the demonstration and exit with its verdict."""
    sys.exit(asyncio.run(demo(seconds, rate, daemons, seed)))


if __name__ == "__main__":
    fire.Fire(main)
