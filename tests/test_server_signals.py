"""Servers that say in their answers that they leave, or ask an instance to wait."""

import asyncio

import gateway_fakes as fakes

from cassiaquay_daemon import clock
from cassiaquay_dev.standins import platform_standins as standins
from cassiaquay_dev.standins import raw_servers

# Time from the first answer that says so until no instance uses the server.
PROPAGATION_SECONDS = 1.0
RETRY_AFTER_SECONDS = 2.0
# Requests that may still be under way for this long after a 503 with Retry-After.
IN_FLIGHT_SECONDS = 0.5
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


class BusyServer:
    """A server that turns the requests of the first instance away.

    Its 503 asks for ``RETRY_AFTER_SECONDS``; other instances' requests are served.
    """

    def __init__(self, site: fakes.Site, engine: standins.Engine):
        self.arrivals: list[float] = []
        self.turned_away: list[float] = []
        self.served = 0
        self._site = site
        engine.responder = self._respond

    async def _respond(
        self, request: raw_servers.Request, writer: raw_servers.Writer
    ) -> None:
        if self._site.asked_at[request.attempt] != 0:
            self.served += 1
            await answer_slowly(request, writer)
            return
        self.arrivals.append(clock.now())
        headers = standins.seal_headers(request) | {
            "Cassiaquay-Not-Executed": "1",
            "Retry-After": str(RETRY_AFTER_SECONDS),
        }
        await raw_servers.send(writer, 503, b"", headers)
        self.turned_away.append(clock.now())

    @property
    def max_excess(self) -> int:
        """Most requests in the part of any asked time that allows only two."""
        most = 0
        for asked_at in self.turned_away:
            count = 0
            for arrived_at in self.arrivals:
                passed = arrived_at - asked_at
                count += IN_FLIGHT_SECONDS <= passed < RETRY_AFTER_SECONDS
            most = max(most, count)
        return most


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


def test_instance_that_servers_ask_to_wait_sends_them_nothing_meanwhile() -> None:
    """Guards against a Retry-After of a server that only its own request keeps."""

    async def work(site: fakes.Site) -> None:
        servers = [BusyServer(site, engine) for engine in site.engines]
        refused, served = await send_for(site, RETRY_AFTER_SECONDS * 2.0)
        assert set(refused) == {503}
        assert set(served) == {200}, "the servers take the other instance's requests"
        for server in servers:
            assert server.turned_away, "the server was in use"
            assert server.max_excess <= 2

    fakes.run(work, 2)


def test_server_that_asks_one_instance_to_wait_stays_in_use_for_the_others() -> None:
    """Guards against a Retry-After for one instance that counts as a failure."""

    async def work(site: fakes.Site) -> None:
        busy = BusyServer(site, site.engines[0])
        site.engines[1].responder = answer_slowly
        for statuses in await send_for(site, RETRY_AFTER_SECONDS * 2.0):
            assert set(statuses) == {200}, "the other server has room"
        assert busy.turned_away, "the server was in use"
        assert busy.max_excess <= 2
        assert busy.served

    fakes.run(work, 2)
