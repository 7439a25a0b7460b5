"""Fake deployments whose store returns from a copy with lower revisions."""

import asyncio
import collections.abc

import gateway_fakes as fakes

from cassiaquay_dev.standins import platform_standins as standins

# Revisions that the copy lacks.
LOST_REVISIONS = 20
# Time within which a written configuration must be in force.
APPLY_SECONDS = 2.0
# Revision at which a key is written after the return, relative to the highest one of
# before: lower, equal, and higher before anyone has looked.
LOWER, EQUAL, OVERTAKEN = -LOST_REVISIONS, 0, 5


def publish(site: fakes.Site, version: int, *keys: str) -> None:
    """Write a configuration in which a team has these keys."""
    tenants = [{"name": "blue", "api-keys": list(keys)}]
    site.store.put("op/config", standins.configuration(version, tenants=tenants))


def raise_revision(site: fakes.Site, revision: int) -> None:
    """Write unrelated keys until the store has at least a revision."""
    while site.store.revision < revision:
        site.store.put("other", {})


def restore(site: fakes.Site, copy: standins.Copy, place: int) -> None:
    """Bring the store back from a copy; its next write gets the relative revision."""
    highest = site.store.revision
    site.store.restore(copy)
    raise_revision(site, highest + place - 1)


async def until(call: collections.abc.Callable[[], bool]) -> None:
    """Wait until a condition holds, for as long as changes may take."""
    async with asyncio.timeout(APPLY_SECONDS):
        while not call():
            await asyncio.sleep(0.01)


def versions(site: fakes.Site) -> list[int]:
    """Return the version that each running daemon serves by; 0 for none."""
    found = []
    for made in site.daemons:
        current = made._configuration.current
        found.append(current.routes.version if current else 0)
    return found


def all_serve(site: fakes.Site, version: int) -> collections.abc.Callable[[], bool]:
    """Return a condition: all daemons serve by a version."""
    return lambda: set(versions(site)) == {version}
