"""Streams that begin at a server restarted under its name, whose entry follows late."""

import asyncio

import gateway_fakes as fakes
import policy_fakes as fakes_time
import pytest
import version_fakes

from cassiaquay_daemon.decisions import server_processes
from cassiaquay_dev.standins import raw_servers

STREAMS = 12
# Later than a server's report, and than the callers' first return.
ENTRY_AFTER_SECONDS = 1.0
# Shorter than the streams' time limit of 4 s.
MAX_WAIT_SECONDS = 2.0


def _run(work, versions: dict[str, str], daemons: int = 2) -> None:
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


async def _warm(versioned: version_fakes.VersionedSite) -> None:
    """Have all daemons serve streams, so that they have connections to all servers."""
    site = versioned.site
    for at in range(len(site.daemons)):
        await asyncio.gather(*(site.ask("/stream/w", at=at) for _ in range(6)))


async def _take_up(streams: list[version_fakes.Stream], at: int) -> None:
    asking = [stream.ask(at) for stream in streams if not stream.is_complete]
    await asyncio.gather(*asking)


@pytest.mark.parametrize("seen", ["by all", "at start"])
@pytest.mark.parametrize("crashes_again", [False, True])
def test_stream_of_an_unlisted_process_goes_on_at_its_version_only(
    crashes_again: bool, seen: str
) -> None:
    """Guards against a version that is taken from the entry of the process before.

    The first crash breaks connections of all daemons, or of none, which have then just
    started in a running deployment.
    """

    async def work(versioned: version_fakes.VersionedSite) -> None:
        if seen == "by all":
            await _warm(versioned)
        elif seen == "at start":
            for at in range(2):
                versioned.site.gateway(at)._paths.processes.doubt_all()
        versioned.crash("i-1", "v2")
        streams = _streams(versioned)
        await asyncio.gather(*(stream.ask(0, 3) for stream in streams))
        if crashes_again:
            versioned.crash("i-1", "v2")
        await _take_up(streams, 1)
        assert _count_mixed(streams) == 0
        await asyncio.sleep(ENTRY_AFTER_SECONDS)
        versioned.list("i-1")
        await asyncio.sleep(0.3)
        await _take_up(streams, 1)
        assert _count_mixed(streams) == 0
        assert {2} <= {len(stream.statuses) for stream in streams} <= {2, 3}
        begun_unlisted = [item for item in streams if item.versions == {b"v2"}]
        assert begun_unlisted
        if not crashes_again:
            assert all(stream.is_complete for stream in streams)

    _run(work, {"i-1": "v1", "i-2": "v1"})


def test_cut_stream_of_an_unlisted_process_goes_on_at_its_version_only() -> None:
    """Guards against events of two versions in one answer after a second crash."""

    async def work(versioned: version_fakes.VersionedSite) -> None:
        await _warm(versioned)
        versioned.crash("i-1", "v2")
        versioned.cut_at_event = 3
        streams = _streams(versioned)
        await asyncio.gather(*(stream.ask(0) for stream in streams))
        assert _count_mixed(streams) == 0
        asking = asyncio.create_task(_take_up(streams, 1))
        await asyncio.sleep(ENTRY_AFTER_SECONDS)
        versioned.list("i-1")
        await asking
        await asyncio.sleep(0.3)
        await _take_up(streams, 1)
        assert _count_mixed(streams) == 0
        assert all(stream.is_complete for stream in streams)

    _run(work, {"i-1": "v1", "i-2": "v1"})


def test_streams_of_a_crashed_server_go_on_when_its_process_was_listed() -> None:
    """Guards against refusing streams because the server that began them is gone."""

    async def work(versioned: version_fakes.VersionedSite) -> None:
        versioned.cut_at_event = 3
        streams = _streams(versioned)
        await asyncio.gather(*(stream.ask(0) for stream in streams))
        assert all(stream.is_complete for stream in streams)
        assert {len(stream.statuses) for stream in streams} == {1}

    _run(work, {"i-1": "v1", "i-2": "v2", "i-3": "v1", "i-4": "v2"})


