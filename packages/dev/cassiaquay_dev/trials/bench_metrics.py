"""Metrics of one bench run, from the callers' records and the engines' logs."""

import typing

import numpy

from .. import deployments
from ..standins import blocks, engine_stream
from . import bench_driver, bounds, fairness

PERCENTILES = [50, 95, 99]


class EngineFigures(typing.NamedTuple):
    """Totals and log of one engine at the end of a run.

    Attributes
    ----------
    name : str
        Name of the engine.
    busy_seconds : float
        Time spent in steps.
    dispatches : list of Dispatch
        Log of the requests that were sent to it.
    """

    name: str
    busy_seconds: float
    dispatches: list[engine_stream.Dispatch]


class Prefill(typing.NamedTuple):
    """Prompt token counts of a run.

    Attributes
    ----------
    done, wasted : int
        Prefilled tokens, and those of requests that were not answered in time.
    looked_up, cached, oracle : int
        Tokens of all dispatched prompts, those found in the engine's cache, and those
        that an oracle with the contents of all caches would have found.
    """

    done: int
    wasted: int
    looked_up: int
    cached: int
    oracle: int

    @property
    def wasted_share(self) -> float:
        """Share of the prefilled tokens that were wasted."""
        return self.wasted / max(self.done, 1)

    @property
    def oracle_share(self) -> float:
        """Tokens found in caches divided by those of the oracle."""
        return self.cached / max(self.oracle, 1)


class Work(typing.NamedTuple):
    """Breakdown of one engine's busy time; shares 0 to 1.

    Attributes
    ----------
    prefill, decode, steps : float
        Shares of the busy time: prefill, the part of a step that grows with the
        batch, and the fixed part of steps.
    batch : float
        Mean number of requests that generated a token in a step.
    """

    prefill: float
    decode: float
    steps: float
    batch: float


class Figures(typing.TypedDict):
    """All metrics of a run; times in milliseconds, shares 0 to 1."""

    sent: dict[str, int]
    finishable: dict[str, int]
    in_time: dict[str, int]
    goodput: int
    plain_in_time_share: float
    outcomes: dict[str, int]
    missed: dict[str, dict[str, int]]
    wrong: int
    repeated_dispatches: int
    bound_strict: float
    bound_by_tier: dict[str, float]
    bound_without_tiers: float
    prefill_tokens: int
    wasted_prefill_share: float
    cached_tokens: int
    cached_share: float
    oracle_cached_share: float
    first_ms: list[float]
    gap_ms: list[float]
    jain: float
    busy_share: dict[str, float]
    wasted_decode_share: float
    work: dict[str, Work]
    recovery_share: float
    processor_share: dict[str, float]


def prefill(
    records: list[bench_driver.Record], engines: list[EngineFigures]
) -> Prefill:
    """Count the prompt tokens of all dispatches, in order of time."""
    by_key = {record.key: record for record in records}
    useful = {record.key for record in records if record.in_time}
    logged = [line for engine in engines for line in engine.dispatches]
    known_blocks: set[int] = set()
    done = wasted = looked_up = cached = oracle = 0
    for line in sorted(logged, key=lambda line: line["at"]):
        done += line["prefilled_tokens"]
        if line["id"] not in useful:
            wasted += line["prefilled_tokens"]
        if line["state"] == engine_stream.REFUSED or line["id"] not in by_key:
            continue
        if not line["cached_tokens"] and not line["prefilled_tokens"]:
            # The engine never admitted it, so its cache was not looked up.
            continue
        looked_up += line["prompt_tokens"]
        cached += line["cached_tokens"]
        for block in blocks.block_hashes(by_key[line["id"]].arrival.prompt):
            if block in known_blocks:
                oracle += blocks.TOKENS_PER_BLOCK
            known_blocks.add(block)
    return Prefill(done, wasted, looked_up, cached, oracle)


def work(engine: EngineFigures, spec: deployments.EngineSpec, decode_ms: float) -> Work:
    """Return the breakdown of the busy time of an engine that was never slowed."""
    busy = max(engine.busy_seconds, 1e-9)
    generated = sum(line["generated_tokens"] for line in engine.dispatches)
    prefilled = sum(line["prefilled_tokens"] for line in engine.dispatches)
    prefill_share = prefilled / spec.prefill_tokens_per_second / busy
    decode_share = generated * decode_ms / 1000.0 / busy
    steps_share = max(1.0 - prefill_share - decode_share, 0.0)
    steps = steps_share * busy / (spec.step_ms / 1000.0)
    return Work(prefill_share, decode_share, steps_share, generated / max(steps, 1.0))


