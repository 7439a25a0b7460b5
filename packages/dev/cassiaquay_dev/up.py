"""A deployment on this machine, kept up with a light load until ctrl-c.

Run as ``python -m cassiaquay_dev.up`` or ``make up``; it prints what is needed to try
the operators' commands: addresses, process ids, and the path of the fleet text, which
is published whenever it is saved.
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
    """Publish the fleet text each time it is saved, for ever."""
    before = await asyncio.to_thread(path.read_text)
    while True:
        await asyncio.sleep(POLL_SECONDS)
        text = await asyncio.to_thread(path.read_text)
        if text == before or not text:
            continue
        before = text
        await started.publish(text)
        print(f"published {path.name}", flush=True)


async def send(started: cluster.Cluster, rate: float) -> None:
    """Send a light load for ever, in rounds."""
    seed = 0
    while True:
        seed += 1
        arrivals = workloads.mixed(started.deployment, seed, ROUND_SECONDS, rate)
        sender = driver.Driver(started.seeds, started.deployment.domains)
        await sender.run(arrivals)


def describe(started: cluster.Cluster, path: pathlib.Path) -> str:
    """Return what a person needs to operate the deployment."""
    lines = []
    for name, found in sorted(started.listening.items()):
        pid = started.daemons[name].pid
        lines.append(f"{name}  pid={pid}  admin={found.admin}  http={found.http}")
    addresses = ",".join(one.admin for _, one in sorted(started.listening.items()))
    lines.append(f"fleet text, published when saved: {path}")
    lines.append(f"logs: {path.parent}")
    lines.append(f"export CASSIAQUAY_ADMIN={addresses}")
    return "\n".join(lines)


async def hold(
    name: str, daemons: int, rate: float, seconds: float, scale: float
) -> None:
    """Start a deployment and keep it up for at most ``seconds``."""
    deployment = deployments.deployments.get(name)
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    with tempfile.TemporaryDirectory(prefix="cassiaquay-") as folder:
        path = pathlib.Path(folder) / "fleet.toml"
        extra = f"[reports]\nburn_scale = {scale}"
        started = cluster.Cluster(deployment, daemons, path.parent, extra=extra)
        tasks = []
        try:
            await started.start()
            path.write_text(deployments.fleet_text(deployment, started.addresses))
            tasks.append(asyncio.create_task(publish_saved(started, path)))
            tasks.append(asyncio.create_task(send(started, rate)))
            print(describe(started, path), flush=True)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(ended.wait(), seconds)
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
    """Keep a deployment up.

    Parameters
    ----------
    deployment : str
        ``brindley`` or ``veiqia``.
    daemons : int
        Instances.
    rate : float
        Requests a second.
    seconds : float
        Longest time.
    burn_scale : float
        Factor on the burn windows.
    """
    asyncio.run(hold(deployment, daemons, rate, seconds, burn_scale))


if __name__ == "__main__":
    fire.Fire(main)
