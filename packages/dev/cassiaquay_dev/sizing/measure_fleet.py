"""Measure membership and configuration.

Run as ``python -m cassiaquay_dev.sizing.measure_fleet``.

``members`` runs the daemon's own parts of N instances in a few processes, on real
connections; ``texts`` reads fleet texts of growing size. docs/experiments/fleet.md
has the figures.
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

PROCESSES = 6
SETTLE_SECONDS = 6.0
RUN_SECONDS = 10.0
POLL_SECONDS = 0.1
LIMIT_SECONDS = 200.0


class Worker:
    """One child process with light instances."""

    def __init__(self, child: asyncio.subprocess.Process):
        self._child = child

    @classmethod
    async def start(cls) -> "Worker":
        """Start a worker."""
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
        """Give a command; return its answer."""
        assert self._child.stdin is not None
        assert self._child.stdout is not None
        line = json.dumps({"do": do, **fields}) + "\n"
        self._child.stdin.write(line.encode())
        return json.loads(await self._child.stdout.readline())

    async def stop(self) -> None:
        """End the worker."""
        assert self._child.stdin is not None
        self._child.stdin.close()
        await self._child.wait()


class Members(typing.NamedTuple):
    """What one number of instances gave.

    Attributes
    ----------
    instances, neighbours : int
        Instances, and links that each chooses.
    agree_seconds : float
        From a start of all at once until all see all.
    core_percent : float
        Processor time of one instance in quiet operation, percent of a core.
    bytes_per_second : float
        Frames that one instance sends in quiet operation.
    calls_per_second : float
        Calls to the configuration service by all together.
    kib : float
        Growth of a process's memory for each instance in it, KiB.
    in_force_seconds : float
        From publishing a text until it is in force everywhere.
    gone_seconds : float
        From a kill until nobody names the dead one to callers.
    pauses : int
        Instances that took themselves for paused: the machine was too busy.
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


class Many:
    """Workers that act as one fleet."""

    def __init__(self, workers: list[Worker]):
        self._workers = workers

    async def all(self, do: str, **fields: typing.Any) -> list[typing.Any]:
        """Give all workers a command."""
        calls = [worker.call(do, **fields) for worker in self._workers]
        return list(await asyncio.gather(*calls))

    async def until(
        self, condition: typing.Callable[[list[typing.Any]], bool]
    ) -> float:
        """Return the seconds until the states of all workers meet a condition."""
        start = time.monotonic()
        async with asyncio.timeout(LIMIT_SECONDS):
            while not condition(await self.all("state")):
                await asyncio.sleep(POLL_SECONDS)
        return time.monotonic() - start


def fleet_text(teams: int, engines: int, models: int = 8) -> str:
    """Return a fleet text of a given size."""
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
    """Return the figures of ``count`` instances."""
    workers = [await Worker.start() for _ in range(min(PROCESSES, count))]
    many = Many(workers)
    empty = [await worker.call("add", names=[], neighbours=1) for worker in workers]
    assert not any(empty)
    names = [f"cq-{number}" for number in range(count)]
    try:
        return await _measure(many, workers, names, neighbours)
    finally:
        await asyncio.gather(*(worker.stop() for worker in workers))


async def _measure(
    many: Many, workers: list[Worker], names: list[str], neighbours: int
) -> Members:
    count = len(names)
    lines = []
    for index, worker in enumerate(workers):
        mine = names[index :: len(workers)]
        lines += await worker.call("add", names=mine, neighbours=neighbours)
    before = await many.all("state")
    text = fleet_text(5, 9)
    await many.all("begin", lines=lines, text=text)
    agree = await many.until(
        lambda found: all(one["smallest_view"] == count for one in found)
    )
    await asyncio.sleep(SETTLE_SECONDS)
    first = await many.all("state")
    start = time.monotonic()
    await asyncio.sleep(RUN_SECONDS)
    last = await many.all("state")
    seconds = time.monotonic() - start

    def spent(key: str) -> float:
        grown = [new[key] - old[key] for old, new in zip(first, last, strict=True)]
        return float(sum(grown))

    grown = sum(one["peak_kib"] for one in last) - sum(
        one["peak_kib"] for one in before
    )
    # One process alone shows the new text: the others have it from their peers.
    await workers[0].call("publish", revision=2, text=text + "# 2\n")
    in_force = await many.until(
        lambda found: all(one["revision"] == 2 for one in found)
    )
    await workers[0].call("kill", name=names[0])
    gone = await many.until(
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
    """Commands of this module."""

    def members(self, counts: str = "9,50,100,200,380", neighbours: int = 8) -> None:
        """Print one line for each number of instances."""
        chosen = counts if isinstance(counts, tuple) else str(counts).split(",")
        for count in chosen:
            print(asyncio.run(measure_members(int(count), neighbours)), flush=True)

    def texts(self) -> None:
        """Print the cost of reading texts of growing size."""
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
