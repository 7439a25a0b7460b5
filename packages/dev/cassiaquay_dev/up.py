"""Run a deployment on this machine under a light load until SIGINT or SIGTERM.

Run as ``python -m cassiaquay_dev.up`` or ``make up``. Prints what the operators'
commands need: addresses, process ids and the path of the fleet text, which is
published each time the file is saved.
"""

import asyncio
import contextlib
import pathlib
import signal
import tempfile

import fire

from . import cluster, deployments
from .trials import driver, workloads

POLL_SECONDS = 0.3
ROUND_SECONDS = 10.0


async def publish_saved(started: cluster.Cluster, path: pathlib.Path) -> None:
    """Publish the fleet text each time the file changes, until cancelled."""
    before = await asyncio.to_thread(path.read_text)
    while True:
        await asyncio.sleep(POLL_SECONDS)
        text = await asyncio.to_thread(path.read_text)
        if text == before or not text:
            continue
        before = text
        await started.publish(text)
        print(f"published {path.name}", flush=True)


async def send_load(started: cluster.Cluster, rate: float) -> None:
    """Send a light load in rounds of `ROUND_SECONDS`, until cancelled."""
    seed = 0
    while True:
        seed += 1
        arrivals = workloads.mixed(started.deployment, seed, ROUND_SECONDS, rate)
        sender = driver.Driver(started.seeds, started.deployment.domains)
        await sender.run(arrivals)


def describe(started: cluster.Cluster, path: pathlib.Path) -> str:
    """Return the addresses, process ids and paths that operators' commands need."""
    lines = []
    for name, found in sorted(started.listening.items()):
        pid = started.daemons[name].pid
        lines.append(f"{name}  pid={pid}  admin={found.admin}  http={found.http}")
    addresses = ",".join(one.admin for _, one in sorted(started.listening.items()))
    lines.append(f"fleet text, published when saved: {path}")
    lines.append(f"logs: {path.parent}")
    lines.append(f"export CASSIAQUAY_ADMIN={addresses}")
    return "\n".join(lines)


async def run_deployment(
    name: str, daemons: int, rate: float, seconds: float, scale: float
) -> None:
    """Run a deployment for at most ``seconds``, or until SIGTERM or SIGINT."""
    deployment = deployments.deployments.get(name)
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    with tempfile.TemporaryDirectory(prefix="cassiaquay-") as folder:
        path = pathlib.Path(folder) / "fleet.toml"
        extra = f"[reports]\nburn_scale = {scale}"
        started = cluster.Cluster(deployment, daemons, path.parent, extra=extra)
        tasks = []
        try:
            await started.start()
            path.write_text(deployments.fleet_text(deployment, started.addresses))
            tasks.append(asyncio.create_task(publish_saved(started, path)))
            tasks.append(asyncio.create_task(send_load(started, rate)))
            print(describe(started, path), flush=True)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(stop_requested.wait(), seconds)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await started.stop()
    print("stopped", flush=True)


def main(
    deployment: str = "brindley",
    daemons: int = 3,
    rate: float = 5.0,
    seconds: float = 1800.0,
    burn_scale: float = 1.0,
) -> None:
    """Run a deployment under a light load.

    Parameters
    ----------
    deployment : str
        ``brindley`` or ``veiqia``.
    daemons : int
        Number of instances.
    rate : float
        Requests per second.
    seconds : float
        Maximum run time.
    burn_scale : float
        Factor on the time windows of the burn rates of objectives.
    """
    asyncio.run(run_deployment(deployment, daemons, rate, seconds, burn_scale))


if __name__ == "__main__":
    fire.Fire(main)
