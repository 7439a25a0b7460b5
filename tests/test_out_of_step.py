"""Streams that are taken up at an instance that was cut off during a release."""

import asyncio

import gateway_fakes as fakes
import pytest
import step_fakes
import version_fakes

STREAMS = 12
# The instance that is cut off; the others serve the streams first.
OUT_OF_STEP = 2
# Longer than the time in which changes must be in force.
STORE_AWAY_SECONDS = 2.5


def _run(work, count: int = 3) -> None:
    async def with_versions(site: fakes.Site) -> None:
        versioned = version_fakes.VersionedSite(site, {"i-1": "v1", "i-2": "v1"})
        await versioned.start()
        step_fakes.age(site)
        await work(versioned)

    fakes.run(with_versions, count)


async def _release(versioned: version_fakes.VersionedSite) -> None:
    """Add servers of another version; return when the other daemons know them."""
    site = versioned.site
    versioned.versions |= {"i-3": "v2", "i-4": "v2"}
    for name in ("i-3", "i-4"):
        engine = await site.add_engine(name, version="v2")
        engine.responder = versioned._answer
    for made in site.daemons[:OUT_OF_STEP]:
        await versioned._until_known(made)


async def _begin(
    versioned: version_fakes.VersionedSite,
) -> list[version_fakes.Stream]:
    """Return streams whose callers have got two events of the other daemons."""
    streams = [version_fakes.Stream(versioned, f"s{n}") for n in range(STREAMS)]
    asking = [s.ask(n % OUT_OF_STEP, 2) for n, s in enumerate(streams)]
    await asyncio.gather(*asking)
    return streams


@pytest.mark.parametrize("moment", ["during the cut", "at its end", "after a while"])
@pytest.mark.parametrize("cut_from", ["both", "others", "store"])
def test_stream_goes_on_at_its_version_at_an_instance_that_was_cut_off(
    cut_from: str, moment: str
) -> None:
    """Guards against taking the version in an outdated list for the only one."""

    async def work(versioned: version_fakes.VersionedSite) -> None:
        cut = step_fakes.Cut(versioned.site.daemons[OUT_OF_STEP])
        if cut_from != "store":
            cut.from_others()
        if cut_from != "others":
            cut.from_store()
        await _release(versioned)
        streams = await _begin(versioned)
        begun_elsewhere = [item for item in streams if item.versions == {b"v2"}]
        assert begun_elsewhere
        if moment != "during the cut":
            cut.heal()
        if moment == "after a while":
            await versioned._until_known(versioned.site.daemons[OUT_OF_STEP])
            await asyncio.sleep(0.3)
        await asyncio.gather(*(stream.ask(OUT_OF_STEP) for stream in streams))
        for stream in streams:
            assert len(stream.versions) == 1
            assert set(stream.statuses) <= {200, 503}
        cut.heal()
        await versioned._until_known(versioned.site.daemons[OUT_OF_STEP])
        for _ in range(3):
            await asyncio.sleep(0.3)
            broken = [stream for stream in streams if not stream.is_complete]
            await asyncio.gather(*(stream.ask(OUT_OF_STEP) for stream in broken))
        for stream in streams:
            assert len(stream.versions) == 1
            assert stream.is_complete

    _run(work)


def test_stream_of_a_restarted_server_at_an_instance_that_is_cut_off() -> None:
    """Guards against a version taken from an entry that cannot be confirmed.

    Others have seen the restart, and their list has the new process.
    """

    async def work(versioned: version_fakes.VersionedSite) -> None:
        site = versioned.site
        cut = step_fakes.Cut(site.daemons[OUT_OF_STEP])
        cut.from_others()
        cut.from_store()
        await versioned.restart("i-1", "v2", 0.0)
        for made in site.daemons[:OUT_OF_STEP]:
            await versioned._until_known(made)
        await asyncio.sleep(STORE_AWAY_SECONDS)
        streams = [version_fakes.Stream(versioned, f"s{n}") for n in range(STREAMS)]
        await asyncio.gather(*(stream.ask(OUT_OF_STEP, 2) for stream in streams))
        assert {b"v2"} in [stream.versions for stream in streams]
        await asyncio.gather(*(stream.ask(OUT_OF_STEP) for stream in streams))
        cut.heal()
        await versioned._until_known(site.daemons[OUT_OF_STEP])
        broken = [stream for stream in streams if not stream.is_complete]
        await asyncio.gather(*(stream.ask(0) for stream in broken))
        for stream in streams:
            assert len(stream.versions) <= 1

    _run(work)


async def _stop(site: fakes.Site, at: int) -> None:
    """Stop one daemon; its tasks end as those of a planned stop."""
    site.daemons[at]._stopping.set()
    await site._tasks[at]


@pytest.mark.parametrize("is_stopped", [True, False])
@pytest.mark.parametrize("versions", [1, 2])
def test_streams_of_known_origin_go_on_while_the_store_is_away(
    versions: int, is_stopped: bool
) -> None:
    """Guards against refusals because no list can be confirmed.

    The instance that served the streams may have gone; its copies of their origins are
    at the others.
    """

    async def work(versioned: version_fakes.VersionedSite) -> None:
        site = versioned.site
        if versions == 2:
            await versioned.add({"i-3": "v2", "i-4": "v2"})
        for made in site.daemons:
            step_fakes.Cut(made).from_store()
        await asyncio.sleep(STORE_AWAY_SECONDS)
        streams = [version_fakes.Stream(versioned, f"s{n}") for n in range(STREAMS)]
        await asyncio.gather(*(stream.ask(0, 2) for stream in streams))
        if is_stopped:
            await _stop(site, 0)
        for _ in range(3):
            broken = [stream for stream in streams if not stream.is_complete]
            await asyncio.gather(*(stream.ask(OUT_OF_STEP) for stream in broken))
        for stream in streams:
            assert len(stream.versions) == 1
            assert stream.is_complete

    _run(work)
