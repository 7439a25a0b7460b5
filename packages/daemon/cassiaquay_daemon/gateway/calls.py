"""One caller's request at the gateway, from its headers to its end."""

import typing

from .. import clock
from ..configured import routing, snapshots
from ..platform import headers

# The caller's clock runs from when it sent the first byte; ours from when the headers
# were read. Its wait ends a moment before ours would.
DEADLINE_MARGIN_SECONDS = 0.01


class Call(typing.NamedTuple):
    """One attempt of a caller.

    Attributes
    ----------
    method, target : str
        As sent; the target is the path with its query.
    headers : list of pairs
        As sent, names in lower case.
    facts : Facts
        What the headers say.
    body : bytes
        Read whole.
    route : Route
        Where it goes.
    service : str
        The service of that route that gets it.
    team : Team or None
        Whose key came with it.
    snapshot : Snapshot
        The configuration that it was accepted under.
    began_at, deadline : float
        Seconds on this clock; the request ends at the deadline.
    content : str
        Digest of what all attempts of the same request have in common.
    """

    method: str
    target: str
    headers: list[tuple[bytes, bytes]]
    parsed: headers.ParsedHeaders
    body: bytes
    route: routing.Route
    service: str
    team: routing.Team | None
    snapshot: snapshots.Snapshot
    began_at: float
    deadline: float
    content: str = ""

    @property
    def seconds_left(self) -> float:
        """Seconds until its deadline."""
        return self.deadline - clock.now()

    @property
    def rank(self) -> int:
        """Its rank, 0 the most important."""
        return routing.rank_of(self.team, self.route)

    @property
    def team_name(self) -> str:
        """Name of its team, or empty."""
        return self.team.name if self.team is not None else ""

    @property
    def event_tokens(self) -> int:
        """Tokens in one event of its answer."""
        routes = self.snapshot.routes
        if routes is None:
            return 1
        return routes.event_tokens.get(self.service, 1)

    @property
    def is_stream(self) -> bool:
        """Whether its answer is a stream of events."""
        return self.route.kind is routing.Kind.STREAM

    @property
    def objective_seconds_left(self) -> float:
        """Seconds until its answer, or first event, is late."""
        return self.began_at + self.route.objective_seconds - clock.now()


def compute_deadline(
    began_at: float, parsed: headers.ParsedHeaders, route: routing.Route
) -> float:
    """Return when a request ends: by the caller's patience or the route's bound."""
    seconds = route.timeout_seconds
    if parsed.deadline_ms:
        seconds = min(seconds, parsed.deadline_ms / 1000.0)
    return began_at + seconds - DEADLINE_MARGIN_SECONDS
