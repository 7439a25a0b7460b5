"""Streams that callers take up after all instances were killed."""

import asyncio
import time

import gateway_fakes as fakes
import pytest
import version_fakes

from cassiaquay_dev.network import ports

STREAMS = 12
COUNT = 3


async def _replace_all_instances(site: fakes.Site) -> None:
    """Start as many instances, which know nothing of those before them."""
    seeds = [f"127.0.0.1:{ports.free_port()}" for _ in range(COUNT)]
    for number, seed in enumerate(seeds):
        await site.add(f"new-{number}", seed, seeds)
    for found in site.settings[COUNT:]:
        await site.until_ready(found)
    for made in site.daemons[COUNT:]:
        while len(made._membership.serving()) < COUNT:
            await asyncio.sleep(0.01)


async def _begin(
    versioned: version_fakes.VersionedSite,
) -> list[version_fakes.Stream]:
    """Return streams whose callers have got two events."""
    streams = [version_fakes.Stream(versioned, f"s{n}") for n in range(STREAMS)]
    await asyncio.gather(*(s.ask(n % COUNT, 2) for n, s in enumerate(streams)))
    return streams


async def _take_up(streams: list[version_fakes.Stream]) -> None:
    """Take streams up at the new instances, twice at most, as callers do."""
    for _ in range(2):
        asking = []
        for number, stream in enumerate(streams):
            if not stream.is_complete:
                asking.append(stream.ask(COUNT + number % COUNT))
        await asyncio.gather(*asking)
        await asyncio.sleep(0.3)


def _run(work) -> None:
    async def with_versions(site: fakes.Site) -> None:
        versioned = version_fakes.VersionedSite(site, {"i-1": "v1", "i-2": "v1"})
        await versioned.start()
        await work(versioned)

    fakes.run(with_versions, COUNT)


@pytest.mark.parametrize("fate", ["serving", "leaving", "gone"])
@pytest.mark.parametrize("is_new_young", [True, False])
def test_no_stream_is_joined_of_two_versions_after_a_kill_of_all(
    fate: str, is_new_young: bool
) -> None:
    """Guards against taking the version that is left for the one that began a stream.

    Servers of another version have come; the old ones serve, leave or have gone.
    """

    async def work(versioned: version_fakes.VersionedSite) -> None:
        site = versioned.site
        born = int(time.time() * 1000) if is_new_young else 1
        await versioned.add({"i-3": "v2", "i-4": "v2"}, born=born)
        streams = await _begin(versioned)
        begun = [stream for stream in streams if stream.versions == {b"v1"}]
        for engine in site.engines[:2]:
            for name in (engine.name, f"{engine.name}-plain"):
                if fate == "leaving":
                    site.register(engine, version="v1", state="draining")
                elif fate == "gone":
                    site.store.remove(f"servers/{name}")
        await _replace_all_instances(site)
        await _take_up(begun)
        assert begun
        for stream in begun:
            assert len(stream.versions) == 1
            assert set(stream.statuses) <= {200, 503}

    _run(work)


@pytest.mark.parametrize("has_history", [True, False])
def test_streams_of_one_version_go_on_after_a_kill_of_all(has_history: bool) -> None:
    """Guards against refusing all streams since no instance knows their origins."""

    async def work(versioned: version_fakes.VersionedSite) -> None:
        site = versioned.site
        # Before their versions were set, its servers had none.
        site.store.forget()
        streams = await _begin(versioned)
        if has_history:
            for engine in site.engines:
                site.register(engine, version="v1", slots=5)
            await site.add_engine("i-3", version="v1")
            site.store.remove("servers/i-3")
        await _replace_all_instances(site)
        await _take_up(streams)
        assert all(stream.is_complete for stream in streams)

    _run(work)


@pytest.mark.parametrize("is_whole", [True, False])
def test_streams_of_young_servers_go_on_after_a_kill_of_all(is_whole: bool) -> None:
    """Guards against refusing streams whose servers have started a short time ago.

    A history of which the platform has discarded nothing shows all versions.
    """

    async def work(versioned: version_fakes.VersionedSite) -> None:
        site = versioned.site
        # Before their versions were set, its servers had none.
        site.store.forget()
        await versioned.add(versioned.versions, born=int(time.time() * 1000))
        if is_whole:
            site.store._history_start = 0
        streams = await _begin(versioned)
        await _replace_all_instances(site)
        await _take_up(streams)
        for stream in streams:
            assert len(stream.versions) == 1
            assert stream.is_complete == is_whole

    _run(work)


def _age(versioned: version_fakes.VersionedSite, seconds: float) -> None:
    """Let the servers have served and reported for some time."""
    site = versioned.site
    born = int((time.time() - seconds) * 1000)
    # The history begins with one of the first reports.
    site.store.forget()
    for seq in (5, 50):
        for engine in site.engines:
            engine.born = born
            version = versioned.versions[engine.name]
            site.register(engine, version=version, born=born, seq=seq)


