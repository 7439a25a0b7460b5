"""Requests that two servers have at once because the first one is silent."""

import asyncio

import cut_fakes
import gateway_fakes as fakes
import silence_fakes

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
