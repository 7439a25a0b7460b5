"""HTTP endpoints for address discovery by callers and for readiness checks."""

import random

from starlette import applications, responses, routing
from starlette import requests as web_requests

from cassiaquay_schema import messages
from cassiaquay_schema import settings as settings_schema

from .. import pause
from ..fleet import configuration, members
from ..platform import directory as wire
from . import front

# With a smaller share, the callers of all instances would overload a few.
MIN_LISTED_SHARE = 0.25


class Directory:
    """Handlers of the discovery and readiness endpoints.

    Parameters
    ----------
    settings : Settings
        Gives the time for which callers may cache an answer.
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
        addresses = [member.http for member in self._members() if member.http]
        random.shuffle(addresses)
        if not addresses:
            return responses.Response(status_code=503)
        body = wire.encode(
            addresses[: wire.MAX_ADDRESSES],
            self._settings.gateway.directory_seconds,
        )
        return responses.Response(body, media_type="application/json")

    def _members(self) -> list[messages.Member]:
        """Return the instances that callers should use.

        Instances that do not reach the servers of a service serve its requests through
        others. Callers do better without that detour while enough instances are left.
        """
        serving = self._membership.serving()
        whole = [member for member in serving if not member.lost_services]
        if len(whole) < len(serving) * MIN_LISTED_SHARE:
            return serving
        return whole

    async def _ready(self, request: web_requests.Request) -> responses.Response:
        return responses.Response(status_code=200 if self.is_ready else 503)
