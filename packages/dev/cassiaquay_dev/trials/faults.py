"""Fault schedules of the bench: which fault occurs, and when."""

import asyncio
import collections.abc
import typing

from cassiaquay_schema import registry

from . import bench_cluster

SLOW_FACTOR = 3.0
STALE_MS = 3000.0


class Fault(typing.NamedTuple):
    """One fault schedule.

    Attributes
    ----------
    engine_settings : dict
        Settings that override the engines' defaults from the start.
    act : callable
        Coroutine function that runs concurrently with the workload; gets the cluster
        and the seconds of arrivals.
    speed : callable
        Returns the remaining share of the first engine's speed at a time, given the
        seconds of arrivals; used by the bound.
    """

    engine_settings: dict[str, float]
    act: collections.abc.Callable[
        [bench_cluster.BenchCluster, float], collections.abc.Awaitable[None]
    ]
    speed: collections.abc.Callable[[float, float], float]


faults: registry.Registry[Fault] = registry.Registry("fault schedule")


async def _no_fault(
    running_cluster: bench_cluster.BenchCluster, seconds: float
) -> None:
    """Do nothing."""


async def _slow_engine(
    running_cluster: bench_cluster.BenchCluster, seconds: float
) -> None:
    await asyncio.sleep(seconds / 3)
    address = running_cluster.addresses[running_cluster.deployment.engines[0].name]
    await running_cluster.control(
        address, "POST", "/control/slow", {"factor": SLOW_FACTOR}
    )


async def _lose_engine(
    running_cluster: bench_cluster.BenchCluster, seconds: float
) -> None:
    await asyncio.sleep(seconds / 3)
    await running_cluster.kill_first_engine()


async def _lose_instance(
    running_cluster: bench_cluster.BenchCluster, seconds: float
) -> None:
    await asyncio.sleep(seconds / 3)
    await running_cluster.kill_daemon()


def _full_speed(at: float, seconds: float) -> float:
    return 1.0


def _slowed_speed(at: float, seconds: float) -> float:
    return 1.0 / SLOW_FACTOR if at >= seconds / 3 else 1.0


def _lost_speed(at: float, seconds: float) -> float:
    return 0.0 if at >= seconds / 3 else 1.0


STALE_REPORT_SETTINGS = {
    "report_lag_ms": STALE_MS,
    "event_lag_ms": STALE_MS,
    "event_gap_share": 0.2,
}

faults.register("none")(Fault({}, _no_fault, _full_speed))
faults.register("engine-slow")(Fault({}, _slow_engine, _slowed_speed))
faults.register("engine-lost")(Fault({}, _lose_engine, _lost_speed))
faults.register("instance-lost")(Fault({}, _lose_instance, _full_speed))
faults.register("stale-reports")(Fault(STALE_REPORT_SETTINGS, _no_fault, _full_speed))
