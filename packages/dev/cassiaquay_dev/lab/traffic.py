"""Arrivals of a day: seeded, in waves and bursts, with lengths that differ widely."""

import math
import random
import typing

from . import days

# Load swings by this share around its mean, once in this many seconds.
SWING = 0.15
SWING_SECONDS = 11.0
# Share of the first team, over that of the next one and so on.
TEAM_STEP = 0.8
LEAST_PROMPT = 16.0


class Request(typing.NamedTuple):
    """One request of a caller; an attempt at it is another thing.

    Attributes
    ----------
    name : str
        Unique in a day.
    kind : str
        Kind of request.
    team : str
        Whose it is.
    at : float
        Seconds from the start of the load.
    prompt_tokens, events : int
        Its real lengths.
    hinted_events : int
        The caller's estimate of the answer's length.
    worth, late_worth : float
        What it is worth to its caller.
    """

    name: str
    kind: str
    team: str
    at: float
    prompt_tokens: int
    events: int
    hinted_events: int
    worth: float
    late_worth: float


def build(day: days.Day, seed: int) -> list[Request]:
    """Return the requests of a day in order of arrival."""
    found: list[Request] = []
    for name, kind in day.kinds.items():
        rng = random.Random(f"{seed} {name}")
        at = 0.0
        most = max([1.0, *(burst.factor for burst in day.bursts)]) * (1.0 + SWING)
        most *= kind.per_second * day.load
        while True:
            at += rng.expovariate(most)
            if at >= day.seconds:
                break
            if rng.random() * most > kind.per_second * rate_factor(day, name, at):
                continue
            found.append(_request(day, name, at, len(found), rng))
    return sorted(found, key=_at)


def rate_factor(day: days.Day, kind: str, at: float) -> float:
    """Return how many times its usual rate a kind has at a moment."""
    factor = day.load * (1.0 + SWING * math.sin(2.0 * math.pi * at / SWING_SECONDS))
    boost = 1.0
    for burst in day.bursts:
        if burst.kind not in ("", kind):
            continue
        if burst.at <= at < burst.at + burst.seconds:
            boost = max(boost, burst.factor)
    return factor * boost


def _request(
    day: days.Day, name: str, at: float, number: int, rng: random.Random
) -> Request:
    kind = day.kinds[name]
    prompt = _drawn(rng, kind.prompt_mean, kind.prompt_spread, kind.prompt_most)
    prompt = max(prompt, LEAST_PROMPT)
    events = _drawn(rng, kind.events_mean, kind.events_spread, kind.events_most)
    events = max(round(events), 1)
    hinted = events * math.exp(rng.gauss(0.0, day.hint_spread))
    tokens = day.engines.event_tokens
    size = prompt + 10.0 * events * tokens
    usual = kind.prompt_mean + 10.0 * kind.events_mean * tokens
    weight = min(0.3 + 0.7 * size / usual, 4.0)
    return Request(
        f"{name}-{number}",
        name,
        _team(day.teams, rng),
        at,
        int(prompt),
        events,
        max(round(hinted), 1),
        kind.worth * weight,
        kind.late_worth * weight,
    )


def _drawn(rng: random.Random, mean: float, spread: float, most: float) -> float:
    """Return a log-normal number with a mean and a relative standard deviation."""
    variance = math.log(1.0 + spread * spread)
    middle = math.log(mean) - variance / 2.0
    return min(math.exp(rng.gauss(middle, math.sqrt(variance))), most)


def _team(count: int, rng: random.Random) -> str:
    weights = [TEAM_STEP**number for number in range(count)]
    return f"team-{rng.choices(range(count), weights)[0]}"


def _at(request: Request) -> float:
    return request.at
