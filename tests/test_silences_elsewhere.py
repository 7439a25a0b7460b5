"""Sound servers that fall silent, as keepers and the own interface see them."""

import asyncio
import errno
import os

import gateway_fakes
import policy_fakes as fakes
import pytest
import silence_fakes

from cassiaquay_dev.standins import platform_standins as standins
from cassiaquay_dev.standins import raw_servers

PAUSE_SECONDS = 1.4
# Requests that wait for the end of the pause are shed when it comes too late for them.
MAX_LATE_SHEDS = 8


@pytest.fixture(name="time")
def _time():
    with fakes.Time().used() as time:
        yield time


@pytest.mark.parametrize("is_plain", [False, True])
@pytest.mark.parametrize("count", [2, 3])
def test_servers_that_were_paused_get_their_work_back(time, count, is_plain) -> None:
    """Guards against a pause of a service's servers after which they count as cold."""
    engines = silence_fakes.Engines(time, 60.0, is_plain)
    assert engines.run(3.0).shed == 0
    engines.stop(silence_fakes.SERVERS[:count], PAUSE_SECONDS)
    engines.run(PAUSE_SECONDS)
    after = engines.run(1.0)
    assert after.shed <= MAX_LATE_SHEDS
    assert after.ended >= 55
    assert engines.run(3.0).shed == 0
    assert not engines.bench.shard.cold.cold_servers()


@pytest.mark.parametrize("is_plain", [False, True])
def test_server_that_loses_its_requests_in_a_silence_is_cold(time, is_plain) -> None:
    """Guards against taking a server that crashed and came back for a paused one."""
    engines = silence_fakes.Engines(time, 60.0, is_plain)
    engines.run(3.0)
    engines.stop(silence_fakes.SERVERS, PAUSE_SECONDS)
    engines.run(PAUSE_SECONDS)
    engines.restart("e1")
    engines.run(0.5)
    assert engines.bench.shard.cold.cold_servers() == ["e1"]


def _fall_silent_after(kind: str) -> raw_servers.Respond:
    """Return a responder that writes a part of an answer and then nothing more."""

    async def respond(request: raw_servers.Request, writer: raw_servers.Writer) -> None:
        if kind == "chunked":
            await standins.write_stream_head(request, writer)
            await standins.write_events(request, writer, 2)
        elif kind == "unframed":
            raw_servers.write_head(writer, standins.seal_headers(request))
            writer.write(standins.stream_events(2))
            await writer.drain()
        await asyncio.sleep(gateway_fakes.TIMEOUT_SECONDS)

    return respond


@pytest.mark.parametrize("kind", ["nothing", "chunked", "unframed"])
@pytest.mark.parametrize(
    ("code", "suspects"),
    [(errno.ETIMEDOUT, 0), (errno.EHOSTUNREACH, 0), (errno.ECONNRESET, 1)],
)
def test_connection_on_which_nothing_came_is_no_crash(kind, code, suspects) -> None:
    """Guards against a quarantine of what ran at sound servers behind a cut path."""

    async def work(site: gateway_fakes.Site) -> None:
        site.answer_first_run_with(_fall_silent_after(kind))
        asked = asyncio.create_task(site.ask("/string/x"))
        while not any(engine.requests for engine in site.engines):
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        site.reset_connections(0, error=OSError(code, os.strerror(code)))
        got = await asked
        # What the caller got before must not look complete.
        assert got.complete == (kind == "nothing")
        assert site.daemons[0]._quarantine.suspect_count == suspects

    gateway_fakes.run(work)
