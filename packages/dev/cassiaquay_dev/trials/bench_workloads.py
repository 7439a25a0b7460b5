"""Named, seeded workloads of the bench: who asks what, when, of what length."""

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
        For results.
    weight : float
        Share of the requests.
    fresh : tuple of int
        Tokens of the prompt that no other request has.
    answer : tuple of int
        Tokens of the answer.
    deadline : float
        Seconds.
    shared : bool
        All requests of a team and kind begin with the same `SHARED_TOKENS` tokens.
    history : tuple of int
        Tokens of a session's history; (0, 0) for kinds without sessions.
    sessions : int
        Sessions of each team.
    grows : bool
        Each request of a session adds its own part to the history.
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
        The mix at the start.
    later : list of Kind
        The mix of the second half; empty for the same as at the start.
    tiers : list of float
        Shares of the tiers, the most important first.
    burst : float
        Factor on the rate in the middle fifth of the run.
    repeats : int
        How often the application asks again after "not run".
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


class _Writer:
    """Writes prompts; keeps the texts that requests share."""

    def __init__(self, source: random.Random):
        self._source = source
        self._kept: dict[str, str] = {}

    def prompt(self, team: str, kind: Kind) -> tuple[str, str]:
        """Return the session, or an empty string, and the prompt."""
        source = self._source
        if kind.path:
            return "", ""
        fresh = workloads.text(source, source.randint(*kind.fresh))
        if kind.shared:
            begin = self._keep(f"{team}/{kind.name}", SHARED_TOKENS)
            return "", begin + fresh
        if not kind.sessions:
            return "", fresh
        session = f"{team}-{kind.name}-{source.randrange(kind.sessions)}"
        history = self._keep(session, source.randint(*kind.history))
        if kind.grows:
            self._kept[session] = history + fresh
        return session, history + fresh

    def _keep(self, name: str, tokens: int) -> str:
        if name not in self._kept:
            self._kept[name] = workloads.text(self._source, tokens)
        return self._kept[name]


def build(
    workload: Workload,
    deployment: deployments.Deployment,
    seed: int,
    seconds: float,
    rate: float,
) -> list[workloads.Arrival]:
    """Return the arrivals of a run; the same for the same arguments.

    Parameters
    ----------
    workload : Workload
        The mix.
    deployment : Deployment
        Teams, tiers and services.
    seed : int
        Seed of all choices.
    seconds : float
        Time over which requests arrive.
    rate : float
        Mean requests a second outside a burst.
    """
    source = random.Random(seed)
    writer = _Writer(source)
    shares = [team.share for team in deployment.teams]
    arrivals = []
    at = source.expovariate(rate)
    while at < seconds:
        kinds = workload.kinds
        if workload.later and at > seconds / 2:
            kinds = workload.later
        kind = source.choices(kinds, [kind.weight for kind in kinds])[0]
        team = source.choices(deployment.teams, shares)[0]
        tier = source.choices(deployment.tiers, workload.tiers)[0]
        session, prompt = writer.prompt(team.name, kind)
        service = deployment.plain_service if kind.path else deployment.model_service
        arrivals.append(
            workloads.Arrival(
                at,
                team,
                tier,
                service,
                session,
                prompt,
                source.randint(*kind.answer),
                kind.path,
                kind.deadline,
                not kind.path,
            )
        )
        in_burst = BURST_FROM <= at / seconds < BURST_UNTIL
        at += source.expovariate(rate * (workload.burst if in_burst else 1.0))
    return arrivals
