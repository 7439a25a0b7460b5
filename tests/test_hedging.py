"""Requests that two servers have at once because the first one is silent."""

import asyncio
import errno

import aiohttp
import cut_fakes
import gateway_fakes as fakes
import silence_fakes

from cassiaquay_daemon import exceptions
from cassiaquay_daemon.adapters import breaks
from cassiaquay_daemon.gateway import forwarding, front
from cassiaquay_dev.standins import platform_standins as standins
from cassiaquay_dev.standins import raw_servers

# Its servers are silent after some events.
STREAM = "/stream/2/events/x"


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
        got = await site.ask(STREAM)
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
            engine.responder = silence.respond
        asked = asyncio.create_task(site.ask(STREAM))
        while not silence.open_runs:
            await asyncio.sleep(0.01)
        await site.add_engine("i-3", slots=silence_fakes.SLOTS)
        for engine in site.engines[:2]:
            if not engine.runs:
                site.store.remove(f"servers/{engine.name}")
        got = await asked
        assert silence_fakes.Asked(STREAM, got, 0.0).is_whole
        assert site.engines_of(got.attempt)[1:] == site.engines[2:]

    fakes.run(work)


def test_attempts_hold_while_the_first_server_is_being_connected_to() -> None:
    """Guards against a second server while the first one is about to get a request."""

    async def work(site: fakes.Site) -> None:
        await silence_fakes.prepare(site)
        with cut_fakes.cut(site, 0, "silent"):
            got = await site.ask("/plain/1/head/x")
        assert len(site.engines_of(got.attempt)) == 1

    fakes.run(work, 2)


def test_stream_is_not_left_for_a_server_that_declines_it() -> None:
    """Guards against leaving a silent server for one that turns the request down."""

    async def work(site: fakes.Site) -> None:
        silence = silence_fakes.Silence()
        silent = silence.respond
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
        asked = asyncio.create_task(site.ask(STREAM))
        while not asked.done():
            # Both servers are heard on other connections.
            await asyncio.gather(*silence_fakes.ask_all(site, ["/plain/1/head/x"] * 8))
        got = await asked
        assert silence_fakes.Asked(STREAM, got, 0.0).is_whole

    fakes.run(work)


def test_servers_that_cannot_be_reached_cost_no_retry() -> None:
    """Guards against a retry budget that is spent though nothing is sent."""

    async def work(site: fakes.Site) -> None:
        await silence_fakes.prepare(site)
        silence = silence_fakes.Silence()
        for engine in site.engines:
            engine.responder = silence.respond
        asked = asyncio.create_task(site.ask(STREAM))
        while not silence.open_runs:
            await asyncio.sleep(0.01)
        for engine in site.engines:
            if not engine.runs:
                await engine.stop()
        silence.end_after(2.0)
        got = await asked
        assert silence_fakes.Asked(STREAM, got, 0.0).is_whole
        assert site.gateway(0)._parts.budget._retries["chat"].sum() == 0.0

    fakes.run(work)


def test_long_body_reaches_a_server_that_reads_on_after_a_silence(monkeypatch) -> None:
    """Guards against a connection that ends because a stopped server reads nothing."""
    silence_seconds = 3.2
    serve_connection = standins.Engine._serve_connection

    async def serve_later(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.transport.pause_reading()
        await asyncio.sleep(silence_seconds)
        writer.transport.resume_reading()
        await serve_connection(self, reader, writer)

    monkeypatch.setattr(standins.Engine, "_serve_connection", serve_later)

    async def work(site: fakes.Site) -> None:
        await silence_fakes.prepare(site)
        await silence_fakes.publish(site, 3, limits={"max-body-bytes": 2_000_000})
        got = await site.ask("/book/1/x", body=b"x" * 1_000_000)
        assert got.status == 200

    fakes.run(work)


def test_server_whose_kernel_is_silent_has_not_crashed() -> None:
    """Guards against a request that is suspected since its server stood still."""
    error = aiohttp.ClientOSError(errno.ETIMEDOUT, "Connection timed out")
    found = breaks.to_stream_interrupted(error)
    assert not isinstance(found, exceptions.ConnectionBroken)


def test_request_whose_caller_has_gone_is_not_sent(monkeypatch) -> None:
    """Guards against sending a request between its caller's end and its own."""
    sent: list[str] = []

    async def work(site: fakes.Site) -> None:
        connected = asyncio.Event()
        handle_disconnect = front.Front._handle_disconnect

        async def send(self, call, server, last_event, before_sending) -> None:
            await connected.wait()
            before_sending()
            sent.append(call.parsed.attempt)

        def connect_and_handle(self, state, task) -> None:
            connected.set()
            handle_disconnect(self, state, task)

        monkeypatch.setattr(forwarding.Forwarder, "send", send)
        monkeypatch.setattr(front.Front, "_handle_disconnect", connect_and_handle)
        asked = asyncio.create_task(site.ask("/book/x"))
        await asyncio.sleep(0.2)
        asked.cancel()
        await connected.wait()
        await asyncio.sleep(0.05)

    fakes.run(work)
    assert not sent
