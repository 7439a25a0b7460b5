"""The caller package: whole answers, refusals, new ids, budgets."""

import asyncio
import collections
import collections.abc
import typing

import caller_fakes as fakes
import pytest

import cassiaquay
from cassiaquay import exceptions, hooks, retries


def test_whole_answer_is_checked_reported_and_acknowledged():
    async def work() -> None:
        reports: dict[str, list[typing.Any]] = collections.defaultdict(list)
        async with fakes.serve([fakes.whole]) as (fake, session):
            for name in hooks.NAMES:
                session.hooks.register(name, reports[name].append)
            answer = await session.ask(
                "tutor-assist", "2+2?", max_tokens=9, tier="exam", session="pupil-7"
            )
        assert answer.text == "".join(fakes.TEXTS)
        assert answer.count == len(fakes.TEXTS)
        body = fake.seen[0].body
        assert 0 < body.pop("deadline_ms") <= fakes.LONG * 1000
        assert body == {
            "service": "tutor-assist",
            "prompt": "2+2?",
            "max_tokens": 9,
            "tier": "exam",
            "session": "pupil-7",
            "idempotent": True,
        }
        assert fake.acknowledged == [answer.request_id]
        assert [one.data for one in reports[hooks.EVENT]] == fakes.DATA
        assert len(reports[hooks.ATTEMPT]) == 1
        assert reports[hooks.OUTCOME][0].outcome == "completed"

    fakes.run(work())


@pytest.mark.parametrize("wrong", [fakes.corrupt, fakes.short])
def test_answer_that_is_not_whole_is_read_again_once_and_never_returned(wrong):
    """The caller sees AnswerNotWhole, not a text with a part missing or changed.

    The count or digest of the final event differs; the caller reads again from
    event 0 under the same id; that differs too.
    """

    async def work() -> None:
        async with fakes.serve([wrong]) as (fake, session):
            with pytest.raises(exceptions.AnswerNotWhole):
                await session.ask("tutor-assist", "2+2?")
        assert [one.start for one in fake.seen] == [0, 0]
        assert len(fake.posted) == 1
        assert fake.acknowledged == []

    fakes.run(work())


def test_second_reading_that_is_whole_is_returned():
    async def work() -> None:
        async with fakes.serve([fakes.corrupt, fakes.whole]) as (_, session):
            answer = await session.ask("tutor-assist", "2+2?")
        assert answer.text == "".join(fakes.TEXTS)

    fakes.run(work())


def test_stream_raises_when_an_event_given_turns_out_wrong():
    async def work() -> None:
        async with fakes.serve([fakes.corrupt, fakes.whole]) as (_, session):
            with pytest.raises(exceptions.AnswerNotWhole):
                async for _text in session.stream("tutor-assist", "2+2?"):
                    pass

    fakes.run(work())


def test_cut_stream_is_resumed_from_the_last_event():
    """The caller sees one unbroken stream.

    The connection breaks after two events; the caller asks for the rest under
    the same id with GET ?from=2, so nothing is run or sent twice.
    """

    async def work() -> None:
        async with fakes.serve([fakes.cut, fakes.whole], count=2) as (fake, session):
            texts = [text async for text in session.stream("tutor-assist", "2+2?")]
        assert texts == fakes.TEXTS
        assert [(one.method, one.start) for one in fake.seen] == [
            ("POST", 0),
            ("GET", 2),
        ]
        assert len(fake.posted) == 1

    fakes.run(work())


def test_not_run_is_sent_again_under_a_new_id_at_the_hinted_address():
    async def work() -> None:
        async with fakes.serve([fakes.SHED], count=3) as (fake, session):
            sent: list[hooks.Attempt] = []
            session.hooks.register(hooks.ATTEMPT, sent.append)
            hint = f"127.0.0.1:{fake.ports[2]}"
            fake.script = [
                fakes.refuse(
                    503, "not_run", "shed_overload", retry_after_ms=1, address=hint
                ),
                fakes.whole,
            ]
            answer = await session.call("bookings-app", "/book", {}, idempotent=False)
        assert answer.text == "".join(fakes.TEXTS)
        assert len(fake.posted) == 2
        assert sent[1].address == hint
        assert answer.request_id.startswith("cq-2.life~")

    fakes.run(work())


