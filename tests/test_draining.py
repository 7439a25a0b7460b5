"""A planned stop while a last request is on its way."""

import asyncio
from unittest import mock

import policy_fakes as fakes

from cassiaquay_daemon.gateway import service
from cassiaquay_dev.lab import virtual_time
from cassiaquay_schema import settings


class Server:
    """A listener that notices within a tenth of a second that it should end."""

    should_exit = False
    force_exit = False


def test_a_request_that_was_on_its_way_when_listening_ended_is_not_cut_off() -> None:
    """A stopping instance has nothing open when it ends its listeners.

    A request is on its way on a kept connection, arrives 60 ms later and takes 0.3 s.
    Its caller gets its answer before the connections are broken; one that left at the
    first moment without a request would cut it off.
    """

    async def work() -> tuple[float, float]:
        loop = asyncio.get_running_loop()
        server = Server()
        found = service.Gateway.__new__(service.Gateway)
        found._gateway = settings.Gateway(grace_seconds=8.0)
        found._front = mock.Mock(open_count=0)
        found._membership = fakes.Membership("cq-1", [])
        found._membership.announce_leaving = mock.Mock()
        found._servers = [server]
        found._serving = []
        found._parts = mock.Mock()
        found._parts.forwarder.close = mock.AsyncMock()
        ended_at = 0.0

        async def caller() -> None:
            nonlocal ended_at
            while not server.should_exit:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.06)
            found._front.open_count = 1
            await asyncio.sleep(0.3)
            assert not server.force_exit
            found._front.open_count = 0
            ended_at = loop.time()

        calling = asyncio.create_task(caller())
        await found.drain()
        await calling
        return ended_at, loop.time()

    ended_at, left_at = virtual_time.run(work())
    assert ended_at < left_at < 8.0
