"""Which service a caller's plain HTTP request goes to, and under which terms."""

import enum
import random
import typing

# Ranks of routes are told apart within one rank of teams up to this many.
ROUTE_RANKS = 16


class Kind(enum.Enum):
    """What may be repeated.

    A resumable stream may be sent to another server where it broke off; any other
    stream counts as non-idempotent.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class Share(typing.NamedTuple):
    """A service that gets a share of a route's requests."""

    service: str
    weight: float


class Route(typing.NamedTuple):
    """One route.

    Attributes
    ----------
    name : str
        Its name.
    host, prefix : str
        Requests for this host whose path begins with the prefix take it.
    kind : Kind
        What may be repeated.
    shares : tuple of Share
        Where its requests go.
    timeout_seconds : float
        Longest time that a request may take.
    objective_seconds : float
        Time until the answer, or a stream's first event, is late.
    pause_seconds : float
        Pause between events that makes a stream late; 0 when not a stream.
    rank : int
        0 is the most important.
    attempts : int
        Servers that may run one request.
    is_public : bool
        Whether no key is needed.
    is_resumable : bool
        Whether a stream may go on at another server.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    shares: tuple[Share, ...]
    timeout_seconds: float
    objective_seconds: float
    pause_seconds: float
    rank: int
    attempts: int
    is_public: bool
    is_resumable: bool

    @property
    def is_repeatable(self) -> bool:
        """Whether a request that may have run can be sent again."""
        if self.kind is Kind.STREAM:
            return self.is_resumable
        return self.kind is Kind.IDEMPOTENT

    def choose_service(self) -> str:
        """Return a service, each as often as its weight says."""
        if len(self.shares) == 1:
            return self.shares[0].service
        weights = [share.weight for share in self.shares]
        return random.choices(self.shares, weights)[0].service


class Quota(typing.NamedTuple):
    """A team's limit over the whole fleet, in units a second.

    Attributes
    ----------
    rate : float
        Units a second.
    burst : float
        Units that may come at once.
    counts_tokens : bool
        Whether a unit is a token; a request otherwise.
    plain_units : int
        Units of a request that does not say its tokens.
    """

    rate: float
    burst: float
    counts_tokens: bool
    plain_units: int


class Team(typing.NamedTuple):
    """A team as its requests are treated; ``rank`` goes before the route's."""

    name: str
    rank: int | None
    quota: Quota | None


class Bounds(typing.NamedTuple):
    """What a caller may send, and how long its connection may idle."""

    header_bytes: int
    body_bytes: int
    header_seconds: float
    idle_seconds: float


class Routing(typing.NamedTuple):
    """All routes and teams of one configuration.

    Attributes
    ----------
    version : int
        The operators' number of it, for logs.
    hosts : dict of str to list of Route
        By host; longer prefixes come first.
    teams_by_key : dict of str to Team
        By API key.
    quotas : dict of str to Quota
        By team.
    needs_keys : bool
        Whether requests carry keys at all.
    event_tokens : dict of str to int
        Tokens in one event of a stream, by service whose servers are model engines.
    bounds : Bounds
        What a caller may send.
    """

    version: int
    hosts: dict[str, list[Route]]
    teams_by_key: dict[str, Team]
    quotas: dict[str, Quota]
    needs_keys: bool
    event_tokens: dict[str, int]
    bounds: Bounds

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, or None."""
        for route in self.hosts.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def rank_of(team: Team | None, route: Route) -> int:
    """Return the rank of a request: its team's goes before its route's.

    Among requests whose teams rank the same the routes decide, so that teams which all
    have one rank do not make all kinds of request equal.
    """
    first = route.rank
    if team is not None and team.rank is not None:
        first = team.rank
    return first * ROUTE_RANKS + min(max(route.rank, 0), ROUTE_RANKS - 1)
