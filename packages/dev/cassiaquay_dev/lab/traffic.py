"""Seeded arrivals of a day: periodic load, bursts, log-normal lengths."""

import math
import random
import typing

from . import days

# Request rate of each team as a share of the previous team's.
TEAM_SHARE_RATIO = 0.8
MIN_PROMPT_TOKENS = 16.0


class Request(typing.NamedTuple):
    """One logical request of a caller, which may take several attempts.

    Attributes
    ----------
    name : str
        Unique name within a day.
    kind : str
        Kind of request.
    team : str
        Name of the sending team.
    at : float
        Seconds from the start of the load.
    prompt_tokens, events : int
        Actual lengths of prompt and answer.
    hinted_events : int
        The caller's estimate of the answer's length.
    worth, late_worth : float
        Worth when answered in time, and when late.
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
        most = max([1.0, *(burst.factor for burst in day.bursts)]) * (1.0 + day.swing)
        most *= kind.per_second * day.load
        while True:
            at += rng.expovariate(most)
            if at >= day.seconds:
                break
            if rng.random() * most > kind.per_second * rate_factor(day, name, at):
                continue
            found.append(_draw_request(day, name, at, len(found), rng))
        found += _team_burst_requests(day, name, seed)
    return sorted(found, key=_arrival_time)


def rate_factor(day: days.Day, kind: str, at: float) -> float:
    """Return the factor on a kind's base rate at a time."""
    factor = day.load * (
        1.0 + day.swing * math.sin(2.0 * math.pi * at / day.swing_seconds)
    )
    boost = 1.0
    for burst in day.bursts:
        if burst.kind not in ("", kind) or burst.team >= 0:
            continue
        if burst.at <= at < burst.at + burst.seconds:
            boost = max(boost, burst.factor)
    return factor * boost


def _team_burst_requests(day: days.Day, name: str, seed: int) -> list[Request]:
    """Return the additional requests of single teams during their bursts."""
    found: list[Request] = []
    weights = _team_weights(day.teams)
    for number, burst in enumerate(day.bursts):
        if burst.kind not in ("", name) or burst.team < 0:
            continue
        rng = random.Random(f"{seed} {name} burst {number}")
        share = weights[burst.team] / sum(weights)
        rate = day.kinds[name].per_second * day.load * share * (burst.factor - 1.0)
        at = burst.at + rng.expovariate(rate)
        while at < min(burst.at + burst.seconds, day.seconds):
            request = _draw_request(day, name, at, len(found), rng)
            found.append(
                request._replace(
                    name=f"{name}-burst-{number}-{len(found)}",
                    team=f"team-{burst.team}",
                )
            )
            at += rng.expovariate(rate)
    return found


def _draw_request(
    day: days.Day, name: str, at: float, number: int, rng: random.Random
) -> Request:
    kind = day.kinds[name]
    prompt = _draw_lognormal(
        rng, kind.prompt_mean, kind.prompt_spread, kind.prompt_most
    )
    prompt = max(prompt, MIN_PROMPT_TOKENS)
    events = _draw_lognormal(
        rng, kind.events_mean, kind.events_spread, kind.events_most
    )
    events = max(round(events), 1)
    hinted = events * math.exp(rng.gauss(0.0, day.hint_spread))
    tokens = day.engines.event_tokens
    size = prompt + 10.0 * events * tokens
    mean_size = kind.prompt_mean + 10.0 * kind.events_mean * tokens
    weight = min(0.3 + 0.7 * size / mean_size, 4.0)
    return Request(
        f"{name}-{number}",
        name,
        _draw_team(day.teams, rng),
        at,
        int(prompt),
        events,
        max(round(hinted), 1),
        kind.worth * weight,
        kind.late_worth * weight,
    )


def _draw_lognormal(
    rng: random.Random, mean: float, spread: float, most: float
) -> float:
    """Draw a log-normal number by mean and relative deviation, capped at ``most``."""
    variance = math.log(1.0 + spread * spread)
    log_mean = math.log(mean) - variance / 2.0
    return min(math.exp(rng.gauss(log_mean, math.sqrt(variance))), most)


def _draw_team(count: int, rng: random.Random) -> str:
    return f"team-{rng.choices(range(count), _team_weights(count))[0]}"


def _team_weights(count: int) -> list[float]:
    return [TEAM_SHARE_RATIO**number for number in range(count)]


def _arrival_time(request: Request) -> float:
    return request.at
