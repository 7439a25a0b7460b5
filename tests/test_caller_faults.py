"""The caller package when instances die, refuse, hang or hand work back."""

import asyncio

import caller_fakes as fakes
import pytest
from starlette import requests, responses, routing

import cassiaquay
from cassiaquay import exceptions, hooks
from cassiaquay_dev.network import ports


def test_failed_is_not_retried():
    async def work() -> None:
        async with fakes.serve(
            [fakes.refuse(500, "failed", "engine_error"), fakes.whole]
        ) as (
            fake,
            session,
        ):
            with pytest.raises(exceptions.Failed):
                await session.ask("tutor-assist", "2+2?")
        assert len(fake.seen) == 1

    fakes.run(work())


@pytest.mark.parametrize(
    ("told", "kind"),
    [("not_run", exceptions.NotRun), ("outcome_unknown", exceptions.Timeout)],
)
def test_deadline_cancels_and_says_what_is_known(told, kind):
    async def work() -> None:
        async with fakes.serve([fakes.hang]) as (fake, session):
            fake.cancelled = {"outcome": told, "code": "cancelled"}
            with pytest.raises(kind):
                await session.ask("tutor-assist", "2+2?", deadline=0.2)
        assert len(fake.seen) == 1

    fakes.run(work())


def test_address_that_refuses_connections_is_left_and_its_id_dropped():
    """The caller sees a whole answer although the first address is dead.

    No byte leaves over a refused connection, so no instance ever saw the id: it is
    dropped, and another instance gets an id of its own. Under the old id it
    would have to say ``outcome_unknown``, and a booking would end there.
    """

    async def work() -> None:
        async with fakes.serve([fakes.whole]) as (fake, session):
            fake.ports.insert(0, ports.free_port())
            dead = f":{fake.ports[0]}"
            sent: list[hooks.Attempt] = []
            session.hooks.register(hooks.ATTEMPT, sent.append)
            for _ in range(20):
                session.addresses.invalidate()
                session.addresses.report_success(f"127.0.0.1:{fake.ports[0]}")
                answer = await session.ask("tutor-assist", "2+2?", idempotent=False)
                assert answer.text == "".join(fakes.TEXTS)
        refused = {one.request_id for one in sent if one.address.endswith(dead)}
        assert refused
        assert len(fake.posted) == 20
        assert not refused & set(fake.posted)
        assert all(name.startswith("cq-1.") for name in fake.posted)
        assert {one.address for one in sent} == {
            f"127.0.0.1:{port}" for port in fake.ports
        }

    fakes.run(work())


def test_dead_instance_costs_no_answer_though_many_callers_meet_it_at_once():
    """All callers see whole answers, more of them than the budget has retries.

    The best-ranked instance is dead and 60 requests start before anyone knows.
    The first repeat under an id adds no work, so the budget does not bind it.
    """

    async def work() -> None:
        async with fakes.serve(
            [fakes.whole], budget_capacity=1.0, budget_ratio=0.0
        ) as (
            fake,
            session,
        ):
            fake.ports.insert(0, ports.free_port())
            sent: list[hooks.Attempt] = []
            session.hooks.register(hooks.ATTEMPT, sent.append)
            asked = [session.ask("tutor-assist", "2+2?") for _ in range(60)]
            answers = await asyncio.gather(*asked)
        assert {one.text for one in answers} == {"".join(fakes.TEXTS)}
        assert any(one.request_id.startswith("cq-0.") for one in sent)
        assert all(one.request_id.startswith("cq-1.") for one in answers)

    fakes.run(work())


def test_bad_status_of_a_resume_does_not_claim_not_run():
    """The caller sees OutcomeUnknown, since the request was taken before.

    The answer is cut after two events and the resume gets 401: that is said of
    the resume, not of the request.
    """

    async def work() -> None:
        async with fakes.serve(
            [fakes.cut, fakes.refuse(401, "not_run", "unauthorized")]
        ) as (
            _,
            session,
        ):
            with pytest.raises(exceptions.OutcomeUnknown):
                await session.ask("tutor-assist", "2+2?")

    fakes.run(work())


def test_refused_question_about_an_outcome_is_not_taken_for_the_outcome():
    """A booking whose outcome is unknown is not sent again.

    The question about its outcome is refused, and the refusal says not_run of
    the question itself.
    """

    async def work() -> None:
        async with fakes.serve([fakes.UNKNOWN, fakes.whole]) as (fake, session):
            fake.outcome = {"outcome": "not_run", "code": "unauthorized"}
            fake.outcome_status = 401
            with pytest.raises(exceptions.OutcomeUnknown):
                await session.call("bookings-app", "/book", {}, idempotent=False)
        assert len(fake.posted) == 1

    fakes.run(work())


