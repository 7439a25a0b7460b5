"""Measure the cost of membership and configuration.

Run as ``python -m cassiaquay_dev.sizing.measure_fleet``.

``members`` runs N light instances in a few processes over real connections; ``texts``
reads fleet texts of increasing size. docs/experiments/fleet.md has the results.
"""

import asyncio
import hashlib
import json
import sys
import time
import tracemalloc
import typing

import fire

from cassiaquay_daemon.configured import snapshots

MAX_PROCESSES = 6
STABILIZATION_SECONDS = 6.0
MEASUREMENT_SECONDS = 10.0
POLL_SECONDS = 0.1
TIMEOUT_SECONDS = 200.0


class Worker:
    """Controls one child process that runs light instances."""

    def __init__(self, child: asyncio.subprocess.Process):
        self._child = child

    @classmethod
    async def start(cls) -> "Worker":
        """Start the child process."""
        child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "cassiaquay_dev.sizing.light_worker",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=8 * 1024 * 1024,
        )
        return cls(child)

    async def call(self, do: str, **fields: typing.Any) -> typing.Any:
        """Send a command and return its result."""
        assert self._child.stdin is not None
        assert self._child.stdout is not None
        line = json.dumps({"do": do, **fields}) + "\n"
        self._child.stdin.write(line.encode())
        return json.loads(await self._child.stdout.readline())

    async def stop(self) -> None:
        """Close the child's standard input and wait for its exit."""
        assert self._child.stdin is not None
        self._child.stdin.close()
        await self._child.wait()


class Members(typing.NamedTuple):
    """Results for one number of instances.

    Attributes
    ----------
    instances, neighbours : int
        Number of instances, and of neighbours that each one selects.
    agree_seconds : float
        Time from a simultaneous start until every instance sees all others.
    core_percent : float
        Processor time of one idle instance, percent of a core.
    bytes_per_second : float
        Bytes of the frames that one idle instance sends per second.
    calls_per_second : float
        Calls of all instances to the configuration service.
    kib : float
        Growth of a process's peak memory per instance in it, KiB.
    in_force_seconds : float
        Time from publishing a text until it is in force on all instances.
    gone_seconds : float
        Time from a kill until no instance counts the killed one as serving.
    pauses : int
        Pauses that instances detected in their own process; above 0 if the machine
        is overloaded.
    """

    instances: int
    neighbours: int
    agree_seconds: float
    core_percent: float
    bytes_per_second: float
    calls_per_second: float
    kib: float
    in_force_seconds: float
    gone_seconds: float
    pauses: int


class WorkerGroup:
    """Worker processes whose instances form one fleet."""

    def __init__(self, workers: list[Worker]):
        self._workers = workers

    async def call_all(self, do: str, **fields: typing.Any) -> list[typing.Any]:
        """Send a command to all workers and return their results."""
        calls = [worker.call(do, **fields) for worker in self._workers]
        return list(await asyncio.gather(*calls))

    async def wait_until(
        self, condition: typing.Callable[[list[typing.Any]], bool]
    ) -> float:
        """Wait for a condition on the workers' states; return the elapsed seconds."""
        start = time.monotonic()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while not condition(await self.call_all("state")):
                await asyncio.sleep(POLL_SECONDS)
        return time.monotonic() - start


def fleet_text(teams: int, engines: int, models: int = 8) -> str:
    """Return a fleet text with the given numbers of teams, engines and models."""
    lines = []
    for rank, tier in enumerate(("urgent", "interactive", "standard", "background")):
        lines += [f"[tiers.{tier}]", f"rank = {rank}"]
    for number in range(teams):
        digest = hashlib.sha256(str(number).encode()).hexdigest()
        lines += [f"[teams.team-{number:05d}]", f'credentials = ["{digest}"]']
        lines += ['tiers = ["standard"]']
    for model in range(models):
        lines += [f"[models.m{model}]", 'version = "1"', f"[pools.p{model}]"]
        for number in range(model, max(engines, models), models):
            lines += [f"[[pools.p{model}.servers]]", f'name = "engine-{number:03d}"']
            lines += [f'address = "10.0.{number // 250}.{number % 250}:9000"']
            lines += [f'domain = "d{number % 7}"', f'model = "m{model}"']
        lines += [f"[services.s{model}]", f'pool = "p{model}"', f'model = "m{model}"']
    return "\n".join(lines) + "\n"


