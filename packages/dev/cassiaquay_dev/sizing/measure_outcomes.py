"""Measure the costs and benefits of request ownership.

Run as ``python -m cassiaquay_dev.sizing.measure_outcomes COMMAND``. ``death`` kills 1
of 8 instances under load, ``relay`` measures the latency of the hop to another
instance, and ``memory`` measures the state kept per request id.
docs/experiments/outcomes.md has the results.
"""

import asyncio
import collections
import pathlib
import statistics
import tempfile
import time
import tracemalloc
import typing
import uuid

import aiohttp
import fire

from cassiaquay_daemon.adapters import answers
from cassiaquay_daemon.owners import tokens, tombstones

from .. import cluster, deployments
from ..trials import checker, driver, history, workloads

DAEMON_COUNT = 8
KILL_TIME_FRACTION = 0.45
OUTCOMES = ("completed", "not_run", "outcome_unknown", "failed")
ID_COUNT = 50_000
EVENT_COUNT = 100


class RunSummary(typing.NamedTuple):
    """Results of one run, with or without a killed instance.

    Attributes
    ----------
    outcomes : Counter
        Number of requests by the final outcome that the caller received.
    streams, recovered : int
        Streams in flight on the killed instance, and those of them whose caller
        received the whole answer under the original request id.
    restarted : int
        Streams in flight that a caller restarted under a new request id.
    breaches : list of Breach
        Violations of the invariants that the checker found.
    """

    outcomes: collections.Counter[str]
    streams: int
    recovered: int
    restarted: int
    breaches: list[checker.Breach]


async def run_once(seed: int, seconds: float, rate: float, kill: bool) -> RunSummary:
    """Run one workload; if ``kill`` is set, kill the busiest instance meanwhile."""
    deployment = deployments.BRINDLEY
    recorder = history.Recorder()
    with tempfile.TemporaryDirectory(prefix="cassiaquay-outcomes-") as folder:
        started = cluster.Cluster(deployment, DAEMON_COUNT, pathlib.Path(folder))
        victim = ""
        try:
            await started.start()
            arrivals = workloads.mixed(deployment, seed, seconds, rate)
            sender = driver.Driver(started.seeds, deployment.domains, recorder.watch)
            running = asyncio.create_task(sender.run(arrivals))
            if kill:
                await asyncio.sleep(seconds * KILL_TIME_FRACTION)
                victim = await _find_busiest_instance(started)
                await started.daemons[victim].kill()
            results = await running
            for result in results:
                if result.outcome == "completed" and not result.arrival.path:
                    _record_answer(recorder, result)
            await history.collect(started, recorder.history)
        finally:
            await started.stop()
    return _summarize(recorder.history, results, victim)


async def _find_busiest_instance(started: cluster.Cluster) -> str:
    counts = {}
    for name in started.daemons:
        counts[name] = (await started.status(name))["open"]
    return max(counts, key=lambda name: counts[name])


def _record_answer(recorder: history.Recorder, result: driver.Result) -> None:
    recorder.history.events.append(
        history.Answered(
            time.time(),
            result.request_id,
            result.arrival.team.name,
            result.text,
            result.arrival.max_tokens,
        )
    )


def _summarize(
    recorded: history.History, results: list[driver.Result], victim: str
) -> RunSummary:
    outcomes = collections.Counter(result.outcome for result in results)
    ended = {event.id for event in recorded.of(history.Ended)}
    lost = set()
    for event in recorded.of(history.Dispatched):
        is_stream = not event.server.startswith("bookings")
        if event.instance == victim and event.id not in ended and is_stream:
            lost.add(event.id)
    answered = {event.id for event in recorded.of(history.Answered)}
    calls: dict[str, set[str]] = collections.defaultdict(set)
    for attempt in recorded.of(history.Attempted):
        calls[attempt.call].add(attempt.id)
    restarted = sum(1 for ids in calls.values() if ids & lost and len(ids) > 1)
    return RunSummary(
        outcomes, len(lost), len(lost & answered), restarted, checker.check(recorded)
    )


