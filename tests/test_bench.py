"""The bench: bound and metrics against values by hand, workloads, one small run."""

import asyncio
import json
import pathlib

import pytest

from cassiaquay_dev import deployments
from cassiaquay_dev.network import processes
from cassiaquay_dev.standins import engine_stream, texts
from cassiaquay_dev.trials import (
    bench_driver,
    bench_metrics,
    bench_path,
    bench_report,
    bench_runs,
    bench_workloads,
    bounds,
    fairness,
    path_client,
    workloads,
)

TEAM = deployments.BRINDLEY.teams[0]
# 1 ms per generated token with a full batch, 1000 prompt tokens per second.
ENGINE = deployments.EngineSpec("engine-1", "derby", 1000.0, 0.0, 1, 100_000)
DECODE_MS = 1.0


def arrival(
    at: float = 0.0,
    tier: str = "urgent",
    tokens: int = 500,
    deadline: float = 1.0,
    prompt: str = "x",
) -> workloads.Arrival:
    return workloads.Arrival(
        at, TEAM, tier, "tutor-assist", "", prompt, tokens, "", deadline, True
    )


def bound_of(arrivals: list[workloads.Arrival]) -> bounds.Bound:
    found = bounds.needs(arrivals)
    pool = bounds.Pool([ENGINE], DECODE_MS, found)
    return bounds.bound(pool, found, ["urgent", "standard"])


def test_bound_equals_the_capacity_of_the_window() -> None:
    # Each takes 0.5 s for tokens and 1 ms for the prompt, in one window of 1 s.
    limit = bound_of([arrival() for _ in range(5)])
    assert limit.without_tiers == pytest.approx(1.0 / 0.501, rel=1e-6)
    assert limit.finishable == {"urgent": 5, "standard": 0}


def test_strict_bound_serves_long_urgent_requests_first() -> None:
    long = arrival(tokens=900)
    short = [arrival(tier="standard", tokens=99) for _ in range(10)]
    limit = bound_of([long, *short])
    assert limit.by_tier["urgent"] == pytest.approx(1.0)
    assert limit.by_tier["standard"] == pytest.approx(0.99, abs=0.02)
    assert limit.without_tiers == pytest.approx(10.0, abs=0.01)


def test_bound_excludes_requests_that_no_idle_engine_finishes_in_time() -> None:
    limit = bound_of([arrival(tokens=1500)])
    assert limit.finishable["urgent"] == 0
    assert limit.strict == 0.0


def test_bound_excludes_the_work_of_a_lost_engine() -> None:
    found = bounds.needs([arrival(), arrival(at=1.0)])
    pool = bounds.Pool([ENGINE], DECODE_MS, found)
    limit = bounds.bound(pool, found, ["urgent"], lambda at: 1.0 if at < 1 else 0.0)
    assert limit.strict == pytest.approx(1.0)


def test_overlapping_windows_share_their_capacity() -> None:
    # Two windows of 1 s that start 0.5 s apart have 1.5 s of capacity in total.
    first = [arrival(tokens=499) for _ in range(2)]
    second = [arrival(at=0.5, tokens=499) for _ in range(2)]
    limit = bound_of(first + second)
    assert limit.without_tiers == pytest.approx(3.0, rel=1e-6)


def test_needs_count_prompt_tokens_of_earlier_requests_as_cached() -> None:
    prompt = "a" * 256 * 3
    found = bounds.needs([arrival(prompt=prompt), arrival(prompt=prompt + "b" * 8)])
    assert [need.cached_tokens for need in found] == [0, 192]
    assert [need.fresh_tokens for need in found] == [192, 2]


def test_rate_for_offers_the_requested_load() -> None:
    deployment = deployments.BRINDLEY
    workload = bench_workloads.registered.get("brindley-evening")

    def build(rate: float) -> list[workloads.Arrival]:
        return bench_workloads.build(workload, deployment, 0, 5.0, rate)

    rate = bounds.rate_for(2.0, deployment.engines, 0.2, build, 5.0)
    found = bounds.needs(build(rate))
    pool = bounds.Pool(deployment.engines, 0.2, found)
    work = sum(pool.work(need) for need in found)
    assert work == pytest.approx(2.0 * pool.speed * 5.0, rel=0.2)


