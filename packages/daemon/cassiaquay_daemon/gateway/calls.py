"""One accepted attempt of a caller's request, with its route and deadline."""

import typing

from .. import clock
from ..configured import routing, snapshots
from ..platform import headers

# The caller's timeout starts when it sends the first byte, the gateway's when the
# headers have been read; the margin makes the gateway's deadline the earlier one.
DEADLINE_MARGIN_SECONDS = 0.01


class Call(typing.NamedTuple):
    """One attempt of a caller's request.

    Attributes
    ----------
    method, target : str
        Method and request target as received; the target is the path with its query.
    headers : list of pairs
        Headers as received, names in lower case.
    parsed : ParsedHeaders
        Values decoded from the headers.
    body : bytes
        The complete body.
    route : Route
        Route that matches its host and path.
    service : str
        Service of the route that was chosen for it.
    team : Team or None
        Team of its API key.
    snapshot : Snapshot
        The configuration that it was accepted under.
    began_at, deadline : float
        Seconds on this clock; the request ends at the deadline.
    content : str
        Digest of what all attempts of one request have in common.
    age_seconds : float
        Time from the caller's first attempt to this one; 0 if this is the first.
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
    age_seconds: float = 0.0

    @property
    def seconds_left(self) -> float:
        """Seconds until its deadline."""
        return self.deadline - clock.now()

    @property
    def rank(self) -> int:
        """Priority rank of the request; 0 is the most important."""
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
        """Seconds until the objective of this attempt has passed."""
        return self.began_at + self.route.objective_seconds - clock.now()

    @property
    def first_event_seconds_left(self) -> float:
        """Seconds until the answer, or its first event, is late for the caller."""
        return self.objective_seconds_left - self.age_seconds


def compute_deadline(
    began_at: float, parsed: headers.ParsedHeaders, route: routing.Route
) -> float:
    """Return the earlier of the caller's deadline and the route's timeout."""
    seconds = route.timeout_seconds
    if parsed.deadline_ms:
        seconds = min(seconds, parsed.deadline_ms / 1000.0)
    return began_at + seconds - DEADLINE_MARGIN_SECONDS
