"""Tests of the caller package with instances that crash, refuse, hang or leave."""

import asyncio

import caller_fakes as fakes
import pytest
from starlette import requests, responses, routing

import cassiaquay
from cassiaquay import exceptions, hooks
from cassiaquay_dev.network import ports


def test_failed_is_not_retried():
    async def scenario() -> None:
        async with fakes.serve(
            [fakes.refuse(500, "failed", "engine_error"), fakes.send_whole]
        ) as (
            fake,
            session,
        ):
            with pytest.raises(exceptions.Failed):
                await session.ask("tutor-assist", "2+2?")
        assert len(fake.received) == 1

    fakes.run(scenario())


@pytest.mark.parametrize(
    ("outcome", "error"),
    [("not_run", exceptions.NotRun), ("outcome_unknown", exceptions.Timeout)],
)
def test_request_is_cancelled_at_its_deadline_and_its_outcome_raised(outcome, error):
    async def scenario() -> None:
        async with fakes.serve([fakes.never_answer]) as (fake, session):
            fake.cancel_outcome = {"outcome": outcome, "code": "cancelled"}
            with pytest.raises(error):
                await session.ask("tutor-assist", "2+2?", deadline=0.2)
        assert len(fake.received) == 1

    fakes.run(scenario())


def test_refused_connection_moves_a_request_to_another_address_and_id():
    """A request whose first address refuses connections completes at another one.

    No byte was sent under the first id, so it is replaced by an id of the other
    instance. For the first id that instance would answer ``outcome_unknown``, and a
    request that is not idempotent would fail.
    """

    async def scenario() -> None:
        async with fakes.serve([fakes.send_whole]) as (fake, session):
            fake.ports.insert(0, ports.free_port())
            closed = f":{fake.ports[0]}"
            attempts: list[hooks.Attempt] = []
            session.hooks.register(hooks.ATTEMPT, attempts.append)
            for _ in range(20):
                session.addresses.invalidate()
                session.addresses.report_success(f"127.0.0.1:{fake.ports[0]}")
                answer = await session.ask("tutor-assist", "2+2?", idempotent=False)
                assert answer.text == "".join(fakes.TEXTS)
        refused = {
            attempt.request_id
            for attempt in attempts
            if attempt.address.endswith(closed)
        }
        assert refused
        assert len(fake.request_ids) == 20
        assert not refused & set(fake.request_ids)
        assert all(request_id.startswith("cq-1.") for request_id in fake.request_ids)
        assert {attempt.address for attempt in attempts} == {
            f"127.0.0.1:{port}" for port in fake.ports
        }

    fakes.run(scenario())


def test_crashed_instance_fails_none_of_many_concurrent_requests():
    """All requests get whole answers, more than the budget has retries.

    The best-ranked instance has crashed, and 60 requests start before any attempt has
    failed. The first repeat of a request adds no load and takes nothing from the
    budget.
    """

    async def scenario() -> None:
        async with fakes.serve(
            [fakes.send_whole], budget_capacity=1.0, budget_ratio=0.0
        ) as (
            fake,
            session,
        ):
            fake.ports.insert(0, ports.free_port())
            attempts: list[hooks.Attempt] = []
            session.hooks.register(hooks.ATTEMPT, attempts.append)
            coroutines = [session.ask("tutor-assist", "2+2?") for _ in range(60)]
            answers = await asyncio.gather(*coroutines)
        assert {answer.text for answer in answers} == {"".join(fakes.TEXTS)}
        assert any(attempt.request_id.startswith("cq-0.") for attempt in attempts)
        assert all(answer.request_id.startswith("cq-1.") for answer in answers)

    fakes.run(scenario())


def test_client_error_of_a_resume_is_not_reported_as_not_run():
    """OutcomeUnknown is raised, since the request had been accepted before.

    The answer is cut after two events and the resume gets status 401, which refuses
    the resume, not the request.
    """

    async def scenario() -> None:
        async with fakes.serve(
            [fakes.send_cut, fakes.refuse(401, "not_run", "unauthorized")]
        ) as (
            _,
            session,
        ):
            with pytest.raises(exceptions.OutcomeUnknown):
                await session.ask("tutor-assist", "2+2?")

    fakes.run(scenario())


def test_refused_outcome_query_is_not_taken_for_the_outcome():
    """A booking with unknown outcome is not sent again when the query is refused.

    The refusal contains ``not_run`` as the outcome of the query itself.
    """

    async def scenario() -> None:
        async with fakes.serve([fakes.OWNER_GONE, fakes.send_whole]) as (fake, session):
            fake.outcome = {"outcome": "not_run", "code": "unauthorized"}
            fake.outcome_status = 401
            with pytest.raises(exceptions.OutcomeUnknown):
                await session.call("bookings-app", "/book", {}, idempotent=False)
        assert len(fake.request_ids) == 1

    fakes.run(scenario())


