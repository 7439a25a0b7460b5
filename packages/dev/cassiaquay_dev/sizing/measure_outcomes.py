"""Measure what the ownership of requests costs and what it saves.

``python -m cassiaquay_dev.sizing.measure_outcomes death`` kills 1 of 8 instances under
load, ``relay`` times the hop to another instance, ``memory`` weighs what is kept of an
id. docs/experiments/outcomes.md holds the figures.
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

DAEMONS = 8
KILL_AT = 0.45
OUTCOMES = ("completed", "not_run", "outcome_unknown", "failed")
IDS = 50_000
EVENTS = 100


class Death(typing.NamedTuple):
    """One run, with or without a death.

    Attributes
    ----------
    outcomes : Counter
        Requests by what their callers were told at last.
    streams, recovered : int
        Streams in flight on the instance as it died, and those whose caller got the
        whole answer under the same id.
    again : int
        Of the streams in flight, those that a caller started over under a new id.
    breaches : list of Breach
        What the checker found.
    """

    outcomes: collections.Counter[str]
    streams: int
    recovered: int
    again: int
    breaches: list[checker.Breach]


async def run_once(seed: int, seconds: float, rate: float, kill: bool) -> Death:
    """Run one workload, killing the busiest instance on the way when told to."""
    deployment = deployments.BRINDLEY
    recorder = history.Recorder()
    with tempfile.TemporaryDirectory(prefix="cassiaquay-outcomes-") as folder:
        started = cluster.Cluster(deployment, DAEMONS, pathlib.Path(folder))
        victim = ""
        try:
            await started.start()
            arrivals = workloads.mixed(deployment, seed, seconds, rate)
            sender = driver.Driver(started.seeds, deployment.domains, recorder.watch)
            running = asyncio.create_task(sender.run(arrivals))
            if kill:
                await asyncio.sleep(seconds * KILL_AT)
                victim = await _busiest(started)
                await started.daemons[victim].kill()
            results = await running
            for result in results:
                if result.outcome == "completed" and not result.arrival.path:
                    _answered(recorder, result)
            await history.collect(started, recorder.history)
        finally:
            await started.stop()
    return _judge(recorder.history, results, victim)


async def _busiest(started: cluster.Cluster) -> str:
    counts = {}
    for name in started.daemons:
        counts[name] = (await started.status(name))["open"]
    return max(counts, key=lambda name: counts[name])


def _answered(recorder: history.Recorder, result: driver.Result) -> None:
    recorder.history.events.append(
        history.Answered(
            time.time(),
            result.request_id,
            result.arrival.team.name,
            result.text,
            result.arrival.max_tokens,
        )
    )


def _judge(seen: history.History, results: list[driver.Result], victim: str) -> Death:
    outcomes = collections.Counter(result.outcome for result in results)
    ended = {event.id for event in seen.of(history.Ended)}
    lost = set()
    for event in seen.of(history.Dispatched):
        is_stream = not event.server.startswith("bookings")
        if event.instance == victim and event.id not in ended and is_stream:
            lost.add(event.id)
    got = {event.id for event in seen.of(history.Answered)}
    calls: dict[str, set[str]] = collections.defaultdict(set)
    for attempt in seen.of(history.Attempted):
        calls[attempt.call].add(attempt.id)
    again = sum(1 for ids in calls.values() if ids & lost and len(ids) > 1)
    return Death(outcomes, len(lost), len(lost & got), again, checker.check(seen))


async def death(seconds: float, rate: float, rounds: int) -> None:
    """Print paired runs with and without the death of 1 of 8 instances."""
    print(f"{DAEMONS} instances, {seconds:g} s, {rate:g} requests/s, {rounds} rounds")
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
                    f" same id {found.recovered}, started over {found.again}"
                )
            print(f"  breaches {len(found.breaches)}", *found.breaches, flush=True)


async def relay(pairs: int) -> None:
    """Print the latency that the hop to another instance adds."""
    plain = deployments.PlainSpec("bookings-1", "derby", 8, 1.0)
    deployment = deployments.BRINDLEY._replace(
        engines=deployments.BRINDLEY.engines[:1], plains=[plain]
    )
    with tempfile.TemporaryDirectory(prefix="cassiaquay-outcomes-") as folder:
        started = cluster.Cluster(deployment, 2, pathlib.Path(folder))
        try:
            await started.start()
            direct: list[float] = []
            hopped: list[float] = []
            for number in range(pairs):
                owner = number % 2
                direct.append(await _time_one(started, owner, owner))
                hopped.append(await _time_one(started, 1 - owner, owner))
        finally:
            await started.stop()
    added = statistics.median(hopped) - statistics.median(direct)
    print(
        f"{pairs} pairs: direct {statistics.median(direct):.2f} ms, through another"
        f" instance {statistics.median(hopped):.2f} ms, added {added:.2f} ms (medians)"
    )


async def _time_one(started: cluster.Cluster, place: int, owner: int) -> float:
    team = started.deployment.teams[0]
    owner_address, address = started.seeds[owner], started.seeds[place]
    url = f"http://{owner_address}/v1/addresses"
    async with started.http.get(url) as response:
        listed = (await response.json())["addresses"]
    token = next(one["token"] for one in listed if one["address"] == owner_address)
    begun = time.perf_counter()
    call = started.http.post(
        f"http://{address}/v1/requests/{token}~{uuid.uuid4().hex}",
        json={"service": started.deployment.plain_service, "path": "/book"},
        headers={"Authorization": f"Bearer {team.credential}"},
        timeout=aiohttp.ClientTimeout(total=10.0),
    )
    async with call as response:
        await response.read()
        response.raise_for_status()
    return (time.perf_counter() - begun) * 1000.0


def memory() -> None:
    """Print the bytes that are kept of an id."""
    token = tokens.mint("key", "cq-1", tokens.new_incarnation(), 60.0)
    names = [tokens.parse(["key"], f"{token}~{uuid.uuid4().hex}") for _ in range(IDS)]
    closed = tombstones.Closed("questions", "completed", "completed")
    kept = tombstones.Tombstones(IDS)
    tracemalloc.start()
    for name in names:
        kept.add(name, closed)
    size, _ = tracemalloc.get_traced_memory()
    print(f"closed id: {size / IDS:.0f} bytes ({IDS} ids)")
    tracemalloc.reset_peak()
    held = []
    before, _ = tracemalloc.get_traced_memory()
    for _ in range(1000):
        answer = answers.Answer()
        for number in range(EVENTS):
            answer.append(b'{"text":"%04d "}' % number)
        held.append(answer)
    after, _ = tracemalloc.get_traced_memory()
    counted = sum(answer.size for answer in held) / len(held)
    print(
        f"unacknowledged answer of {EVENTS} events: {(after - before) / 1000:.0f} bytes"
        f" held, {counted:.0f} of them counted against owner.max_answer_bytes"
    )


class Commands:
    """The measurements by name."""

    def death(self, seconds: float = 12.0, rate: float = 25.0, rounds: int = 2) -> None:
        """Kill 1 of 8 instances under load, beside runs without."""
        asyncio.run(death(seconds, rate, rounds))

    def relay(self, pairs: int = 200) -> None:
        """Time the hop to another instance."""
        asyncio.run(relay(pairs))

    def memory(self) -> None:
        """Weigh what is kept of an id."""
        memory()


if __name__ == "__main__":
    fire.Fire(Commands)