def test_application_that_goes_away_cancels_its_request():
    async def work() -> None:
        async with fakes.serve([fakes.hang]) as (fake, session):
            task = asyncio.create_task(session.ask("tutor-assist", "2+2?"))
            async with asyncio.timeout(fakes.LONG):
                while not fake.seen:
                    await asyncio.sleep(0.005)
            task.cancel()
            with pytest.raises(asyncio.CancelledError):
                await task
        assert fake.given_up == fake.posted

    fakes.run(work())


def test_list_kept_too_long_forms_no_new_id():
    """The caller sees NoAddress, which says truly that nothing ran.

    No instance renews the list; an expired token would get outcome_unknown.
    """

    async def work() -> None:
        async with fakes.serve([fakes.whole], max_attempts=1) as (fake, session):
            fake.keep_seconds = 0.0
            await session.ask("tutor-assist", "2+2?")
            fake.lists_addresses = False
            answered = 1
            with pytest.raises(exceptions.NoAddress):
                async with asyncio.timeout(fakes.LONG):
                    while True:
                        await session.ask("tutor-assist", "2+2?")
                        answered += 1
                        await asyncio.sleep(0.02)
        assert len(fake.seen) == answered

    fakes.run(work())


def test_no_address_is_raised_when_no_instance_answers():
    async def work() -> None:
        settings = cassiaquay.Settings(
            [f"127.0.0.1:{ports.free_port()}"], timeout=fakes.LONG, max_attempts=2
        )
        async with cassiaquay.Session(settings) as session:
            with pytest.raises(exceptions.NoAddress):
                await session.ask("tutor-assist", "2+2?")
            told = await session.outcome("cq-0.life~1")
            assert told.outcome == "outcome_unknown"

    fakes.run(work())


def test_work_handed_back_by_a_leaving_instance_needs_no_retry_budget():
    """The caller sees its answer, although its session has no retry left.

    A leaving instance hands back more waiting requests at once than the budget has
    retries; they go to another instance and add nothing to its load.
    """

    async def work() -> None:
        leaving = fakes.refuse(503, "not_run", "instance_leaving")
        script = [leaving, leaving, fakes.whole]
        async with fakes.serve(script, budget_capacity=0.0, budget_ratio=0.0) as (
            fake,
            session,
        ):
            answer = await session.ask("tutor-assist", "2+2?")
        assert answer.text == "".join(fakes.TEXTS)
        assert len(fake.posted) == 3

    fakes.run(work())


def test_leaving_a_stream_by_break_cancels_once_the_generator_is_closed():
    """The application stops reading; the request is given up when it closes it."""

    async def work() -> None:
        async with fakes.serve([fakes.whole]) as (fake, session):
            texts = session.stream("tutor-assist", "2+2?")
            async for _ in texts:
                break
            assert not fake.given_up
            await texts.aclose()
        assert fake.given_up == fake.posted

    fakes.run(work())


def test_a_question_about_an_id_is_bounded_by_itself():
    """The caller that asks for an outcome is told "unknown", not kept waiting.

    The instance takes the connection and never answers.
    """

    async def work() -> None:
        async with fakes.serve([fakes.whole], question_timeout=0.05) as (fake, session):

            async def silent(_: requests.Request) -> responses.Response:
                await asyncio.sleep(1.0)
                return responses.JSONResponse({})

            fake.app.routes[3].app = routing.Route("/", silent).app
            told = await session.outcome("cq-0.life~1")
        assert (told.outcome, told.code) == ("outcome_unknown", "unreachable")

    fakes.run(work())


def test_a_silent_instance_is_asked_before_the_attempt_is_given_up():
    """The caller that waits its turn sees its answer, from one attempt.

    The instance says nothing for several silence times, but that the request waits.
    """

    async def work() -> None:
        async def slow(start: int) -> responses.Response:
            await asyncio.sleep(0.3)
            return await fakes.whole(start)

        async with fakes.serve([slow], silence_timeout=0.05) as (fake, session):
            fake.outcome = {"outcome": "", "code": "", "state": "waiting"}
            answer = await session.ask("tutor-assist", "2+2?")
        assert answer.text == "".join(fakes.TEXTS)
        assert len(fake.seen) == 1

    fakes.run(work())
