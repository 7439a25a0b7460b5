"""Draining an instance while a last request is in transit."""

import asyncio
from unittest import mock

import policy_fakes as fakes

from cassiaquay_daemon import supervision
from cassiaquay_daemon.gateway import service
from cassiaquay_dev.lab import virtual_time
from cassiaquay_schema import settings


class Server:
    """A listener that stops a tenth of a second after it is asked to."""

    should_exit = False
    force_exit = False
    server_state = mock.Mock(connections=())


def test_request_in_transit_when_listeners_stop_is_completed() -> None:
    """A draining instance has no open request when it stops its listeners.

    A request in transit on a kept-alive connection arrives 60 ms later and takes 0.3 s.
    It must complete before the connections are closed; closing them at the first moment
    without an open request would cut it off.
    """

    async def work() -> tuple[float, float]:
        loop = asyncio.get_running_loop()
        server = Server()
        gateway = service.Gateway.__new__(service.Gateway)
        gateway._gateway = settings.Gateway(grace_seconds=8.0)
        gateway._front = mock.Mock(open_count=0, end_requests=mock.AsyncMock())
        gateway._relay = mock.Mock(open_count=0)
        gateway._background = supervision.Supervisor()
        gateway._membership = fakes.Membership("cq-1", [])
        gateway._membership.announce_leaving = mock.Mock()
        gateway._servers = [server]
        gateway._serving = []
        gateway._parts = mock.Mock()
        gateway._parts.forwarder.close = mock.AsyncMock()
        ended_at = 0.0

        async def caller() -> None:
            nonlocal ended_at
            while not server.should_exit:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.06)
            gateway._front.open_count = 1
            await asyncio.sleep(0.3)
            assert not server.force_exit
            gateway._front.open_count = 0
            ended_at = loop.time()

        calling = asyncio.create_task(caller())
        await gateway.drain()
        await calling
        return ended_at, loop.time()

    ended_at, left_at = virtual_time.run(work())
    assert ended_at < left_at < 8.0
