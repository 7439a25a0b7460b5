"""Callers' requests, checked before anything else looks at them."""

from .. import exceptions, pause
from ..configured import routing
from ..decisions import contents
from ..fleet import configuration, servers
from ..platform import headers
from . import calls, replies

# Retry-After before the first configuration is here, or while it may be old.
NOT_READY_RETRY_MS = 500
# After a start or a pause an instance knows what is true within some 50 ms, and the
# callers that connected meanwhile are served then. Whoever would wait longer than the
# shortest objective in use has a better chance at another instance.
RENEWAL_WAIT_SECONDS = 0.4


class Acceptor:
    """Finds the route and the team of requests.

    Parameters
    ----------
    configured : Configuration
        Routes and teams in force.
    known : Servers
        How old the configuration may be.
    pauses : Pauses
        Whether this instance knows what is true now.
    """

    def __init__(
        self,
        configured: configuration.Configuration,
        known: servers.Servers,
        pauses: pause.Pauses,
    ):
        self._pauses = pauses
        self._configured = configured
        self._servers = known

    async def accept(
        self,
        scope: replies.Scope,
        receive: replies.Receive,
        parsed: headers.ParsedHeaders,
        began_at: float,
    ) -> calls.Call:
        """Return a checked request; raise a Refusal when it cannot be one."""
        await self._pauses.wait(RENEWAL_WAIT_SECONDS)
        snapshot = self._configured.current
        if snapshot is None or snapshot.routes is None:
            raise exceptions.NotReady(retry_after_ms=NOT_READY_RETRY_MS)
        if not parsed.attempt:
            raise exceptions.BadRequest("an id of the attempt is needed")
        target = scope["raw_path"].decode("latin-1")
        route = snapshot.routes.find(parsed.host, target)
        if route is None or not route.shares:
            raise self._or_not_ready(exceptions.NoRoute())
        team = self._team(snapshot.routes, route, parsed)
        body = await _read_body(receive, snapshot.routes.bounds)
        if scope["query_string"]:
            target += "?" + scope["query_string"].decode("latin-1")
        caller = team.name if team is not None else parsed.key
        return calls.Call(
            scope["method"],
            target,
            scope["headers"],
            parsed,
            body,
            route,
            route.choose_service(),
            team,
            snapshot,
            began_at,
            calls.compute_deadline(began_at, parsed, route),
            contents.digest([parsed.host, scope["method"], target, caller], body),
        )

    def _team(
        self,
        found: routing.Routing,
        route: routing.Route,
        parsed: headers.ParsedHeaders,
    ) -> routing.Team | None:
        team = found.teams_by_key.get(parsed.key) if parsed.key else None
        if team is None and found.needs_keys and not route.is_public:
            raise self._or_not_ready(exceptions.Unauthorized())
        return team

    def _or_not_ready(self, refusal: exceptions.Refusal) -> exceptions.Refusal:
        """Return a refusal that holds also when this configuration may be old.

        A route or key that was added a moment ago is unknown to an instance that hears
        neither the platform nor the others: "not now" is true there, "never" is not.
        """
        if self._servers.is_behind:
            return exceptions.NotReady(retry_after_ms=NOT_READY_RETRY_MS)
        return refusal


async def _read_body(receive: replies.Receive, bounds: routing.Bounds) -> bytes:
    parts = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise replies.CallerDisconnected
        part = message.get("body", b"")
        size += len(part)
        if size > bounds.body_bytes:
            raise exceptions.TooLarge()
        parts.append(part)
        if not message.get("more_body", False):
            return b"".join(parts)
