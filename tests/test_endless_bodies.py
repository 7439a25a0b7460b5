"""Requests whose servers send without end: they get answers, and memory is bounded."""

import asyncio
import collections.abc
import gc
import typing

import cut_fakes
import endless_engine_fakes
import gateway_fakes as fakes
import pytest
import silence_fakes
import yarl

from cassiaquay_daemon import clock, sockets
from cassiaquay_daemon.decisions import held_bytes
from cassiaquay_daemon.gateway import holding, tries
from cassiaquay_dev.standins import platform_standins as standins
from cassiaquay_dev.standins import raw_servers

REPEATABLE = ("plain", "stream")
NOT_REPEATABLE = ("book", "string")
BOTH_WAYS = pytest.mark.parametrize("drips", [True, False], ids=["drips", "floods"])
# Requests at one endless server are served by another one within their patience, or
# half of their time if the answer grows, and as long again as they need on a loop that
# they share with all servers.
PLAIN_BOUND_SECONDS = 2.0
BOUND_SECONDS = 3.2
DEADLINE_SECONDS = 4.0
SHORT_DEADLINE_SECONDS = 2.5
COMMENT_SECONDS = 0.4
COMMENT_COUNT = 4
LARGE_BYTES = 1024 * 1024
LARGEST = b"y" * held_bytes.MAX_ANSWER_BYTES
PART_COUNT = 8
PART_SECONDS = 0.2


def _check_held(site: fakes.Site) -> None:
    """Check that held answers stayed within their bound and are all freed."""
    for number in range(len(site.daemons)):
        held = site.gateway(number)._parts.room.held
        assert held.peak <= held_bytes.MAX_HELD_BYTES
        assert held.used == 0


def _late(asked: list[silence_fakes.Asked], drips: bool) -> list[tuple[str, float]]:
    found = []
    for one in asked:
        is_plain = not silence_fakes.is_stream(one.target)
        bound = PLAIN_BOUND_SECONDS if is_plain and drips else BOUND_SECONDS
        if one.seconds > bound:
            found.append((one.target, round(one.seconds, 2)))
    return found


@BOTH_WAYS
def test_one_endless_server_of_three_loses_no_repeatable_request(drips: bool) -> None:
    """Guards against waiting for an answer that does not come closer to its end."""

    async def play() -> None:
        async with silence_fakes.site(engine_count=3) as site:
            endless_engine_fakes.break_engines(site, 1, drips)
            targets = endless_engine_fakes.targets(REPEATABLE, 3)
            asked = await asyncio.gather(*silence_fakes.ask_all(site, targets))
            assert site.engines[0].requests
            assert silence_fakes.faults(site, asked) == {}
            assert _late(asked, drips) == []
            _check_held(site)

    asyncio.run(play())


@BOTH_WAYS
def test_endless_server_behind_a_relay_loses_no_repeatable_request(drips: bool) -> None:
    """Guards against a relay that keeps an endless answer going."""

    async def play() -> None:
        async with silence_fakes.site(daemon_count=2, engine_count=3) as site:
            endless_engine_fakes.break_engines(site, 1, drips)
            with cut_fakes.cut(site, 0):
                targets = endless_engine_fakes.targets(REPEATABLE, 2)
                asked = await asyncio.gather(*silence_fakes.ask_all(site, targets))
            assert site.engines[0].requests
            assert site.gateway(1)._relay.sent_count
            assert silence_fakes.faults(site, asked) == {}
            _check_held(site)

    asyncio.run(play())


@BOTH_WAYS
def test_endless_answers_end_once_and_in_time(drips: bool) -> None:
    """Guards against endless answers that end late, run again or look complete."""

    async def play(endless_count: int) -> None:
        async with silence_fakes.site(engine_count=3) as site:
            endless_engine_fakes.break_engines(site, endless_count, drips)
            routes = REPEATABLE if endless_count == 3 else NOT_REPEATABLE
            # All servers flood the loop that they share with the daemon.
            targets = endless_engine_fakes.targets(routes, 2 if drips else 1)
            asking = silence_fakes.ask_all(
                site, targets, seconds=SHORT_DEADLINE_SECONDS
            )
            asked = await asyncio.gather(*asking)
            for one in asked:
                run_count = len(site.engines_of(one.got.attempt))
                assert run_count <= (2 if endless_count == 3 else 1)
                assert one.seconds < SHORT_DEADLINE_SECONDS + 1.0
                if one.is_whole:
                    assert endless_count == 1
                elif one.got.status == 200:
                    assert not one.got.complete
                else:
                    assert one.got.status in (502, 504)
                    assert b"outcome_unknown" in one.got.body
            assert not all(one.is_whole for one in asked)
            _check_held(site)

    async def play_all() -> None:
        await asyncio.gather(play(1), play(3))

    asyncio.run(play_all())


