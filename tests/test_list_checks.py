"""A list of servers is confirmed before a stream of unknown origin goes on by it."""

import asyncio
from unittest import mock

import gateway_fakes as fakes
import pytest

from cassiaquay_daemon import clock
from cassiaquay_daemon.gateway import list_checks
from cassiaquay_dev.standins import raw_servers

# Time until a caller is answered, on a busy machine.
MAX_SECONDS = 1.5


def _checks(site: fakes.Site) -> list_checks.ListChecks:
    return site.gateway(0)._parts.resuming._list_checks


async def _stay_silent(
    request: raw_servers.Request, writer: raw_servers.Writer
) -> None:
    await asyncio.sleep(60.0)


def test_list_is_confirmed_if_nothing_speaks_against_it() -> None:
    """Guards against the cases below passing whatever they change."""

    async def work(site: fakes.Site) -> None:
        assert await _checks(site).confirm("chat")

    fakes.run(work)


@pytest.mark.parametrize("cause", ["store away", "restarted", "silent"])
def test_list_is_not_confirmed_if_a_server_may_be_missing(cause: str) -> None:
    """Guards against a process that is not listed, and callers that wait for long."""

    async def work(site: fakes.Site) -> None:
        engine = site.engines[0]
        if cause == "store away":
            site.store.down = True
        elif cause == "restarted":
            engine.born += 1
        else:
            engine.respond = _stay_silent
        began = clock.now()
        assert not await _checks(site).confirm("chat")
        assert clock.now() - began < MAX_SECONDS

    fakes.run(work)


def test_server_that_has_crashed_is_no_reason_to_refuse_a_stream() -> None:
    """Guards against refusals until the entry of a crashed server is removed."""

    async def work(site: fakes.Site) -> None:
        await site.engines[0].stop()
        site.reset_connections(0)
        for _ in range(3):
            assert await _checks(site).confirm("chat")

    fakes.run(work)


def test_read_that_began_before_a_stream_was_taken_up_does_not_count() -> None:
    """Guards against an answer of before the servers that began the stream."""

    async def work(site: fakes.Site) -> None:
        server_list = site.daemons[0]._servers
        listed = server_list._store
        read = listed.read
        is_held = asyncio.Event()
        began = asyncio.Event()

        async def read_late() -> object:
            found = await read()
            began.set()
            await is_held.wait()
            return found

        listed.read = read_late
        await began.wait()
        taken_up_at = clock.now()
        asking = asyncio.create_task(server_list.read_since(taken_up_at, 1.0))
        await site.add_engine("i-3", version="v2")
        listed.read = read
        is_held.set()
        assert await asking
        assert "i-3" in {entry.name for entry in server_list.entries()}

    fakes.run(work)


def test_streams_that_are_taken_up_together_share_a_read() -> None:
    """Guards against a read of the store for each stream after a kill of all."""

    async def work(site: fakes.Site) -> None:
        server_list = site.daemons[0]._servers
        counted = mock.AsyncMock(side_effect=server_list._store.read)
        server_list._store.read = counted
        asking = [server_list.read_since(clock.now(), 2.0) for _ in range(50)]
        assert all(await asyncio.gather(*asking))
        assert counted.await_count <= 5

    fakes.run(work)


def test_read_on_demand_ends_with_the_daemon() -> None:
    """Guards against tasks that nothing awaits or cancels."""

    async def work(site: fakes.Site) -> None:
        server_list = site.daemons[0]._servers
        began = asyncio.Event()

        async def read_for_long() -> object:
            began.set()
            await asyncio.sleep(60.0)
            raise AssertionError

        server_list._store.read = read_for_long
        assert not await server_list.read_since(clock.now(), 0.4)
        await began.wait()
        reading = server_list._reads._demanded
        site.daemons[0]._stopping.set()
        await site._tasks[0]
        await asyncio.sleep(0.0)
        assert reading is None or reading.done()

    fakes.run(work)
