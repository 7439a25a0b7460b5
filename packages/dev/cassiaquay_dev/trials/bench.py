"""``make bench``: compare policies on the same arrivals; measure the data path's cost.

Run as ``python -m cassiaquay_dev.trials.bench [WHAT] [--FLAG=VALUE ...]``. ``WHAT`` is

- ``compare`` (the default): compare policies on seeded workloads, loads and faults
- ``path``: measure the throughput and overhead of one daemon on one core
- ``names``: list the registered names
"""

import asyncio
import importlib
import pathlib
import typing

import fire
import uvloop

from cassiaquay_daemon.decisions import policies
from cassiaquay_daemon.keepers import baselines
from cassiaquay_schema import registry

from .. import deployments
from . import bench_path, bench_report, bench_runs, bench_workloads, faults

# Importing the keeper registers the daemon's policies.
importlib.import_module("cassiaquay_daemon.keepers.keeper")

experiments: registry.Registry[typing.Any] = registry.Registry("experiment")

RESULTS_FOLDER = "build/bench"
POLICIES = (
    "tiered",
    "round-robin",
    "least-reported",
    "prefix-sticky",
    baselines.LOCAL,
)


@experiments.register("compare")
def compare(
    deployment: str = "brindley",
    workload: str = "",
    loads: typing.Any = (1.0, 1.5, 3.0),
    fault: str = "none",
    choose: typing.Any = POLICIES,
    seeds: int = 3,
    first_seed: int = 1,
    seconds: float = 12.0,
    scale: float = 2.0,
    daemons: int = 3,
    out: str = RESULTS_FOLDER,
) -> None:
    """Run policies on the same arrivals; write a table, plots and JSON.

    Parameters
    ----------
    deployment, workload, fault : str
        Registered names; an empty workload selects the deployment's default.
    loads : float or list of float
        Offered loads as multiples of the computed capacity.
    choose : str or list of str
        Registered policies; the first is the baseline of the comparison.
    seeds, first_seed : int
        Number of runs of each policy, and the seed of the first run.
    seconds : float
        Time over which requests arrive.
    scale : float
        Factor by which engines are slower than in the deployment.
    daemons : int
        Number of instances.
    out : str
        Folder for the results.
    """
    names = _as_list(choose)
    for name in names:
        policies.policies.get(name)
    folder = pathlib.Path(out)
    folder.mkdir(parents=True, exist_ok=True)
    for load in _as_list(loads):
        plan = bench_runs.Plan(
            deployment,
            workload or bench_runs.default_workload(deployment),
            float(load),
            fault,
            seconds,
            scale,
            daemons,
        )
        runs = []
        for seed in range(first_seed, first_seed + seeds):
            # Interleaved, so that changes in the machine's load affect all policies.
            for name in names:
                run = uvloop.run(bench_runs.run(plan, name, seed))
                print(bench_report.line(run), flush=True)
                runs.append(run)
        print(bench_report.write(plan, runs, folder), flush=True)


@experiments.register("path")
def path(**options: typing.Any) -> None:
    """Measure the throughput and overhead of one daemon on one core."""
    print(asyncio.run(bench_path.measure(bench_path.PathSettings(**options))))


@experiments.register("names")
def names() -> None:
    """Print all registered names."""
    print("experiments:", *experiments.names())
    print("deployments:", *deployments.deployments.names())
    print("workloads:", *bench_workloads.registered.names())
    print("faults:", *faults.faults.names())
    print("policies:", *policies.policies.names())


def _as_list(value: typing.Any) -> list[typing.Any]:
    # Fire passes "a-b,c" as one string, but "1,2" as a tuple.
    if isinstance(value, str):
        return value.split(",")
    return list(value) if isinstance(value, list | tuple) else [value]


def main(what: str = "compare", **options: typing.Any) -> None:
    """Run the experiment ``what``."""
    experiments.get(what)(**options)


if __name__ == "__main__":
    fire.Fire(main)
