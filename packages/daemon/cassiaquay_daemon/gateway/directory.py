"""HTTP endpoints for address discovery by callers and for readiness checks."""

import typing

from starlette import applications, responses, routing
from starlette import requests as web_requests

from cassiaquay_schema import messages
from cassiaquay_schema import settings as settings_schema

from .. import pause
from ..decisions import caller_spread
from ..fleet import configuration, members
from ..platform import directory as wire
from . import front


class Directory:
    """Handlers of the discovery and readiness endpoints.

    Parameters
    ----------
    settings : Settings
        Gives the time for which callers may cache an answer, and how they are spread.
    membership : Membership
        Lists the instances.
    configured : Configuration
        Tells whether this instance has a configuration.
    pauses : Pauses
        Tells whether this instance's state is current after a start or a pause.
    request_front : Front
        Tells whether this instance is shutting down.
    """

    def __init__(
        self,
        settings: settings_schema.Settings,
        membership: members.Membership,
        configured: configuration.Configuration,
        pauses: pause.Pauses,
        request_front: front.Front,
    ):
        self._settings = settings
        self._membership = membership
        self._configured = configured
        self._pauses = pauses
        self._front = request_front
        self._weigh = caller_spread.spreads.get(settings.membership.placement)
        self._seen: list[messages.Member] | None = None
        self._seen_fields: list[typing.Any] = []
        self._spread = caller_spread.CallerSpread({}, wire.MAX_ADDRESSES)

    @property
    def is_ready(self) -> bool:
        """Whether callers may send requests to this instance."""
        return (
            not self._front.leaving
            and self._configured.current is not None
            and self._pauses.is_current
        )

    def directory(self) -> applications.Starlette:
        """Return the application that answers callers' address lookups."""
        return applications.Starlette(
            routes=[routing.Route(wire.RESOLVE_PATH, self._resolve, methods=["GET"])]
        )

    def readiness(self) -> applications.Starlette:
        """Return the application that answers readiness checks."""
        return applications.Starlette(
            routes=[routing.Route(wire.READY_PATH, self._ready, methods=["GET"])]
        )

    async def _resolve(self, request: web_requests.Request) -> responses.Response:
        # Right after a pause of this process all other members appear dead, and the
        # answer would direct all callers here; wait for the next membership refresh.
        await self._pauses.wait(self._settings.membership.refresh_seconds)
        addresses = self._current_spread().choose()
        if not addresses:
            return responses.Response(status_code=503)
        body = wire.encode(addresses, self._settings.gateway.directory_seconds)
        return responses.Response(body, media_type="application/json")

    def _current_spread(self) -> caller_spread.CallerSpread:
        serving = self._membership.serving()
        # Each change of a member replaces the list.
        if serving is self._seen:
            return self._spread
        self._seen = serving
        fields = list(map(caller_spread.relevant_fields, serving))
        if fields != self._seen_fields:
            self._seen_fields = fields
            self._spread = caller_spread.CallerSpread(
                self._weigh(serving), wire.MAX_ADDRESSES
            )
        return self._spread

    async def _ready(self, request: web_requests.Request) -> responses.Response:
        return responses.Response(status_code=200 if self.is_ready else 503)
