"""Crashes of instances, also with other faults, in a cluster of real processes."""

import asyncio
import pathlib

import fault_runs

import cassiaquay
from cassiaquay_dev.trials import history


def test_callers_of_a_killed_instance_get_whole_answers(tmp_path: pathlib.Path) -> None:
    """All requests get whole answers, and no booking runs twice.

    The instance with the most requests is killed while requests stream, wait and book.
    Other instances read the rest of the streams from the engines without a second
    dispatch. Waiting requests have an unknown outcome and restart under a new id,
    except bookings. Then a second instance is killed while the engines cut all streams.
    """

    async def scenario() -> None:
        async with fault_runs.start(tmp_path, 4) as run:
            session = run.session()
            for second_fault in (False, True):
                before = len(await run.collect_arrivals())
                requests = []
                for number in range(14):
                    prompt = f"question {number} {second_fault}"
                    request = run.ask(session, prompt, max_tokens=150)
                    requests.append(asyncio.create_task(request))
                await run.wait_for_arrivals(before + 6)
                bookings = [asyncio.create_task(run.book(session)) for _ in range(4)]
                victim = await run.find_busiest()
                await run.cluster.daemons[victim].kill()
                if second_fault:
                    await run.control_engines("/control/cut", {"after": 0})
                results = await asyncio.gather(*requests)
                assert [item for item in results if isinstance(item, Exception)] == []
                for result in await asyncio.gather(*bookings):
                    if not isinstance(result, cassiaquay.Answer):
                        assert isinstance(result, cassiaquay.exceptions.OutcomeUnknown)
                answered = {
                    event.id
                    for event in run.recorder.history.of(history.Answered)
                    if event.id.startswith(f"{victim}.")
                }
                collected = history.History()
                await history.collect(run.cluster, collected)
                ended = {event.id for event in collected.of(history.Ended)}
                # Answers of the victim's requests that it did not complete itself:
                # other instances read the rest, without a second run.
                assert answered - ended

    fault_runs.run_with_timeout(scenario())


def test_engines_that_hang_close_or_forget_are_told_truthfully(
    tmp_path: pathlib.Path,
) -> None:
    """A hang or a cut ends in a whole answer, a lost stream in an unknown outcome.

    Engines stop generating events for a while, close all connections during streams,
    and one drops a stream that it has begun. Duplicate and late copies of a completed
    request attach to it, and none is dispatched to a second engine.
    """

    async def scenario() -> None:
        async with fault_runs.start(tmp_path, 2) as run:
            session = run.session()
            requests = []
            for number in range(4):
                request = run.ask(session, f"hang {number}", max_tokens=60)
                requests.append(asyncio.create_task(request))
            await run.wait_for_arrivals(4)
            await run.control_engines("/control/hang", {"on": True})
            await run.control_engines("/control/cut", {"after": 0})
            await run.control_engines("/control/hang", {"on": False})
            answers = await asyncio.gather(*requests)
            assert [item for item in answers if isinstance(item, Exception)] == []
            lost = asyncio.create_task(
                run.ask(session, "forget", max_tokens=400, restart=False)
            )
            await run.wait_for_arrivals(5)
            key = next(
                e.key for e in await run.collect_arrivals() if e.state != "finished"
            )
            await run.control_engines("/control/drop", {"id": key})
            error = await lost
            assert isinstance(error, cassiaquay.exceptions.OutcomeUnknown)
            await _send_late_copies(run, answers[0].request_id)
            await _send_concurrent_copies(run, session)
            assert len(await run.collect_arrivals()) == 6

    fault_runs.run_with_timeout(scenario())


async def _send_late_copies(run: fault_runs.Run, request_id: str) -> None:
    team = run.cluster.deployment.teams[0]
    headers = {"Authorization": f"Bearer {team.credential}"}
    body = {
        "service": run.cluster.deployment.model_service,
        "prompt": "hang 0",
        "max_tokens": 60,
        "idempotent": True,
    }
    copies = []
    for address in run.cluster.seeds * 5:
        url = f"http://{address}/v1/requests/{request_id}"
        copies.append(run.cluster.http.post(url, headers=headers, json=body))
    for response in await asyncio.gather(*copies):
        # The instance drops an acknowledged answer, but keeps the id and its outcome.
        assert response.status == 410
        assert (await response.json())["outcome"] == "completed"


async def _send_concurrent_copies(
    run: fault_runs.Run, session: cassiaquay.Session
) -> None:
    team = run.cluster.deployment.teams[0]
    headers = {"Authorization": f"Bearer {team.credential}"}
    chosen = await session.addresses.choose(fresh=True)
    body = {
        "service": run.cluster.deployment.model_service,
        "prompt": "together",
        "max_tokens": 20,
    }
    copies = []
    for address in run.cluster.seeds * 4:
        url = f"http://{address}/v1/requests/{chosen.token}~together"
        copies.append(run.cluster.http.post(url, headers=headers, json=body))
    texts = set()
    for response in await asyncio.gather(*copies):
        assert response.status == 200
        texts.add(await response.text())
    assert len(texts) == 1
