"""JSON bodies of the operators' address, for the daemon that writes and who reads."""

import typing

Field = str | int | float | bool | list[str] | None


class Health(typing.TypedDict):
    """Whether an instance is up."""

    instance: str
    ready: bool
    leaving: bool


class Instance(typing.TypedDict):
    """One instance as another one sees it."""

    instance: str
    incarnation: str
    domain: str
    state: str
    http: str
    admin: str
    revision: int
    load: float
    born: float


class ShardStatus(typing.TypedDict):
    """Queue and running requests of one shard."""

    queue: int
    running: int


class Status(typing.TypedDict):
    """What one instance does now."""

    instance: str
    incarnation: str
    domain: str
    since: float
    leaving: bool
    revision: int
    rejected: dict[str, str]
    members: list[str]
    open: int
    ended: dict[str, int]
    shards: dict[str, ShardStatus]


class Server(typing.TypedDict):
    """One backend server as its keeper sees it."""

    server: str
    domain: str
    model: str
    shard: str
    state: str
    requests: int
    slots: int
    tokens: int


class Group(typing.TypedDict):
    """Waiting requests of one tier and team."""

    shard: str
    tier: str
    team: str
    waiting: int
    oldest_seconds: float


class Running(typing.TypedDict):
    """Permits and dispatches of one shard, and the tier that it sheds now, or empty."""

    shard: str
    running: int
    shedding: str


class Queues(typing.TypedDict):
    """What waits and runs at one keeper."""

    waiting: list[Group]
    running: list[Running]


class Configuration(typing.TypedDict):
    """Configuration in force at one instance."""

    revision: int
    pending: int
    rejected: dict[str, str]


class Event(typing.TypedDict):
    """Something that happened at one instance."""

    at: float
    name: str
    alarm: bool
    team: str
    fields: dict[str, Field]


class ServerVerdict(typing.TypedDict):
    """Why a backend server would or would not get a request."""

    server: str
    verdict: str
    requests: int
    slots: int
    tokens: int
    limit_tokens: int
    cached_tokens: int
    finish_ms: float


class Placement(typing.TypedDict):
    """What the keeper says of a request."""

    shard: str
    keeper: str
    keeper_since_open: bool
    state: str
    ahead_higher: int
    ahead_same: int
    server: str
    servers: list[ServerVerdict]


class Explanation(typing.TypedDict):
    """Which limits, tier, keeper and engine apply to a request, and why."""

    id: str
    state: str
    service: str
    team: str
    tier: str
    rank: int
    deadline_ms: int
    revision: int
    owner: str
    shard: str
    keeper: str
    reasons: list[str]
    placement: Placement | None


class Objective(typing.TypedDict):
    """A service-level objective."""

    service: str
    tier: str
    share: float
    within_ms: int


class Count(typing.TypedDict):
    """Requests in all and good ones."""

    service: str
    tier: str
    axis: str
    name: str
    total: int
    good: int


class Window(typing.TypedDict):
    """One window of burn at one instance."""

    name: str
    seconds: float
    counted_seconds: float
    counts: list[Count]


class Point(typing.TypedDict):
    """One bucket of a series."""

    age_seconds: float
    service: str
    tier: str
    total: int
    good: int


class BurnReport(typing.TypedDict):
    """All windows of one instance."""

    windows: list[Window]
    fast: list[Point]
    slow: list[Point]
    excluded: int


class Burn(typing.TypedDict):
    """What one instance counted of its objectives."""

    instance: str
    incarnation: str
    since: float
    revision: int
    objectives: list[Objective]
    report: BurnReport


class Problem(typing.TypedDict, total=False):
    """A refusal of the operators' address."""

    code: str
    message: str
