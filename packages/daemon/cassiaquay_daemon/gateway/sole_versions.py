"""Finds the one software version at which a stream of unknown origin can have begun.

An instance that was cut off from the store or from the others, or stood still, does not
know the servers that have joined meanwhile, nor the streams that began at them. So that
it has heard of one version only shows nothing: it must be shown that there has been no
other.
"""

import time

from cassiaquay_schema import messages

from .. import clock
from ..decisions import software_versions
from ..fleet import server_past, servers
from . import calls, process_checks

# The callers of streams wait for two seconds or more, and come back when refused.
PATIENCE_SECONDS = 0.4


class SoleVersions:
    """Shows that a service has had one software version only.

    Parameters
    ----------
    history : History
        The versions that this instance has seen listed.
    server_list : Servers
        The servers that are listed now.
    past : ServerPast
        Reads what the platform shows of times that this instance has not observed.
    checks : ProcessChecks
        Asks servers whether they run the listed process.
    """

    def __init__(
        self,
        history: software_versions.History,
        server_list: servers.Servers,
        past: server_past.ServerPast,
        checks: process_checks.ProcessChecks,
    ):
        self._history = history
        self._servers = server_list
        self._past = past
        self._checks = checks

    async def find(self, call: calls.Call, window_seconds: float) -> str | None:
        """Return the only version that can have begun a stream; None if unknown.

        Parameters
        ----------
        call : Call
            The attempt that takes the stream up.
        window_seconds : float
            How long ago it can have begun.
        """
        taken_up_at = clock.now()
        service = call.service
        # What cannot be shown costs no read.
        if await self._find_shown(service, window_seconds) is None:
            return None
        if not await self._servers.read_since(taken_up_at, PATIENCE_SECONDS):
            return None
        # A server that was restarted under its name may have begun the stream in
        # another version, and its entry may follow.
        if not await self._checks.confirm(self._entries(service), taken_up_at):
            return None
        return await self._find_shown(service, window_seconds)

    async def _find_shown(self, service: str, window_seconds: float) -> str | None:
        """Return the only version that the service has had, as far as is known here."""
        versions = self._history.recent(service)
        versions |= {entry.software for entry in self._entries(service)}
        if len(versions) != 1:
            return None
        [software] = versions
        steady_seconds = clock.now() - self._servers.steady_since
        if steady_seconds >= window_seconds and self._history.covers(
            service, window_seconds
        ):
            return software
        evidence = await self._past.evidence(service)
        if evidence is None:
            return None
        return software_versions.sole_version(
            service, evidence, window_seconds, time.time() * 1000.0
        )

    def _entries(self, service: str) -> list[messages.ServerEntry]:
        entries = self._servers.entries()
        return [entry for entry in entries if entry.service == service]
