"""Demands that an owner waits for, and the permissions that it gets."""

import asyncio
import typing

from cassiaquay_schema import messages

from .. import clock


class Permission(typing.NamedTuple):
    """A permit as held by the owner of the request.

    Attributes
    ----------
    server : str
        Backend server.
    expires_at : float
        Seconds on this clock; the dispatch must begin before it.
    shard : str
        Shard whose keeper granted it; differs from the first one after a move.
    is_charged : bool
        Whether it counts against a limit that the server has named.
    """

    server: str
    expires_at: float
    shard: str
    is_charged: bool = False


class Pending(typing.NamedTuple):
    """A demand that is neither granted nor refused yet."""

    demand: messages.Demand
    deadline: float
    future: asyncio.Future[Permission]
    created_at: float

    def updated(self, excluded: list[str]) -> messages.Demand:
        """Return the demand with the time left, without some servers.

        Parameters
        ----------
        excluded : list of str
            Servers that want no request of the owner now.
        """
        now = clock.now()
        remaining = int((self.deadline - now) * 1000.0)
        demand = self.demand._replace(
            remaining_ms=max(remaining, 0), tried=[*self.demand.tried, *excluded]
        )
        if not demand.first_ms:
            return demand
        passed = int((now - self.created_at) * 1000.0)
        return demand._replace(first_ms=max(demand.first_ms - passed, 1))


class Unused:
    """Permissions that this instance has and has neither used nor returned yet."""

    def __init__(self) -> None:
        # By request id, the oldest first.
        self._permissions: dict[str, Permission] = {}

    def add(self, request_id: str, permission: Permission) -> None:
        """Record a permission of a request."""
        now = clock.now()
        while self._permissions:
            oldest = next(iter(self._permissions))
            if now < self._permissions[oldest].expires_at:
                break
            del self._permissions[oldest]
        self._permissions[request_id] = permission

    def discard(self, request_id: str) -> None:
        """Forget a permission that was used or returned."""
        self._permissions.pop(request_id, None)

    def holds(self, permit: messages.Permit) -> bool:
        """Return whether a permit is a duplicate of a permission that may be used."""
        held = self._permissions.get(permit.id)
        if held is None or clock.now() >= held.expires_at:
            return False
        return (held.shard, held.server) == (permit.shard, permit.server)
