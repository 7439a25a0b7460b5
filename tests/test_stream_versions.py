"""Streams go on only at servers of the software version that began them."""

import asyncio

import gateway_fakes as fakes
import pytest
import version_fakes

VERSIONS = {"i-1": "v1", "i-2": "v2", "i-3": "v1", "i-4": "v2"}
STREAMS = 12


def _run(work, daemons: int = 1, versions: dict[str, str] = VERSIONS) -> None:
    async def with_versions(site: fakes.Site) -> None:
        versioned = version_fakes.VersionedSite(site, dict(versions))
        await versioned.start()
        await work(versioned)

    fakes.run(with_versions, daemons)


def _streams(versioned: version_fakes.VersionedSite) -> list[version_fakes.Stream]:
    return [version_fakes.Stream(versioned, f"s{n}") for n in range(STREAMS)]


def _count_mixed(streams: list[version_fakes.Stream]) -> int:
    """Return how many streams have events of more than one version."""
    return sum(len(stream.versions) > 1 for stream in streams)


def test_cut_stream_goes_on_at_the_version_that_began_it() -> None:
    """Guards against events of two software versions in one answer."""

    async def work(versioned: version_fakes.VersionedSite) -> None:
        versioned.cut_at_event = 2
        streams = _streams(versioned)
        await asyncio.gather(*(stream.ask(0) for stream in streams))
        assert _count_mixed(streams) == 0
        assert all(stream.is_complete for stream in streams)

    _run(work)


def test_caller_takes_its_stream_up_at_the_version_that_began_it() -> None:
    """Guards against events of two software versions over a caller's tries."""

    async def work(versioned: version_fakes.VersionedSite) -> None:
        streams = _streams(versioned)
        await asyncio.gather(*(s.ask(n % 3, 2) for n, s in enumerate(streams)))
        await versioned.add({"i-3": "v2", "i-4": "v2"})
        await asyncio.gather(*(s.ask((n + 1) % 3) for n, s in enumerate(streams)))
        assert _count_mixed(streams) == 0
        assert all(stream.is_complete for stream in streams)

    _run(work, 3, {"i-1": "v1", "i-2": "v1"})


def test_stream_goes_on_at_a_server_that_was_added_after_its_start() -> None:
    """Guards against streams that end since they know only the servers of their start.

    The server of the stream is the only one of its version when the stream begins.
    """

    async def work(versioned: version_fakes.VersionedSite) -> None:
        versioned.cut_at_event = 4
        stream = version_fakes.Stream(versioned, "s")
        versioned.released.clear()
        asking = asyncio.create_task(stream.ask(0))
        while not stream.body:
            await asyncio.sleep(0.01)
        await versioned.add({"i-3": "v1", "i-4": "v2"})
        versioned.released.set()
        await asking
        assert (stream.is_complete, len(stream.versions)) == (True, 1)

    _run(work, 1, {"i-1": "v1", "i-2": "v2"})


@pytest.mark.parametrize("entry_after", [0.0, 0.2])
def test_stream_of_a_server_restarted_under_its_name_keeps_its_version(
    entry_after: float,
) -> None:
    """Guards against taking a server for the one that began the stream, by its name."""

    async def work(versioned: version_fakes.VersionedSite) -> None:
        streams = _streams(versioned)
        versioned.released.clear()
        asking = [
            asyncio.create_task(stream.ask(number % 3))
            for number, stream in enumerate(streams)
        ]
        while not all(stream.body for stream in streams):
            await asyncio.sleep(0.01)
        restarting = asyncio.create_task(versioned.restart("i-1", "v2", entry_after))
        versioned.released.set()
        await asyncio.gather(*asking)
        for number, stream in enumerate(streams):
            if not stream.is_complete:
                await stream.ask((number + 1) % 3)
        await restarting
        assert _count_mixed(streams) == 0
        assert all(stream.is_complete for stream in streams)

    _run(work, 3, {"i-1": "v1", "i-2": "v1", "i-3": "v1", "i-4": "v2"})


def test_returning_caller_gets_no_events_of_a_restart_that_is_not_listed() -> None:
    """Guards against a server restarted under its name whose entry names the old one.

    The callers return at another daemon before the entry follows.
    """

    async def work(versioned: version_fakes.VersionedSite) -> None:
        streams = _streams(versioned)
        await asyncio.gather(*(stream.ask(0, 2) for stream in streams))
        restarting = asyncio.create_task(versioned.restart("i-1", "v2", 1.0))
        await asyncio.gather(*(stream.ask(1) for stream in streams))
        await restarting
        assert _count_mixed(streams) == 0

    _run(work, 2, {"i-1": "v1", "i-2": "v1"})
