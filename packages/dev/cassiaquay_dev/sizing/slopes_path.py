"""Slopes of the data path, from the processor time of one daemon process.

Two runs send an equal number of requests, one with short and one with long answers. The
difference in processor time is the cost of the additional events. Callers and engines
run in other processes.
"""

import asyncio
import functools
import os
import pathlib
import tempfile
import typing

import cassiaquay

from .. import cluster, deployments

REQUEST_COUNT = 240
MAX_CONCURRENT_REQUESTS = 40
SHORT_TOKENS, LONG_TOKENS = 8, 108
IDLE_SECONDS = 2.0


class PathCost(typing.NamedTuple):
    """Processor time and idle memory of one daemon."""

    seconds_per_request: float
    seconds_per_event: float
    base_bytes: float


def seconds_per_request() -> float:
    """Return the processor time of one request without its events."""
    return measure().seconds_per_request


def seconds_per_event() -> float:
    """Return the processor time of one streamed event."""
    return measure().seconds_per_event


def base_bytes() -> float:
    """Return the resident memory of an idle daemon."""
    return measure().base_bytes


@functools.cache
def measure() -> PathCost:
    """Run one daemon under load and return its costs."""
    return asyncio.run(_measure())


async def _measure() -> PathCost:
    deployment = deployments.BRINDLEY
    with tempfile.TemporaryDirectory(prefix="cassiaquay-slopes-") as folder:
        started = cluster.Cluster(deployment, 1, pathlib.Path(folder))
        try:
            await started.start()
            pid = started.daemons["cq-1"].pid
            resident = _resident_bytes(pid)
            await _send_load(started, 4)
            short = await _load_processor_seconds(started, pid, SHORT_TOKENS)
            long = await _load_processor_seconds(started, pid, LONG_TOKENS)
        finally:
            await started.stop()
    per_event = (long - short) / REQUEST_COUNT / (LONG_TOKENS - SHORT_TOKENS)
    per_request = short / REQUEST_COUNT - SHORT_TOKENS * per_event
    return PathCost(per_request, per_event, resident)


async def _load_processor_seconds(
    started: cluster.Cluster, pid: int, tokens: int
) -> float:
    loop = asyncio.get_running_loop()
    before, start = _processor_seconds(pid), loop.time()
    await asyncio.sleep(IDLE_SECONDS)
    idle = (_processor_seconds(pid) - before) / (loop.time() - start)
    before, start = _processor_seconds(pid), loop.time()
    await _send_load(started, tokens)
    return _processor_seconds(pid) - before - idle * (loop.time() - start)


async def _send_load(started: cluster.Cluster, tokens: int) -> None:
    team = started.deployment.teams[0]
    settings = cassiaquay.Settings(seeds=started.seeds, credential=team.credential)
    limiter = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)
    async with cassiaquay.Session(settings) as session:

        async def ask(number: int) -> None:
            async with limiter:
                await session.ask(
                    started.deployment.model_service,
                    f"question {number} of {tokens}",
                    max_tokens=tokens,
                )

        await asyncio.gather(*(ask(number) for number in range(REQUEST_COUNT)))


def _processor_seconds(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _resident_bytes(pid: int) -> float:
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024.0
    raise OSError(f"no VmRSS line in the status of process {pid}")
