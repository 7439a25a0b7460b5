"""Entries of other writers in the platform's store."""

import asyncio
import contextlib
import json
import logging

import gateway_fakes as fakes
import hypothesis
import pytest
from hypothesis import strategies

from cassiaquay_daemon.links import frames
from cassiaquay_daemon.platform import entries, store
from cassiaquay_dev.network import ports
from cassiaquay_dev.standins import platform_standins as standins
from cassiaquay_schema import messages

HUGE = 0xC2A9_4F0E_7D13_4B6A_9E55_0B7C_21D8_F364
ENTRY = {
    "service": "inventory",
    "addr": "127.0.0.1:9",
    "zone": "a",
    "version": "2.4",
    "slots": 1,
    "state": "ready",
    "cold-left-ms": 0,
    "seq": 1,
    "born": 1,
}
CHANGES = [
    {"seq": HUGE},
    {"seq": -HUGE},
    {"born": HUGE},
    {"cold-left-ms": 1e300},
    {"slots": HUGE},
    {"service": "s" * 300_000},
    {"zone": "z" * 300_000},
]
OPTIONAL = ["zone", "version", "cold-left-ms", "seq", "born"]
SCALARS = (
    strategies.none()
    | strategies.booleans()
    | strategies.sampled_from([HUGE, -HUGE, 2**64, 2**63, 1e300])
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=300)
)
VALUES = SCALARS | strategies.lists(SCALARS, max_size=3)


@pytest.fixture(scope="module")
def generated_text() -> None:
    """Generate a text: the tables that the first one needs take seconds to build."""

    @hypothesis.settings(max_examples=1, database=None)
    @hypothesis.given(strategies.text(min_size=1))
    def generate(_: str) -> None:
        pass

    generate()


@pytest.mark.parametrize("change", CHANGES)
def test_entry_beyond_the_bounds_is_skipped(change: dict) -> None:
    """Guards against a foreign entry that no message to a neighbour can carry."""
    with pytest.raises(entries.InvalidEntry):
        entries.decode("i-7", json.dumps(ENTRY | change).encode(), 9)


@pytest.mark.usefixtures("generated_text")
@hypothesis.given(
    strategies.dictionaries(strategies.sampled_from(OPTIONAL), VALUES, max_size=2)
)
def test_each_decoded_entry_can_be_sent(change: dict) -> None:
    """Guards against values of other writers that end the task which sends the list."""
    with contextlib.suppress(entries.InvalidEntry):
        found = entries.decode("i-7", json.dumps(ENTRY | change).encode(), 9)
        frames.encode(messages.ServerList(1, 0, [found]))


@pytest.mark.parametrize("depth", [10, 500, 900, 960, 980, 1000, 100_000])
def test_deeply_nested_version_raises_nothing_else(depth: int) -> None:
    """Guards against an error that is raised only when a decoded value is shown."""
    entry = json.dumps(ENTRY | {"version": "V"}).replace(
        '"V"', "[" * depth + "]" * depth
    )
    with contextlib.suppress(entries.InvalidEntry):
        entries.decode("i-7", entry.encode(), 9)


def test_skipped_entry_is_logged_once_for_each_change(caplog) -> None:
    """Guards against entries that are skipped unseen, and against a line each read."""

    async def work(site: fakes.Site) -> None:
        for seq in (HUGE, HUGE + 1):
            site.store.put("servers/inventory-7", ENTRY | {"seq": seq})
            await _until_read(site)
            for _ in range(3):
                calls = site.store.calls
                while site.store.calls < calls + 4:
                    await asyncio.sleep(0.02)

    with caplog.at_level(logging.WARNING, "cassiaquay"):
        fakes.run(work)
    lines = [item for item in caplog.records if item.msg == "server_entry_skipped"]
    assert [line.server for line in lines] == ["inventory-7"] * 2


@pytest.mark.parametrize("change", CHANGES)
def test_configuration_changes_beside_a_foreign_entry(change: dict) -> None:
    """Guards against instances that apply no change after one foreign entry."""

    async def work(site: fakes.Site) -> None:
        site.store.put("servers/inventory-7", ENTRY | change)
        await _until_read(site)
        await site.add_engine("i-3")
        site.store.put("op/config", standins.configuration(2, tenants=[]))
        for at in range(len(site.daemons)):
            while (await site.ask("/book/x", at=at)).status != 401:
                await asyncio.sleep(0.05)
        for made in site.daemons:
            while not {"i-3", "i-3-plain"} <= _usable(made):
                await asyncio.sleep(0.02)

    fakes.run(work, 2)


async def _until_read(site: fakes.Site) -> None:
    """Wait until each daemon has the list of servers as it is now."""
    revision = site.store.revision
    for made in site.daemons:
        while made._servers.position.revision < revision:
            await asyncio.sleep(0.02)


def _usable(made) -> set[str]:
    snapshot = made._configuration.current
    names = set()
    for pool in snapshot.fleet.pools.values():
        names.update(server.name for server in pool.servers)
    return names


def test_versions_of_any_size_come_into_force() -> None:
    """Guards against heartbeats that end with a version such as a long time stamp."""

    async def work(site: fakes.Site) -> None:
        for version, tenants in [(HUGE, []), (HUGE + 1, None)]:
            document = standins.configuration(version)
            if tenants is not None:
                document["tenants"] = tenants
            site.store.put("op/config", document)
            status = 401 if tenants == [] else 200
            for at in range(2):
                while (await site.ask("/book/x", at=at)).status != status:
                    await asyncio.sleep(0.05)
        seeds = [found.peer_listen for found in site.settings]
        await site.add("cq-3", f"127.0.0.1:{ports.free_port()}", seeds)
        await site.until_ready(site.settings[2])
        for made in site.daemons:
            while len(made._membership.serving()) < len(site.daemons):
                await asyncio.sleep(0.02)
        assert (await site.ask("/book/x", at=2)).status == 200

    fakes.run(work, 2)


def test_configuration_changes_beside_a_listing_that_cannot_be_read() -> None:
    """Guards against configurations that wait for entries of other writers."""

    async def work(site: fakes.Site) -> None:
        # The stand-in store has two items on a page.
        for number in range(2 * store.MAX_PAGES + 1):
            site.store.put(f"servers/inventory-{number}", b"x")
        site.store.put("op/config", standins.configuration(2, tenants=[]))
        while (await site.ask("/book/x")).status != 401:
            await asyncio.sleep(0.05)

    fakes.run(work)


def test_changes_are_followed_beside_many_large_entries() -> None:
    """Guards against a list or a configuration that waits for entries of others."""

    async def work(site: fakes.Site) -> None:
        for number in range(20):
            # The stand-in store has two items on a page.
            site.store.put(f"servers/inventory-{number}", b"x" * 900_000)
            site.store.put(f"op/inventory-{number}", b"x" * 900_000)
        site.store.put("op/config", standins.configuration(2, tenants=[]))
        await site.add_engine("i-3")
        site.store.remove("servers/i-1-plain")
        for at, made in enumerate(site.daemons):
            while (await site.ask("/book/x", at=at)).status != 401:
                await asyncio.sleep(0.05)
            while not {"i-3", "i-3-plain"} <= _usable(made):
                await asyncio.sleep(0.02)
            while "i-1-plain" in _usable(made):
                await asyncio.sleep(0.02)

    fakes.run(work, 2)
