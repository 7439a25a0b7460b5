"""What operators reach over HTTP, on an address of its own."""

import collections.abc

import msgspec
from starlette import applications, requests, responses, routing

from cassiaquay_schema import settings as settings_schema

from . import configuration, keeper, members, owner


class Admin:
    """The handlers of the operators' address.

    Parameters
    ----------
    settings : Settings
        Name of this instance.
    configured : Configuration
        The configuration in force.
    membership : Membership
        The instances.
    owned : Owner
        The table of this instance.
    kept : Keeper
        The shards of this instance.
    drain : callable
        Begins the graceful shutdown.
    """

    def __init__(
        self,
        settings: settings_schema.Settings,
        configured: configuration.Configuration,
        membership: members.Membership,
        owned: owner.Owner,
        kept: keeper.Keeper,
        drain: collections.abc.Callable[[], None],
    ):
        self._settings = settings
        self._configured = configured
        self._membership = membership
        self._owner = owned
        self._keeper = kept
        self._drain = drain

    def application(self) -> applications.Starlette:
        """Return the ASGI application."""
        return applications.Starlette(
            routes=[
                routing.Route("/v1/status", self.status, methods=["GET"]),
                routing.Route("/v1/drain", self.drain, methods=["POST"]),
            ]
        )

    async def status(self, request: requests.Request) -> responses.Response:
        """Answer with what this instance does now."""
        found = {
            "instance": self._settings.instance,
            "revision": self._configured.revision,
            "rejected": self._configured.rejected,
            "members": [member.instance for member in self._membership.serving()],
            "open": self._owner.open_count,
            "shards": {
                name: {"queue": len(shard.queue), "running": len(shard.running)}
                for name, shard in self._keeper.shards.items()
            },
        }
        return responses.Response(
            msgspec.json.encode(found), media_type="application/json"
        )

    async def drain(self, request: requests.Request) -> responses.Response:
        """Begin the graceful shutdown."""
        self._drain()
        return responses.Response(status_code=202)