def test_jain_index_of_equal_and_unequal_shares() -> None:
    assert fairness.jain([1.0, 1.0, 1.0]) == pytest.approx(1.0)
    assert fairness.jain([1.0, 0.0, 0.0, 0.0]) == pytest.approx(0.25)


def test_fair_shares_satisfy_small_demands_first() -> None:
    wanted = {"small": 10.0, "large": 100.0, "huge": 100.0}
    weights = {"small": 1.0, "large": 1.0, "huge": 2.0}
    shares = fairness.fair_shares(wanted, weights, 100.0)
    assert shares == pytest.approx({"small": 10.0, "large": 30.0, "huge": 60.0})


def record_of(team: int, tier: str, in_time: bool) -> bench_driver.Record:
    asked = arrival(tier=tier, tokens=9)._replace(team=deployments.BRINDLEY.teams[team])
    record = bench_driver.Record(asked)
    record.request_id = f"{team}-{tier}-{in_time}"
    record.outcome = "completed"
    record.text = texts.expected_answer(record.key, 9)
    record.seconds = 0.5 if in_time else 2.0
    return record


def test_fairness_compares_teams_within_each_tier() -> None:
    # All urgent requests are served and no others: fair, though one team sent them.
    served = [record_of(0, "urgent", True) for _ in range(3)]
    starved = [record_of(team, "standard", False) for team in (0, 1, 2)]
    assert fairness.fairness(served + starved, deployments.BRINDLEY) == 1.0
    # One of two equal teams is served all tokens of a tier.
    unfair = [record_of(0, "standard", True), record_of(1, "standard", False)]
    unfair += [record_of(0, "standard", True), record_of(1, "standard", False)]
    found = fairness.fairness(unfair, deployments.BRINDLEY)
    assert found == pytest.approx(0.5)


def test_missed_requests_are_counted_by_tier_length_and_code() -> None:
    late = record_of(0, "urgent", False)
    refused = record_of(1, "urgent", False)
    refused.outcome, refused.code = "not_run", "shed_overload"
    served = record_of(2, "urgent", True)
    found = bench_metrics.missed([late, refused, served], ["urgent", "standard"])
    assert found["urgent"] == {"short late": 1, "short shed_overload": 1}
    assert found["standard"] == {}


def test_prefill_of_late_answers_counts_as_wasted() -> None:
    prompt = "c" * 256 * 4
    records = []
    lines: list[engine_stream.Dispatch] = []
    for number, seconds in enumerate([0.5, 2.0]):
        record = bench_driver.Record(arrival(tokens=2, prompt=prompt))
        record.request_id = f"id-{number}"
        record.outcome = "completed"
        record.text = texts.expected_answer(record.key, 2)
        record.seconds = seconds
        records.append(record)
        lines.append(
            {
                "id": record.key,
                "at": float(number),
                "prompt_tokens": 256,
                "cached_tokens": 128 * number,
                "prefilled_tokens": 256 - 128 * number,
                "generated_tokens": 2,
                "state": engine_stream.FINISHED,
                "finished_at": None,
                "repeat": False,
            }
        )
    found = bench_metrics.prefill(
        records, [bench_metrics.EngineFigures("e", 1.0, lines)]
    )
    assert found.wasted_share == pytest.approx(128 / 384)
    assert found.oracle_share == pytest.approx(128 / 256)


