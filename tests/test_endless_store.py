"""Platform services that send answers without end."""

import asyncio
import collections.abc
import tracemalloc

import aiohttp
import endless_fakes
import gateway_fakes
import pytest

from cassiaquay_daemon import exceptions, platform, positions
from cassiaquay_daemon.platform import store, store_items
from cassiaquay_dev.standins import platform_standins as standins
from cassiaquay_dev.standins import raw_servers

MIB = 1024 * 1024
# What the kernel's buffers of a connection take although they are not read.
SOCKET_BYTES = 6 * MIB
LIMIT_SECONDS = 8.0
POSITION = positions.Position(0, 1)
Read = collections.abc.Callable[
    [aiohttp.ClientSession, str], collections.abc.Awaitable[object]
]


class FloodingStore(standins.Store):
    """A store that sends without end in place of answers while ``flood`` is set."""

    def __init__(self) -> None:
        super().__init__()
        self.flood: endless_fakes.Flood | None = None

    async def respond(
        self, request: raw_servers.Request, writer: raw_servers.Writer
    ) -> None:
        """Answer, or send without end."""
        if self.flood is None:
            await super().respond(request, writer)
            return
        await self.flood.send(writer, **{"Store-Era": "1"})


READS: dict[str, Read] = {
    "value": lambda http, address: store.Store(http, address).item("op/config"),
    "page": lambda http, address: store.Store(http, address).items("servers/"),
    "watch": lambda http, address: store.Store(http, address).wait_for_change(
        "op/", POSITION, 5.0
    ),
    "text": lambda http, address: platform.ConfigurationHttp(http, address).watch(
        POSITION, 5.0
    ),
    "instances": lambda http, address: platform.InstancesHttp(http, address).read(),
}


@pytest.mark.parametrize("kind", ["body", "unframed", "failure"])
@pytest.mark.parametrize("name", READS)
def test_endless_answer_of_the_platform_is_given_up(name: str, kind: str) -> None:
    """Guards against a read of the platform that fills the memory until it ends."""
    flood = endless_fakes.Flood(kind)

    async def work() -> None:
        standin = endless_fakes.FloodServer(flood)
        await standin.start()
        async with aiohttp.ClientSession() as http:
            async with asyncio.timeout(LIMIT_SECONDS):
                with pytest.raises(exceptions.PlatformError, match="over"):
                    await READS[name](http, standin.address)
        await standin.stop()

    asyncio.run(work())
    assert flood.sent_bytes < platform.MAX_ANSWER_BYTES + SOCKET_BYTES


def test_dripping_answer_of_the_store_ends_in_time() -> None:
    """Guards against a read that goes on for as long as single bytes arrive."""

    async def work() -> None:
        standin = endless_fakes.FloodServer(endless_fakes.Flood("body", drips=True))
        await standin.start()
        async with aiohttp.ClientSession() as http:
            async with asyncio.timeout(store.ANSWER_TIMEOUT_SECONDS + 1.0):
                with pytest.raises(exceptions.PlatformError):
                    await READS["page"](http, standin.address)
        await standin.stop()

    asyncio.run(work())


class PagingServer(raw_servers.RawServer):
    """A store whose pages never end a listing.

    Parameters
    ----------
    step : int
        How far the key of a page's item is from that of the page before.
    """

    def __init__(self, step: int):
        super().__init__()
        self.count = 0
        self._step = step

    async def respond(
        self, request: raw_servers.Request, writer: raw_servers.Writer
    ) -> None:
        """Send a large page that is not the last one."""
        key = b"servers/%06d" % (self._step * self.count)
        item = b'{"key":"%b","revision":1,"value":"%b"}' % (key, b"AAAA" * 250000)
        body = b'{"items":[%b],"truncated":true}' % item
        self.count += 1
        await raw_servers.send(writer, 200, body, {})


LISTINGS: dict[str, Read] = {
    "servers": lambda http, address: store.ServersStore(http, address).read(),
    "operator": lambda http, address: store.ConfigurationStore(http, address).watch(
        positions.START, 0.0
    ),
}


@pytest.mark.parametrize("step, most", [(0, 2), (1, store.MAX_PAGES)])
@pytest.mark.parametrize("name", LISTINGS)
def test_listing_without_end_is_given_up(
    name: str, step: int, most: int, monkeypatch
) -> None:
    """Guards against pages that are each within their bound and never end."""
    standin = PagingServer(step)
    peak_bytes = 0
    monkeypatch.setattr(store, "SERVERS_PREFIX", "servers/")
    monkeypatch.setattr(store, "OPERATOR_PREFIX", "servers/")

    async def work() -> None:
        await standin.start()
        async with aiohttp.ClientSession() as http:
            async with asyncio.timeout(LIMIT_SECONDS):
                with pytest.raises(exceptions.PlatformError, match="page"):
                    await LISTINGS[name](http, standin.address)
        await standin.stop()

    tracemalloc.start()
    try:
        asyncio.run(work())
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert standin.count == most
    assert peak_bytes < 16 * MIB


def test_largest_value_of_the_store_is_read() -> None:
    """Guards against a bound below what the store may hold."""
    value = b"x" * MIB

    async def work() -> list[store_items.Item]:
        standin = standins.Store()
        await standin.start()
        standin.put("op/a", value)
        standin.put("op/b", value)
        async with aiohttp.ClientSession() as http:
            client = store.Store(http, standin.address)
            found = await client.items("op/")
        await standin.stop()
        return found.items

    assert [item.value for item in asyncio.run(work())] == [value, value]


def test_watch_takes_the_next_change_after_an_endless_answer() -> None:
    """Guards against a watch that misses a change after a store's trouble."""

    async def work() -> None:
        standin = FloodingStore()
        await standin.start()
        standin.put(store.CONFIGURATION_KEY, b"first")
        async with aiohttp.ClientSession() as http:
            client = store.ConfigurationStore(http, standin.address)
            first = await client.watch(positions.START, 0.0)
            assert first is not None
            standin.flood = endless_fakes.Flood("body")
            with pytest.raises(exceptions.PlatformError, match="over"):
                await client.watch(first.position, 5.0)
            standin.flood = None
            standin.put(store.CONFIGURATION_KEY, b"second")
            second = await client.watch(first.position, 5.0)
        await standin.stop()
        assert second is not None
        assert second.text == "second"

    asyncio.run(work())


def test_daemon_serves_on_while_the_store_sends_without_end() -> None:
    """Guards against a store in trouble that ends a daemon or its reads for good."""
    flood = endless_fakes.Flood("unframed")

    async def work(site: gateway_fakes.Site, flooding: FloodingStore) -> None:
        flooding.flood = flood
        while flood.count < 3:
            await asyncio.sleep(0.02)
        assert (await site.ask("/book/x")).status == 200
        flooding.flood = None
        added = await site.add_engine("i-3")
        for name in ("i-1", "i-2"):
            site.store.remove(f"servers/{name}-plain")
        site.store.put(store.CONFIGURATION_KEY, standins.configuration(2))
        while not added.runs:
            await site.ask("/book/x")
        while site.daemons[0]._configuration.version_in_force.number != 2:
            await asyncio.sleep(0.02)

    async def started() -> None:
        site = gateway_fakes.Site()
        site.store = flooding = FloodingStore()
        try:
            async with asyncio.timeout(gateway_fakes.TIMEOUT_SECONDS):
                await site.start()
                await work(site, flooding)
        finally:
            await site.stop()

    asyncio.run(started())
    per_read = store.MAX_ANSWER_BYTES + SOCKET_BYTES
    assert flood.sent_bytes < flood.count * per_read
