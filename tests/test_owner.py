"""The owner's rules, between fakes of the keepers and the backend servers."""

import asyncio
import json
import typing

import owner_fakes
import pytest

from cassiaquay_daemon import exceptions
from cassiaquay_daemon.owners import requests


def run(work: typing.Coroutine[typing.Any, typing.Any, None]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(30.0):
            await work

    asyncio.run(bounded())


def test_a_copy_of_a_request_attaches_to_the_same_answer():
    """The caller sends twice under one id and gets one answer, made once."""

    async def work() -> None:
        bench = owner_fakes.Bench()
        name = bench.new_id()
        first = bench.submit(name, deadline_ms=9000)
        await owner_fakes.ended(first)
        assert bench.submit(name, deadline_ms=8000) is first
        assert len(bench.servers.seen) == 1

    run(work())


@pytest.mark.parametrize("other", [{"prompt": "other"}, {"tier": "urgent"}])
def test_another_body_under_a_known_id_is_a_conflict_and_never_runs(other):
    """The caller sees 409 id_conflict, not the answer to the other request.

    Its program uses an id twice by mistake: the second request, which differs in more
    than its remaining time, would else get the first one's answer.
    """

    async def work() -> None:
        bench = owner_fakes.Bench()
        name = bench.new_id()
        await owner_fakes.ended(bench.submit(name))
        with pytest.raises(exceptions.IdConflict) as caught:
            bench.submit(name, **other)
        assert caught.value.outcome == "outcome_unknown"
        assert caught.value.status == 409
        assert len(bench.servers.seen) == 1

    run(work())


@pytest.mark.parametrize(
    "body",
    [{"service": "none"}, {"prompt": ""}, {"tier": "none"}, {"max_tokens": 0}],
)
def test_a_request_refused_as_wrong_stays_refused_when_a_copy_is_right(body):
    """The caller is told "not run", forms a new id, and both would run.

    The configuration that its request needs comes a moment later; a copy of the first
    request that was late in the network would then be accepted.
    """

    async def work() -> None:
        bench = owner_fakes.Bench()
        name = bench.new_id()
        with pytest.raises(exceptions.Refusal) as caught:
            bench.submit(name, **body)
        assert caught.value.outcome == "not_run"
        with pytest.raises(exceptions.RefusedBefore) as again:
            bench.submit(name)
        assert again.value.code == caught.value.code
        assert not bench.servers.seen

    run(work())


def test_a_cancellation_that_overtakes_its_request_closes_the_id():
    """The caller cancels, is told "not run", and books again under a new id.

    The cancellation arrives before the request; the request then must not run.
    """

    async def work() -> None:
        bench = owner_fakes.Bench()
        name = bench.new_id()
        assert bench.owner.outcome(name, "questions").state == "unseen"
        told = await bench.owner.cancel(name, "questions")
        assert (told.outcome, told.state) == ("not_run", "refused")
        with pytest.raises(exceptions.RefusedBefore):
            bench.submit(name)
        assert bench.owner.outcome(name, "questions") == told
        assert not bench.servers.seen

    run(work())


def test_a_first_copy_after_the_tokens_expiry_is_unknown_never_not_run():
    """The caller sees outcome_unknown: the entry may have been dropped before."""

    async def work() -> None:
        bench = owner_fakes.Bench()
        with pytest.raises(exceptions.TokenExpired) as caught:
            bench.submit(bench.new_id(seconds=-0.0))
        assert caught.value.outcome == "outcome_unknown"

    run(work())


def test_a_late_copy_of_a_dropped_answer_is_not_run_again(monkeypatch):
    """The caller that acknowledged its answer sees "completed, not kept any more".

    A copy of its request was held up in the network until the answer was let go.
    """

    async def work() -> None:
        bench = owner_fakes.Bench()
        name = bench.new_id()
        entry = bench.submit(name)
        await owner_fakes.ended(entry)
        bench.owner.detach(entry, True)
        bench.owner.acknowledge(name, "questions")
        bench.owner.acknowledge(name, "questions")
        assert not bench.owner.request_table.entries
        assert bench.owner.request_table.ledger.used == 0
        with pytest.raises(exceptions.AnswerForgotten):
            bench.submit(name)
        assert bench.owner.outcome(name, "questions").outcome == "completed"
        with pytest.raises(exceptions.Forbidden):
            bench.submit(name, team="parents")
        assert len(bench.servers.seen) == 1

    run(work())


def test_too_many_closed_ids_make_old_tokens_expire_early():
    """A caller with an old id sees outcome_unknown, and nothing runs twice.

    More ids were closed than the owner keeps; it drops the ones whose tokens expire
    first and takes every id of that age as expired.
    """

    async def work() -> None:
        bench = owner_fakes.Bench(max_closed=2)
        names = [bench.new_id(seconds=second) for second in (50, 51, 52)]
        for name in names:
            await bench.owner.cancel(name, "questions")
        assert len(bench.owner.request_table.closed) == 2
        with pytest.raises(exceptions.TokenExpired):
            bench.submit(names[0])
        with pytest.raises(exceptions.TokenExpired):
            bench.submit(bench.new_id(seconds=50.5))
        with pytest.raises(exceptions.RefusedBefore):
            bench.submit(names[1])
        assert not bench.servers.seen

    run(work())


def test_a_full_table_gives_up_the_lowest_waiting_tier_first():
    """An urgent caller is served; a background caller sees "not run", table_full.

    The table holds two waiting requests; an urgent one comes, then a background one.
    """

    async def work() -> None:
        bench = owner_fakes.Bench(max_waiting=2)
        bench.keepers.open = False
        standard = bench.submit(bench.new_id(), tier="standard")
        background = bench.submit(bench.new_id(), tier="background")
        urgent = bench.submit(bench.new_id(), tier="urgent")
        assert (await owner_fakes.ended(background))["code"] == "table_full"
        with pytest.raises(exceptions.TableFull):
            bench.submit(bench.new_id(), tier="background")
        bench.keepers.let_through()
        assert (await owner_fakes.ended(urgent))["outcome"] == "completed"
        assert (await owner_fakes.ended(standard))["outcome"] == "completed"

    run(work())


def test_memory_of_answers_is_bounded_by_dropping_the_lowest_tiers_first():
    """A background caller that comes back late sees that its answer was let go.

    Answers fill the memory allowed for them; the urgent one is still there.
    """

    async def work() -> None:
        bench = owner_fakes.Bench(max_answer_bytes=1024)

        async def large(answer) -> None:
            answer.append(b"x" * 600)

        bench.servers.script = [large]
        entries = []
        for tier in ("urgent", "background"):
            entry = bench.submit(bench.new_id(), tier=tier)
            await owner_fakes.ended(entry)
            bench.owner.detach(entry, False)
            entries.append(entry)
        assert bench.owner.request_table.ledger.used > 1024
        bench.owner.sweep_once()
        assert bench.owner.request_table.ledger.used <= 1024
        assert bench.owner.find(entries[0].accepted.id, "questions") is entries[0]
        with pytest.raises(exceptions.AnswerForgotten):
            bench.owner.find(entries[1].accepted.id, "questions")

    run(work())


def test_an_unfinished_request_cannot_be_acknowledged():
    """The caller sees 409 not_finished, and its request goes on."""

    async def work() -> None:
        bench = owner_fakes.Bench()
        bench.keepers.open = False
        entry = bench.submit(bench.new_id())
        with pytest.raises(exceptions.NotFinished):
            bench.owner.acknowledge(entry.accepted.id, "questions")
        bench.keepers.let_through()
        assert (await owner_fakes.ended(entry))["outcome"] == "completed"

    run(work())


def test_cancelling_a_running_request_is_told_as_unknown_and_its_waste_is_counted():
    """The caller that gives up a running answer is not told that it did not run."""

    async def work() -> None:
        bench = owner_fakes.Bench()
        bench.servers.script = [owner_fakes.hang]
        entry = bench.submit(bench.new_id())
        await owner_fakes.until(lambda: bool(bench.servers.seen))
        told = await bench.owner.cancel(entry.accepted.id, "questions")
        assert (told.outcome, told.code) == ("outcome_unknown", "cancelled_running")
        await owner_fakes.until(lambda: bool(bench.servers.stopped))
        assert [one.outcome for one in bench.keepers.released] == ["unknown"]

    run(work())


def test_a_booking_past_its_deadline_can_be_settled_later():
    """The caller sees outcome_unknown at its deadline, and later that it completed.

    A booking cannot be stopped. The owner goes on reading its answer after the
    deadline, so that the caller need not guess whether to book again.
    """

    async def work() -> None:
        bench = owner_fakes.Bench()
        finish = asyncio.Event()

        async def late(answer) -> None:
            await finish.wait()
            answer.append(b'{"ok":true}')

        bench.servers.script = [late]
        name = bench.new_id()
        entry = bench.submit(name, service="bookings", deadline_ms=50, idempotent=False)
        final = await owner_fakes.ended(entry)
        assert final["code"] == "deadline_exceeded"
        assert not bench.keepers.released
        finish.set()
        await owner_fakes.until(lambda: bool(bench.keepers.released))
        assert bench.owner.outcome(name, "questions").outcome == "completed"
        assert entry.answer.final["count"] == 1
        assert len(bench.servers.seen) == 1

    run(work())


def test_a_running_booking_is_not_cut_when_its_caller_goes(monkeypatch):
    """The caller that comes back reads the booking that was made meanwhile."""

    async def work() -> None:
        bench = owner_fakes.Bench()
        finish = asyncio.Event()

        async def late(answer) -> None:
            await finish.wait()
            answer.append(b'{"ok":true}')

        bench.servers.script = [late]
        entry = bench.submit(bench.new_id(), service="bookings")
        await owner_fakes.until(lambda: bool(bench.servers.seen))
        bench.owner.detach(entry, False)
        with owner_fakes.later(monkeypatch, 60.0):
            bench.owner.sweep_once()
        finish.set()
        assert (await owner_fakes.ended(entry))["outcome"] == "completed"

    run(work())


@pytest.mark.parametrize(
    ("service", "code"),
    [("tutor", "caller_gone_running"), ("finishing", "completed")],
)
def test_work_of_a_caller_that_has_gone_follows_the_services_setting(
    monkeypatch, service, code
):
    """A caller's connection breaks while its answer is made, and it stays away.

    Within the grace time nothing happens; after it, the engine is told to stop unless
    the service wants its work finished.
    """

    async def work() -> None:
        bench = owner_fakes.Bench()
        finish = asyncio.Event()

        async def late(answer) -> None:
            await finish.wait()
            answer.append(b'{"text":"a"}')

        bench.servers.script = [late]
        entry = bench.submit(bench.new_id(), service=service)
        await owner_fakes.until(lambda: bool(bench.servers.seen))
        bench.owner.detach(entry, False)
        bench.owner.sweep_once()
        with owner_fakes.later(monkeypatch, 2.5):
            bench.owner.sweep_once()
        await asyncio.sleep(0)
        finish.set()
        assert (await owner_fakes.ended(entry))["code"] == code
        stopped = [] if code == "completed" else bench.servers.seen
        await owner_fakes.until(lambda: bench.servers.stopped == stopped)

    run(work())


def test_after_a_pause_nothing_is_dispatched_for_callers_that_have_gone(monkeypatch):
    """A caller that left during the pause is never charged for an answer.

    The process is stopped with a waiting request and woken when its caller has gone
    and a permit lies there; the permit goes back, and the request is not run.
    """

    async def work() -> None:
        bench = owner_fakes.Bench()
        bench.keepers.open = False
        entry = bench.submit(bench.new_id())
        await owner_fakes.until(lambda: bool(bench.keepers.asked))
        bench.owner.detach(entry, False)
        bench.keepers.let_through()
        await owner_fakes.until(lambda: bool(bench.keepers.given_back))
        with owner_fakes.later(monkeypatch, 60.0):
            bench.owner.sweep_once()
        assert (await owner_fakes.ended(entry))["code"] == "caller_gone"
        assert not bench.servers.seen

    run(work())


def test_a_permit_that_expired_during_a_pause_is_not_used(monkeypatch):
    """The caller waits a little longer; the engine is not sent work out of turn.

    The process stops between the permit and the first byte for longer than both the
    permit and the deadline; on waking it must not send.
    """

    async def work() -> None:
        bench = owner_fakes.Bench()
        bench.servers.connecting = asyncio.Event()
        entry = bench.submit(bench.new_id(), deadline_ms=20000)
        await owner_fakes.until(lambda: bool(bench.keepers.asked))
        with owner_fakes.later(monkeypatch, 60.0):
            bench.servers.connecting.set()
            await owner_fakes.until(lambda: bool(bench.keepers.given_back))
        assert not bench.servers.seen
        assert not entry.ended

    run(work())


def test_a_server_that_began_to_leave_after_the_permit_gets_nothing():
    """The caller is served by another server; the leaving one gets no new work.

    The list shows the server as leaving while the connection to it is being opened.
    """

    async def work() -> None:
        bench = owner_fakes.Bench()
        bench.servers.connecting = asyncio.Event()
        entry = bench.submit(bench.new_id())
        await owner_fakes.until(lambda: bool(bench.keepers.asked))
        bench.leaving.add("e-1")
        bench.servers.connecting.set()
        assert (await owner_fakes.ended(entry))["outcome"] == "completed"
        assert entry.server == "e-2"
        assert len(bench.servers.seen) == 1

    run(work())


def test_an_answer_that_broke_off_for_good_is_unknown_and_not_sent_again():
    """The caller sees outcome_unknown; no second server gets the request."""

    async def work() -> None:
        bench = owner_fakes.Bench()
        bench.servers.script = [owner_fakes.cut, owner_fakes.complete]
        final = await owner_fakes.ended(bench.submit(bench.new_id()))
        assert final["code"] == "answer_lost"
        assert len(bench.servers.seen) == 1

    run(work())


def test_a_leaving_owner_hands_waiting_requests_back_and_finishes_the_others():
    """Waiting callers see "not run" with another address; the others their answers."""

    async def work() -> None:
        bench = owner_fakes.Bench()
        finish = asyncio.Event()

        async def late(answer) -> None:
            await finish.wait()
            answer.append(b'{"text":"a"}')

        bench.servers.script = [late]
        running = bench.submit(bench.new_id())
        await owner_fakes.until(lambda: bool(bench.servers.seen))
        bench.keepers.open = False
        waiting = bench.submit(bench.new_id())
        leaving = asyncio.create_task(bench.owner.leave())
        final = await owner_fakes.ended(waiting)
        assert (final["code"], final["address"]) == ("instance_leaving", "127.0.0.1:9")
        with pytest.raises(exceptions.Leaving):
            bench.submit(bench.new_id())
        assert not leaving.done()
        finish.set()
        assert (await owner_fakes.ended(running))["outcome"] == "completed"
        assert not leaving.done()
        bench.owner.detach(running, True)
        await leaving

    run(work())


def test_the_remaining_time_is_no_part_of_a_bodys_fingerprint():
    one = requests.read(json.dumps({"service": "s", "deadline_ms": 5}).encode())
    two = requests.read(json.dumps({"service": "s", "deadline_ms": 4}).encode())
    other = requests.read(json.dumps({"service": "s", "payload": 1}).encode())
    assert requests.fingerprint(one) == requests.fingerprint(two)
    assert requests.fingerprint(one) != requests.fingerprint(other)


def test_a_request_that_crashes_servers_is_refused_under_new_ids():
    """Guards against a caller that starts over and crashes server after server."""

    async def work() -> None:
        bench = owner_fakes.Bench()
        bench.servers.script = [owner_fakes.broken]
        for _ in range(3):
            final = await owner_fakes.ended(bench.submit(bench.new_id()))
            assert final["code"] == "answer_lost"
        final = await owner_fakes.ended(bench.submit(bench.new_id()))
        assert (final["outcome"], final["code"]) == ("not_run", "crashes_servers")
        assert len(bench.servers.seen) == 3
        bench.servers.script = [owner_fakes.complete]
        other = await owner_fakes.ended(bench.submit(bench.new_id(), prompt="how?"))
        assert other["outcome"] == "completed"

    run(work())