def wasted_decode(
    records: list[bench_driver.Record], engines: list[EngineFigures]
) -> float:
    """Return the share of generated tokens of requests not answered in time."""
    useful = {record.key for record in records if record.in_time}
    total = wasted = 0
    for engine in engines:
        for line in engine.dispatches:
            total += line["generated_tokens"]
            if line["id"] not in useful:
                wasted += line["generated_tokens"]
    return wasted / max(total, 1)


def missed(
    records: list[bench_driver.Record], tiers: list[str]
) -> dict[str, dict[str, int]]:
    """Count the requests not in time by tier, length of the prompt and code.

    Requests of sessions count as ``long``; the code ``late`` means a complete answer
    after the deadline.
    """
    found: dict[str, dict[str, int]] = {tier: {} for tier in tiers}
    for record in records:
        if record.in_time:
            continue
        length = "long" if record.arrival.session else "short"
        code = "late" if record.outcome == "completed" else record.code
        counts = found[record.arrival.tier]
        name = f"{length} {code}"
        counts[name] = counts.get(name, 0) + 1
    return found


def recovery(
    records: list[bench_driver.Record], at: float, seconds: float, delay_seconds: float
) -> float:
    """Return the ratio of the goodput rates after and before a fault.

    Requests count by time of arrival: before ``at``, the time of the fault, and from
    ``delay_seconds`` after it until ``seconds``, the end of arrivals.
    """
    before = [r for r in records if r.arrival.at < at]
    after = [r for r in records if r.arrival.at >= at + delay_seconds]
    if not before or not after or at + delay_seconds >= seconds:
        return float("nan")
    rate_before = sum(1 for record in before if record.in_time) / at
    done_after = sum(1 for record in after if record.in_time)
    rate_after = done_after / (seconds - at - delay_seconds)
    return rate_after / rate_before if rate_before else float("nan")


def figures(
    records: list[bench_driver.Record],
    engines: list[EngineFigures],
    deployment: deployments.Deployment,
    limit: bounds.Bound,
    elapsed: float,
    decode_ms: float,
    recovery_share: float,
    processor_share: dict[str, float],
) -> Figures:
    """Return the metrics of a run that took ``elapsed`` seconds."""
    tiers = deployment.tiers
    sent = dict.fromkeys(tiers, 0)
    in_time = dict.fromkeys(tiers, 0)
    outcomes: dict[str, int] = {}
    plain = [record for record in records if record.arrival.path]
    model = [record for record in records if not record.arrival.path]
    for record in model:
        sent[record.arrival.tier] += 1
        in_time[record.arrival.tier] += record.in_time
        outcomes[record.code] = outcomes.get(record.code, 0) + 1
    done = [record for record in model if record.outcome == "completed"]
    tokens = prefill(model, engines)
    specs = {spec.name: spec for spec in deployment.engines}
    keys = [line["id"] for engine in engines for line in engine.dispatches]
    return Figures(
        sent=sent,
        finishable=limit.finishable,
        in_time=in_time,
        goodput=sum(in_time.values()),
        plain_in_time_share=_share([record.in_time for record in plain]),
        outcomes=outcomes,
        missed=missed(model, tiers),
        wrong=sum(1 for record in done if not record.is_correct),
        repeated_dispatches=len(keys) - len(set(keys)),
        bound_strict=limit.strict,
        bound_by_tier=limit.by_tier,
        bound_without_tiers=limit.without_tiers,
        prefill_tokens=tokens.done,
        wasted_prefill_share=tokens.wasted_share,
        cached_tokens=tokens.cached,
        cached_share=tokens.cached / max(tokens.looked_up, 1),
        oracle_cached_share=tokens.oracle_share,
        first_ms=_percentiles([record.first_seconds for record in done]),
        gap_ms=_percentiles([gap for record in done for gap in record.gaps]),
        jain=fairness.fairness(model, deployment),
        busy_share={engine.name: engine.busy_seconds / elapsed for engine in engines},
        wasted_decode_share=wasted_decode(model, engines),
        work={
            engine.name: work(engine, specs[engine.name], decode_ms)
            for engine in engines
        },
        recovery_share=recovery_share,
        processor_share=processor_share,
    )


def _share(flags: list[bool]) -> float:
    return sum(flags) / len(flags) if flags else 1.0


def _percentiles(seconds: list[float]) -> list[float]:
    if not seconds:
        return [float("nan")] * len(PERCENTILES)
    found = numpy.percentile(seconds, PERCENTILES) * 1000.0
    return [round(float(value), 2) for value in found]