async def death(seconds: float, rate: float, rounds: int) -> None:
    """Print results of paired runs with and without killing 1 of 8 instances."""
    print(
        f"{DAEMON_COUNT} instances, {seconds:g} s, {rate:g} requests/s, {rounds} rounds"
    )
    for seed in range(1, rounds + 1):
        for kill in (False, True):
            found = await run_once(seed, seconds, rate, kill)
            total = sum(found.outcomes.values())
            shares = ", ".join(
                f"{name} {found.outcomes[name] / total:.2%}" for name in OUTCOMES
            )
            print(f"seed {seed} {'killed' if kill else 'intact'}: {total}: {shares}")
            if kill:
                print(
                    f"  streams in flight there {found.streams}, read on under the"
                    f" same id {found.recovered}, started over {found.restarted}"
                )
            print(f"  breaches {len(found.breaches)}", *found.breaches, flush=True)


async def relay(pairs: int) -> None:
    """Print the latency added by the hop through another instance."""
    plain = deployments.PlainSpec("bookings-1", "derby", 8, 1.0)
    deployment = deployments.BRINDLEY._replace(
        engines=deployments.BRINDLEY.engines[:1], plains=[plain]
    )
    with tempfile.TemporaryDirectory(prefix="cassiaquay-outcomes-") as folder:
        started = cluster.Cluster(deployment, 2, pathlib.Path(folder))
        try:
            await started.start()
            direct: list[float] = []
            relayed: list[float] = []
            for number in range(pairs):
                owner = number % 2
                direct.append(await _measure_request_ms(started, owner, owner))
                relayed.append(await _measure_request_ms(started, 1 - owner, owner))
        finally:
            await started.stop()
    added = statistics.median(relayed) - statistics.median(direct)
    print(
        f"{pairs} pairs: direct {statistics.median(direct):.2f} ms, through another"
        f" instance {statistics.median(relayed):.2f} ms, added {added:.2f} ms (medians)"
    )


async def _measure_request_ms(
    started: cluster.Cluster, receiver: int, owner: int
) -> float:
    team = started.deployment.teams[0]
    owner_address, address = started.seeds[owner], started.seeds[receiver]
    url = f"http://{owner_address}/v1/addresses"
    async with started.http.get(url) as response:
        listed = (await response.json())["addresses"]
    token = next(one["token"] for one in listed if one["address"] == owner_address)
    start = time.perf_counter()
    call = started.http.post(
        f"http://{address}/v1/requests/{token}~{uuid.uuid4().hex}",
        json={"service": started.deployment.plain_service, "path": "/book"},
        headers={"Authorization": f"Bearer {team.credential}"},
        timeout=aiohttp.ClientTimeout(total=10.0),
    )
    async with call as response:
        await response.read()
        response.raise_for_status()
    return (time.perf_counter() - start) * 1000.0


def memory() -> None:
    """Print the memory kept for a closed id and for an unacknowledged answer."""
    token = tokens.mint("key", "cq-1", tokens.new_incarnation(), 60.0)
    names = [
        tokens.parse(["key"], f"{token}~{uuid.uuid4().hex}") for _ in range(ID_COUNT)
    ]
    closed = tombstones.Closed("questions", "completed", "completed")
    kept = tombstones.Tombstones(ID_COUNT)
    tracemalloc.start()
    for name in names:
        kept.add(name, closed)
    size, _ = tracemalloc.get_traced_memory()
    print(f"closed id: {size / ID_COUNT:.0f} bytes ({ID_COUNT} ids)")
    tracemalloc.reset_peak()
    held = []
    before, _ = tracemalloc.get_traced_memory()
    for _ in range(1000):
        answer = answers.Answer()
        for number in range(EVENT_COUNT):
            answer.append(b'{"text":"%04d "}' % number)
        held.append(answer)
    after, _ = tracemalloc.get_traced_memory()
    counted = sum(answer.size for answer in held) / len(held)
    print(
        f"unacknowledged answer of {EVENT_COUNT} events:"
        f" {(after - before) / 1000:.0f} bytes held,"
        f" {counted:.0f} of them counted against owner.max_answer_bytes"
    )


class Commands:
    """Commands of this module, one for each measurement."""

    def death(self, seconds: float = 12.0, rate: float = 25.0, rounds: int = 2) -> None:
        """Compare runs under load with and without killing 1 of 8 instances."""
        asyncio.run(death(seconds, rate, rounds))

    def relay(self, pairs: int = 200) -> None:
        """Measure the latency added by the hop through another instance."""
        asyncio.run(relay(pairs))

    def memory(self) -> None:
        """Measure the memory kept per request id."""
        memory()


if __name__ == "__main__":
    fire.Fire(Commands)
