"""Fault schedules of the bench: what goes wrong, and when."""

import asyncio
import collections.abc
import typing

from cassiaquay_schema import registry

from . import bench_cluster

SLOW_FACTOR = 3.0
STALE_MS = 3000.0


class Fault(typing.NamedTuple):
    """One schedule.

    Attributes
    ----------
    engine_settings : dict
        Settings of all engines that differ from the start on.
    act : callable
        Run beside the workload; gets the cluster and the seconds of arrivals.
    speed : callable
        Share of the first engine's speed left at a time, given the seconds of
        arrivals; used by the bound.
    """

    engine_settings: dict[str, float]
    act: collections.abc.Callable[
        [bench_cluster.BenchCluster, float], collections.abc.Awaitable[None]
    ]
    speed: collections.abc.Callable[[float, float], float]


faults: registry.Registry[Fault] = registry.Registry("fault schedule")


async def _nothing(started: bench_cluster.BenchCluster, seconds: float) -> None:
    """Do nothing."""


async def _slow_engine(started: bench_cluster.BenchCluster, seconds: float) -> None:
    await asyncio.sleep(seconds / 3)
    address = started.addresses[started.deployment.engines[0].name]
    await started.control(address, "POST", "/control/slow", {"factor": SLOW_FACTOR})


async def _lose_engine(started: bench_cluster.BenchCluster, seconds: float) -> None:
    await asyncio.sleep(seconds / 3)
    await started.kill_first_engine()


async def _lose_instance(started: bench_cluster.BenchCluster, seconds: float) -> None:
    await asyncio.sleep(seconds / 3)
    await started.kill_daemon()


def _whole(at: float, seconds: float) -> float:
    return 1.0


def _third(at: float, seconds: float) -> float:
    return 1.0 / SLOW_FACTOR if at >= seconds / 3 else 1.0


def _gone(at: float, seconds: float) -> float:
    return 0.0 if at >= seconds / 3 else 1.0


STALE = {"report_lag_ms": STALE_MS, "event_lag_ms": STALE_MS, "event_gap_share": 0.2}

faults.register("none")(Fault({}, _nothing, _whole))
faults.register("engine-slow")(Fault({}, _slow_engine, _third))
faults.register("engine-lost")(Fault({}, _lose_engine, _gone))
faults.register("instance-lost")(Fault({}, _lose_instance, _whole))
faults.register("stale-reports")(Fault(STALE, _nothing, _whole))
