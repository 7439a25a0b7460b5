"""JSON bodies of the operators' interface, shared by the daemon and its clients."""

import typing

Field = str | int | float | bool | list[str] | None


class Health(typing.TypedDict):
    """Readiness of an instance."""

    instance: str
    ready: bool
    leaving: bool


class InstanceCapacity(typing.TypedDict):
    """How much of the fleet's work an instance gets, by its stated capacity."""

    best_class: bool
    slow: bool
    caller_share: float


class Instance(typing.TypedDict):
    """One instance, as another instance knows it by its membership records."""

    instance: str
    incarnation: str
    domain: str
    state: str
    http: str
    admin: str
    revision: int
    load: float
    born: float
    # Absent if instances are placed evenly.
    capacity: typing.NotRequired[InstanceCapacity]


class ShardStatus(typing.TypedDict):
    """Queue and running requests of one shard."""

    queue: int
    running: int


class Status(typing.TypedDict):
    """Current state of one instance."""

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
    """One backend server and its usage, as reported by its keeper."""

    server: str
    domain: str
    model: str
    shard: str
    state: str
    requests: int
    slots: int
    tokens: int


class Group(typing.TypedDict):
    """Waiting requests of one tier and team in a shard."""

    shard: str
    tier: str
    team: str
    waiting: int
    oldest_seconds: float


class Running(typing.TypedDict):
    """Running requests of one shard, and the tier that it sheds now, or empty."""

    shard: str
    running: int
    shedding: str


class Queues(typing.TypedDict):
    """Waiting and running requests of one keeper."""

    waiting: list[Group]
    running: list[Running]


class Configuration(typing.TypedDict):
    """Configuration revision in force at one instance, and refused ones."""

    revision: int
    pending: int
    rejected: dict[str, str]


class Event(typing.TypedDict):
    """A logged event of one instance."""

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
    """The keeper's view of a request: its queue position and each server's state."""

    shard: str
    keeper: str
    keeper_since_open: bool
    state: str
    ahead_higher: int
    ahead_same: int
    server: str
    servers: list[ServerVerdict]
    # Of the demand's team, as shares of 1; missing if no team got work of late, and
    # from keepers of earlier versions.
    team_share: typing.NotRequired[float]
    fair_share: typing.NotRequired[float]
    team_reason: typing.NotRequired[str]


class Explanation(typing.TypedDict):
    """The limits, tier, keeper and servers of a request, with the reasons."""

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
    """Numbers of all requests and of good ones."""

    service: str
    tier: str
    axis: str
    name: str
    total: int
    good: int


class Window(typing.TypedDict):
    """Counts of one error-budget burn window at one instance."""

    name: str
    seconds: float
    counted_seconds: float
    counts: list[Count]


class Point(typing.TypedDict):
    """One bucket of a time series."""

    age_seconds: float
    service: str
    tier: str
    total: int
    good: int


class BurnReport(typing.TypedDict):
    """All burn windows of one instance."""

    windows: list[Window]
    fast: list[Point]
    slow: list[Point]
    excluded: int


class Burn(typing.TypedDict):
    """Service-level objectives and the counts of one instance."""

    instance: str
    incarnation: str
    since: float
    revision: int
    objectives: list[Objective]
    report: BurnReport


class Problem(typing.TypedDict, total=False):
    """Error body of the operators' interface."""

    code: str
    message: str
