"""Execute one bench run: one policy and seed on a cluster, a workload and a fault."""

import asyncio
import pathlib
import tempfile
import time
import typing

from .. import deployments
from . import (
    bench_cluster,
    bench_driver,
    bench_metrics,
    bench_workloads,
    bounds,
    faults,
    workloads,
)

CAPACITY_SEED = 0
RECOVERY_SECONDS = 5.0
# A new keeper grants only after owners have reported their outstanding requests.
SHARD_OPENING_SECONDS = 1.5


class Plan(typing.NamedTuple):
    """Parameters of a run; names are registered names.

    Attributes
    ----------
    deployment, workload : str
        Names of the deployment and the workload.
    load : float
        Offered load as a multiple of the computed capacity.
    fault : str
        Name of the fault schedule.
    seconds : float
        Time over which requests arrive.
    scale : float
        Factor by which engines are slower than in the deployment.
    daemons : int
        Number of instances.
    """

    deployment: str
    workload: str
    load: float
    fault: str
    seconds: float
    scale: float
    daemons: int


class Run(typing.TypedDict):
    """One run and its metrics."""

    policy: str
    seed: int
    rate: float
    figures: bench_metrics.Figures


DEFAULT_WORKLOADS = {"brindley": "brindley-evening", "veiqia": "veiqia-fittings"}


def default_workload(deployment: str) -> str:
    """Return the name of a deployment's own workload."""
    return DEFAULT_WORKLOADS[deployment]


def arrivals_of(plan: Plan, seed: int) -> tuple[list[workloads.Arrival], float]:
    """Return the arrivals of a run and the rate outside bursts."""
    deployment = scaled_deployment(plan)
    workload = bench_workloads.registered.get(plan.workload)

    def build(rate: float) -> list[workloads.Arrival]:
        return bench_workloads.build(
            workload, deployment, CAPACITY_SEED, plan.seconds, rate
        )

    rate = bounds.rate_for(
        plan.load, deployment.engines, decode_ms(plan), build, plan.seconds
    )
    found = bench_workloads.build(workload, deployment, seed, plan.seconds, rate)
    return found, rate


def scaled_deployment(plan: Plan) -> deployments.Deployment:
    """Return the deployment with slowed engines."""
    named = deployments.deployments.get(plan.deployment)
    return bench_cluster.scaled(named, plan.scale)


def decode_ms(plan: Plan) -> float:
    """Return the milliseconds that each running request adds to a step."""
    return bounds.DECODE_MS_PER_SEQUENCE * plan.scale


def limit_of(plan: Plan, arrivals: list[workloads.Arrival]) -> bounds.Bound:
    """Return the upper bound for the arrivals of a run under its fault."""
    deployment = scaled_deployment(plan)
    found = bounds.needs(arrivals)
    pool = bounds.Pool(deployment.engines, decode_ms(plan), found)
    fault = faults.faults.get(plan.fault)

    def speed_at(at: float) -> float:
        lost = 1.0 - fault.speed(at, plan.seconds)
        return pool.speed - lost * pool.speeds[0]

    return bounds.bound(pool, found, deployment.tiers, speed_at)


async def run(plan: Plan, policy: str, seed: int) -> Run:
    """Run one policy on the arrivals of one seed."""
    deployment = scaled_deployment(plan)
    workload = bench_workloads.registered.get(plan.workload)
    fault = faults.faults.get(plan.fault)
    arrivals, rate = arrivals_of(plan, seed)
    with tempfile.TemporaryDirectory(prefix="cassiaquay-bench-") as folder:
        running_cluster = bench_cluster.BenchCluster(
            deployment,
            plan.daemons,
            pathlib.Path(folder),
            policy,
            plan.scale,
            fault.engine_settings,
        )
        try:
            await running_cluster.start()
            await asyncio.sleep(SHARD_OPENING_SECONDS)
            stream_driver = bench_driver.StreamDriver(
                running_cluster.seeds, deployment.domains, workload.repeats
            )
            processor_before = running_cluster.processor_seconds()
            own_before = time.process_time()
            start = time.monotonic()
            fault_task = asyncio.create_task(
                _run_fault(fault, running_cluster, plan.seconds)
            )
            records = await stream_driver.run(arrivals)
            elapsed = time.monotonic() - start
            await fault_task
            shares = {"driver": (time.process_time() - own_before) / elapsed}
            for name, spent in running_cluster.processor_seconds().items():
                shares[name] = (spent - processor_before.get(name, 0.0)) / elapsed
            engines = await _engine_figures(running_cluster)
        finally:
            await running_cluster.stop()
    recovery = bench_metrics.recovery(
        records, plan.seconds / 3, plan.seconds, RECOVERY_SECONDS
    )
    figures = bench_metrics.figures(
        records,
        engines,
        deployment,
        limit_of(plan, arrivals),
        elapsed,
        decode_ms(plan),
        recovery,
        shares,
    )
    return Run(policy=policy, seed=seed, rate=rate, figures=figures)


async def _run_fault(
    fault: faults.Fault, running_cluster: bench_cluster.BenchCluster, seconds: float
) -> None:
    await fault.act(running_cluster, seconds)


async def _engine_figures(
    running_cluster: bench_cluster.BenchCluster,
) -> list[bench_metrics.EngineFigures]:
    found = []
    for engine in running_cluster.deployment.engines:
        totals = await running_cluster.engine_state(engine.name, "/control/totals")
        log = await running_cluster.engine_state(engine.name, "/control/log")
        if totals is None or log is None:
            continue
        found.append(
            bench_metrics.EngineFigures(
                engine.name, totals["busy_seconds"], log["dispatches"]
            )
        )
    return found
