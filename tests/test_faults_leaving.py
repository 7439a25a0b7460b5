"""Graceful stops of instances and backend servers under load, in real processes."""

import asyncio
import pathlib

import fault_runs

import cassiaquay
from cassiaquay_dev.trials import checker


def test_a_planned_stop_cuts_nothing_and_callers_move_on(
    tmp_path: pathlib.Path,
) -> None:
    """All requests get whole answers; none ends as unknown or failed.

    Requests stream and wait at every instance, some through a relay, when the busiest
    instance is asked to stop. It refuses the waiting requests with another address as
    a hint, completes the streams, also one whose caller reads slowly, and exits with 0.
    """

    async def scenario() -> None:
        async with fault_runs.start(tmp_path) as run:
            session = run.session()
            requests = []
            for number in range(16):
                request = run.ask(session, f"question {number}", max_tokens=80)
                requests.append(asyncio.create_task(request))
            slow_reader = asyncio.create_task(_read_slowly(run, run.session()))
            await run.wait_for_arrivals(8)
            victim = await run.find_busiest()
            process = run.cluster.daemons[victim]
            stopping = asyncio.create_task(process.stop())
            later_requests = []
            for number in range(6):
                request = run.ask(session, f"late {number}", max_tokens=20)
                later_requests.append(asyncio.create_task(request))
            for result in await asyncio.gather(*requests, *later_requests):
                assert isinstance(result, cassiaquay.Answer), result
            assert await slow_reader == 100
            assert await stopping == 0

    fault_runs.run_with_timeout(scenario())


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
    """All requests get whole answers, and a leaving engine gets no new ones.

    The instance list shows one engine as leaving while requests arrive continuously.
    """

    async def scenario() -> None:
        async with fault_runs.start(tmp_path, 2) as run:
            session = run.session()
            leaving = run.cluster.deployment.engines[0]
            requests = []
            for number in range(40):
                request = run.ask(session, f"question {number}", max_tokens=30)
                requests.append(asyncio.create_task(request))
                if number == 10:
                    address = run.cluster.addresses[leaving.name]
                    await run.cluster.list_instance(
                        leaving.name, "backend", leaving.domain, address, "", "leaving"
                    )
                    await _wait_until_listed_as_leaving(run, leaving.name)
                    run.recorder.record_server_leaving(leaving.name)
                await asyncio.sleep(checker.LEAVING_GRACE_SECONDS * 2 / 40)
            for result in await asyncio.gather(*requests):
                assert isinstance(result, cassiaquay.Answer), result
            servers = {event.server for event in await run.collect_arrivals()}
            assert leaving.name in servers

    fault_runs.run_with_timeout(scenario())


async def _wait_until_listed_as_leaving(run: fault_runs.Run, name: str) -> None:
    async with asyncio.timeout(fault_runs.TIMEOUT_SECONDS):
        while True:
            found = await run.cluster.control(
                run.cluster.platform, "GET", "/v1/instances"
            )
            states = {line["name"]: line["state"] for line in found["instances"]}
            if states.get(name) == "leaving":
                return
            await asyncio.sleep(0.02)
