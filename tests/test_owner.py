"""The owner, tested with fake keepers and fake backend servers."""

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


def test_a_copy_of_a_request_gets_the_answer_of_the_first():
    """The caller sends a request twice under one id; it is dispatched once."""

    async def work() -> None:
        bench = owner_fakes.Bench()
        request_id = bench.new_id()
        first = bench.submit(request_id, deadline_ms=9000)
        await owner_fakes.ended(first)
        assert bench.submit(request_id, deadline_ms=8000) is first
        assert len(bench.servers.seen) == 1

    run(work())


@pytest.mark.parametrize("other", [{"prompt": "other"}, {"tier": "urgent"}])
def test_another_body_under_a_known_id_is_a_conflict_and_never_runs(other):
    """The caller gets 409 id_conflict instead of the answer to the other request.

    A caller uses an id twice by mistake. The second request differs in more than its
    remaining time; without the check it would get the first one's answer.
    """

    async def work() -> None:
        bench = owner_fakes.Bench()
        request_id = bench.new_id()
        await owner_fakes.ended(bench.submit(request_id))
        with pytest.raises(exceptions.IdConflict) as refused:
            bench.submit(request_id, **other)
        assert refused.value.outcome == "outcome_unknown"
        assert refused.value.status == 409
        assert len(bench.servers.seen) == 1

    run(work())


@pytest.mark.parametrize(
    "body",
    [{"service": "none"}, {"prompt": ""}, {"tier": "none"}, {"max_tokens": 0}],
)
def test_an_invalid_request_stays_refused_when_a_copy_becomes_valid(body):
    """The caller gets "not run" and retries under a new id; only the retry may run.

    The configuration that the request needs arrives a moment later. A copy of the first
    request that was delayed in the network would then be accepted.
    """

    async def work() -> None:
        bench = owner_fakes.Bench()
        request_id = bench.new_id()
        with pytest.raises(exceptions.Refusal) as refused:
            bench.submit(request_id, **body)
        assert refused.value.outcome == "not_run"
        with pytest.raises(exceptions.PreviouslyRefused) as refused_again:
            bench.submit(request_id)
        assert refused_again.value.code == refused.value.code
        assert not bench.servers.seen

    run(work())


def test_a_cancellation_that_overtakes_its_request_closes_the_id():
    """The caller cancels, gets "not run", and books again under a new id.

    The cancellation arrives before the request, which must not run any more.
    """

    async def work() -> None:
        bench = owner_fakes.Bench()
        request_id = bench.new_id()
        assert bench.owner.outcome(request_id, "questions").state == "unseen"
        status = await bench.owner.cancel(request_id, "questions")
        assert (status.outcome, status.state) == ("not_run", "refused")
        with pytest.raises(exceptions.PreviouslyRefused):
            bench.submit(request_id)
        assert bench.owner.outcome(request_id, "questions") == status
        assert not bench.servers.seen

    run(work())


def test_a_first_copy_after_the_tokens_expiry_is_unknown_never_not_run():
    """The caller gets outcome_unknown: an earlier entry may have been dropped."""

    async def work() -> None:
        bench = owner_fakes.Bench()
        with pytest.raises(exceptions.TokenExpired) as refused:
            bench.submit(bench.new_id(seconds=-0.0))
        assert refused.value.outcome == "outcome_unknown"

    run(work())


def test_a_late_copy_of_a_dropped_answer_is_not_run_again(monkeypatch):
    """A copy of a request arrives after its acknowledged answer was dropped.

    The request must not run again; its outcome is still "completed".
    """

    async def work() -> None:
        bench = owner_fakes.Bench()
        request_id = bench.new_id()
        entry = bench.submit(request_id)
        await owner_fakes.ended(entry)
        bench.owner.detach(entry, True)
        bench.owner.acknowledge(request_id, "questions")
        bench.owner.acknowledge(request_id, "questions")
        assert not bench.owner.request_table.entries
        assert bench.owner.request_table.ledger.used == 0
        with pytest.raises(exceptions.AnswerExpired):
            bench.submit(request_id)
        assert bench.owner.outcome(request_id, "questions").outcome == "completed"
        with pytest.raises(exceptions.Forbidden):
            bench.submit(request_id, team="parents")
        assert len(bench.servers.seen) == 1

    run(work())


