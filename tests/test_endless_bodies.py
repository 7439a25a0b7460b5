"""Requests whose servers send without end: they get answers, and memory is bounded."""

import asyncio
import typing

import cut_fakes
import endless_fakes
import pytest
import silence_fakes

from cassiaquay_daemon import clock
from cassiaquay_dev.standins import platform_standins as standins
from cassiaquay_dev.standins import raw_servers

REPEATABLE = ("plain", "stream")
NOT_REPEATABLE = ("book", "string")
BOTH_WAYS = pytest.mark.parametrize("drips", [True], ids=["drips"])
# Requests at one endless server are served by another one within their patience and as
# long again; a flood takes some time of the loop that it shares with this test.
PLAIN_BOUND_SECONDS = 2.0
STREAM_BOUND_SECONDS = 3.0
DEADLINE_SECONDS = 4.0
COMMENT_SECONDS = 0.4
COMMENT_COUNT = 4
LARGE_BYTES = 1024 * 1024
PART_COUNT = 8
PART_SECONDS = 0.2


def _late(asked: list[silence_fakes.Asked]) -> list[tuple[str, float]]:
    found = []
    for one in asked:
        is_stream = silence_fakes.is_stream(one.target)
        bound = STREAM_BOUND_SECONDS if is_stream else PLAIN_BOUND_SECONDS
        if one.seconds > bound:
            found.append((one.target, round(one.seconds, 2)))
    return found


@BOTH_WAYS
def test_one_endless_server_of_three_loses_no_repeatable_request(drips: bool) -> None:
    """Guards against waiting for an answer that does not come closer to its end."""

    async def play() -> None:
        async with silence_fakes.site(engine_count=3) as site:
            endless_fakes.break_engines(site, 1, drips)
            targets = endless_fakes.targets(REPEATABLE, 3)
            asked = await asyncio.gather(*silence_fakes.ask_all(site, targets))
            assert site.engines[0].requests
            assert silence_fakes.faults(site, asked) == {}
            assert _late(asked) == []

    asyncio.run(play())


@BOTH_WAYS
def test_endless_server_behind_a_relay_loses_no_repeatable_request(drips: bool) -> None:
    """Guards against a relay that keeps an endless answer going."""

    async def play() -> None:
        async with silence_fakes.site(daemon_count=2, engine_count=3) as site:
            endless_fakes.break_engines(site, 1, drips)
            with cut_fakes.cut(site, 0):
                targets = endless_fakes.targets(REPEATABLE, 2)
                asked = await asyncio.gather(*silence_fakes.ask_all(site, targets))
            assert site.engines[0].requests
            assert site.gateway(1)._relay.sent_count
            assert silence_fakes.faults(site, asked) == {}

    asyncio.run(play())


@BOTH_WAYS
@pytest.mark.parametrize("endless_count", [1, 3])
def test_endless_answers_end_once_and_in_time(endless_count: int, drips: bool) -> None:
    """Guards against endless answers that end late, run again or look complete."""

    async def play() -> None:
        async with silence_fakes.site(engine_count=3) as site:
            endless_fakes.break_engines(site, endless_count, drips)
            routes = REPEATABLE if endless_count == 3 else NOT_REPEATABLE
            targets = endless_fakes.targets(routes, 2)
            asked = await asyncio.gather(*silence_fakes.ask_all(site, targets))
            for one in asked:
                run_count = len(site.engines_of(one.got.attempt))
                assert run_count <= (2 if endless_count == 3 else 1)
                assert one.seconds < DEADLINE_SECONDS + 0.5
                if one.is_whole:
                    assert endless_count == 1
                elif one.got.status == 200:
                    assert not one.got.complete
                else:
                    assert one.got.status in (502, 504)
                    assert b"outcome_unknown" in one.got.body
            assert not all(one.is_whole for one in asked)

    asyncio.run(play())


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


@pytest.mark.parametrize("route", ["/plain/1/x/", "/plain/3/x/", "/book/2/x/"])
def test_slow_large_answer_is_whole(route: str) -> None:
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
            asked = await asyncio.gather(*silence_fakes.ask_all(site, [route] * 4))
            assert clock.now() - began_at < DEADLINE_SECONDS
            for one in asked:
                got = one.got
                assert (got.status, got.complete, got.body) == (200, True, body)
                assert len(site.engines_of(got.attempt)) == 1

    asyncio.run(play())