async def measure_members(count: int, neighbours: int) -> Members:
    """Run ``count`` light instances and return their results."""
    workers = [await Worker.start() for _ in range(min(MAX_PROCESSES, count))]
    group = WorkerGroup(workers)
    empty = [await worker.call("add", names=[], neighbours=1) for worker in workers]
    assert not any(empty)
    names = [f"cq-{number}" for number in range(count)]
    try:
        return await _measure(group, workers, names, neighbours)
    finally:
        await asyncio.gather(*(worker.stop() for worker in workers))


async def _measure(
    group: WorkerGroup, workers: list[Worker], names: list[str], neighbours: int
) -> Members:
    count = len(names)
    lines = []
    for index, worker in enumerate(workers):
        assigned = names[index :: len(workers)]
        lines += await worker.call("add", names=assigned, neighbours=neighbours)
    before = await group.call_all("state")
    text = fleet_text(5, 9)
    await group.call_all("begin", lines=lines, text=text)
    agree = await group.wait_until(
        lambda found: all(one["smallest_view"] == count for one in found)
    )
    await asyncio.sleep(STABILIZATION_SECONDS)
    first = await group.call_all("state")
    start = time.monotonic()
    await asyncio.sleep(MEASUREMENT_SECONDS)
    last = await group.call_all("state")
    seconds = time.monotonic() - start

    def spent(key: str) -> float:
        grown = [new[key] - old[key] for old, new in zip(first, last, strict=True)]
        return float(sum(grown))

    grown = sum(one["peak_kib"] for one in last) - sum(
        one["peak_kib"] for one in before
    )
    # Only one process publishes the new text; the instances of the others receive it
    # from their peers.
    await workers[0].call("publish", revision=2, text=text + "# 2\n")
    in_force = await group.wait_until(
        lambda found: all(one["revision"] == 2 for one in found)
    )
    await workers[0].call("kill", name=names[0])
    gone = await group.wait_until(
        lambda found: all(one["largest_view"] < count for one in found)
    )
    return Members(
        count,
        neighbours,
        round(agree, 1),
        round(100.0 * spent("cpu") / seconds / count, 3),
        round(spent("bytes") / seconds / count, 0),
        round(spent("calls") / seconds, 1),
        round(grown / count, 0),
        round(in_force, 1),
        round(gone, 1),
        sum(one["pauses"] for one in last),
    )


class Main:
    """Commands of this module, one for each measurement."""

    def members(self, counts: str = "9,50,100,200,380", neighbours: int = 8) -> None:
        """Print one line of results for each number of instances."""
        chosen = counts if isinstance(counts, tuple) else str(counts).split(",")
        for count in chosen:
            print(asyncio.run(measure_members(int(count), neighbours)), flush=True)

    def texts(self) -> None:
        """Print the time and memory for reading fleet texts of increasing size."""
        for teams, engines in (
            (5, 9),
            (1000, 9),
            (1000, 740),
            (7000, 740),
            (23000, 740),
        ):
            text = fleet_text(teams, engines)
            start = time.process_time()
            snapshots.read(1, text)
            seconds = time.process_time() - start
            tracemalloc.start()
            found = snapshots.read(1, text)
            kept, peak = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            assert found.revision == 1
            print(
                f"teams={teams} engines={engines} bytes={len(text)}"
                f" seconds={seconds:.3f} kept_mb={kept / 1e6:.1f}"
                f" peak_mb={peak / 1e6:.1f}",
                flush=True,
            )


if __name__ == "__main__":
    fire.Fire(Main)