def test_too_many_closed_ids_make_old_tokens_expire_early():
    """A caller with an old id gets outcome_unknown, and no request runs twice.

    More ids were closed than the owner keeps. It drops those whose tokens expire first,
    and treats all ids that expire as early as expired.
    """

    async def work() -> None:
        bench = owner_fakes.Bench(max_closed=2)
        names = [bench.new_id(seconds=second) for second in (50, 51, 52)]
        for request_id in names:
            await bench.owner.cancel(request_id, "questions")
        assert len(bench.owner.request_table.closed) == 2
        with pytest.raises(exceptions.TokenExpired):
            bench.submit(names[0])
        with pytest.raises(exceptions.TokenExpired):
            bench.submit(bench.new_id(seconds=50.5))
        with pytest.raises(exceptions.PreviouslyRefused):
            bench.submit(names[1])
        assert not bench.servers.seen

    run(work())


def test_a_full_table_sheds_the_lowest_waiting_tier_first():
    """An urgent request is served; background requests get "not run", table_full.

    The table holds two waiting requests when an urgent one arrives, then a background
    one.
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
    """When answers exceed their memory limit, the background one is dropped first.

    Its caller gets a refusal when it reconnects; the urgent answer is kept.
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
        with pytest.raises(exceptions.AnswerExpired):
            bench.owner.find(entries[1].accepted.id, "questions")

    run(work())


def test_an_unfinished_request_cannot_be_acknowledged():
    """The caller gets 409 not_finished, and its request continues."""

    async def work() -> None:
        bench = owner_fakes.Bench()
        bench.keepers.open = False
        entry = bench.submit(bench.new_id())
        with pytest.raises(exceptions.NotFinished):
            bench.owner.acknowledge(entry.accepted.id, "questions")
        bench.keepers.let_through()
        assert (await owner_fakes.ended(entry))["outcome"] == "completed"

    run(work())


def test_cancelling_a_running_request_gives_unknown_and_releases_its_permit():
    """The caller that cancels a running request must not get "not run"."""

    async def work() -> None:
        bench = owner_fakes.Bench()
        bench.servers.script = [owner_fakes.hang]
        entry = bench.submit(bench.new_id())
        await owner_fakes.until(lambda: bool(bench.servers.seen))
        status = await bench.owner.cancel(entry.accepted.id, "questions")
        assert (status.outcome, status.code) == ("outcome_unknown", "cancelled_running")
        await owner_fakes.until(lambda: bool(bench.servers.stopped))
        assert [one.outcome for one in bench.keepers.released] == ["unknown"]

    run(work())


def test_the_outcome_of_a_booking_past_its_deadline_can_be_queried_later():
    """The caller gets outcome_unknown at its deadline, and "completed" later.

    A booking cannot be stopped. The owner reads on its answer after the deadline, so
    that the caller can find out whether to book again.
    """

    async def work() -> None:
        bench = owner_fakes.Bench()
        finish = asyncio.Event()

        async def complete_later(answer) -> None:
            await finish.wait()
            answer.append(b'{"ok":true}')

        bench.servers.script = [complete_later]
        request_id = bench.new_id()
        entry = bench.submit(
            request_id, service="bookings", deadline_ms=50, idempotent=False
        )
        final = await owner_fakes.ended(entry)
        assert final["code"] == "deadline_exceeded"
        assert not bench.keepers.released
        finish.set()
        await owner_fakes.until(lambda: bool(bench.keepers.released))
        assert bench.owner.outcome(request_id, "questions").outcome == "completed"
        assert entry.answer.final["count"] == 1
        assert len(bench.servers.seen) == 1

    run(work())


def test_a_running_booking_continues_when_its_caller_disconnects(monkeypatch):
    """The caller reconnects and reads the booking that was completed meanwhile."""

    async def work() -> None:
        bench = owner_fakes.Bench()
        finish = asyncio.Event()

        async def complete_later(answer) -> None:
            await finish.wait()
            answer.append(b'{"ok":true}')

        bench.servers.script = [complete_later]
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
def test_a_running_request_without_a_caller_follows_the_services_setting(
    monkeypatch, service, code
):
    """A caller's connection fails while its request runs, and it does not reconnect.

    Within the grace time the request continues. After it, the engine is told to stop,
    unless the service's ``on_disconnect`` setting is "finish".
    """

    async def work() -> None:
        bench = owner_fakes.Bench()
        finish = asyncio.Event()

        async def complete_later(answer) -> None:
            await finish.wait()
            answer.append(b'{"text":"a"}')

        bench.servers.script = [complete_later]
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