def test_cut_stream_of_a_server_that_reports_nothing_ends_at_once() -> None:
    """Guards against streams of unknown version that go on, or wait for nothing."""

    async def work(versioned: version_fakes.VersionedSite) -> None:
        await _warm(versioned)
        engine = versioned.engine("i-1")
        respond = engine.respond

        async def respond_without_reports(
            request: raw_servers.Request, writer: raw_servers.Writer
        ) -> None:
            if request.target == "/cassiaquay/report":
                await asyncio.sleep(60.0)
            await respond(request, writer)

        engine.respond = respond_without_reports
        versioned.crash("i-1", "v2")
        versioned.cut_at_event = 3
        streams = _streams(versioned)
        asking = [asyncio.create_task(stream.ask(0)) for stream in streams]
        await asyncio.sleep(MAX_WAIT_SECONDS)
        begun_unlisted = [item for item in streams if item.versions == {b"v2"}]
        assert begun_unlisted
        for stream, task in zip(streams, asking, strict=True):
            assert task.done() or stream not in begun_unlisted
        assert not any(item.is_complete for item in begun_unlisted)
        await asyncio.gather(*asking)
        await _take_up(streams, 1)
        assert _count_mixed(streams) == 0
        assert {item.statuses[-1] for item in begun_unlisted} == {503}

    _run(work, {"i-1": "v1", "i-2": "v1"})


def test_connections_that_overlap_lead_to_one_process() -> None:
    """Guards against a report for each connection, and one taken for another's."""
    with fakes_time.Time().used() as time:
        processes = server_processes.Processes()
        opened_at = time.now
        time.now += 1.0
        assert processes.note_alive("h:1", opened_at, None) is None
        processes.note_report("h:1", opened_at, 7, opened_at)
        # Opened before the report, and open at that time.
        assert processes.identify("h:1", opened_at - 1.0, time.now) == 7
        # Closed before.
        assert processes.identify("h:1", opened_at - 2.0, opened_at - 1.0) is None
        time.now += 1.0
        opened_later = time.now
        assert processes.identify("h:1", opened_later, time.now) is None
        # The first connection is still alive.
        time.now += 1.0
        processes.note_alive("h:1", opened_at, 7)
        assert processes.identify("h:1", opened_later, time.now) == 7
        assert processes.identify("h:2", opened_later, time.now) is None


def test_servers_are_asked_only_after_a_sign_of_a_restart() -> None:
    """Guards against a report for each new stream."""
    with fakes_time.Time().used() as time:
        processes = server_processes.Processes()
        never = server_processes.NEVER
        assert not processes.is_doubtful("h:1", 7, never)
        assert processes.is_doubtful("h:1", 7, time.now)
        processes.note_broken("h:1")
        assert processes.is_doubtful("h:1", 7, never)
        time.now += 1.0
        processes.note_report("h:1", time.now, 7, time.now)
        assert not processes.is_doubtful("h:1", 7, never)
        assert processes.is_doubtful("h:1", 8, never)
        processes.note_report("h:1", time.now, 0, time.now)
        assert not processes.is_doubtful("h:1", 8, never)
        processes.doubt_all()
        assert processes.is_doubtful("h:2", 8, never)
        time.now += server_processes.LISTING_SECONDS
        assert not processes.is_doubtful("h:2", 8, never)


def test_report_shows_that_the_listed_process_has_lasted() -> None:
    """Guards against a report from before a connection that identifies it."""
    processes = server_processes.Processes()
    processes.note_report("h:1", 5.0, 7, asked_at=4.0)
    assert processes.has_lasted("h:1", 7, 3.0)
    assert not processes.has_lasted("h:1", 7, 4.5)
    assert not processes.has_lasted("h:1", 8, 3.0)
    assert not processes.has_lasted("h:2", 7, 3.0)
