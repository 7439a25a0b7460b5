"""Streams that are cut after another connection to their server was reset."""

import asyncio

import gateway_fakes as fakes
import version_fakes

from cassiaquay_daemon.gateway import process_checks
from cassiaquay_dev.standins import platform_standins as standins
from cassiaquay_dev.standins import raw_servers

STREAMS = 24
GROUPS = 4
# As on a busy machine (docs/design/stream-versions.md).
REPORT_SECONDS = 0.03


def test_cut_streams_go_on_at_servers_that_reset_connections_and_run_on(
    monkeypatch,
) -> None:
    """Guards against streams broken off because of resets without any restart."""
    ask = process_checks.ProcessChecks._ask

    async def ask_later(self, server):
        await asyncio.sleep(REPORT_SECONDS)
        return await ask(self, server)

    monkeypatch.setattr(process_checks.ProcessChecks, "_ask", ask_later)

    async def work(site: fakes.Site) -> None:
        versions = {"i-1": "v1", "i-2": "v1"}
        versioned = version_fakes.VersionedSite(site, versions)
        await versioned.start()
        seen: set[str] = set()

        async def respond(
            request: raw_servers.Request, writer: raw_servers.Writer
        ) -> None:
            if request.attempt in seen:
                await standins.send_complete_answer(request, writer)
                return
            seen.add(request.attempt)
            await standins.write_stream_head(request, writer)
            await standins.write_events(request, writer, 2)
            # Soon after events that were read: before any report is.
            await asyncio.sleep(0.003)
            raw_servers.reset(writer)

        for engine in site.engines:
            engine.responder = respond
        answers = []
        # Those of a group begin after the resets of the group before.
        for _ in range(GROUPS):
            # These may not be resumed, so that no server is asked for its report.
            for _ in range(4):
                await site.ask("/string/x")
            asking = [site.ask("/stream/x") for _ in range(STREAMS // GROUPS)]
            answers += await asyncio.gather(*asking)
        complete = sum(got.complete for got in answers)
        assert complete == STREAMS, f"{complete} of {STREAMS} streams went on"

    fakes.run(work, 1)
