"""Seeded workloads: who asks what, when."""

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
        Names.
    session : str
        Requests of one session share the beginning of their prompt.
    prompt : str
        Empty for plain services.
    max_tokens : int
        Length of the answer.
    path : str
        Empty for model engines.
    deadline : float
        Seconds in which the answer is of use.
    idempotent : bool
        False: nothing may run it twice.
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


def text(random_source: random.Random, tokens: int) -> str:
    """Return a text of about ``tokens`` tokens of four characters."""
    words = []
    length = 0
    while length < tokens * 4:
        word = f"{random_source.choice(WORDS)}{random_source.randrange(1000)} "
        words.append(word)
        length += len(word)
    return "".join(words)[: tokens * 4]


def mixed(
    deployment: deployments.Deployment, seed: int, seconds: float, rate: float
) -> list[Arrival]:
    """Return short questions, long histories and bookings, a hundredfold apart."""
    source = random.Random(seed)
    histories: dict[str, str] = {}
    arrivals = []
    at = source.expovariate(rate)
    while at < seconds:
        arrivals.append(_one(deployment, source, at, histories))
        at += source.expovariate(rate)
    return arrivals


def _one(
    deployment: deployments.Deployment,
    source: random.Random,
    at: float,
    histories: dict[str, str],
) -> Arrival:
    shares = [team.share for team in deployment.teams]
    team = source.choices(deployment.teams, shares)[0]
    tier = source.choices(deployment.tiers, [0.15, 0.35, 0.3, 0.2])[0]
    kind = source.choices(["question", "history", "booking"], [0.6, 0.2, 0.2])[0]
    if kind == "booking":
        path = "/book"
        service = deployment.plain_service
        return Arrival(at, team, tier, service, "", "", 1, path, 5.0, False)
    service = deployment.model_service
    if kind == "question":
        prompt = text(source, source.randint(20, 60))
        length = source.randint(8, 40)
        return Arrival(at, team, tier, service, "", prompt, length, "", 6.0, True)
    session = f"{team.name}-{source.randrange(6)}"
    if session not in histories:
        histories[session] = text(source, source.randint(2000, 5000))
    prompt = histories[session] + text(source, 60)
    length = source.randint(60, 160)
    return Arrival(at, team, tier, service, session, prompt, length, "", 15.0, True)
