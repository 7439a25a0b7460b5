"""Requests that crash the servers which run them, at daemons that share no state."""

import asyncio

import gateway_fakes as fakes

from cassiaquay_dev.network import ports
from cassiaquay_dev.standins import platform_standins as standins
from cassiaquay_dev.standins import raw_servers

POISON = b"poison"
CRASHES = 3
# Word of the third crash reaches every instance within this time.
CONTACT_SECONDS = 3.0


class Crashes:
    """Servers that one body crashes, and that restart at once under another name."""

    def __init__(self, site: fakes.Site):
        self.arrivals: list[str] = []
        self._site = site
        for engine in site.engines:
            engine.responder = self._act

    async def _act(
        self, request: raw_servers.Request, writer: raw_servers.Writer
    ) -> None:
        if request.body != POISON:
            await standins.send_complete_answer(request, writer)
            return
        self.arrivals.append(request.attempt)
        name = request.headers["cassiaquay-expect-instance"].removesuffix("-plain")
        [engine] = [one for one in self._site.engines if one.name == name]
        self._site.store.remove(f"servers/{name}")
        self._site.store.remove(f"servers/{name}-plain")
        engine.name = f"i-{len(self.arrivals)}-again"
        self._site.enlist(engine)
        raw_servers.reset(writer)


def test_a_request_that_crashes_servers_is_soon_refused_at_all_instances() -> None:
    """Guards against a request that crashes one server after the other for ever."""

    async def work(site: fakes.Site) -> None:
        crashes = Crashes(site)
        asked = 0
        while len(crashes.arrivals) < CRASHES:
            await site.ask("/stream/x", body=POISON, at=asked % 3)
            asked += 1
        before = len(crashes.arrivals)
        await asyncio.sleep(CONTACT_SECONDS)
        for number in range(9):
            got = await site.ask("/stream/x", body=POISON, at=number % 3)
            assert got.status == 503
        assert len(crashes.arrivals) == before
        got = await site.ask("/stream/x")
        assert (got.status, got.body) == (200, standins.stream_events())

    fakes.run(work, 3)


def test_what_was_broken_off_by_a_crash_is_not_refused_as_its_cause() -> None:
    """Guards against refusing callers whose requests ran beside the cause."""

    async def work(site: fakes.Site) -> None:
        async def reset(
            request: raw_servers.Request, writer: raw_servers.Writer
        ) -> None:
            raw_servers.reset(writer)

        site.let(reset)
        for number in range(6):
            got = await site.ask("/stream/x", at=number % 2)
            assert (got.status, got.body) == (200, standins.stream_events())

    fakes.run(work, 2)


def test_an_instance_that_starts_learns_which_requests_crash_servers() -> None:
    """Guards against a restarted instance that crashes each server once more."""

    async def work(site: fakes.Site) -> None:
        crashes = Crashes(site)
        while len(crashes.arrivals) < CRASHES:
            await site.ask("/stream/x", body=POISON)
        peer = f"127.0.0.1:{ports.free_port()}"
        await site.add("cq-2", peer, [*site.settings[0].seeds, peer])
        await site.until_ready(site.settings[1])
        while not site.daemons[1]._quarantine.count:
            await asyncio.sleep(0.02)
        got = await site.ask("/stream/x", body=POISON, at=1)
        assert got.status == 503
        assert "retry-after" in got.headers
        assert len(crashes.arrivals) == CRASHES

    fakes.run(work)


def test_silence_is_not_taken_for_a_crash() -> None:
    """Guards against holding a request that servers are too slow for."""

    async def work(site: fakes.Site) -> None:
        async def silent(
            request: raw_servers.Request, writer: raw_servers.Writer
        ) -> None:
            await asyncio.sleep(60)

        for engine in site.engines:
            engine.responder = silent
        await site.ask("/safe/x", "GET", b"")
        assert not site.daemons[0]._quarantine.suspect_count

    fakes.run(work)
