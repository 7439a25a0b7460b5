"""Tests of the caller package: whole answers, refusals, new ids and retry budgets."""

import asyncio
import collections
import collections.abc
import typing

import caller_fakes as fakes
import pytest

import cassiaquay
from cassiaquay import exceptions, hooks, retries


def test_whole_answer_is_checked_reported_and_acknowledged():
    async def scenario() -> None:
        reports: dict[str, list[typing.Any]] = collections.defaultdict(list)
        async with fakes.serve([fakes.send_whole]) as (fake, session):
            for name in hooks.NAMES:
                session.hooks.register(name, reports[name].append)
            answer = await session.ask(
                "tutor-assist", "2+2?", max_tokens=9, tier="exam", session="pupil-7"
            )
        assert answer.text == "".join(fakes.TEXTS)
        assert answer.count == len(fakes.TEXTS)
        body = fake.received[0].body
        assert 0 < body.pop("deadline_ms") <= fakes.TIMEOUT_SECONDS * 1000
        assert body == {
            "service": "tutor-assist",
            "prompt": "2+2?",
            "max_tokens": 9,
            "tier": "exam",
            "session": "pupil-7",
            "idempotent": True,
        }
        assert fake.acknowledged_ids == [answer.request_id]
        assert [event.data for event in reports[hooks.EVENT]] == fakes.DATA
        assert len(reports[hooks.ATTEMPT]) == 1
        assert reports[hooks.OUTCOME][0].outcome == "completed"

    fakes.run(scenario())


@pytest.mark.parametrize("wrong", [fakes.send_corrupt, fakes.send_short])
def test_answer_that_is_not_whole_is_read_again_once_and_never_returned(wrong):
    """A truncated or corrupted answer raises AnswerNotWhole.

    Count or digest of the final event do not match. The caller reads the answer again
    from event 0 under the same id, and they do not match again.
    """

    async def scenario() -> None:
        async with fakes.serve([wrong]) as (fake, session):
            with pytest.raises(exceptions.AnswerNotWhole):
                await session.ask("tutor-assist", "2+2?")
        assert [request.start for request in fake.received] == [0, 0]
        assert len(fake.request_ids) == 1
        assert fake.acknowledged_ids == []

    fakes.run(scenario())


def test_second_reading_that_is_whole_is_returned():
    async def scenario() -> None:
        async with fakes.serve([fakes.send_corrupt, fakes.send_whole]) as (_, session):
            answer = await session.ask("tutor-assist", "2+2?")
        assert answer.text == "".join(fakes.TEXTS)

    fakes.run(scenario())


def test_stream_raises_when_a_yielded_event_differs_on_rereading():
    async def scenario() -> None:
        async with fakes.serve([fakes.send_corrupt, fakes.send_whole]) as (_, session):
            with pytest.raises(exceptions.AnswerNotWhole):
                async for _text in session.stream("tutor-assist", "2+2?"):
                    pass

    fakes.run(scenario())


def test_cut_stream_is_resumed_from_the_last_event():
    """The application gets a continuous stream although the connection breaks.

    After two events the caller reads the rest under the same id with GET ?from=2, so
    that the request does not run twice and no event is yielded twice.
    """

    async def scenario() -> None:
        async with fakes.serve([fakes.send_cut, fakes.send_whole], count=2) as (
            fake,
            session,
        ):
            texts = [text async for text in session.stream("tutor-assist", "2+2?")]
        assert texts == fakes.TEXTS
        assert [(request.method, request.start) for request in fake.received] == [
            ("POST", 0),
            ("GET", 2),
        ]
        assert len(fake.request_ids) == 1

    fakes.run(scenario())


def test_not_run_is_sent_again_under_a_new_id_at_the_hinted_address():
    async def scenario() -> None:
        async with fakes.serve([fakes.SHED], count=3) as (fake, session):
            attempts: list[hooks.Attempt] = []
            session.hooks.register(hooks.ATTEMPT, attempts.append)
            hint = f"127.0.0.1:{fake.ports[2]}"
            fake.script = [
                fakes.refuse(
                    503, "not_run", "shed_overload", retry_after_ms=1, address=hint
                ),
                fakes.send_whole,
            ]
            answer = await session.call("bookings-app", "/book", {}, idempotent=False)
        assert answer.text == "".join(fakes.TEXTS)
        assert len(fake.request_ids) == 2
        assert attempts[1].address == hint
        assert answer.request_id.startswith("cq-2.life~")

    fakes.run(scenario())


