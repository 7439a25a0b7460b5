"""The two example deployments: their stand-ins and their fleet text."""

import hashlib
import typing

from cassiaquay_schema import registry


class EngineSpec(typing.NamedTuple):
    """One model engine.

    Attributes
    ----------
    name, domain : str
        Name and failure domain.
    prefill_tokens_per_second : float
        Speed of prefill.
    step_ms : float
        Fixed duration of one step, in which every decoding request gets a token.
    max_batch : int
        Maximum number of concurrent requests.
    cache_tokens : int
        Size of the prefix cache.
    """

    name: str
    domain: str
    prefill_tokens_per_second: float
    step_ms: float
    max_batch: int
    cache_tokens: int


class PlainSpec(typing.NamedTuple):
    """One plain server: concurrent requests and mean service time."""

    name: str
    domain: str
    slots: int
    service_ms: float


class TeamSpec(typing.NamedTuple):
    """One team, its weight in fair sharing and its share of the generated requests."""

    name: str
    credential: str
    weight: float
    share: float


class Deployment(typing.NamedTuple):
    """Failure domains, backend servers, services, tiers and teams of a deployment."""

    name: str
    domains: list[str]
    model: str
    model_service: str
    plain_service: str
    engines: list[EngineSpec]
    plains: list[PlainSpec]
    tiers: list[str]
    teams: list[TeamSpec]
    margins: dict[str, float] = {}


deployments: registry.Registry[Deployment] = registry.Registry("deployment")

TIERS = ["urgent", "interactive", "standard", "background"]


def _teams(names: list[str]) -> list[TeamSpec]:
    shares = [0.4, 0.3, 0.15, 0.1, 0.05]
    teams = []
    for name, share in zip(names, shares, strict=True):
        teams.append(TeamSpec(name, f"credential-of-{name}", 1.0, share))
    return teams


BRINDLEY = deployments.register("brindley")(
    Deployment(
        "brindley",
        ["derby", "leicester", "nottingham"],
        "tutor-7b",
        "tutor-assist",
        "bookings-app",
        [
            EngineSpec("tutor-1", "derby", 24_000, 6.0, 32, 120_000),
            EngineSpec("tutor-2", "derby", 24_000, 6.0, 32, 120_000),
            EngineSpec("tutor-3", "leicester", 12_000, 10.0, 24, 80_000),
            EngineSpec("tutor-4", "leicester", 12_000, 10.0, 24, 80_000),
            EngineSpec("tutor-5", "nottingham", 6_000, 18.0, 16, 40_000),
        ],
        [
            PlainSpec("bookings-1", "derby", 8, 15.0),
            PlainSpec("bookings-2", "leicester", 8, 15.0),
            PlainSpec("bookings-3", "nottingham", 8, 30.0),
        ],
        TIERS,
        _teams(["feedback", "questions", "homework", "parents", "timetable"]),
        # A late answer counts as a failure in this deployment, and wasted prefill
        # costs little in comparison.
        {"urgent": 0.9},
    )
)

VEIQIA = deployments.register("veiqia")(
    Deployment(
        "veiqia",
        ["suva-a", "suva-b", "suva-c"],
        "stylist-13b",
        "stylist-llm",
        "atelier-app",
        [
            EngineSpec("stylist-1", "suva-a", 20_000, 7.0, 32, 160_000),
            EngineSpec("stylist-2", "suva-a", 20_000, 7.0, 32, 160_000),
            EngineSpec("stylist-3", "suva-b", 10_000, 12.0, 24, 100_000),
            EngineSpec("stylist-4", "suva-b", 10_000, 12.0, 24, 100_000),
            EngineSpec("stylist-5", "suva-c", 5_000, 20.0, 16, 60_000),
            EngineSpec("stylist-6", "suva-c", 5_000, 20.0, 16, 60_000),
        ],
        [
            PlainSpec("atelier-1", "suva-a", 8, 15.0),
            PlainSpec("atelier-2", "suva-b", 8, 15.0),
            PlainSpec("atelier-3", "suva-c", 8, 30.0),
        ],
        TIERS,
        _teams(["fittings", "plans", "photos", "fabric", "office"]),
    )
)


def fleet_text(deployment: Deployment, addresses: dict[str, str]) -> str:
    """Return the fleet text of a deployment.

    Parameters
    ----------
    deployment : Deployment
        The deployment to describe.
    addresses : dict of str to str
        Address (host:port) of each backend server, by name.
    """
    lines = []
    for rank, tier in enumerate(deployment.tiers):
        lines += [f"[tiers.{tier}]", f"rank = {rank}"]
        if tier in deployment.margins:
            lines += [f"margin = {deployment.margins[tier]}"]
        lines += [""]
    quoted = ", ".join(f'"{tier}"' for tier in deployment.tiers)
    for team in deployment.teams:
        digest = hashlib.sha256(team.credential.encode()).hexdigest()
        lines += [f"[teams.{team.name}]", f'credentials = ["{digest}"]']
        lines += [f"tiers = [{quoted}]", f"weight = {team.weight}", ""]
    lines += [f"[models.{deployment.model}]", 'version = "1"', ""]
    lines += ["[pools.engines]", 'adapter = "engine-http"']
    for engine in deployment.engines:
        lines += ["[[pools.engines.servers]]", f'name = "{engine.name}"']
        lines += [f'address = "{addresses[engine.name]}"']
        lines += [f'domain = "{engine.domain}"', f'model = "{deployment.model}"']
        lines += [f"slots = {engine.max_batch}"]
    lines += ["", "[pools.plain]", 'adapter = "plain-http"']
    for plain in deployment.plains:
        lines += ["[[pools.plain.servers]]", f'name = "{plain.name}"']
        lines += [f'address = "{addresses[plain.name]}"']
        lines += [f'domain = "{plain.domain}"', f"slots = {plain.slots}"]
    lines += ["", f"[services.{deployment.plain_service}]", 'pool = "plain"']
    lines += ["deadline_ms = 5000", ""]
    lines += [f"[services.{deployment.model_service}]", 'pool = "engines"']
    lines += [f'model = "{deployment.model}"']
    lines += [f'depends_on = ["{deployment.plain_service}"]', "deadline_ms = 20000"]
    for tier in deployment.tiers:
        lines += [f"[[services.{deployment.model_service}.objectives]]"]
        lines += [f'tier = "{tier}"', "share = 0.99", "within_ms = 10000"]
    return "\n".join(lines) + "\n"
