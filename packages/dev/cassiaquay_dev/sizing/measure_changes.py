"""Measure changes to a running fleet of nine instances.

Run as ``python -m cassiaquay_dev.sizing.measure_changes``.

Runs daemons and simulated backend servers as processes. Measures the time until a
published fleet text is in force on all instances, the time from a kill until no
instance lists the killed one for callers, and the outcomes of requests during a
restart of all nine instances and during a change of a model's version.
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

DAEMON_COUNT = 9
REQUESTS_PER_SECOND = 12.0
POLL_SECONDS = 0.02
TIMEOUT_SECONDS = 60.0
TRIAL_COUNT = 5

Measurement = typing.Callable[[cluster.Cluster], typing.Awaitable[None]]


async def _seconds_until(
    condition: typing.Callable[[], typing.Awaitable[bool]],
) -> float:
    start = time.monotonic()
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while not await condition():
            await asyncio.sleep(POLL_SECONDS)
    return time.monotonic() - start


async def text_in_force(started: cluster.Cluster) -> None:
    """Print the seconds from publishing a text until all instances apply it."""
    text = deployments.fleet_text(started.deployment, started.addresses)
    times = []
    for number in range(TRIAL_COUNT):
        before = (await started.status("cq-1"))["revision"]
        await started.publish(f"{text}# change {number}\n")

        async def all_at_revision(wanted: int = before + 1) -> bool:
            found = await asyncio.gather(*map(started.status, started.listening))
            return all(one["revision"] == wanted for one in found)

        times.append(round(await _seconds_until(all_at_revision), 2))
    print(f"text_in_force_seconds={times}", flush=True)


async def kill(started: cluster.Cluster) -> None:
    """Print the seconds from a kill until no instance lists the killed one."""
    times = []
    for number in (3, 5, 7):
        name = f"cq-{number}"
        killed = started.listening.pop(name)
        await started.daemons[name].kill()

        async def is_unlisted(address: str = killed.http) -> bool:
            for one in started.listening.values():
                url = f"http://{one.http}/v1/addresses"
                async with started.http.get(url) as response:
                    body = await response.json()
                if address in [found["address"] for found in body["addresses"]]:
                    return False
            return True

        times.append(round(await _seconds_until(is_unlisted), 2))
    print(f"kill_to_unnamed_seconds={times}", flush=True)


async def restart_all(started: cluster.Cluster) -> None:
    """Print request outcomes while all instances are restarted in turn."""
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
    _print_outcomes("restart_all", results)


async def new_version(started: cluster.Cluster) -> None:
    """Print request outcomes with and without a change of the model's version."""
    _print_outcomes("no_change", await _load(started, 25.0))
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

    took = await _seconds_until(all_changed)
    print(f"new_version_seconds={time.monotonic() - start:.1f} of {took:.1f}")
    _print_outcomes("new_version", await load)


async def _load(started: cluster.Cluster, seconds: float) -> list[driver.Result]:
    arrivals = workloads.mixed(started.deployment, 11, seconds, REQUESTS_PER_SECOND)
    sender = driver.Driver(started.seeds, started.deployment.domains)
    return await sender.run(arrivals)


def _print_outcomes(name: str, results: list[driver.Result]) -> None:
    outcomes = collections.Counter((one.outcome, one.code) for one in results)
    in_time = sum(1 for one in results if one.in_time)
    seconds = sorted(one.seconds for one in results)
    median = seconds[len(seconds) // 2]
    percentile_95 = seconds[len(seconds) * 95 // 100]
    print(
        f"{name}: requests={len(results)} in_time={in_time} outcomes={dict(outcomes)}"
        f" p50={median:.2f} p95={percentile_95:.2f}",
        flush=True,
    )


async def _with_cluster(run: Measurement) -> None:
    with tempfile.TemporaryDirectory() as folder:
        started = cluster.Cluster(
            deployments.BRINDLEY, DAEMON_COUNT, pathlib.Path(folder)
        )
        try:
            await started.start()
            await run(started)
        finally:
            await started.stop()


class Main:
    """Commands of this module, one for each measurement."""

    def text(self) -> None:
        """Measure the time until a new fleet text is in force."""
        asyncio.run(_with_cluster(text_in_force))

    def kill(self) -> None:
        """Measure the time until a killed instance is no longer listed."""
        asyncio.run(_with_cluster(kill))

    def restart(self) -> None:
        """Measure request outcomes during a restart of all instances."""
        asyncio.run(_with_cluster(restart_all))

    def version(self) -> None:
        """Measure request outcomes during a change of the model version."""
        asyncio.run(_with_cluster(new_version))


if __name__ == "__main__":
    fire.Fire(Main)
