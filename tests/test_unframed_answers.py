"""Answers that have neither a length nor chunks and end with their connection."""

import asyncio
import collections.abc

import gateway_fakes as fakes
import pytest

from cassiaquay_dev.standins import platform_standins as standins
from cassiaquay_dev.standins import raw_servers

OWN_PART = "aa:50,bb:50,own:10"
# Time in which an instance finds out whether a server lives on.
BOUND_SECONDS = 2.0

End = collections.abc.Callable[[raw_servers.Writer], None]


def _close(writer: raw_servers.Writer) -> None:
    writer.close()


async def _ask(site: fakes.Site, end: End, text: bytes, crashes: bool) -> int:
    """Ask for a stream of which a server writes ``text``; return whether it is whole.

    With ``crashes``, the server accepts no connections afterwards.
    """
    for engine in site.engines[1:]:
        site.store.remove(f"servers/{engine.name}")
    [engine, *_] = site.engines

    async def respond(request: raw_servers.Request, writer: raw_servers.Writer) -> None:
        head = {"Connection": "close"} | standins.seal_headers(request)
        raw_servers.write_head(writer, head)
        writer.write(text)
        await writer.drain()
        await asyncio.sleep(0.05)
        if crashes:
            engine._server.close()
        end(writer)

    engine.responder = respond
    while site.daemons[0]._servers.count != 3:
        await asyncio.sleep(0.02)
    got = await site.ask("/string/x", Cassiaquay_Prompt_Prefix=OWN_PART)
    assert got.body in standins.stream_events()
    return got.status == 200 and got.complete


async def _wait_for(condition: collections.abc.Callable[[], bool]) -> None:
    async with asyncio.timeout(BOUND_SECONDS):
        while not condition():
            await asyncio.sleep(0.02)


@pytest.mark.parametrize("end", [_close, raw_servers.reset])
@pytest.mark.parametrize("rest", [b"", b"id: 2\nda", b"id: 2"])
def test_answer_cut_by_a_crash_is_broken_off_and_suspected(rest, end) -> None:
    """Guards against taking the truncated answer of a crashed server for complete."""
    text = standins.stream_events(2) + rest if rest else b""

    async def work(site: fakes.Site) -> None:
        assert not await _ask(site, end, text, True)
        assert site.daemons[0]._quarantine.suspect_count == 3

    fakes.run(work)


def test_answer_of_a_server_that_crashed_between_events_clears_nothing() -> None:
    """Guards against one answer that looks complete and ends a quarantine for good."""

    async def work(site: fakes.Site) -> None:
        held = site.daemons[0]._quarantine
        assert await _ask(site, _close, standins.stream_events(2), True)
        await _wait_for(lambda: held.suspect_count == 3)
        assert not any(suspect.is_cleared for suspect in held._suspects.values())
        assert not held._completed

    fakes.run(work)


def test_answer_of_a_server_that_lives_on_clears_its_parts() -> None:
    """Guards against sound parts that stay suspects where no answer has a length."""

    async def work(site: fakes.Site) -> None:
        held = site.daemons[0]._quarantine
        assert await _ask(site, _close, standins.stream_events(), False)
        await _wait_for(lambda: len(held._completed) == 3)
        assert not held.suspect_count

    fakes.run(work)