def test_after_a_pause_requests_of_disconnected_callers_are_not_dispatched(monkeypatch):
    """A request whose caller disconnected during a pause is not dispatched.

    After the pause its permit has arrived and its caller has disconnected; the permit
    is returned, and the request ends as not run.
    """

    async def work() -> None:
        bench = owner_fakes.Bench()
        bench.keepers.open = False
        entry = bench.submit(bench.new_id())
        await owner_fakes.until(lambda: bool(bench.keepers.demands_received))
        bench.owner.detach(entry, False)
        bench.keepers.let_through()
        await owner_fakes.until(lambda: bool(bench.keepers.given_back))
        with owner_fakes.later(monkeypatch, 60.0):
            bench.owner.sweep_once()
        assert (await owner_fakes.ended(entry))["code"] == "caller_gone"
        assert not bench.servers.seen

    run(work())


def test_a_permit_that_expired_during_a_pause_is_not_used(monkeypatch):
    """An engine must not get a request whose capacity was granted to others meanwhile.

    The process is paused between the permit and the first byte for longer than the
    permit and the deadline; after the pause it must not send.
    """

    async def work() -> None:
        bench = owner_fakes.Bench()
        bench.servers.connecting = asyncio.Event()
        entry = bench.submit(bench.new_id(), deadline_ms=20000)
        await owner_fakes.until(lambda: bool(bench.keepers.demands_received))
        with owner_fakes.later(monkeypatch, 60.0):
            bench.servers.connecting.set()
            await owner_fakes.until(lambda: bool(bench.keepers.given_back))
        assert not bench.servers.seen
        assert not entry.ended

    run(work())


def test_a_server_that_began_to_leave_after_the_permit_gets_no_request():
    """The request runs on another server; the leaving one gets no new work.

    The instance list shows the server as leaving while the connection is being opened.
    """

    async def work() -> None:
        bench = owner_fakes.Bench()
        bench.servers.connecting = asyncio.Event()
        entry = bench.submit(bench.new_id())
        await owner_fakes.until(lambda: bool(bench.keepers.demands_received))
        bench.leaving.add("e-1")
        bench.servers.connecting.set()
        assert (await owner_fakes.ended(entry))["outcome"] == "completed"
        assert entry.server == "e-2"
        assert len(bench.servers.seen) == 1

    run(work())


def test_a_request_whose_answer_is_lost_is_unknown_and_not_sent_again():
    """The caller gets outcome_unknown; no second server gets the request."""

    async def work() -> None:
        bench = owner_fakes.Bench()
        bench.servers.script = [owner_fakes.cut, owner_fakes.complete]
        final = await owner_fakes.ended(bench.submit(bench.new_id()))
        assert final["code"] == "answer_lost"
        assert len(bench.servers.seen) == 1

    run(work())


def test_a_leaving_owner_refuses_waiting_requests_and_finishes_running_ones():
    """Waiting requests get "not run" and another address; running ones complete."""

    async def work() -> None:
        bench = owner_fakes.Bench()
        finish = asyncio.Event()

        async def complete_later(answer) -> None:
            await finish.wait()
            answer.append(b'{"text":"a"}')

        bench.servers.script = [complete_later]
        running = bench.submit(bench.new_id())
        await owner_fakes.until(lambda: bool(bench.servers.seen))
        bench.keepers.open = False
        waiting = bench.submit(bench.new_id())
        leaving = asyncio.create_task(bench.owner.leave())
        final = await owner_fakes.ended(waiting)
        assert (final["code"], final["address"]) == ("instance_leaving", "127.0.0.1:9")
        with pytest.raises(exceptions.InstanceLeaving):
            bench.submit(bench.new_id())
        assert not leaving.done()
        finish.set()
        assert (await owner_fakes.ended(running))["outcome"] == "completed"
        assert not leaving.done()
        bench.owner.detach(running, True)
        await leaving

    run(work())


def test_the_fingerprint_of_a_body_excludes_the_remaining_time():
    one = requests.read(json.dumps({"service": "s", "deadline_ms": 5}).encode())
    two = requests.read(json.dumps({"service": "s", "deadline_ms": 4}).encode())
    other = requests.read(json.dumps({"service": "s", "payload": 1}).encode())
    assert requests.fingerprint(one) == requests.fingerprint(two)
    assert requests.fingerprint(one) != requests.fingerprint(other)


def test_a_request_that_crashes_servers_is_refused_under_new_ids():
    """A caller that retries under new ids must not crash server after server."""

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
