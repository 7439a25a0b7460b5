"""Checks that a server lives whose answer has ended with its connection."""

import asyncio

from cassiaquay_schema import fleet

from .. import exceptions
from ..fleet import configuration
from . import connections

# A process that ends closes its sockets one after the other.
SETTLE_SECONDS = 0.02


class EndChecks:
    """Finds the answers that the end of their server's process has cut off.

    Parameters
    ----------
    configured : Configuration
        Lists the servers that may get new work.
    dialer : Dialer
        Opens a connection to a server.
    """

    def __init__(
        self, configured: configuration.Configuration, dialer: connections.Dialer
    ):
        self._configured = configured
        self._dialer = dialer

    async def check(self, service: str, server: fleet.Server) -> None:
        """Return if a server of a service may still live, or leaves as planned.

        One that leaves ends its last answers in order, and may accept no connections.

        Raises
        ------
        ConnectionBroken
            It refuses connections: its process has ended, and has closed the connection
            of the answer.
        """
        await asyncio.sleep(SETTLE_SECONDS)
        if not self._is_listed(service, server):
            return
        if await self._dialer.probe(server.address):
            raise exceptions.ConnectionBroken("the server's process has ended")

    def _is_listed(self, service: str, server: fleet.Server) -> bool:
        snapshot = self._configured.current
        if snapshot is None or service not in snapshot.fleet.pools:
            return False
        return snapshot.open_server(service, server.name) is not None