@BOTH_WAYS
def test_announced_body_over_the_bound_is_not_read(drips: bool) -> None:
    """Guards against reading a body whose head says that it is too long."""

    async def play() -> None:
        async with silence_fakes.site() as site:
            endless_engine_fakes.break_engines(site, 2, drips)
            send_endless = site.engines[0].responder
            is_closed = asyncio.Event()

            async def respond(
                request: raw_servers.Request, writer: raw_servers.Writer
            ) -> None:
                try:
                    await send_endless(request, writer)
                finally:
                    is_closed.set()

            for engine in site.engines:
                engine.responder = respond
            asked = await silence_fakes.ask(site, "/book/2/length/")
            assert asked.got.status == 502
            assert asked.seconds < 1.0
            assert len(site.engines_of(asked.got.attempt)) == 1
            async with asyncio.timeout(1.0):
                await is_closed.wait()

    asyncio.run(play())


def _run_without_collection(
    play: collections.abc.Callable[[], collections.abc.Coroutine[None, None, None]],
) -> None:
    gc.collect()
    gc.disable()
    try:
        asyncio.run(play())
    finally:
        gc.enable()


def test_ended_answers_are_freed_without_a_garbage_collection() -> None:
    """Guards against memory of answers that have ended."""

    async def play() -> None:
        async with silence_fakes.site() as site:
            endless_engine_fakes.break_engines(site, 2, drips=False)
            targets = ["/book/1/body/", "/book/1/length/", "/string/1/comments/"]
            asked = await asyncio.gather(*silence_fakes.ask_all(site, targets))
            assert not any(one.got.complete and one.is_whole for one in asked)
            async with asyncio.timeout(1.0):
                while any(isinstance(found, tries.Try) for found in gc.get_objects()):
                    await asyncio.sleep(0.05)

    _run_without_collection(play)


def test_answers_given_up_are_freed_without_a_garbage_collection() -> None:
    """Guards against a process that keeps all endless answers that it has given up."""

    async def play() -> None:
        async with silence_fakes.site(engine_count=3) as site:
            endless_engine_fakes.break_engines(site, 3, drips=False)
            targets = endless_engine_fakes.targets(REPEATABLE, 3)
            await asyncio.gather(*silence_fakes.ask_all(site, targets))
            found = [one for one in gc.get_objects() if isinstance(one, tries.Try)]
            assert sum(one._body.size for one in found) == 0

    _run_without_collection(play)


def test_stream_with_comments_before_a_late_event_is_whole() -> None:
    """Guards against giving up a server that works on a long first event."""

    async def respond(request: raw_servers.Request, writer: raw_servers.Writer) -> None:
        await standins.write_stream_head(request, writer)
        for _ in range(COMMENT_COUNT):
            await asyncio.sleep(COMMENT_SECONDS)
            writer.write(b"8\r\n: wait\n\n\r\n")
        await standins.write_events(request, writer, standins.EVENT_COUNT)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def play() -> None:
        async with silence_fakes.site() as site:
            for engine in site.engines:
                engine.responder = respond
            targets = ["/stream/1/x/", "/stream/2/x/", "/string/2/x/"] * 4
            asked = await asyncio.gather(*silence_fakes.ask_all(site, targets))
            for one in asked:
                assert (one.got.status, one.got.complete) == (200, True)
                expected = b": wait\n\n" * COMMENT_COUNT + standins.stream_events()
                assert one.got.body == expected

    asyncio.run(play())


