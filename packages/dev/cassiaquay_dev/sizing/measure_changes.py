"""Measure changes of a fleet of nine.

Run as ``python -m cassiaquay_dev.sizing.measure_changes``.

Real daemons and stand-ins as processes: a text until in force, a kill until no caller
is sent there, a restart of all nine under load, a new model version under load.
"""

import asyncio
import collections
import pathlib
import tempfile
import time
import typing

import fire

from .. import cluster, deployments
from ..trials import driver, workloads

DAEMONS = 9
RATE = 12.0
POLL_SECONDS = 0.02
LIMIT_SECONDS = 60.0
TRIES = 5

Run = typing.Callable[[cluster.Cluster], typing.Awaitable[None]]


async def _until(
    condition: typing.Callable[[], typing.Awaitable[bool]],
) -> float:
    start = time.monotonic()
    async with asyncio.timeout(LIMIT_SECONDS):
        while not await condition():
            await asyncio.sleep(POLL_SECONDS)
    return time.monotonic() - start


async def text_in_force(started: cluster.Cluster) -> None:
    """Print the seconds from a published text until it is in force on all."""
    text = deployments.fleet_text(started.deployment, started.addresses)
    times = []
    for number in range(TRIES):
        before = (await started.status("cq-1"))["revision"]
        await started.publish(f"{text}# change {number}\n")

        async def all_have(wanted: int = before + 1) -> bool:
            found = await asyncio.gather(*map(started.status, started.listening))
            return all(one["revision"] == wanted for one in found)

        times.append(round(await _until(all_have), 2))
    print(f"text_in_force_seconds={times}", flush=True)


async def kill(started: cluster.Cluster) -> None:
    """Print the seconds from a kill until no instance names the dead one."""
    times = []
    for number in (3, 5, 7):
        name = f"cq-{number}"
        gone = started.listening.pop(name)
        await started.daemons[name].kill()

        async def nobody_names(address: str = gone.http) -> bool:
            for one in started.listening.values():
                url = f"http://{one.http}/v1/addresses"
                async with started.http.get(url) as response:
                    body = await response.json()
                if address in [found["address"] for found in body["addresses"]]:
                    return False
            return True

        times.append(round(await _until(nobody_names), 2))
    print(f"kill_to_unnamed_seconds={times}", flush=True)


async def restart_all(started: cluster.Cluster) -> None:
    """Print what becomes of requests while all instances are restarted in turn."""
    seconds = 60.0
    load = asyncio.create_task(_load(started, seconds))
    start = time.monotonic()
    await asyncio.sleep(3.0)
    codes = []
    for name in list(started.listening):
        codes.append(await started.daemons[name].stop())
        await started.start_daemon(name)
        await started.wait_until_known(name)
    took = time.monotonic() - start
    results = await load
    print(f"restart_all_seconds={took:.1f} exit_codes={set(codes)}", flush=True)
    _notify("restart_all", results)


async def new_version(started: cluster.Cluster) -> None:
    """Print the goodput with and without a change of the model's version."""
    _notify("no_change", await _load(started, 25.0))
    text = deployments.fleet_text(started.deployment, started.addresses)
    text = text.replace('version = "1"', 'version = "2"\nserving_minimum = 4')
    load = asyncio.create_task(_load(started, 25.0))
    await asyncio.sleep(2.0)
    await started.publish(text)
    start = time.monotonic()

    async def all_changed() -> bool:
        for engine in started.deployment.engines:
            address = started.addresses[engine.name]
            found = await started.control(address, "GET", "/v1/load")
            if found["version"] != "2":
                return False
        return True

    took = await _until(all_changed)
    print(f"new_version_seconds={time.monotonic() - start:.1f} of {took:.1f}")
    _notify("new_version", await load)


async def _load(started: cluster.Cluster, seconds: float) -> list[driver.Result]:
    arrivals = workloads.mixed(started.deployment, 11, seconds, RATE)
    sender = driver.Driver(started.seeds, started.deployment.domains)
    return await sender.run(arrivals)


def _notify(name: str, results: list[driver.Result]) -> None:
    outcomes = collections.Counter((one.outcome, one.code) for one in results)
    in_time = sum(1 for one in results if one.in_time)
    seconds = sorted(one.seconds for one in results)
    middle = seconds[len(seconds) // 2]
    slow = seconds[len(seconds) * 95 // 100]
    print(
        f"{name}: requests={len(results)} in_time={in_time} outcomes={dict(outcomes)}"
        f" p50={middle:.2f} p95={slow:.2f}",
        flush=True,
    )


async def _with_cluster(run: Run) -> None:
    with tempfile.TemporaryDirectory() as folder:
        started = cluster.Cluster(deployments.BRINDLEY, DAEMONS, pathlib.Path(folder))
        try:
            await started.start()
            await run(started)
        finally:
            await started.stop()


class Main:
    """Commands of this module."""

    def text(self) -> None:
        """Measure a new text."""
        asyncio.run(_with_cluster(text_in_force))

    def kill(self) -> None:
        """Measure a kill."""
        asyncio.run(_with_cluster(kill))

    def restart(self) -> None:
        """Measure a restart of all."""
        asyncio.run(_with_cluster(restart_all))

    def version(self) -> None:
        """Measure a new model version."""
        asyncio.run(_with_cluster(new_version))


if __name__ == "__main__":
    fire.Fire(Main)
