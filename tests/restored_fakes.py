"""Fake deployments whose store returns from a copy with lower revisions."""

import asyncio
import collections.abc
import typing

import gateway_fakes as fakes

from cassiaquay_daemon.platform import store
from cassiaquay_dev.standins import platform_standins as standins

# Revisions that the copy lacks.
LOST_REVISIONS = 20
# Time within which a written configuration must be in force.
APPLY_SECONDS = 2.0
# Revision at which a key is written after the return, relative to the highest one of
# before: lower, equal, and higher before anyone has looked.
LOWER, EQUAL, OVERTAKEN = -LOST_REVISIONS, 0, 5


ALL_PLACES = [LOWER, EQUAL, OVERTAKEN]


def publish(site: fakes.Site, version: int, *keys: str) -> None:
    """Write a configuration in which a team has these keys."""
    tenants = [{"name": "blue", "api-keys": list(keys)}]
    site.store.put("op/config", standins.configuration(version, tenants=tenants))


def raise_revision(site: fakes.Site, revision: int) -> None:
    """Write unrelated keys until the store has at least a revision."""
    while site.store.revision < revision:
        site.store.put("other", {})


async def publish_and_lose(
    site: fakes.Site, copied: list[str], lost: list[str], place: int
) -> None:
    """Bring versions 2 and 4 into force, then the store back from before 4.

    Parameters
    ----------
    copied, lost : list of str
        Keys of the team in versions 2 and 4.
    place : int
        Revision of the next write, relative to the highest one of before.
    """
    publish(site, 2, *copied)
    await until(all_serve(site, 2))
    copy = site.store.copy()
    raise_revision(site, copy.revision + LOST_REVISIONS)
    publish(site, 4, *lost)
    await until(all_serve(site, 4))
    restore(site, copy, place)


def restore(site: fakes.Site, copy: standins.Copy, place: int = LOWER) -> None:
    """Bring the store back from a copy; its next write gets the relative revision."""
    highest = site.store.revision
    site.store.restore(copy)
    raise_revision(site, highest + place - 1)


async def until(call: collections.abc.Callable[[], bool]) -> None:
    """Wait until a condition holds, for as long as changes may take."""
    async with asyncio.timeout(APPLY_SECONDS):
        while not call():
            await asyncio.sleep(0.01)


async def throughout(seconds: float, call: collections.abc.Callable[[], bool]) -> bool:
    """Return whether a condition holds all the time."""
    end = asyncio.get_running_loop().time() + seconds
    while asyncio.get_running_loop().time() < end:
        if not call():
            return False
        await asyncio.sleep(0.01)
    return True


def versions(site: fakes.Site) -> list[int]:
    """Return the version that each daemon serves by; 0 for none."""
    found = []
    for made in site.daemons:
        current = made._configuration.current
        found.append(current.routes.version if current else 0)
    return found


def all_serve(site: fakes.Site, version: int) -> collections.abc.Callable[[], bool]:
    """Return a condition: all daemons serve by a version."""
    return lambda: set(versions(site)) == {version}


def in_use(site: fakes.Site) -> list[set[str]]:
    """Return the names of the servers that each daemon gives requests of `chat` to."""
    found = []
    for made in site.daemons:
        fleet = made._configuration.current.fleet
        found.append({server.name for server in fleet.pools["chat"].servers})
    return found


def all_use(site: fakes.Site, *names: str) -> collections.abc.Callable[[], bool]:
    """Return a condition: all daemons use exactly these servers."""
    return lambda: all(found == set(names) for found in in_use(site))


def all_evacuated(
    site: fakes.Site, *domains: str
) -> collections.abc.Callable[[], bool]:
    """Return a condition: exactly these domains are out of use at all daemons."""

    def holds() -> bool:
        for made in site.daemons:
            if made._configuration.current.fleet.evacuated != list(domains):
                return False
        return True

    return holds


def isolate(site: fakes.Site, at: int) -> None:
    """Cut a daemon off from the store."""
    nowhere = "127.0.0.1:9"
    made = site.daemons[at]
    made._servers._store = store.ServersStore(site.http, nowhere)
    made._servers._texts = store.ConfigurationStore(site.http, nowhere)


async def start_another(site: fakes.Site) -> None:
    """Start a further daemon and wait until it serves."""
    host = site.settings[0].peer_listen.rpartition(":")[0]
    seeds = [settings.peer_listen for settings in site.settings]
    await site.add(f"cq-{len(site.daemons) + 1}", f"{host}:0", seeds)
    await site.until_ready(site.settings[-1])


def run_at_all_places(
    work: collections.abc.Callable[[fakes.Site, int], typing.Any], count: int
) -> None:
    """Run a test's coroutine for each place of the next write, on sites of its own."""

    async def run_at(place: int) -> None:
        async with fakes.site(count) as site, asyncio.timeout(fakes.TIMEOUT_SECONDS):
            await work(site, place)

    async def run_all() -> None:
        await asyncio.gather(*(run_at(place) for place in ALL_PLACES))

    asyncio.run(run_all())
