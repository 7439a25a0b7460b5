"""Registered, seeded workloads of the bench."""

import random
import typing

from cassiaquay_schema import registry

from .. import deployments
from . import workloads

SHARED_TOKENS = 256


class Kind(typing.NamedTuple):
    """One kind of request; ranges are inclusive, lengths in tokens.

    Attributes
    ----------
    name : str
        Name in results.
    weight : float
        Share of the requests.
    fresh : tuple of int
        Unique tokens of the prompt.
    answer : tuple of int
        Tokens of the answer.
    deadline : float
        Seconds.
    shared : bool
        Whether all prompts of a team and kind share their first `SHARED_TOKENS` tokens.
    history : tuple of int
        Tokens of a session's history; (0, 0) for kinds without sessions.
    sessions : int
        Number of sessions per team.
    grows : bool
        Whether each request of a session appends its unique tokens to the history.
    path : str
        Path of a call to the plain service; empty for model engines.
    """

    name: str
    weight: float
    fresh: tuple[int, int]
    answer: tuple[int, int]
    deadline: float
    shared: bool = False
    history: tuple[int, int] = (0, 0)
    sessions: int = 0
    grows: bool = False
    path: str = ""


class Workload(typing.NamedTuple):
    """A mix of kinds over time.

    Attributes
    ----------
    name : str
        Name in the registry.
    kinds : list of Kind
        The mix of requests, in the first half if there is a later one.
    later : list of Kind
        The mix of the second half; empty to keep the first mix.
    tiers : list of float
        Shares of the requests by tier, the most important first.
    burst : float
        Factor on the rate in the middle fifth of the run.
    repeats : int
        Number of times that the application repeats a call after "not run".
    """

    name: str
    kinds: list[Kind]
    later: list[Kind]
    tiers: list[float]
    burst: float
    repeats: int


TIER_SHARES = [0.15, 0.3, 0.35, 0.2]
BURST_FROM = 0.4
BURST_UNTIL = 0.6

QUESTION = Kind("question", 0.55, (20, 60), (8, 40), 3.0, shared=True)
FEEDBACK = Kind(
    "feedback", 0.15, (60, 120), (60, 160), 8.0, history=(2000, 5000), sessions=6
)
HOMEWORK = Kind("homework", 0.15, (150, 400), (2, 8), 3.0, shared=True)
BOOKING = Kind("booking", 0.15, (0, 0), (1, 1), 5.0, path="/book")

FITTING = Kind(
    "fitting",
    0.3,
    (60, 200),
    (40, 120),
    8.0,
    history=(2000, 5000),
    sessions=8,
    grows=True,
)
TABLE_QUESTION = Kind("question", 0.4, (20, 60), (8, 40), 3.0, shared=True)
PHOTO = Kind("photo", 0.2, (30, 80), (2, 8), 3.0, shared=True)
ORDER = Kind("order", 0.1, (0, 0), (1, 1), 5.0, path="/orders")

EVENING = [QUESTION, FEEDBACK, HOMEWORK, BOOKING]
FITTINGS = [FITTING, TABLE_QUESTION, PHOTO, ORDER]
SHIFTED = [
    QUESTION._replace(weight=0.2),
    FEEDBACK._replace(weight=0.5),
    HOMEWORK,
    BOOKING,
]

registered: registry.Registry[Workload] = registry.Registry("workload")

for _workload in (
    Workload("brindley-evening", EVENING, [], TIER_SHARES, 1.0, 0),
    Workload("brindley-shifted", EVENING, SHIFTED, TIER_SHARES, 1.0, 0),
    Workload("brindley-burst", EVENING, [], TIER_SHARES, 4.0, 0),
    Workload("brindley-repeats", EVENING, [], TIER_SHARES, 1.0, 4),
    Workload("veiqia-fittings", FITTINGS, [], TIER_SHARES, 1.0, 0),
    Workload("veiqia-burst", FITTINGS, [], TIER_SHARES, 4.0, 0),
    Workload("veiqia-repeats", FITTINGS, [], TIER_SHARES, 1.0, 4),
):
    registered.register(_workload.name)(_workload)


class _PromptGenerator:
    """Generates prompts and caches the texts that requests share."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._shared_texts: dict[str, str] = {}

    def prompt(self, team: str, kind: Kind) -> tuple[str, str]:
        """Return the session name, or an empty string, and the prompt."""
        rng = self._rng
        if kind.path:
            return "", ""
        fresh = workloads.text(rng, rng.randint(*kind.fresh))
        if kind.shared:
            prefix = self._shared_text(f"{team}/{kind.name}", SHARED_TOKENS)
            return "", prefix + fresh
        if not kind.sessions:
            return "", fresh
        session = f"{team}-{kind.name}-{rng.randrange(kind.sessions)}"
        history = self._shared_text(session, rng.randint(*kind.history))
        if kind.grows:
            self._shared_texts[session] = history + fresh
        return session, history + fresh

    def _shared_text(self, name: str, tokens: int) -> str:
        if name not in self._shared_texts:
            self._shared_texts[name] = workloads.text(self._rng, tokens)
        return self._shared_texts[name]


def build(
    workload: Workload,
    deployment: deployments.Deployment,
    seed: int,
    seconds: float,
    rate: float,
) -> list[workloads.Arrival]:
    """Return the arrivals of a run; deterministic for given arguments.

    Parameters
    ----------
    workload : Workload
        Mix of requests.
    deployment : Deployment
        Teams, tiers and services.
    seed : int
        Seed of the random generator.
    seconds : float
        Time over which requests arrive.
    rate : float
        Mean requests per second outside a burst.
    """
    rng = random.Random(seed)
    generator = _PromptGenerator(rng)
    shares = [team.share for team in deployment.teams]
    arrivals = []
    at = rng.expovariate(rate)
    while at < seconds:
        kinds = workload.kinds
        if workload.later and at > seconds / 2:
            kinds = workload.later
        kind = rng.choices(kinds, [kind.weight for kind in kinds])[0]
        team = rng.choices(deployment.teams, shares)[0]
        tier = rng.choices(deployment.tiers, workload.tiers)[0]
        session, prompt = generator.prompt(team.name, kind)
        service = deployment.plain_service if kind.path else deployment.model_service
        arrivals.append(
            workloads.Arrival(
                at,
                team,
                tier,
                service,
                session,
                prompt,
                rng.randint(*kind.answer),
                kind.path,
                kind.deadline,
                not kind.path,
            )
        )
        in_burst = BURST_FROM <= at / seconds < BURST_UNTIL
        at += rng.expovariate(rate * (workload.burst if in_burst else 1.0))
    return arrivals
