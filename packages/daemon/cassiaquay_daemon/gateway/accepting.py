"""Validates callers' requests and resolves their route and team."""

import asyncio

from .. import clock, exceptions, logs, pause
from ..configured import routing
from ..decisions import body_bytes, contents, return_visits
from ..fleet import configuration, servers
from ..platform import headers
from . import body_room, calls, departing, replies

# Retry-After while no configuration has been read yet, or it may be outdated.
NOT_READY_RETRY_MS = 500
# After a start or a process pause an instance renews its state within some 50 ms and
# then serves the requests that arrived meanwhile. A request that waits longer than the
# shortest objective in use is better retried at another instance.
RENEWAL_WAIT_SECONDS = 0.4
# Of a request that another instance has accepted, perhaps by a newer configuration.
MAX_BODY_BYTES = 256 * 1024 * 1024


class Acceptor:
    """Validates requests and resolves their route and team.

    Parameters
    ----------
    configured : Configuration
        Holds the active routes and teams.
    server_list : Servers
        Tells whether this instance's view of the platform may be outdated.
    pauses : Pauses
        Tells whether this instance's state is current after a start or a pause.
    visits : ReturnVisits, optional
        Recognises retries; without it every attempt counts as the first.
    departure : Departure, optional
        Ends the wait for a body once the instance stops; without it, it stays.
    """

    def __init__(
        self,
        configured: configuration.Configuration,
        server_list: servers.Servers,
        pauses: pause.Pauses,
        visits: return_visits.ReturnVisits | None = None,
        departure: departing.Departure | None = None,
    ):
        self._visits = visits
        self._departure = departure or departing.Departure()
        self._pauses = pauses
        self._configured = configured
        self._servers = server_list

    async def accept(
        self,
        scope: replies.Scope,
        receive: replies.Receive,
        parsed: headers.ParsedHeaders,
        began_at: float,
        hold: body_room.Hold,
    ) -> calls.Call:
        """Return the validated request; raise a Refusal when it is not acceptable.

        ``hold`` takes the memory of its body.
        """
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
        body_bound = snapshot.routes.bounds.body_bytes
        deadline = calls.compute_deadline(began_at, parsed, route)
        try:
            async with (
                self._departure.waiting(deadline),
                asyncio.timeout(deadline - clock.now()),
            ):
                await hold.reserve(min(parsed.body_bytes, body_bound))
                body = await read_body(receive, hold, body_bound)
        except TimeoutError as error:
            raise exceptions.BodyTimeout() from error
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
            deadline,
            contents.digest([parsed.host, scope["method"], target, caller], body),
            self._age_seconds(route, parsed),
        )

    def _age_seconds(
        self, route: routing.Route, parsed: headers.ParsedHeaders
    ) -> float:
        # A stream that its caller resumes has begun, and is not a refused request.
        if self._visits is None or parsed.last_event >= 0 or parsed.resumes:
            return 0.0
        age_seconds = self._visits.age_seconds(route.name, parsed.deadline_ms)
        if age_seconds:
            logs.detail(
                "retry_recognized",
                id=parsed.attempt,
                route=route.name,
                age_ms=round(age_seconds * 1000.0, 1),
            )
        return age_seconds

    def _team(
        self,
        routes: routing.Routing,
        route: routing.Route,
        parsed: headers.ParsedHeaders,
    ) -> routing.Team | None:
        team = routes.teams_by_key.get(parsed.key) if parsed.key else None
        if team is None and routes.needs_keys and not route.is_public:
            raise self._or_not_ready(exceptions.Unauthorized())
        return team

    def _or_not_ready(self, refusal: exceptions.Refusal) -> exceptions.Refusal:
        """Return ``refusal``, or a retryable NotReady while the state may be outdated.

        An instance that reaches neither the platform nor other instances does not have
        routes and keys added a moment ago, so it must not refuse them as unknown.
        """
        if self._servers.is_behind:
            return exceptions.NotReady(retry_after_ms=NOT_READY_RETRY_MS)
        return refusal


async def read_body(
    receive: replies.Receive, hold: body_room.Hold, max_bytes: int = MAX_BODY_BYTES
) -> bytes:
    """Return a request's complete body.

    Raises TooLarge, CallerDisconnected, or BodyTimeout where others need its memory.
    One without a length may become as large as the bound: it waits for that much memory
    once it is no small one.
    """
    parts = []
    size = 0
    while True:
        message = await hold.receive(receive)
        if message["type"] == "http.disconnect":
            raise replies.CallerDisconnected
        part = message.get("body", b"")
        size += len(part)
        if size > max_bytes:
            raise exceptions.TooLarge()
        parts.append(part)
        if size > body_bytes.UNCOUNTED_BYTES:
            await hold.reserve(max_bytes)
        if not message.get("more_body", False):
            return b"".join(parts)


def is_allowed(call: calls.Call, routes: routing.Routing) -> bool:
    """Return whether a newer configuration still allows the request."""
    route = routes.find(call.parsed.host, call.target.partition("?")[0])
    if route is None or call.service not in {share.service for share in route.shares}:
        return False
    if call.team is None:
        return route.is_public or not routes.needs_keys
    team = routes.teams_by_key.get(call.parsed.key)
    return team is not None and team.name == call.team.name
