"""Requests that crash the servers which run them, at daemons that share no state."""

import asyncio

import gateway_fakes as fakes

from cassiaquay_dev.standins import platform_standins as standins
from cassiaquay_dev.standins import raw_servers

POISON = b"poison"
CRASHES = 3
# Word of the third crash reaches every instance within this time.
CONTACT_SECONDS = 3.0


class Crashes:
    """Servers that end under one body, and are registered anew a moment later."""

    def __init__(self, site: fakes.Site):
        self.arrivals: list[str] = []
        self._site = site
        self._born = 1
        for engine in site.engines:
            engine.act = self._act

    async def _act(
        self, request: raw_servers.Request, writer: raw_servers.Writer
    ) -> None:
        if request.body != POISON:
            await standins.whole(request, writer)
            return
        self.arrivals.append(request.attempt)
        name = request.headers["cassiaquay-expect-instance"]
        self._born += 1
        for engine in self._site.engines:
            if engine.name == name.removesuffix("-plain"):
                self._site.enlist(engine, born=self._born)
        raw_servers.reset(writer)


def test_a_request_that_crashes_servers_is_soon_refused_at_all_instances() -> None:
    """Guards against a request that ends one server after the other for ever."""

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
        assert (got.status, got.body) == (200, standins.stream())

    fakes.run(work, 3)
