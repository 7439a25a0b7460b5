"""Quarantine of requests that crash their servers, across several daemons."""

import asyncio

import gateway_fakes as fakes

from cassiaquay_daemon import logs
from cassiaquay_dev.network import ports
from cassiaquay_dev.standins import platform_standins as standins
from cassiaquay_dev.standins import raw_servers

CRASHING_BODY = b"poison"
CRASHES_TO_QUARANTINE = 3
# Reports of the third crash reach every instance within this time.
PROPAGATION_SECONDS = 3.0


class CrashingServers:
    """Servers that crash on one request body and restart at once under a new name."""

    def __init__(self, site: fakes.Site):
        self.arrivals: list[str] = []
        self._site = site
        for engine in site.engines:
            engine.responder = self._respond

    async def _respond(
        self, request: raw_servers.Request, writer: raw_servers.Writer
    ) -> None:
        if request.body != CRASHING_BODY:
            await standins.send_complete_answer(request, writer)
            return
        self.arrivals.append(request.attempt)
        name = request.headers["cassiaquay-expect-instance"].removesuffix("-plain")
        [engine] = [engine for engine in self._site.engines if engine.name == name]
        self._site.store.remove(f"servers/{name}")
        self._site.store.remove(f"servers/{name}-plain")
        engine.name = f"i-{len(self.arrivals)}-again"
        self._site.register(engine)
        raw_servers.reset(writer)


def test_request_that_crashes_servers_is_quarantined_at_all_instances() -> None:
    """Guards against a request that crashes one server after another without end."""

    async def work(site: fakes.Site) -> None:
        crashing = CrashingServers(site)
        request_count = 0
        while len(crashing.arrivals) < CRASHES_TO_QUARANTINE:
            await site.ask("/stream/x", body=CRASHING_BODY, at=request_count % 3)
            request_count += 1
        arrival_count = len(crashing.arrivals)
        await asyncio.sleep(PROPAGATION_SECONDS)
        for number in range(9):
            got = await site.ask("/stream/x", body=CRASHING_BODY, at=number % 3)
            assert got.status == 503
        assert len(crashing.arrivals) == arrival_count
        got = await site.ask("/stream/x")
        assert (got.status, got.body) == (200, standins.stream_events())

    fakes.run(work, 3)


def test_requests_cut_by_a_crash_are_not_quarantined() -> None:
    """Guards against refusing requests that ran beside the one that caused a crash."""

    async def work(site: fakes.Site) -> None:
        async def reset_connection(
            request: raw_servers.Request, writer: raw_servers.Writer
        ) -> None:
            raw_servers.reset(writer)

        site.answer_first_run_with(reset_connection)
        for number in range(6):
            got = await site.ask("/stream/x", at=number % 2)
            assert (got.status, got.body) == (200, standins.stream_events())

    fakes.run(work, 2)


def test_started_instance_receives_quarantined_requests() -> None:
    """Guards against a new instance that sends a quarantined request to servers."""

    async def work(site: fakes.Site) -> None:
        crashing = CrashingServers(site)
        while len(crashing.arrivals) < CRASHES_TO_QUARANTINE:
            await site.ask("/stream/x", body=CRASHING_BODY)
        peer = f"127.0.0.1:{ports.free_port()}"
        await site.add("cq-2", peer, [*site.settings[0].seeds, peer])
        await site.until_ready(site.settings[1])
        while not site.daemons[1]._quarantine.count:
            await asyncio.sleep(0.02)
        got = await site.ask("/stream/x", body=CRASHING_BODY, at=1)
        assert got.status == 503
        assert "retry-after" in got.headers
        assert len(crashing.arrivals) == CRASHES_TO_QUARANTINE

    fakes.run(work)


def test_timeout_is_not_reported_as_crash() -> None:
    """Guards against quarantining a request whose servers are only too slow."""

    async def work(site: fakes.Site) -> None:
        async def send_nothing(
            request: raw_servers.Request, writer: raw_servers.Writer
        ) -> None:
            await asyncio.sleep(60)

        for engine in site.engines:
            engine.responder = send_nothing
        await site.ask("/safe/x", "GET", b"")
        assert not site.daemons[0]._quarantine.suspect_count

    fakes.run(work)


def test_log_names_what_a_request_is_refused_for(monkeypatch) -> None:
    """Guards against refusals whose cause is not in the log."""
    seen: list[dict[str, str]] = []

    def record(name: str, **fields: str) -> None:
        if name == "request_held":
            seen.append(fields)

    async def work(site: fakes.Site) -> None:
        for number in range(CRASHES_TO_QUARANTINE):
            site.daemons[0]._crashes.crashed(f"r{number}", f"i-{number}/1", ["bad"])
        parts = site.daemons[0]._crashes.blocking("new", ["bad", "sound"])
        assert parts == ["bad"]
        crashing = CrashingServers(site)
        while len(crashing.arrivals) < CRASHES_TO_QUARANTINE:
            await site.ask("/stream/x", body=CRASHING_BODY)
        got = await site.ask("/stream/x", body=CRASHING_BODY)
        assert got.status == 503
        assert seen[-1]["id"] == got.attempt
        assert seen[-1]["by"] == seen[-1]["content"]

    monkeypatch.setattr(logs, "event", record)
    fakes.run(work)
