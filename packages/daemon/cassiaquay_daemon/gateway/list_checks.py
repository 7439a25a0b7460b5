"""Confirms that nothing is missing in what an instance knows of a service's servers.

A stream of unknown origin may have begun at any server that any instance has used. This
instance may be cut off or have stood still, and nothing shows it that: what it knows
counts only once the platform and the servers have confirmed it.
"""

import asyncio

from cassiaquay_schema import messages

from .. import clock
from ..fleet import servers
from . import process_checks

# The callers of streams wait for two seconds or more, and come back when refused. A
# read of the store takes two calls and may wait for the one before.
STORE_SECONDS = 0.8
SERVERS_SECONDS = 0.4


class ListChecks:
    """Confirms the list of servers for streams that callers take up.

    Parameters
    ----------
    server_list : Servers
        The servers that are listed now.
    checks : ProcessChecks
        Asks servers whether they run the listed process.
    """

    def __init__(
        self, server_list: servers.Servers, checks: process_checks.ProcessChecks
    ):
        self._servers = server_list
        self._checks = checks

    def entries(self, service: str) -> list[messages.ServerEntry]:
        """Return the entries of a service's servers, of those that leave, too."""
        entries = self._servers.entries()
        return [entry for entry in entries if entry.service == service]

    async def confirm(self, service: str) -> bool:
        """Return whether the list has all servers that can have begun a stream.

        The stream is one that a caller takes up now. A server that was restarted under
        its name may have begun it as well, and its entry may follow late.
        """
        taken_up_at = clock.now()
        # Heartbeats of others do not show as much: their age is an estimate.
        if not await self._servers.read_since(taken_up_at, STORE_SECONDS):
            return False
        asking = self._checks.confirm(self.entries(service), taken_up_at)
        try:
            async with asyncio.timeout(SERVERS_SECONDS):
                return await asking
        except TimeoutError:
            return False
