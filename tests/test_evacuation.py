"""Evacuated failure domains, which operators have taken out of use."""

import asyncio

import gateway_fakes as fakes

from cassiaquay_daemon.platform import store
from cassiaquay_dev.standins import platform_standins as standins
from cassiaquay_dev.standins import raw_servers

EVACUATION = "op/evacuate/b"


def _split(site: fakes.Site) -> tuple[standins.Engine, standins.Engine]:
    """Move the second engine to another failure domain."""
    site.register(site.engines[1], zone="b")
    return site.engines[0], site.engines[1]


async def _until(site: fakes.Site, evacuated: list[str]) -> None:
    for made in site.daemons:
        while made._configuration.current.fleet.evacuated != evacuated:
            await asyncio.sleep(0.02)


def test_an_evacuated_domain_gets_nothing_until_it_is_taken_back() -> None:
    async def work(site: fakes.Site) -> None:
        stays, leaves = _split(site)
        site.store.put(EVACUATION, {})
        await _until(site, ["b"])
        before = len(leaves.requests)
        for _ in range(12):
            assert (await site.ask("/safe/x")).status == 200
        assert len(leaves.requests) == before
        assert len(stays.requests) >= 12
        site.store.remove(EVACUATION)
        await _until(site, [])
        answers = await asyncio.gather(*(site.ask("/safe/x") for _ in range(30)))
        assert {got.status for got in answers} <= {200, 503}
        assert len(leaves.requests) > before

    fakes.run(work)


def test_streams_in_an_evacuated_domain_complete() -> None:
    """A stream that began before the evacuation is not interrupted by it."""
    may_continue = asyncio.Event()

    async def slowly(request: raw_servers.Request, writer: raw_servers.Writer) -> None:
        await standins.write_stream_head(request, writer)
        await standins.write_events(request, writer, 2)
        await may_continue.wait()
        await write_rest(writer)

    async def write_rest(writer: raw_servers.Writer) -> None:
        for number in range(2, standins.EVENT_COUNT):
            event = b"id: %d\ndata: piece %d\n\n" % (number, number)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def work(site: fakes.Site) -> None:
        for engine in site.engines:
            engine.responder = slowly
        asking = asyncio.create_task(site.ask("/string/x"))
        while not any(engine.requests for engine in site.engines):
            await asyncio.sleep(0.02)
        site.store.put("op/evacuate/a", {})
        await _until(site, ["a"])
        may_continue.set()
        got = await asking
        assert (got.status, got.complete) == (200, True)
        assert got.body == standins.stream_events()

    fakes.run(work)


def test_with_all_domains_evacuated_callers_are_refused_at_once() -> None:
    """The refusal has the outcome "not run" and a Retry-After header."""

    async def work(site: fakes.Site) -> None:
        site.store.put("op/evacuate/a", {})
        await _until(site, ["a"])
        got = await asyncio.wait_for(site.ask("/book/x"), 1.0)
        assert got.status == 503
        assert float(got.headers["retry-after"]) > 0.0
        assert not any(engine.requests for engine in site.engines)

    fakes.run(work)


def test_a_daemon_that_starts_during_an_evacuation_knows_of_it() -> None:
    """All daemons are replaced while a domain is evacuated and the store is slow."""

    async def work(site: fakes.Site) -> None:
        _, leaves = _split(site)
        site.store.put(EVACUATION, {})
        await _until(site, ["b"])
        before = len(leaves.requests)
        peer = site.settings[0].peer_listen.rpartition(":")[0]
        await site.add("cq-9", f"{peer}:0", [site.settings[0].peer_listen])
        await site.until_ready(site.settings[-1])
        site.settings.reverse()
        for _ in range(12):
            assert (await site.ask("/safe/x")).status == 200
        assert len(leaves.requests) == before

    fakes.run(work)


def test_an_evacuation_reaches_a_daemon_that_cannot_read_the_store() -> None:
    """One instance cannot reach the store and gets the evacuation from the other."""

    async def work(site: fakes.Site) -> None:
        _, leaves = _split(site)
        await asyncio.sleep(0.3)
        isolated = site.daemons[1]._servers
        isolated._store = store.ServersStore(site.http, "127.0.0.1:9")
        site.store.put(EVACUATION, {})
        await _until(site, ["b"])
        site.settings.reverse()
        before = len(leaves.requests)
        for _ in range(12):
            await site.ask("/safe/x")
        assert len(leaves.requests) == before

    fakes.run(work, count=2)