def test_not_run_is_raised_when_its_retry_time_is_past_the_deadline():
    async def work() -> None:
        late = fakes.refuse(429, "not_run", "team_limit", retry_after_ms=60000)
        async with fakes.serve([late]) as (fake, session):
            with pytest.raises(exceptions.NotRun) as caught:
                await session.ask("tutor-assist", "2+2?")
        assert caught.value.code == "team_limit"
        assert caught.value.retry_after == 60.0
        assert len(fake.seen) == 1

    fakes.run(work())


def test_unknown_outcome_of_a_booking_is_raised_and_never_sent_under_a_new_id():
    """The caller sees OutcomeUnknown with the id to ask about later.

    The owner died with the booking in its hands. A new id would be a second
    booking, so the caller asks for the outcome once and then stops.
    """

    async def work() -> None:
        async with fakes.serve([fakes.UNKNOWN, fakes.whole]) as (fake, session):
            with pytest.raises(exceptions.OutcomeUnknown) as caught:
                await session.call("bookings-app", "/book", {}, idempotent=False)
        assert fake.posted == [caught.value.request_id]
        assert len(fake.seen) == 1

    fakes.run(work())


def test_unknown_outcome_of_an_idempotent_request_starts_over_unless_forbidden():
    async def work() -> None:
        async with fakes.serve([fakes.UNKNOWN, fakes.whole]) as (fake, session):
            answer = await session.ask("tutor-assist", "2+2?")
            assert answer.text == "".join(fakes.TEXTS)
            assert len(fake.posted) == 2
            fake.script = [fakes.UNKNOWN]
            with pytest.raises(exceptions.OutcomeUnknown):
                await session.ask("tutor-assist", "2+2?", restart=False)
            assert len(fake.posted) == 3

    fakes.run(work())


def test_refusal_after_an_unknown_outcome_does_not_claim_not_run():
    """The caller sees OutcomeUnknown although the last id was refused.

    The first id may have run; the id that replaced it was refused. NotRun would
    be true of the second id only.
    """

    async def work() -> None:
        late = fakes.refuse(503, "not_run", "shed_overload", retry_after_ms=60000)
        async with fakes.serve([fakes.UNKNOWN, late]) as (fake, session):
            with pytest.raises(exceptions.OutcomeUnknown):
                await session.ask("tutor-assist", "2+2?")
        assert len(fake.posted) == 2

    fakes.run(work())


def test_stream_partly_given_is_not_continued_by_another_id():
    """The caller sees AnswerNotWhole after the two events it was given.

    The stream is cut and the owner is gone. Another run would give another text.
    """

    async def work() -> None:
        given = []
        async with fakes.serve([fakes.cut, fakes.UNKNOWN, fakes.whole]) as (
            fake,
            session,
        ):
            with pytest.raises(exceptions.AnswerNotWhole):
                async for text in session.stream("tutor-assist", "2+2?"):
                    given.append(text)
        assert given == fakes.TEXTS[:2]
        assert len(fake.posted) == 1

    fakes.run(work())


def test_retry_budget_stops_callers_from_multiplying_an_overload():
    """Callers see NotRun early; the instances see few more than the requests made.

    Every request is refused. Without the budget each would be sent eight times.
    """

    async def work() -> None:
        async with fakes.serve([fakes.SHED], budget_capacity=5.0, budget_ratio=0.1) as (
            fake,
            session,
        ):
            asked = [session.ask("tutor-assist", "2+2?") for _ in range(40)]
            results = await asyncio.gather(*asked, return_exceptions=True)
        assert all(isinstance(one, exceptions.NotRun) for one in results)
        # 40 requests, 5 tokens at the start, at most 40 * 0.1 earned.
        assert 40 < len(fake.seen) <= 40 + 5 + 4

    fakes.run(work())


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
    async def work() -> None:
        bad = fakes.refuse(status, "not_run", "unknown_service")
        async with fakes.serve([bad, fakes.whole]) as (fake, session):
            with pytest.raises(exceptions.BadRequest) as caught:
                await session.ask("no-such", "2+2?")
        assert caught.value.code == "unknown_service"
        assert len(fake.seen) == 1

    fakes.run(work())
