"""Slopes of the data path, from the processor time of one daemon's process.

The same number of requests with short and with long answers; the difference is that of
the events. Callers and engines are other processes.
"""

import asyncio
import functools
import os
import pathlib
import tempfile
import typing

import cassiaquay

from .. import cluster, deployments

REQUESTS = 240
AT_A_TIME = 40
SHORT_TOKENS, LONG_TOKENS = 8, 108
IDLE_SECONDS = 2.0


class PathCost(typing.NamedTuple):
    """What one daemon spends."""

    seconds_per_request: float
    seconds_per_event: float
    base_bytes: float


def seconds_per_request() -> float:
    """Return the processor time of one request without its events."""
    return measure().seconds_per_request


def seconds_per_event() -> float:
    """Return the processor time of one event."""
    return measure().seconds_per_event


def base_bytes() -> float:
    """Return the resident memory of an idle daemon."""
    return measure().base_bytes


@functools.cache
def measure() -> PathCost:
    """Run one daemon under load and return what it spent."""
    return asyncio.run(_measure())


async def _measure() -> PathCost:
    deployment = deployments.BRINDLEY
    with tempfile.TemporaryDirectory(prefix="cassiaquay-slopes-") as folder:
        started = cluster.Cluster(deployment, 1, pathlib.Path(folder))
        try:
            await started.start()
            pid = started.daemons["cq-1"].pid
            resident = _resident_bytes(pid)
            await _load(started, 4)
            short = await _spent(started, pid, SHORT_TOKENS)
            long = await _spent(started, pid, LONG_TOKENS)
        finally:
            await started.stop()
    per_event = (long - short) / REQUESTS / (LONG_TOKENS - SHORT_TOKENS)
    per_request = short / REQUESTS - SHORT_TOKENS * per_event
    return PathCost(per_request, per_event, resident)


async def _spent(started: cluster.Cluster, pid: int, tokens: int) -> float:
    loop = asyncio.get_running_loop()
    before, at = _processor_seconds(pid), loop.time()
    await asyncio.sleep(IDLE_SECONDS)
    idle = (_processor_seconds(pid) - before) / (loop.time() - at)
    before, at = _processor_seconds(pid), loop.time()
    await _load(started, tokens)
    return _processor_seconds(pid) - before - idle * (loop.time() - at)


async def _load(started: cluster.Cluster, tokens: int) -> None:
    team = started.deployment.teams[0]
    settings = cassiaquay.Settings(seeds=started.seeds, credential=team.credential)
    gate = asyncio.Semaphore(AT_A_TIME)
    async with cassiaquay.Session(settings) as session:

        async def ask(number: int) -> None:
            async with gate:
                await session.ask(
                    started.deployment.model_service,
                    f"question {number} of {tokens}",
                    max_tokens=tokens,
                )

        await asyncio.gather(*(ask(number) for number in range(REQUESTS)))


def _processor_seconds(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _resident_bytes(pid: int) -> float:
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024.0
    raise OSError(f"no VmRSS of process {pid}")
