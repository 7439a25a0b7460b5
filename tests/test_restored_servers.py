"""Daemons whose store returns from a copy: evacuations and backend servers."""

import asyncio

import gateway_fakes as fakes
import pytest
import restored_fakes as restored

COUNTS = [1, 3]


@pytest.mark.parametrize("count", COUNTS)
def test_evacuations_after_a_return_from_a_copy_are_in_force(count: int) -> None:
    """Guards against sending requests to a domain evacuated after the return."""

    async def work(site: fakes.Site, place: int) -> None:
        copy = site.store.copy()
        restored.raise_revision(site, copy.revision + restored.LOST_REVISIONS)
        site.store.put("op/evacuate/x", {})
        await restored.until(restored.all_evacuated(site, "x"))
        restored.restore(site, copy, place)
        site.store.put("op/evacuate/y", {})
        await restored.until(restored.all_evacuated(site, "x", "y"))
        site.store.put("op/evacuate/x", {})
        assert await restored.throughout(0.5, restored.all_evacuated(site, "x", "y"))
        site.store.remove("op/evacuate/x")
        await restored.until(restored.all_evacuated(site, "y"))

    restored.run_at_all_places(work, count)


def test_an_evacuation_taken_back_after_a_copy_ends_when_it_is_written_again() -> None:
    """Guards against a domain that stays out of use although it was taken back."""

    async def work(site: fakes.Site) -> None:
        site.store.put("op/evacuate/x", {})
        await restored.until(restored.all_evacuated(site, "x"))
        copy = site.store.copy()
        site.store.remove("op/evacuate/x")
        await restored.until(restored.all_evacuated(site))
        restored.restore(site, copy)
        await restored.until(restored.all_evacuated(site, "x"))
        site.store.remove("op/evacuate/x")
        await restored.until(restored.all_evacuated(site))

    fakes.run(work, count=3)


@pytest.mark.parametrize("count", COUNTS)
@pytest.mark.parametrize("how", ["draining", "gone"])
def test_servers_that_left_since_a_copy_get_nothing(how: str, count: int) -> None:
    """Guards against sending requests to servers that only the copy calls ready."""

    async def work(site: fakes.Site, place: int) -> None:
        copy = site.store.copy()
        restored.raise_revision(site, copy.revision + restored.LOST_REVISIONS)
        if how == "draining":
            site.register(site.engines[1], state="draining")
        else:
            site.store.remove("servers/i-2")
        await restored.until(restored.all_use(site, "i-1"))
        restored.restore(site, copy, place)
        assert await restored.throughout(0.6, restored.all_use(site, "i-1"))
        await restored.start_another(site)
        await restored.until(restored.all_use(site, "i-1"))
        assert await restored.throughout(0.4, restored.all_use(site, "i-1"))

    restored.run_at_all_places(work, count)


@pytest.mark.parametrize("count", COUNTS)
def test_servers_registered_since_a_copy_stay_in_use(count: int) -> None:
    """Guards against losing servers that have not registered again yet."""

    async def work(site: fakes.Site, place: int) -> None:
        copy = site.store.copy()
        restored.raise_revision(site, copy.revision + restored.LOST_REVISIONS)
        added = await site.add_engine("i-3")
        await restored.until(restored.all_use(site, "i-1", "i-2", "i-3"))
        restored.restore(site, copy, place)
        every = restored.all_use(site, "i-1", "i-2", "i-3")
        assert await restored.throughout(0.8, every)
        site.register(added)
        assert await restored.throughout(2.5, every)

    restored.run_at_all_places(work, count)


def test_a_server_that_drains_after_a_return_gets_nothing() -> None:
    """Guards against keeping the entry with the higher revision of a former epoch."""

    async def work(site: fakes.Site) -> None:
        copy = site.store.copy()
        restored.raise_revision(site, copy.revision + restored.LOST_REVISIONS)
        site.register(site.engines[1], **{"cold-left-ms": 1, "seq": 5})
        await asyncio.sleep(0.5)
        restored.restore(site, copy)
        await asyncio.sleep(0.3)
        site.register(site.engines[1], state="draining", seq=6)
        await restored.until(restored.all_use(site, "i-1"))

    fakes.run(work, count=3)
