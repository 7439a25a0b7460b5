"""Routing of callers' plain HTTP requests: the service, and its limits and ranks."""

import enum
import random
import typing

# Number of route ranks that are distinguished within one rank of teams.
ROUTE_RANKS = 16


class Kind(enum.Enum):
    """Whether a request may be sent again.

    An interrupted resumable stream may be continued on another server; any other stream
    counts as non-idempotent.
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
        Name of the route.
    host, prefix : str
        The route applies to requests for this host whose path begins with the prefix.
    kind : Kind
        Whether its requests may be sent again.
    shares : tuple of Share
        Services that its requests go to, by weight.
    timeout_seconds : float
        Maximum duration of a request.
    objective_seconds : float
        Time after which the answer, or a stream's first event, is late.
    pause_seconds : float
        Pause between events that makes a stream late; 0 when not a stream.
    rank : int
        0 is the most important.
    attempts : int
        Maximum number of servers that may run one request.
    is_public : bool
        Whether requests need no key.
    is_resumable : bool
        Whether an interrupted stream may be continued on another server.
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
        """Whether a request that a server may have run can be sent again."""
        if self.kind is Kind.STREAM:
            return self.is_resumable
        return self.kind is Kind.IDEMPOTENT

    def choose_service(self) -> str:
        """Return a random service with a probability in proportion to its weight."""
        if len(self.shares) == 1:
            return self.shares[0].service
        weights = [share.weight for share in self.shares]
        return random.choices(self.shares, weights)[0].service


class Quota(typing.NamedTuple):
    """A team's rate limit over the whole fleet.

    Attributes
    ----------
    rate : float
        Units per second.
    burst : float
        Units that may arrive at once.
    counts_tokens : bool
        Whether a unit is a token; otherwise it is a request.
    plain_units : int
        Units of a request that does not state its tokens.
    """

    rate: float
    burst: float
    counts_tokens: bool
    plain_units: int


class Team(typing.NamedTuple):
    """A team's rank and quota; ``rank``, if set, overrides that of the route."""

    name: str
    rank: int | None
    quota: Quota | None


class Bounds(typing.NamedTuple):
    """Limits of a caller's request size and of its connection's idle time."""

    header_bytes: int
    body_bytes: int
    header_seconds: float
    idle_seconds: float


class Routing(typing.NamedTuple):
    """All routes and teams of one configuration.

    Attributes
    ----------
    version : int
        The operators' version number of the configuration, for logs.
    hosts : dict of str to list of Route
        Routes by host; longer prefixes come first.
    teams_by_key : dict of str to Team
        Teams by API key.
    quotas : dict of str to Quota
        Quotas by team.
    needs_keys : bool
        Whether requests must carry keys.
    event_tokens : dict of str to int
        Tokens in one event of a stream, by service whose servers are model engines.
    bounds : Bounds
        Limits of a caller's requests.
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
    """Return the rank of a request: ordered by its team's rank, then its route's.

    A team without a rank has that of the route. Among requests of teams with equal
    ranks the route decides, so that routes still differ when all teams have one rank.
    """
    main_rank = route.rank
    if team is not None and team.rank is not None:
        main_rank = team.rank
    return main_rank * ROUTE_RANKS + min(max(route.rank, 0), ROUTE_RANKS - 1)
