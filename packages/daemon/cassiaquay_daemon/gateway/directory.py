"""Where callers ask which address to use, and where readiness is checked."""

import random

from starlette import applications, responses, routing
from starlette import requests as web_requests

from cassiaquay_schema import settings as settings_schema

from .. import pause
from ..fleet import configuration, members
from ..platform import directory as wire
from . import front


class Directory:
    """The handlers of both addresses.

    Parameters
    ----------
    settings : Settings
        How long answers may be kept.
    membership : Membership
        The instances.
    configured : Configuration
        Whether this one has a configuration.
    pauses : Pauses
        Whether this one knows what is true now.
    served : Front
        Whether this one shuts down.
    """

    def __init__(
        self,
        settings: settings_schema.Settings,
        membership: members.Membership,
        configured: configuration.Configuration,
        pauses: pause.Pauses,
        served: front.Front,
    ):
        self._settings = settings
        self._membership = membership
        self._configured = configured
        self._pauses = pauses
        self._front = served

    @property
    def is_ready(self) -> bool:
        """Whether callers may be sent here."""
        return (
            not self._front.leaving
            and self._configured.current is not None
            and self._pauses.is_current
        )

    def directory(self) -> applications.Starlette:
        """Return the application of callers' questions."""
        return applications.Starlette(
            routes=[routing.Route(wire.RESOLVE_PATH, self._resolve, methods=["GET"])]
        )

    def readiness(self) -> applications.Starlette:
        """Return the application of readiness checks."""
        return applications.Starlette(
            routes=[routing.Route(wire.READY_PATH, self._ready, methods=["GET"])]
        )

    async def _resolve(self, request: web_requests.Request) -> responses.Response:
        # After a pause the others look dead, and the answer would send all callers
        # here: a moment's wait for fresh news is enough.
        await self._pauses.wait(self._settings.membership.refresh_seconds)
        addresses = []
        for member in self._membership.serving():
            if member.http:
                addresses.append(member.http)
        random.shuffle(addresses)
        if not addresses:
            return responses.Response(status_code=503)
        body = wire.encode(
            addresses[: wire.MOST_ADDRESSES],
            self._settings.gateway.directory_seconds,
        )
        return responses.Response(body, media_type="application/json")

    async def _ready(self, request: web_requests.Request) -> responses.Response:
        return responses.Response(status_code=200 if self.is_ready else 503)
