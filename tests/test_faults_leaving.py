"""Planned stops of instances and backend servers under load; real processes."""

import asyncio
import pathlib

import fault_runs

import cassiaquay
from cassiaquay_dev.trials import checker


def test_a_planned_stop_cuts_nothing_and_callers_move_on(
    tmp_path: pathlib.Path,
) -> None:
    """The callers see whole answers only; none is told "unknown" or "failed".

    Requests stream and wait at every instance, some through a relay, when the busiest
    is told to stop. It hands the waiting ones back with another address, finishes the
    streams, also one whose caller reads slowly, and exits with status 0.
    """

    async def work() -> None:
        async with fault_runs.start(tmp_path) as run:
            session = run.session()
            asked = []
            for number in range(16):
                asking = run.ask(session, f"question {number}", max_tokens=80)
                asked.append(asyncio.create_task(asking))
            slow = asyncio.create_task(_read_slowly(run, run.session()))
            await run.dispatched(8)
            victim = await run.busiest()
            process = run.cluster.daemons[victim]
            stopping = asyncio.create_task(process.stop())
            later = []
            for number in range(6):
                asking = run.ask(session, f"late {number}", max_tokens=20)
                later.append(asyncio.create_task(asking))
            for one in await asyncio.gather(*asked, *later):
                assert isinstance(one, cassiaquay.Answer), one
            assert await slow == 100
            assert await stopping == 0

    fault_runs.bounded(work())


async def _read_slowly(run: fault_runs.Run, session: cassiaquay.Session) -> int:
    count = 0
    service = run.cluster.deployment.model_service
    async for _ in session.stream(service, "slowly", max_tokens=100):
        count += 1
        await asyncio.sleep(0.02)
    return count


def test_a_leaving_backend_server_finishes_its_work_and_gets_no_more(
    tmp_path: pathlib.Path,
) -> None:
    """The callers see whole answers; the leaving engine gets nothing new.

    Requests come all the time when the list begins to show one engine as leaving.
    """

    async def work() -> None:
        async with fault_runs.start(tmp_path, 2) as run:
            session = run.session()
            leaving = run.cluster.deployment.engines[0]
            asked = []
            for number in range(40):
                asking = run.ask(session, f"question {number}", max_tokens=30)
                asked.append(asyncio.create_task(asking))
                if number == 10:
                    address = run.cluster.addresses[leaving.name]
                    await run.cluster.list_instance(
                        leaving.name, "backend", leaving.domain, address, "", "leaving"
                    )
                    await _until_listed(run, leaving.name)
                    run.recorder.record_server_leaving(leaving.name)
                await asyncio.sleep(checker.LEAVING_GRACE_SECONDS * 2 / 40)
            for one in await asyncio.gather(*asked):
                assert isinstance(one, cassiaquay.Answer), one
            servers = {event.server for event in await run.arrivals()}
            assert leaving.name in servers

    fault_runs.bounded(work())


async def _until_listed(run: fault_runs.Run, name: str) -> None:
    async with asyncio.timeout(fault_runs.BOUND_SECONDS):
        while True:
            found = await run.cluster.control(
                run.cluster.platform, "GET", "/v1/instances"
            )
            states = {line["name"]: line["state"] for line in found["instances"]}
            if states.get(name) == "leaving":
                return
            await asyncio.sleep(0.02)
