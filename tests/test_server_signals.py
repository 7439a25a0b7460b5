"""Servers that say in their answers that they leave."""

import asyncio

import gateway_fakes as fakes

from cassiaquay_daemon import clock
from cassiaquay_dev.standins import platform_standins as standins
from cassiaquay_dev.standins import raw_servers

# Time from the first answer that says so until no instance uses the server.
PROPAGATION_SECONDS = 1.0
# Long enough that the other server is busy, so that placement uses both.
ANSWER_SECONDS = 0.1
REQUESTS_PER_SECOND = 30.0


class LeavingServer:
    """The site's first server, which says that it leaves in all its answers."""

    def __init__(self, site: fakes.Site):
        self.arrivals: list[float] = []
        site.engines[0].responder = self._respond
        site.engines[1].responder = answer_slowly

    async def _respond(
        self, request: raw_servers.Request, writer: raw_servers.Writer
    ) -> None:
        self.arrivals.append(clock.now())
        await asyncio.sleep(ANSWER_SECONDS)
        headers = standins.seal_headers(request) | {"Server-Leaving": "1"}
        await raw_servers.send(writer, 200, b"b", headers)


async def answer_slowly(
    request: raw_servers.Request, writer: raw_servers.Writer
) -> None:
    await asyncio.sleep(ANSWER_SECONDS)
    await standins.send_complete_answer(request, writer)


async def send_for(site: fakes.Site, seconds: float) -> list[list[int]]:
    """Send requests to all daemons in turn; return the statuses by daemon."""
    tasks = []
    for number in range(int(seconds * REQUESTS_PER_SECOND)):
        at = number % len(site.daemons)
        tasks.append(asyncio.create_task(site.ask("/safe/x", "GET", b"", at)))
        await asyncio.sleep(1.0 / REQUESTS_PER_SECOND)
    statuses = [got.status for got in await asyncio.gather(*tasks)]
    return [statuses[at :: len(site.daemons)] for at in range(len(site.daemons))]


def test_server_whose_answers_say_that_it_leaves_gets_no_more_requests() -> None:
    """Guards against use of a leaving server that the unreachable store lists."""

    async def work(site: fakes.Site) -> None:
        leaving = LeavingServer(site)
        site.store.down = True
        for statuses in await send_for(site, PROPAGATION_SECONDS * 2.0):
            assert set(statuses) == {200}, "the other server has room"
        assert leaving.arrivals, "the server was in use"
        last_allowed = leaving.arrivals[0] + ANSWER_SECONDS + PROPAGATION_SECONDS
        assert leaving.arrivals[-1] < last_allowed

    fakes.run(work, 3)
