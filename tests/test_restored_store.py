"""Daemons whose store returns from a copy: configurations, and calls to the store."""

import asyncio

import gateway_fakes as fakes
import pytest
import restored_fakes as restored

COUNTS = [1, 3]


@pytest.mark.parametrize("count", COUNTS)
def test_configurations_after_a_return_from_a_copy_come_into_force(count: int) -> None:
    """Guards against serving a revoked key until revisions have caught up."""

    async def work(site: fakes.Site, place: int) -> None:
        keys = ["key", "revoked"]
        await restored.publish_and_lose(site, keys, keys, place)
        restored.publish(site, 6, "key", "added")
        await restored.until(restored.all_serve(site, 6))
        for at in range(count):
            assert (await site.ask("/safe/x", at=at, Api_Key="added")).status == 200
            assert (await site.ask("/safe/x", at=at, Api_Key="revoked")).status == 401

    restored.run_at_all_places(work, count)


@pytest.mark.parametrize("count", COUNTS)
def test_the_older_text_of_a_copy_does_not_come_into_force(count: int) -> None:
    """Guards against serving a revoked key again until it is revoked again."""

    async def work(site: fakes.Site, place: int) -> None:
        await restored.publish_and_lose(site, ["key", "revoked"], ["key"], place)
        assert await restored.throughout(0.8, restored.all_serve(site, 4))
        for at in range(count):
            assert (await site.ask("/safe/x", at=at, Api_Key="revoked")).status == 401
        restored.publish(site, 4, "key")
        assert await restored.throughout(0.4, restored.all_serve(site, 4))

    restored.run_at_all_places(work, count)


def test_returns_in_a_row_delay_no_configuration() -> None:
    """Guards against waiting for the revisions of one of several former epochs."""

    async def work(site: fakes.Site) -> None:
        restored.publish(site, 2, "key")
        await restored.until(restored.all_serve(site, 2))
        copy = site.store.copy()
        restored.raise_revision(site, copy.revision + restored.LOST_REVISIONS)
        for version, place in zip((4, 6, 8), restored.ALL_PLACES, strict=True):
            restored.restore(site, copy, place)
            restored.publish(site, version, "key")
            await restored.until(restored.all_serve(site, version))
        # Two returns between two reads.
        restored.restore(site, copy)
        restored.restore(site, copy)
        restored.publish(site, 10, "key")
        await restored.until(restored.all_serve(site, 10))

    fakes.run(work, count=3)


def test_a_return_reaches_a_daemon_that_cannot_read_the_store() -> None:
    """Guards against refusing what neighbours have read in a newer epoch."""

    async def work(site: fakes.Site) -> None:
        keys = ["key", "revoked"]
        restored.isolate(site, 1)
        await restored.publish_and_lose(site, keys, keys, restored.LOWER)
        restored.publish(site, 6, "key")
        await restored.until(restored.all_serve(site, 6))
        assert (await site.ask("/safe/x", at=1, Api_Key="revoked")).status == 401
        site.store.put("op/evacuate/z", {})
        await restored.until(restored.all_evacuated(site, "z"))
        assert not site.daemons[1]._servers.is_behind

    fakes.run(work, count=3)


def test_a_daemon_started_while_the_store_shows_a_copy_serves_by_the_newest() -> None:
    """Guards against serving by a copy while running instances know a newer text."""

    async def work(site: fakes.Site) -> None:
        await restored.publish_and_lose(
            site, ["key", "revoked"], ["key"], restored.LOWER
        )
        await restored.start_another(site)
        assert restored.versions(site) == [4, 4]
        got = await site.ask("/safe/x", at=1, Api_Key="revoked")
        assert got.status == 401
        assert await restored.throughout(0.5, restored.all_serve(site, 4))

    fakes.run(work)


def test_a_return_does_not_multiply_the_calls_to_the_store() -> None:
    """Guards against reading without a pause until revisions have caught up."""

    async def work(site: fakes.Site) -> None:
        await asyncio.sleep(0.5)
        copy = site.store.copy()
        restored.raise_revision(site, copy.revision + restored.LOST_REVISIONS)
        await asyncio.sleep(0.5)
        before = site.store.calls
        await asyncio.sleep(1.5)
        calm = site.store.calls - before
        restored.restore(site, copy)
        before = site.store.calls
        await asyncio.sleep(1.5)
        assert site.store.calls - before <= 2 * calm

    fakes.run(work, count=3)


@pytest.mark.parametrize("fault", ["down", "older answers", "deaf"])
def test_without_a_return_from_a_copy_nothing_goes_back(fault: str) -> None:
    """Guards against taking a slow, down or deaf store for one that has returned."""

    async def work(site: fakes.Site) -> None:
        keys = ["key", "revoked"]
        epoch = site.store.epoch
        copy = site.store.copy()
        await restored.publish_and_lose(site, keys, ["key"], restored.LOWER)
        newest = restored.all_serve(site, 4)
        # The copy is served without a new epoch, as by a reader that lags behind.
        site.store.epoch = epoch
        if fault == "down":
            site.store.down = True
        if fault == "deaf":
            restored.isolate(site, 0)
        assert await restored.throughout(1.0, newest)
        site.store.down = False
        site.store.revision = copy.revision + 1000
        restored.publish(site, 8, "key")
        await restored.until(restored.all_serve(site, 8))

    fakes.run(work, count=3)
