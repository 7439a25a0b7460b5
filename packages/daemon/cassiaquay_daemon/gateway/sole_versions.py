"""Finds the one software version at which a stream of unknown origin can have begun.

That this instance has heard of one version only shows nothing: it may have been cut off
or have stood still. It must be shown that there has been no other.
"""

import time

from .. import clock
from ..decisions import software_versions
from ..fleet import server_past, servers
from . import list_checks


class SoleVersions:
    """Shows that a service has had one software version only.

    Parameters
    ----------
    history : History
        The versions that this instance has seen listed.
    server_list : Servers
        Knows since when the list has been confirmed.
    past : ServerPast
        Reads what the platform shows of times that this instance has not observed.
    checks : ListChecks
        Returns the listed servers of a service.
    """

    def __init__(
        self,
        history: software_versions.History,
        server_list: servers.Servers,
        past: server_past.ServerPast,
        checks: list_checks.ListChecks,
    ):
        self._history = history
        self._servers = server_list
        self._past = past
        self._checks = checks

    async def find(self, service: str, window_seconds: float) -> str | None:
        """Return the only version that a service has had; None if unknown.

        Parameters
        ----------
        service : str
            The service.
        window_seconds : float
            How long ago a stream can have begun that is taken up now.
        """
        entries = self._checks.entries(service)
        versions = self._history.recent(service)
        versions |= {entry.software for entry in entries}
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