def test_not_run_is_raised_when_its_retry_time_is_past_the_deadline():
    async def scenario() -> None:
        late = fakes.refuse(429, "not_run", "team_limit", retry_after_ms=60000)
        async with fakes.serve([late]) as (fake, session):
            with pytest.raises(exceptions.NotRun) as caught:
                await session.ask("tutor-assist", "2+2?")
        assert caught.value.code == "team_limit"
        assert caught.value.retry_after == 60.0
        assert len(fake.received) == 1

    fakes.run(scenario())


def test_unknown_outcome_of_a_booking_is_raised_and_never_sent_under_a_new_id():
    """A request that is not idempotent is not repeated after its owner crashed.

    A new id could book twice. The caller queries the outcome once and raises
    OutcomeUnknown with the id, for later queries.
    """

    async def scenario() -> None:
        async with fakes.serve([fakes.OWNER_GONE, fakes.send_whole]) as (fake, session):
            with pytest.raises(exceptions.OutcomeUnknown) as caught:
                await session.call("bookings-app", "/book", {}, idempotent=False)
        assert fake.request_ids == [caught.value.request_id]
        assert len(fake.received) == 1

    fakes.run(scenario())


def test_unknown_outcome_of_an_idempotent_request_restarts_it_unless_forbidden():
    async def scenario() -> None:
        async with fakes.serve([fakes.OWNER_GONE, fakes.send_whole]) as (fake, session):
            answer = await session.ask("tutor-assist", "2+2?")
            assert answer.text == "".join(fakes.TEXTS)
            assert len(fake.request_ids) == 2
            fake.script = [fakes.OWNER_GONE]
            with pytest.raises(exceptions.OutcomeUnknown):
                await session.ask("tutor-assist", "2+2?", restart=False)
            assert len(fake.request_ids) == 3

    fakes.run(scenario())


def test_refusal_after_an_unknown_outcome_does_not_claim_not_run():
    """OutcomeUnknown is raised although the last id was refused.

    The first id may have run, and the id that replaced it was refused. NotRun would
    hold for the second id only.
    """

    async def scenario() -> None:
        late = fakes.refuse(503, "not_run", "shed_overload", retry_after_ms=60000)
        async with fakes.serve([fakes.OWNER_GONE, late]) as (fake, session):
            with pytest.raises(exceptions.OutcomeUnknown):
                await session.ask("tutor-assist", "2+2?")
        assert len(fake.request_ids) == 2

    fakes.run(scenario())


def test_partly_yielded_stream_is_not_continued_under_another_id():
    """AnswerNotWhole is raised after the two events that were yielded.

    The stream is cut and its owner has crashed. A second run would generate another
    text, so its events can't follow those of the first.
    """

    async def scenario() -> None:
        texts = []
        async with fakes.serve(
            [fakes.send_cut, fakes.OWNER_GONE, fakes.send_whole]
        ) as (
            fake,
            session,
        ):
            with pytest.raises(exceptions.AnswerNotWhole):
                async for text in session.stream("tutor-assist", "2+2?"):
                    texts.append(text)
        assert texts == fakes.TEXTS[:2]
        assert len(fake.request_ids) == 1

    fakes.run(scenario())


def test_retry_budget_limits_retries_when_every_request_is_refused():
    """When every request is refused, few retries are sent and callers get NotRun.

    Without the budget each request would be sent eight times.
    """

    async def scenario() -> None:
        async with fakes.serve([fakes.SHED], budget_capacity=5.0, budget_ratio=0.1) as (
            fake,
            session,
        ):
            requests = [session.ask("tutor-assist", "2+2?") for _ in range(40)]
            results = await asyncio.gather(*requests, return_exceptions=True)
        assert all(isinstance(result, exceptions.NotRun) for result in results)
        # 40 requests, 5 initial retries, at most 40 * 0.1 earned ones.
        assert 40 < len(fake.received) <= 40 + 5 + 4

    fakes.run(scenario())


def test_budget_earns_a_fraction_of_a_retry_for_each_request():
    settings = cassiaquay.Settings([], budget_capacity=1.0, budget_ratio=0.5)
    budget = retries.Budget(settings)
    assert budget.spend()
    budget.earn()
    assert not budget.spend()
    budget.earn()
    assert budget.spend()


@pytest.mark.parametrize("status", [400, 401, 404])
def test_bad_request_is_not_retried(status):
    async def scenario() -> None:
        bad = fakes.refuse(status, "not_run", "unknown_service")
        async with fakes.serve([bad, fakes.send_whole]) as (fake, session):
            with pytest.raises(exceptions.BadRequest) as caught:
                await session.ask("no-such", "2+2?")
        assert caught.value.code == "unknown_service"
        assert len(fake.received) == 1

    fakes.run(scenario())
