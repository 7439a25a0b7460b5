"""Pauses and network partitions of instances, in a cluster of real processes."""

import asyncio
import pathlib
import signal

import fault_runs

import cassiaquay
from cassiaquay_dev.trials import history

# Longer than ``lease_seconds`` (3 s) and ``suspect_after`` (1.5 s) of the settings.
PAUSE_SECONDS = 4.0


def test_a_paused_instance_wakes_up_and_runs_nothing_that_is_given_up(
    tmp_path: pathlib.Path,
) -> None:
    """Requests of a paused instance get whole answers from other instances.

    The engines are full, so requests wait at each instance. The busiest instance is
    stopped for longer than any lease, and its callers move to other instances. When it
    continues, it receives old permits and closed connections, and must not dispatch
    requests that their callers have restarted elsewhere.
    """

    async def scenario() -> None:
        async with fault_runs.start(tmp_path) as run:
            session = run.session(silence_timeout=1.0)
            requests = []
            for number in range(30):
                request = run.ask(session, f"question {number}", max_tokens=100)
                requests.append(asyncio.create_task(request))
            await run.wait_for_arrivals(8)
            victim = await run.find_busiest()
            process = run.cluster.daemons[victim]
            process.send(signal.SIGSTOP)
            pause = asyncio.create_task(asyncio.sleep(PAUSE_SECONDS))
            results = await asyncio.gather(*requests)
            await pause
            before = {event.key for event in await run.collect_arrivals()}
            process.send(signal.SIGCONT)
            await run.cluster.wait_until_known(victim)
            assert [item for item in results if isinstance(item, Exception)] == []
            async with asyncio.timeout(fault_runs.TIMEOUT_SECONDS):
                while (await run.cluster.status(victim))["open"]:
                    await asyncio.sleep(0.05)
            late = {event.key for event in await run.collect_arrivals()} - before
            assert not late

    fault_runs.run_with_timeout(scenario())


def test_both_sides_of_a_partition_serve_and_nothing_runs_twice(
    tmp_path: pathlib.Path,
) -> None:
    """Callers of both sides of a partition get whole answers.

    One of three instances loses its connections to the others, while callers, engines
    and the platform can reach all three. Each side has its own keeper, so engines get
    more requests than their limits, but each request still has one owner. Then the
    partition heals.
    """

    async def scenario() -> None:
        async with fault_runs.start(tmp_path, 3, split=True) as run:
            isolated = "cq-1"
            sessions = [
                run.session(seeds=[run.cluster.listening[name].http])
                for name in run.cluster.listening
            ]

            async def request_all(phase: str) -> None:
                requests = []
                for number in range(12):
                    session = sessions[number % len(sessions)]
                    request = run.ask(session, f"{phase} {number}", max_tokens=40)
                    requests.append(asyncio.create_task(request))
                    requests.append(asyncio.create_task(run.book(session)))
                for result in await asyncio.gather(*requests):
                    assert isinstance(result, cassiaquay.Answer), result

            run.partition.split({isolated})
            await request_all("while it splits")
            async with asyncio.timeout(fault_runs.TIMEOUT_SECONDS):
                while (await run.cluster.status(isolated))["members"] != [isolated]:
                    await asyncio.sleep(0.05)
            await request_all("split")
            owners = {
                event.id.partition(".")[0]
                for event in run.recorder.history.of(history.Attempted)
            }
            assert len(owners) > 1
            run.partition.split(set())
            await request_all("healing")
            await run.cluster.wait_until_known(isolated)

    fault_runs.run_with_timeout(scenario())