def test_work_breaks_down_the_busy_time() -> None:
    spec = ENGINE._replace(step_ms=10.0)
    line: engine_stream.Dispatch = {
        "id": "a",
        "at": 0.0,
        "prompt_tokens": 500,
        "cached_tokens": 0,
        "prefilled_tokens": 500,
        "generated_tokens": 100,
        "state": engine_stream.FINISHED,
        "finished_at": None,
        "repeat": False,
    }
    # 0.5 s of prefill, 0.1 s of decode, 0.4 s of fixed time in 40 steps.
    engine = bench_metrics.EngineFigures("engine-1", 1.0, [line])
    found = bench_metrics.work(engine, spec, DECODE_MS)
    assert found == pytest.approx((0.5, 0.1, 0.4, 2.5))


@pytest.mark.parametrize("name", bench_workloads.registered.names())
def test_workloads_are_determined_by_their_seed(name: str) -> None:
    workload = bench_workloads.registered.get(name)
    deployment = deployments.deployments.get(name.partition("-")[0])
    first = bench_workloads.build(workload, deployment, 4, 3.0, 30.0)
    again = bench_workloads.build(workload, deployment, 4, 3.0, 30.0)
    other = bench_workloads.build(workload, deployment, 5, 3.0, 30.0)
    assert first == again
    assert first != other
    lengths = [len(one.prompt) for one in first if one.prompt]
    assert max(lengths) > 10 * min(lengths)


def test_path_table_shows_medians_and_added_latency() -> None:
    settings = bench_path.PathSettings(aim=2000)
    phases = {}
    for way, first in (("direct", 1.0), ("daemon", 3.0)):
        for rate in (1000, 2000):
            rounds = []
            for number in range(3):
                rounds.append(bench_path.Phase(rate, 20.0, first + number, 9.0, 0.1, 0))
            phases[f"{way} {rate}/s"] = rounds
    text = bench_path.table(settings, phases)
    assert "added to first_p50 at 1000 tokens/s: 2.00 ms" in text
    assert "added to first_p99 at 1000 tokens/s: 0.00 ms" in text
    assert "| daemon 1000/s | 1000 | 20 | 4 | 9 | 0.1 | 0 | 100.0 |" in text


def test_path_client_counts_what_the_fast_engine_sends(
    tmp_path: pathlib.Path,
) -> None:
    async def run() -> path_client.ClientResult:
        arguments = ["-m", "cassiaquay_dev.standins.fast_engine", "--interval_ms=5"]
        engine = processes.Process("engine", arguments, tmp_path)
        await engine.start()
        try:
            await engine.wait_for(lambda lines: bool(lines))
            address = engine.lines()[0].partition("=")[2]
            settings = path_client.ClientSettings(
                address, "/v1/streams/", "", {}, 4, 3, 0.0, 0.0, 1.0
            )
            client = path_client.Client(settings, "test")
            return await client.run()
        finally:
            await engine.stop()

    result = asyncio.run(run())
    assert result["refused"] == 0
    assert result["requests"] > 0
    assert len(result["first_ms"]) - result["requests"] in range(4)
    # Answers of mean length 4 have 2 to 6 events; 3 streams may be open at the end.
    assert 2 * result["requests"] <= result["tokens"] <= 6 * (result["requests"] + 3)


def test_small_bench_run_writes_complete_results(tmp_path: pathlib.Path) -> None:
    plan = bench_runs.Plan("brindley", "brindley-evening", 0.2, "none", 2.0, 2.0, 2)
    runs = [asyncio.run(bench_runs.run(plan, "round-robin", 1))]
    text = bench_report.write(plan, runs, tmp_path)
    assert "| round-robin |" in text
    kept = json.loads((tmp_path / "brindley-evening-0.2x-none.json").read_text())
    figures = kept["runs"][0]["figures"]
    assert figures["wrong"] == 0
    assert figures["repeated_dispatches"] == 0
    arrivals, _ = bench_runs.arrivals_of(plan, 1)
    sent = sum(figures["sent"].values())
    assert sent == sum(1 for one in arrivals if not one.path)
    assert sum(figures["outcomes"].values()) == sent
    assert figures["prefill_tokens"] > 0
    assert len(figures["busy_share"]) == 5
    assert (tmp_path / "brindley-evening-0.2x-none.png").stat().st_size > 0
