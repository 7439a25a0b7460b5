"""Instances that are paused or cut off from the others; real processes."""

import asyncio
import pathlib
import signal

import fault_runs

import cassiaquay
from cassiaquay_dev.trials import history

# Longer than the leases of permits (3 s) and of members (1.5 s), by the settings.
PAUSE_SECONDS = 4.0


def test_a_paused_instance_wakes_up_and_runs_nothing_that_is_given_up(
    tmp_path: pathlib.Path,
) -> None:
    """The callers see whole answers from other instances during the pause.

    Engines are full, so requests wait at each instance. The busiest is stopped past
    every lease; its callers go on elsewhere. Woken, it finds permits and dead callers
    in its sockets, and must not dispatch a request whose caller was told otherwise.
    """

    async def work() -> None:
        async with fault_runs.start(tmp_path) as run:
            session = run.session(silence_timeout=1.0)
            asked = []
            for number in range(30):
                asking = run.ask(session, f"question {number}", max_tokens=100)
                asked.append(asyncio.create_task(asking))
            await run.dispatched(8)
            victim = await run.busiest()
            process = run.cluster.daemons[victim]
            process.send(signal.SIGSTOP)
            paused = asyncio.create_task(asyncio.sleep(PAUSE_SECONDS))
            answers = await asyncio.gather(*asked)
            await paused
            before = {event.key for event in await run.arrivals()}
            process.send(signal.SIGCONT)
            await run.cluster.wait_until_known(victim)
            assert [one for one in answers if isinstance(one, Exception)] == []
            async with asyncio.timeout(fault_runs.BOUND_SECONDS):
                while (await run.cluster.status(victim))["open"]:
                    await asyncio.sleep(0.05)
            late = {event.key for event in await run.arrivals()} - before
            assert not late

    fault_runs.bounded(work())


def test_both_sides_of_a_partition_serve_and_nothing_runs_twice(
    tmp_path: pathlib.Path,
) -> None:
    """The callers of both sides see whole answers while the instances are split.

    One of three instances loses its connections to the others; callers, engines and
    the platform reach all. Both sides have a keeper, so engines get more than they
    should; a request still has one owner. Then the partition heals.
    """

    async def work() -> None:
        async with fault_runs.start(tmp_path, 3, split=True) as run:
            apart = "cq-1"
            sides = [
                run.session(seeds=[run.cluster.listening[name].http])
                for name in run.cluster.listening
            ]

            async def ask_all(part: str) -> None:
                asked = []
                for number in range(12):
                    session = sides[number % len(sides)]
                    asking = run.ask(session, f"{part} {number}", max_tokens=40)
                    asked.append(asyncio.create_task(asking))
                    asked.append(asyncio.create_task(run.book(session)))
                for one in await asyncio.gather(*asked):
                    assert isinstance(one, cassiaquay.Answer), one

            run.partition.split({apart})
            await ask_all("while it splits")
            async with asyncio.timeout(fault_runs.BOUND_SECONDS):
                while (await run.cluster.status(apart))["members"] != [apart]:
                    await asyncio.sleep(0.05)
            await ask_all("split")
            owners = {
                event.id.partition(".")[0]
                for event in run.recorder.history.of(history.Attempted)
            }
            assert len(owners) > 1
            run.partition.split(set())
            await ask_all("healing")
            await run.cluster.wait_until_known(apart)

    fault_runs.bounded(work())
