"""Requests whose servers are silent for a time get whole answers."""

import asyncio
import contextlib
import itertools
import typing

import cut_fakes
import gateway_fakes as fakes
import pytest
import silence_fakes

COUNT = 8
# Ways to ask for answers that are silent at each place; two requests go each way.
TARGETS = [
    "/plain/1/head/",
    "/plain/2/head/",
    "/plain/3/head/",
    "/plain/1/body/",
    "/plain/2/body/",
    "/plain/3/body/",
    "/book/1/head/",
    "/book/2/body/",
    "/stream/1/head/",
    "/stream/2/head/",
    "/stream/3/head/",
    "/stream/1/events/",
    "/stream/2/events/",
    "/stream/3/events/",
    "/string/1/head/",
    "/string/2/events/",
]
# Grace period of daemons that leave; all requests end in it.
LEAVING_SECONDS = 4.0
# Number of silent servers and of servers.
SHARES = [(2, 2), (1, 2), (1, 3)]
# Requests that one server of three never answers are served by another one within
# their patience and as long again.
PLAIN_BOUND_SECONDS = 1.0
STREAM_BOUND_SECONDS = 2.5


class Case(typing.NamedTuple):
    """Requests that are open while all servers are silent.

    Attributes
    ----------
    target : str
        Prefix of their target.
    seconds : float
        Length of the silence.
    is_spent : bool
        Whether the retry budget is spent.
    """

    target: str
    seconds: float = silence_fakes.SILENCE_SECONDS
    is_spent: bool = False


CORE_CASES = [
    Case("/plain/1/head/"),
    Case("/plain/2/head/"),
    Case("/plain/3/head/", is_spent=True),
    Case("/stream/1/events/"),
    Case("/stream/2/events/", is_spent=True),
    Case("/stream/2/events/", 2.7),
]


async def _play_core(case: Case) -> dict[str, int]:
    """Return what is wrong with the answers of a case."""
    async with silence_fakes.site(is_spent=case.is_spent) as site:
        silence = silence_fakes.Silence()
        for engine in site.engines:
            engine.responder = silence.respond
        silence.end_after(case.seconds)
        asking = silence_fakes.ask_all(site, [case.target] * COUNT)
        return silence_fakes.faults(site, await asyncio.gather(*asking))


def test_silence_of_all_servers_ends_no_request() -> None:
    """Guards against giving up the one server that would still answer."""

    async def run() -> None:
        found = await asyncio.gather(*[_play_core(case) for case in CORE_CASES])
        assert silence_fakes.failed(CORE_CASES, found) == {}

    asyncio.run(run())


class Circumstance(typing.NamedTuple):
    """What holds while servers are silent.

    Attributes
    ----------
    daemon_count : int
        Number of daemons.
    is_spent : bool
        Whether the retry budget is spent.
    is_cut : bool
        Whether the first daemon, which callers ask, reaches servers by relays only.
    changes : bool
        Whether configurations come into force meanwhile, the last without the routes.
    leaves : bool
        Whether the daemons leave as after SIGTERM.
    """

    daemon_count: int = 1
    is_spent: bool = False
    is_cut: bool = False
    changes: bool = False
    leaves: bool = False


ONE_DAEMON = [
    Circumstance(),
    Circumstance(is_spent=True),
    Circumstance(changes=True),
    Circumstance(leaves=True),
]


async def _change_configuration(site: fakes.Site) -> None:
    """Change the idle limit and the timeouts, then remove the routes."""
    limits = {"max-body-bytes": 100_000, "idle-timeout-ms": 500}
    changed = silence_fakes.routes(silence_fakes.TIMEOUT_MS + 1000)
    await silence_fakes.publish(site, 3, limits=limits, routes=changed)
    kept = [route for route in changed if route["path-prefix"] == "/book/3/"]
    await silence_fakes.publish(site, 4, routes=kept)


async def _play(
    circumstance: Circumstance, silent_count: int, engine_count: int
) -> dict[str, int]:
    """Return what is wrong with the answers while some servers are silent."""
    daemon_count = circumstance.daemon_count
    grace = LEAVING_SECONDS if circumstance.leaves else silence_fakes.GRACE_SECONDS
    opening = silence_fakes.site(
        daemon_count, engine_count, circumstance.is_spent, grace
    )
    async with opening as site, contextlib.AsyncExitStack() as stack:
        asked_at = range(daemon_count)
        if circumstance.is_cut:
            stack.enter_context(cut_fakes.cut(site, 0))
            asked_at = range(1)
        silence = silence_fakes.Silence()
        running = silence_fakes.ended()
        for number, engine in enumerate(site.engines):
            is_silent = number < silent_count
            engine.responder = silence.respond if is_silent else running.respond
        asking = []
        for at in asked_at:
            targets = (TARGETS * 2)[at :: len(asked_at)]
            asking += silence_fakes.ask_all(site, targets, at)
        silence.end_after(silence_fakes.SILENCE_SECONDS)
        if circumstance.changes:
            await silence_fakes.until_run(site, len(asking))
            await _change_configuration(site)
        if circumstance.leaves:
            await silence_fakes.until_run(site, len(asking))
            for made in site.daemons:
                made._stopping.set()
        asked = await asyncio.gather(*asking)
        await silence.until_closed([one.got.attempt for one in asked])
        return silence_fakes.faults(site, asked)


@pytest.mark.parametrize(
    "circumstances",
    [
        pytest.param(ONE_DAEMON, id="one daemon"),
        pytest.param([Circumstance(3)], id="three daemons"),
        pytest.param([Circumstance(3, is_cut=True)], id="by relays"),
    ],
)
def test_silence_of_some_servers_ends_no_request(
    circumstances: list[Circumstance],
) -> None:
    """Guards against ending a request because of the silence of a server."""

    async def run() -> None:
        cases = list(itertools.product(circumstances, SHARES))
        playing = [_play(circumstance, *share) for circumstance, share in cases]
        found = await asyncio.gather(*playing)
        assert silence_fakes.failed(cases, found) == {}

    asyncio.run(run())


def test_requests_to_a_server_that_never_answers_are_served_in_time() -> None:
    """Guards against waiting for a server that never answers."""

    async def run() -> None:
        async with silence_fakes.site(engine_count=3) as site:
            silence = silence_fakes.Silence()
            running = silence_fakes.ended()
            for engine in site.engines:
                engine.responder = running.respond
            site.engines[0].responder = silence.respond
            slowest = {}
            for target in ("/plain/2/head/", "/stream/2/events/"):
                asking = silence_fakes.ask_all(site, [target] * COUNT)
                asked = await asyncio.gather(*asking)
                assert silence_fakes.faults(site, asked) == {}
                attempts = [one.got.attempt for one in asked]
                assert set(attempts) & set(site.engines[0].runs)
                await silence.until_closed(attempts)
                slowest[target] = max(one.seconds for one in asked)
            assert slowest["/plain/2/head/"] < PLAIN_BOUND_SECONDS, slowest
            assert slowest["/stream/2/events/"] < STREAM_BOUND_SECONDS, slowest

    asyncio.run(run())
