"""Instances that lose their path to the backend servers while others keep theirs."""

import asyncio

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
