"""Instances that lose their path to the backend servers while others keep theirs."""

import asyncio
import contextlib

import cut_fakes
import gateway_fakes as fakes
import pytest

from cassiaquay_dev.network import cuts

REQUESTS = 6
# Between the requests of a steady load; several arrive while a server is left out.
GAP_SECONDS = 0.05
PATHS = (
    ("/safe/x", "GET", b""),
    ("/book/x", "POST", b"b"),
    ("/string/x", "POST", b"b"),
)


async def _ask_all_kinds(site: fakes.Site, at: int) -> list[int]:
    """Send requests of all kinds to one daemon, one after the other."""
    statuses = []
    for number in range(REQUESTS):
        path, method, body = PATHS[number % len(PATHS)]
        answer = await site.ask(path, method, body, at)
        statuses.append(answer.status)
        await asyncio.sleep(GAP_SECONDS)
    return statuses


@pytest.mark.parametrize("mode", ["refused", "silent"])
def test_callers_of_an_instance_without_a_path_to_servers_are_served(
    mode: cuts.Mode,
) -> None:
    """Guards against refusals at an instance whose neighbours reach all servers."""

    async def work(site: fakes.Site) -> None:
        await _ask_all_kinds(site, 0)
        with cut_fakes.cut(site, 0, mode):
            assert await _ask_all_kinds(site, 0) == [200] * REQUESTS

    fakes.run(work, 3)


def test_instance_without_a_path_takes_no_server_from_the_others() -> None:
    """Guards against servers left out for all since one instance cannot connect."""

    async def work(site: fakes.Site) -> None:
        await asyncio.gather(*(_ask_all_kinds(site, at) for at in range(3)))
        with cut_fakes.cut(site, 0):
            answers = await asyncio.gather(
                *(_ask_all_kinds(site, at) for at in range(3))
            )
        assert answers[1:] == [[200] * REQUESTS] * 2

    fakes.run(work, 3)


def test_open_connections_that_live_on_and_some_lost_servers_change_nothing() -> None:
    """Guards against refusals when only new connections fail, or only some servers."""

    async def work(site: fakes.Site) -> None:
        await _ask_all_kinds(site, 0)
        with cut_fakes.cut(site, 0, keep_open=True):
            burst = [_ask_all_kinds(site, 0) for _ in range(3)]
            assert await asyncio.gather(*burst) == [[200] * REQUESTS] * 3
        # A path that was lost is open again once a probe has connected.
        while site.gateway(0)._paths.lost:
            await asyncio.sleep(GAP_SECONDS)
        lost = {site.engines[0].address}
        with cut_fakes.cut(site, 0, servers=lost):
            burst = [_ask_all_kinds(site, 0) for _ in range(3)]
            assert await asyncio.gather(*burst) == [[200] * REQUESTS] * 3
            assert site.gateway(0)._paths.lost <= lost

    fakes.run(work, 3)


def test_path_that_comes_and_goes_costs_no_request() -> None:
    """Guards against a path that is believed for longer than it lasts."""

    async def work(site: fakes.Site) -> None:
        ended = asyncio.Event()

        async def flap() -> None:
            while not ended.is_set():
                with cut_fakes.cut(site, 0, keep_open=True):
                    await asyncio.sleep(0.2)
                await asyncio.sleep(0.2)

        flapping = asyncio.create_task(flap())
        for _ in range(4):
            assert await _ask_all_kinds(site, 0) == [200] * REQUESTS
        ended.set()
        await flapping

    fakes.run(work, 3)


def test_servers_that_are_down_for_all_make_no_instance_leave_the_directory() -> None:
    """Guards against a fleet that takes itself for cut off when its servers crash."""

    async def work(site: fakes.Site) -> None:
        await asyncio.gather(*(_ask_all_kinds(site, at) for at in range(3)))
        with contextlib.ExitStack() as stack:
            for at in range(3):
                stack.enter_context(cut_fakes.cut(site, at))
            answers = [await site.ask("/safe/x", "GET", b"", at) for at in range(3)]
            assert {answer.status for answer in answers} == {503}
            for made in site.daemons:
                for member in made._membership.alive():
                    assert member.lost_services == []

    fakes.run(work, 3)
