"""Requests whose servers are silent for a time."""

import asyncio
import typing

import gateway_fakes as fakes
import silence_fakes

COUNT = 8


class Case(typing.NamedTuple):
    """Requests that are open while servers are silent.

    Attributes
    ----------
    target : str
        Prefix of their route.
    place : str
        Where in their answers the servers are silent.
    seconds : float
        Length of the silence.
    is_spent : bool
        Whether the retry budget is spent.
    """

    target: str
    place: silence_fakes.Place = "head"
    seconds: float = silence_fakes.SILENCE_SECONDS
    is_spent: bool = False


CORE_CASES = [
    Case("/plain/1/"),
    Case("/plain/2/"),
    Case("/plain/3/", is_spent=True),
    Case("/stream/1/", "events"),
    Case("/stream/2/", "events", is_spent=True),
    Case("/stream/2/", "events", 3.0),
]


async def _lost_of(case: Case) -> tuple[Case, int]:
    """Return how many requests of a case got no whole answer."""
    async with fakes.site() as site:
        await silence_fakes.prepare(site)
        if case.is_spent:
            silence_fakes.spend_budget(site)
        silence = silence_fakes.Silence()
        for engine in site.engines:
            engine.responder = silence.responder(case.place)
        silence.end_after(case.seconds)
        answers = await silence_fakes.ask_each(site, case.target, COUNT)
        for got in answers:
            assert len(site.engines_of(got.attempt)) <= int(case.target[-2])
        return case, len(silence_fakes.lost(case.target, answers))


def test_silence_of_all_servers_ends_no_request() -> None:
    """Guards against giving up the one server that would still answer."""

    async def run() -> None:
        async with asyncio.timeout(fakes.TIMEOUT_SECONDS):
            counts = await asyncio.gather(*[_lost_of(case) for case in CORE_CASES])
        assert [(case, lost) for case, lost in counts if lost] == []

    asyncio.run(run())
