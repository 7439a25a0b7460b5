"""``make bench``: policies compared on the same arrivals, and the data path's cost.

Run as ``python -m cassiaquay_dev.trials.bench [WHAT] [--FLAG=VALUE ...]``. ``WHAT`` is

- ``compare`` (the default): policies paired on seeded workloads, loads and faults
- ``path``: what one daemon relays on one core
- ``names``: what is registered
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

# Registers the policies that a daemon knows.
importlib.import_module("cassiaquay_daemon.keepers.keeper")

experiments: registry.Registry[typing.Any] = registry.Registry("experiment")

FOLDER = "build/bench"
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
    out: str = FOLDER,
) -> None:
    """Run policies on the same arrivals; write a table, plots and JSON.

    Parameters
    ----------
    deployment, workload, fault : str
        Registered names; the workload named after the deployment when left out.
    loads : float or list of float
        Multiples of the computed capacity.
    choose : str or list of str
        Registered policies; the first is compared to the others.
    seeds, first_seed : int
        How many runs of each, and the seed of the first.
    seconds : float
        Time over which requests arrive.
    scale : float
        How much slower engines are than in the deployment.
    daemons : int
        Instances.
    out : str
        Folder for the results.
    """
    names = _listed(choose)
    for name in names:
        policies.policies.get(name)
    folder = pathlib.Path(out)
    folder.mkdir(parents=True, exist_ok=True)
    for load in _listed(loads):
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
            # Interleaved: a change of the machine's load strikes all policies.
            for name in names:
                run = uvloop.run(bench_runs.run(plan, name, seed))
                print(bench_report.line(run), flush=True)
                runs.append(run)
        print(bench_report.write(plan, runs, folder), flush=True)


@experiments.register("path")
def path(**options: typing.Any) -> None:
    """Measure what one daemon relays on one core."""
    print(asyncio.run(bench_path.measure(bench_path.PathSettings(**options))))


@experiments.register("names")
def names() -> None:
    """Print what is registered."""
    print("experiments:", *experiments.names())
    print("deployments:", *deployments.deployments.names())
    print("workloads:", *bench_workloads.registered.names())
    print("faults:", *faults.faults.names())
    print("policies:", *policies.policies.names())


def _listed(value: typing.Any) -> list[typing.Any]:
    # The command line gives "a-b,c" as one text, but "1,2" as a tuple.
    if isinstance(value, str):
        return value.split(",")
    return list(value) if isinstance(value, list | tuple) else [value]


def main(what: str = "compare", **options: typing.Any) -> None:
    """Run one experiment."""
    experiments.get(what)(**options)


if __name__ == "__main__":
    fire.Fire(main)
