"""Requests that two servers have at once because the first one is silent."""

import asyncio

import cut_fakes
import gateway_fakes as fakes
import silence_fakes

from cassiaquay_daemon import clock
from cassiaquay_dev.standins import platform_standins as standins
from cassiaquay_dev.standins import raw_servers


def test_stream_is_not_completed_by_a_failure_of_the_second_server() -> None:
    """Guards against a stream that ends as whole where a second server has failed."""

    async def work(site: fakes.Site) -> None:
        seen = 0
        has_second = asyncio.Event()

        async def respond(
            request: raw_servers.Request, writer: raw_servers.Writer
        ) -> None:
            nonlocal seen
            seen += 1
            if seen == 1:
                await standins.write_stream_head(request, writer)
                await standins.write_events(request, writer, 2)
                await has_second.wait()
                raw_servers.reset(writer)
                return
            has_second.set()
            await asyncio.sleep(0.1)
            await raw_servers.send(writer, 500, b"", standins.seal_headers(request))

        await silence_fakes.prepare(site)
        for engine in site.engines:
            engine.responder = respond
        got = await site.ask("/stream/2/x")
        assert len(site.engines_of(got.attempt)) == 2
        assert got.body == standins.stream_events(2)
        assert not got.complete

    fakes.run(work)


def test_silent_server_is_replaced_by_one_that_was_listed_since() -> None:
    """Guards against seeking a second server in an outdated list."""

    async def work(site: fakes.Site) -> None:
        await silence_fakes.prepare(site)
        silence = silence_fakes.Silence()
        for engine in site.engines:
            engine.responder = silence.responder("events")
        asked = asyncio.create_task(site.ask("/stream/2/x"))
        while not silence.open_runs:
            await asyncio.sleep(0.01)
        await site.add_engine("i-3", slots=silence_fakes.SLOTS)
        for engine in site.engines[:2]:
            if not engine.runs:
                site.store.remove(f"servers/{engine.name}")
        got = await asked
        assert not silence_fakes.lost("/stream/2/", [got])
        assert site.engines_of(got.attempt)[1:] == site.engines[2:]

    fakes.run(work)


def test_attempts_hold_while_the_first_server_is_being_connected_to() -> None:
    """Guards against a second server while the first one is about to get a request."""

    async def work(site: fakes.Site) -> None:
        await silence_fakes.prepare(site)
        with cut_fakes.cut(site, 0, "silent"):
            got = await site.ask("/plain/1/x")
        assert len(site.engines_of(got.attempt)) == 1

    fakes.run(work, 2)


def test_stream_is_not_left_for_a_server_that_declines_it() -> None:
    """Guards against leaving a silent server for one that turns the request down."""

    async def work(site: fakes.Site) -> None:
        silence = silence_fakes.Silence()
        silent = silence.responder("events")
        count = 0

        async def respond(
            request: raw_servers.Request, writer: raw_servers.Writer
        ) -> None:
            nonlocal count
            if not request.target.startswith("/stream/"):
                await asyncio.sleep(0.05)
                await standins.send_complete_answer(request, writer)
                return
            count += 1
            if count == 1:
                await silent(request, writer)
                return
            await asyncio.sleep(0.4)
            declined = {"Cassiaquay-Not-Executed": "full"}
            await raw_servers.send(
                writer, 503, b"", declined | standins.seal_headers(request)
            )

        await silence_fakes.prepare(site)
        for engine in site.engines:
            engine.responder = respond
        silence.end_after(2.5)
        asked = asyncio.create_task(site.ask("/stream/2/x"))
        while not asked.done():
            # Both servers are heard on other connections.
            await silence_fakes.ask_each(site, "/plain/1/", 8)
        got = await asked
        assert not silence_fakes.lost("/stream/2/", [got])

    fakes.run(work)


def test_two_servers_do_not_work_on_one_stream_for_long() -> None:
    """Guards against a stream at a second server while the first one works on it."""

    async def work(site: fakes.Site) -> None:
        # Begin and end of the runs at the two servers.
        runs: list[list[float]] = []

        async def respond(
            request: raw_servers.Request, writer: raw_servers.Writer
        ) -> None:
            if not request.target.startswith("/stream/"):
                await standins.send_complete_answer(request, writer)
                return
            runs.append([clock.now(), 0.0])
            run = runs[-1]
            try:
                if len(runs) == 1:
                    await standins.write_stream_head(request, writer)
                    await standins.write_events(request, writer, 2)
                await asyncio.sleep(2.0)
                await standins.write_stream_head(request, writer)
            finally:
                run[1] = clock.now()

        await silence_fakes.prepare(site)
        for engine in site.engines:
            engine.responder = respond
        asked = asyncio.create_task(site.ask("/stream/2/x"))
        while not runs:
            await asyncio.sleep(0.01)
        for engine in site.engines:
            if not engine.runs:
                site.store.remove(f"servers/{engine.name}-plain")
        while len(runs) < 2 or not (runs[0][1] or runs[1][1]):
            # The first server answers other requests.
            await site.ask("/plain/1/other")
            await asyncio.sleep(0.01)
        asked.cancel()
        overlap_seconds = max(runs[0][1], runs[1][1]) - runs[1][0]
        assert overlap_seconds <= 0.4

    fakes.run(work)


def test_servers_that_cannot_be_reached_cost_no_retry() -> None:
    """Guards against a retry budget that is spent though nothing is sent."""

    async def work(site: fakes.Site) -> None:
        await silence_fakes.prepare(site)
        silence = silence_fakes.Silence()
        for engine in site.engines:
            engine.responder = silence.responder("events")
        asked = asyncio.create_task(site.ask("/stream/2/x"))
        while not silence.open_runs:
            await asyncio.sleep(0.01)
        for engine in site.engines:
            if not engine.runs:
                await engine.stop()
        silence.end_after(2.0)
        got = await asked
        assert not silence_fakes.lost("/stream/2/", [got])
        assert site.gateway(0)._parts.budget._retries["chat"].sum() == 0.0

    fakes.run(work)
