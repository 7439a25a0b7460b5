"""Seeded workloads: requests with team, service and time of arrival."""

import random
import typing

from .. import deployments

WORDS = ("lesson", "answer", "measure", "hem", "lace", "exam", "pupil", "plan")


class Arrival(typing.NamedTuple):
    """One request of a workload.

    Attributes
    ----------
    at : float
        Seconds after the start.
    team, tier, service : str
        Sending team, and names of the tier and the service.
    session : str
        Name of the session, whose requests share a prompt prefix; may be empty.
    prompt : str
        Text of the prompt; empty for plain services.
    max_tokens : int
        Length of the answer in tokens.
    path : str
        Path of a call to a plain service; empty for model engines.
    deadline : float
        Seconds from arrival until the answer is useless.
    idempotent : bool
        Whether the request may run more than once.
    """

    at: float
    team: deployments.TeamSpec
    tier: str
    service: str
    session: str
    prompt: str
    max_tokens: int
    path: str
    deadline: float
    idempotent: bool


def text(rng: random.Random, tokens: int) -> str:
    """Return a random text of ``tokens`` tokens of four characters."""
    words = []
    length = 0
    while length < tokens * 4:
        word = f"{rng.choice(WORDS)}{rng.randrange(1000)} "
        words.append(word)
        length += len(word)
    return "".join(words)[: tokens * 4]


def mixed(
    deployment: deployments.Deployment, seed: int, seconds: float, rate: float
) -> list[Arrival]:
    """Return a mix of short questions, long histories and bookings.

    Their lengths differ by a factor of about a hundred.
    """
    rng = random.Random(seed)
    histories: dict[str, str] = {}
    arrivals = []
    at = rng.expovariate(rate)
    while at < seconds:
        arrivals.append(_draw_arrival(deployment, rng, at, histories))
        at += rng.expovariate(rate)
    return arrivals


def _draw_arrival(
    deployment: deployments.Deployment,
    rng: random.Random,
    at: float,
    histories: dict[str, str],
) -> Arrival:
    shares = [team.share for team in deployment.teams]
    team = rng.choices(deployment.teams, shares)[0]
    tier = rng.choices(deployment.tiers, [0.15, 0.35, 0.3, 0.2])[0]
    kind = rng.choices(["question", "history", "booking"], [0.6, 0.2, 0.2])[0]
    if kind == "booking":
        path = "/book"
        service = deployment.plain_service
        return Arrival(at, team, tier, service, "", "", 1, path, 5.0, False)
    service = deployment.model_service
    if kind == "question":
        prompt = text(rng, rng.randint(20, 60))
        length = rng.randint(8, 40)
        return Arrival(at, team, tier, service, "", prompt, length, "", 6.0, True)
    session = f"{team.name}-{rng.randrange(6)}"
    if session not in histories:
        histories[session] = text(rng, rng.randint(2000, 5000))
    prompt = histories[session] + text(rng, 60)
    length = rng.randint(60, 160)
    return Arrival(at, team, tier, service, session, prompt, length, "", 15.0, True)