def test_slow_large_answers_are_whole() -> None:
    """Guards against giving up a server that sends a long body slowly."""
    body = b"x" * LARGE_BYTES

    async def respond(request: raw_servers.Request, writer: raw_servers.Writer) -> None:
        length: dict[str, typing.Any] = {"Content-Length": str(LARGE_BYTES)}
        raw_servers.write_head(writer, length | standins.seal_headers(request))
        for _ in range(PART_COUNT):
            writer.write(body[: LARGE_BYTES // PART_COUNT])
            await writer.drain()
            await asyncio.sleep(PART_SECONDS)

    async def play() -> None:
        async with silence_fakes.site() as site:
            for engine in site.engines:
                engine.responder = respond
            began_at = clock.now()
            targets = ["/plain/1/x/", "/plain/3/x/", "/book/2/x/"] * 3
            asked = await asyncio.gather(*silence_fakes.ask_all(site, targets))
            assert clock.now() - began_at < DEADLINE_SECONDS
            for one in asked:
                got = one.got
                assert (got.status, got.complete, got.body) == (200, True, body)
                assert len(site.engines_of(got.attempt)) == 1

    asyncio.run(play())


async def _send_largest(
    request: raw_servers.Request, writer: raw_servers.Writer
) -> None:
    await raw_servers.send(writer, 200, LARGEST, standins.seal_headers(request))


@pytest.mark.parametrize("count", [1, 10])
def test_answers_of_the_largest_size_are_whole(count: int) -> None:
    """Guards against a bound on all held answers that loses sound ones."""

    async def play() -> None:
        async with silence_fakes.site() as site:
            for engine in site.engines:
                engine.responder = _send_largest
            targets = ["/plain/1/x/", "/book/1/x/"] * (count // 2) or ["/plain/1/x/"]
            asked = await asyncio.gather(*silence_fakes.ask_all(site, targets))
            for one in asked:
                assert (one.got.status, one.got.complete) == (200, True)
                assert one.got.body == LARGEST
            _check_held(site)

    asyncio.run(play())


def test_ready_answer_is_delivered_after_the_deadline_to_a_slow_caller() -> None:
    """Guards against bytes that count no more while their caller does not read."""
    deadline_seconds = 1.0

    async def play() -> None:
        async with silence_fakes.site() as site:
            for engine in site.engines:
                engine.responder = _send_largest
            url = yarl.URL(f"http://{site.settings[0].gateway.front}/plain/1/x/")
            headers = {
                "Host": standins.HOST,
                "Cassiaquay-Attempt-Id": "slow",
                "Cassiaquay-Deadline-Ms": str(int(deadline_seconds * 1000)),
                "Api-Key": "key",
            }
            room = site.gateway(0)._parts.room
            async with site.http.post(url, headers=headers) as response:
                await asyncio.sleep(deadline_seconds * 1.5)
                assert room.held.used
                assert await response.read() == LARGEST
            async with asyncio.timeout(1.0):
                while room.held.used:
                    await asyncio.sleep(0.01)

    asyncio.run(play())


@pytest.mark.parametrize("target", ["/plain/1/x/", "/book/1/x/"])
def test_relayed_answer_that_waits_for_room_is_whole(
    target: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against the kernel, which drops connections that are not read."""
    timeout_ms = 500
    monkeypatch.setattr(sockets, "USER_TIMEOUT_MS", timeout_ms)

    async def play() -> None:
        async with silence_fakes.site(daemon_count=2) as site:
            for engine in site.engines:
                engine.responder = _send_largest
            room = site.gateway(0)._parts.room
            others = [holding.Hold(room) for _ in range(3)]
            for other in others:
                assert other.try_grow(held_bytes.MAX_ANSWER_BYTES)
            with cut_fakes.cut(site, 0):
                asking = asyncio.create_task(silence_fakes.ask(site, target))
                while not room.waiting_count:
                    await asyncio.sleep(0.01)
                # The kernel looks at the time at its own intervals.
                await asyncio.wait([asking], timeout=timeout_ms / 1000.0 * 4)
                for other in others:
                    other.close()
                one = await asking
            assert site.gateway(1)._relay.sent_count == 1
            assert (one.got.status, one.got.body) == (200, LARGEST)
            _check_held(site)

    asyncio.run(play())