@pytest.mark.parametrize("change", ["none", "leaving", "gone", "added"])
def test_streams_go_on_at_either_version_after_a_kill_of_all(change: str) -> None:
    """Guards against refusing all streams while both their versions serve."""

    async def work(versioned: version_fakes.VersionedSite) -> None:
        site = versioned.site
        await versioned.add({"i-3": "v2", "i-4": "v2"})
        _age(versioned, 60.0)
        streams = await _begin(versioned)
        assert len({frozenset(stream.versions) for stream in streams}) == 2
        if change == "leaving":
            site.register(
                site.engines[0],
                version="v1",
                born=site.engines[0].born,
                seq=51,
                state="draining",
            )
        elif change == "gone":
            site.store.remove("servers/i-1")
            site.store.remove("servers/i-1-plain")
        elif change == "added":
            born = int(time.time() * 1000)
            engine = await site.add_engine("i-5", version="v2", born=born)
            engine.born = born
        await _replace_all_instances(site)
        await _take_up(streams)
        assert all(len(stream.versions) == 1 for stream in streams)
        whole = [stream.is_complete for stream in streams]
        assert all(whole) if change == "none" else sum(whole) >= STREAMS // 4

    _run(work)


async def _stop(site: fakes.Site, at: int) -> None:
    """Stop one daemon; its tasks end as those of a planned stop."""
    site.daemons[at]._stopping.set()
    await site._tasks[at]


@pytest.mark.parametrize("survivors", [0, 1])
def test_instances_that_come_back_one_by_one_join_no_streams(survivors: int) -> None:
    """Guards against taking silence or an unknown origin for a sole version.

    All instances but some end; new ones join one after the other, and the first of them
    is replaced once more. Meanwhile the old servers go.
    """

    async def work(versioned: version_fakes.VersionedSite) -> None:
        site = versioned.site
        streams = await _begin(versioned)
        born = int(time.time() * 1000)
        await versioned.add({"i-3": "v2", "i-4": "v2"}, born=born)
        seeds = [found.peer_listen for found in site.settings[:survivors]]
        seeds += [f"127.0.0.1:{ports.free_port()}" for _ in range(COUNT)]
        await asyncio.gather(*(_stop(site, at) for at in range(survivors, COUNT)))
        for name in ("i-1", "i-2"):
            site.store.remove(f"servers/{name}")
        for number in range(COUNT):
            await site.add(f"new-{number}", seeds[survivors + number], seeds)
            await site.until_ready(site.settings[COUNT + number])
            at = COUNT + number
            await asyncio.gather(*(s.ask(at) for s in streams if not s.is_complete))
            if not number:
                await _stop(site, COUNT)
                await site.add("new-0b", f"127.0.0.1:{ports.free_port()}", seeds)
                for items in (site.daemons, site.settings, site._tasks):
                    items[COUNT] = items.pop()
                await site.until_ready(site.settings[COUNT])
        for stream in streams:
            assert len(stream.versions) == 1
            assert set(stream.statuses) <= {200, 503}

    _run(work)


@pytest.mark.parametrize("crashes_again", [False, True])
def test_new_instances_join_no_streams_of_a_server_that_is_listed_late(
    crashes_again: bool,
) -> None:
    """Guards against a server that restarts in another version while all are away.

    No instance has seen that, and its entry follows after the first streams.
    """

    async def work(versioned: version_fakes.VersionedSite) -> None:
        site = versioned.site
        versioned.crash("i-1", "v2")
        site.first_start = False
        await _replace_all_instances(site)
        streams = [version_fakes.Stream(versioned, f"n{n}") for n in range(STREAMS)]
        asking = []
        for number, stream in enumerate(streams):
            asking.append(stream.ask(COUNT + number % COUNT, 3))
        await asyncio.gather(*asking)
        if crashes_again:
            versioned.crash("i-1", "v2")
        assert {b"v2"} in [stream.versions for stream in streams]
        await _take_up(streams)
        versioned.list("i-1")
        await asyncio.sleep(0.3)
        await _take_up(streams)
        for stream in streams:
            assert len(stream.versions) == 1
            assert set(stream.statuses) <= {200, 503}
            is_lost = crashes_again and stream.versions == {b"v2"}
            assert stream.is_complete or is_lost

    _run(work)


@pytest.mark.parametrize("killed", [1, 2])
def test_streams_of_two_versions_go_on_after_a_kill_of_some(killed: int) -> None:
    """Guards against origins that are lost when instances die one after another.

    Each of them is replaced before the next one ends; callers return at the new ones.
    """

    async def work(versioned: version_fakes.VersionedSite) -> None:
        site = versioned.site
        await versioned.add({"i-3": "v2", "i-4": "v2"})
        streams = await _begin(versioned)
        assert len({frozenset(stream.versions) for stream in streams}) == 2
        old_seeds = [found.peer_listen for found in site.settings]
        for number in range(killed):
            await _stop(site, number)
            peer = f"127.0.0.1:{ports.free_port()}"
            await site.add(f"new-{number}", peer, [*old_seeds, peer])
            await site.until_ready(site.settings[-1])
        while len(site.daemons[-1]._membership.serving()) < COUNT:
            await asyncio.sleep(0.01)
        for _ in range(3):
            asking = []
            for number, stream in enumerate(streams):
                if not stream.is_complete:
                    asking.append(stream.ask(COUNT + number % killed))
            await asyncio.gather(*asking)
        for stream in streams:
            assert len(stream.versions) == 1
            assert set(stream.statuses) <= {200, 503}
        assert all(stream.is_complete for stream in streams)

    _run(work)