def test_cancelled_application_task_cancels_its_request():
    async def scenario() -> None:
        async with fakes.serve([fakes.never_answer]) as (fake, session):
            task = asyncio.create_task(session.ask("tutor-assist", "2+2?"))
            async with asyncio.timeout(fakes.TIMEOUT_SECONDS):
                while not fake.received:
                    await asyncio.sleep(0.005)
            task.cancel()
            with pytest.raises(asyncio.CancelledError):
                await task
        assert fake.cancelled_ids == fake.request_ids

    fakes.run(scenario())


def test_stale_address_list_forms_no_new_id():
    """NoAddress is raised, which says correctly that the request did not run.

    No instance renews the address list, and an id with an expired token would get
    ``outcome_unknown``.
    """

    async def scenario() -> None:
        async with fakes.serve([fakes.send_whole], max_attempts=1) as (fake, session):
            fake.keep_seconds = 0.0
            await session.ask("tutor-assist", "2+2?")
            fake.lists_addresses = False
            answered = 1
            with pytest.raises(exceptions.NoAddress):
                async with asyncio.timeout(fakes.TIMEOUT_SECONDS):
                    while True:
                        await session.ask("tutor-assist", "2+2?")
                        answered += 1
                        await asyncio.sleep(0.02)
        assert len(fake.received) == answered

    fakes.run(scenario())


def test_no_address_is_raised_when_no_instance_answers():
    async def scenario() -> None:
        settings = cassiaquay.Settings(
            [f"127.0.0.1:{ports.free_port()}"],
            timeout=fakes.TIMEOUT_SECONDS,
            max_attempts=2,
        )
        async with cassiaquay.Session(settings) as session:
            with pytest.raises(exceptions.NoAddress):
                await session.ask("tutor-assist", "2+2?")
            outcome = await session.outcome("cq-0.life~1")
            assert outcome.outcome == "outcome_unknown"

    fakes.run(scenario())


def test_requests_refused_by_a_leaving_instance_need_no_retry_budget():
    """The caller gets its answer although its session has no retry left.

    A leaving instance refuses more waiting requests at once than the budget has
    retries. They move to another instance without adding load to the fleet.
    """

    async def scenario() -> None:
        leaving = fakes.refuse(503, "not_run", "instance_leaving")
        script = [leaving, leaving, fakes.send_whole]
        async with fakes.serve(script, budget_capacity=0.0, budget_ratio=0.0) as (
            fake,
            session,
        ):
            answer = await session.ask("tutor-assist", "2+2?")
        assert answer.text == "".join(fakes.TEXTS)
        assert len(fake.request_ids) == 3

    fakes.run(scenario())


def test_leaving_a_stream_by_break_cancels_once_the_generator_is_closed():
    """The request is cancelled when the application closes the stream's generator."""

    async def scenario() -> None:
        async with fakes.serve([fakes.send_whole]) as (fake, session):
            texts = session.stream("tutor-assist", "2+2?")
            async for _ in texts:
                break
            assert not fake.cancelled_ids
            await texts.aclose()
        assert fake.cancelled_ids == fake.request_ids

    fakes.run(scenario())


def test_outcome_query_has_its_own_timeout():
    """A query returns ``outcome_unknown`` after its timeout.

    The instance accepts the connection and does not answer within that time.
    """

    async def scenario() -> None:
        async with fakes.serve([fakes.send_whole], question_timeout=0.05) as (
            fake,
            session,
        ):

            async def answer_after_timeout(_: requests.Request) -> responses.Response:
                await asyncio.sleep(1.0)
                return responses.JSONResponse({})

            fake.app.routes[3].app = routing.Route("/", answer_after_timeout).app
            found = await session.outcome("cq-0.life~1")
        assert (found.outcome, found.code) == ("outcome_unknown", "unreachable")

    fakes.run(scenario())


def test_silent_instance_is_queried_before_the_attempt_fails():
    """A request that waits in a queue is answered by its first attempt.

    The instance sends nothing for several silence timeouts, but answers queries that
    the request is waiting.
    """

    async def scenario() -> None:
        async def answer_late(start: int) -> responses.Response:
            await asyncio.sleep(0.3)
            return await fakes.send_whole(start)

        async with fakes.serve([answer_late], silence_timeout=0.05) as (fake, session):
            fake.outcome = {"outcome": "", "code": "", "state": "waiting"}
            answer = await session.ask("tutor-assist", "2+2?")
        assert answer.text == "".join(fakes.TEXTS)
        assert len(fake.received) == 1

    fakes.run(scenario())
