"""Instances that die, alone and together with other faults; real processes."""

import asyncio
import pathlib

import fault_runs

import cassiaquay
from cassiaquay_dev.trials import history


def test_callers_of_a_killed_instance_get_whole_answers(tmp_path: pathlib.Path) -> None:
    """The callers see nothing but whole answers, and no booking is made twice.

    The instance with the most requests is killed while some stream, some wait and
    bookings run. The streams are read on at the engines by the others, with no second
    dispatch; what waited is unknown and asked again under a new id, but no booking.
    Then a second instance dies while the engines cut every stream that they send.
    """

    async def work() -> None:
        async with fault_runs.start(tmp_path, 4) as run:
            session = run.session()
            for second_fault in (False, True):
                before = len(await run.arrivals())
                asked = []
                for number in range(14):
                    prompt = f"question {number} {second_fault}"
                    asking = run.ask(session, prompt, max_tokens=150)
                    asked.append(asyncio.create_task(asking))
                await run.dispatched(before + 6)
                booked = [asyncio.create_task(run.book(session)) for _ in range(4)]
                victim = await run.busiest()
                await run.cluster.daemons[victim].kill()
                if second_fault:
                    await run.engines("/control/cut", {"after": 0})
                answers = await asyncio.gather(*asked)
                assert [one for one in answers if isinstance(one, Exception)] == []
                for one in await asyncio.gather(*booked):
                    if not isinstance(one, cassiaquay.Answer):
                        assert isinstance(one, cassiaquay.exceptions.OutcomeUnknown)
                orphans = {
                    event.id
                    for event in run.recorder.history.of(history.Answered)
                    if event.id.startswith(f"{victim}.")
                }
                seen = history.History()
                await history.collect(run.cluster, seen)
                ended = {event.id for event in seen.of(history.Ended)}
                # Answered in the name of the dead: read on, not run again.
                assert orphans - ended

    fault_runs.bounded(work())


def test_engines_that_hang_close_or_forget_are_told_truthfully(
    tmp_path: pathlib.Path,
) -> None:
    """The callers see whole answers after a hang or a cut, and unknown after a loss.

    Engines stop making events for a while; they close every connection in the middle
    of a stream; one forgets a stream that it had begun. Duplicated and late copies of
    a finished request attach to it, and nothing is sent to a second engine.
    """

    async def work() -> None:
        async with fault_runs.start(tmp_path, 2) as run:
            session = run.session()
            asked = []
            for number in range(4):
                asking = run.ask(session, f"hang {number}", max_tokens=60)
                asked.append(asyncio.create_task(asking))
            await run.dispatched(4)
            await run.engines("/control/hang", {"on": True})
            await run.engines("/control/cut", {"after": 0})
            await run.engines("/control/hang", {"on": False})
            answers = await asyncio.gather(*asked)
            assert [one for one in answers if isinstance(one, Exception)] == []
            lost = asyncio.create_task(
                run.ask(session, "forget", max_tokens=400, restart=False)
            )
            await run.dispatched(5)
            key = next(e.key for e in await run.arrivals() if e.state != "finished")
            await run.engines("/control/drop", {"id": key})
            error = await lost
            assert isinstance(error, cassiaquay.exceptions.OutcomeUnknown)
            await _send_copies(run, answers[0].request_id)
            await _send_together(run, session)
            assert len(await run.arrivals()) == 6

    fault_runs.bounded(work())


async def _send_copies(run: fault_runs.Run, request_id: str) -> None:
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
        # Acknowledged answers are let go of; the id is known all the same.
        assert response.status == 410
        assert (await response.json())["outcome"] == "completed"


async def _send_together(run: fault_runs.Run, session: cassiaquay.Session) -> None:
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
