"""Derives the versions at which streams began that no instance knows.

That is the state after a kill of all instances while servers of several versions serve.
"""

import math
import time
import typing

from .. import clock
from ..decisions import server_times, stream_ages, stream_origins, version_choice
from ..fleet import server_past, servers
from . import calls, list_checks

# Clocks of servers and callers differ, lists are up to a second old, and a server
# registers a moment after its process has started.
MARGIN_SECONDS = 4.0


class Derived(typing.NamedTuple):
    """The version of a stream.

    Attributes
    ----------
    software : str
        Software version at which it began.
    young : list of str
        Servers of that version which were not there all the time since.
    """

    software: str
    young: list[str]


class Derivations:
    """Knows the servers that streams can have begun at.

    Parameters
    ----------
    server_list : Servers
        The servers that are listed now.
    past : ServerPast
        Reads what the platform shows of before this process began.
    checks : ListChecks
        Returns the listed servers of a service.
    heartbeat_seconds : float, optional
        Time between two writes of a server's entry; 0 if unknown.
    """

    def __init__(
        self,
        server_list: servers.Servers,
        past: server_past.ServerPast,
        checks: list_checks.ListChecks,
        heartbeat_seconds: float = 0.0,
    ):
        self._heartbeat_seconds = heartbeat_seconds
        self._servers = server_list
        self._past = past
        self._checks = checks
        self._sightings = server_times.Sightings()
        self._stated = stream_ages.StatedTimes()

    def note_servers(self) -> None:
        """Record the servers that are listed now."""
        self._sightings.note(self._servers.entries())

    def note_new(self, call: calls.Call) -> None:
        """Record the time that a new stream has."""
        self._stated.note(call.route.name, call.parsed.deadline_ms)

    def may_derive(self, call: calls.Call) -> bool:
        """Return whether a derivation may show the version of a caller's stream.

        A stream of a route to several services may have begun at another one. Servers
        that state no start time cannot be compared.
        """
        if not call.parsed.resumes or len(call.route.shares) > 1:
            return False
        entries = self._checks.entries(call.service)
        return all(entry.started_ms for entry in entries)

    async def derive(self, call: calls.Call, lifetime: float) -> Derived | None:
        """Return the version at which a caller's stream began; None if unknown.

        Parameters
        ----------
        call : Call
            The attempt that takes the stream up.
        lifetime : float
            Seconds that a stream of this route may last.
        """
        if not self.may_derive(call):
            return None
        # Lists that change no server in use are not published.
        self.note_servers()
        now_ms = time.time() * 1000.0
        since_ms = now_ms - self._age_seconds(call, lifetime) * 1000.0
        evidence = await self._find_evidence(call.service, since_ms, now_ms)
        if evidence is None:
            return None
        key = stream_origins.key_of(call.team_name, call.parsed.resumes)
        software = version_choice.derive(key, call.service, evidence, since_ms)
        if software is None:
            return None
        young = version_choice.young_servers(evidence.listed, software, since_ms)
        return Derived(software, young)

    def _age_seconds(self, call: calls.Call, lifetime: float) -> float:
        """Return how long ago a stream can have begun."""
        route = call.route
        age = self._stated.age_seconds(
            route.name, call.parsed.deadline_ms, route.timeout_seconds
        )
        if age is None:
            age = max(lifetime, self._stated.longest_seconds(route.name))
        return age + MARGIN_SECONDS

    async def _find_evidence(
        self, service: str, since_ms: float, now_ms: float
    ) -> version_choice.Evidence | None:
        """Return what is known of a service's servers; None if it cannot be read."""
        entries = self._servers.entries()
        listed = self._checks.entries(service)
        now = clock.now()
        oldest = now - (now_ms - since_ms) / 1000.0
        seen = [*entries, *self._sightings.former_since(oldest)]
        came_ms = {}
        for name, age in self._sightings.came_ages().items():
            came_ms[name] = now_ms - age * 1000.0
        left_ms = {}
        for name, age in self._sightings.left_ages().items():
            left_ms[name] = now_ms - age * 1000.0
        # Servers can have come and gone unseen while the list was not confirmed.
        observed_since = max(self._sightings.began_at, self._servers.steady_since)
        observed_since_ms = now_ms - (now - observed_since) * 1000.0
        if observed_since < now and observed_since_ms <= since_ms:
            return version_choice.Evidence(
                listed, seen, came_ms, left_ms, observed_since_ms
            )
        past = await self._past.read()
        if past is None:
            return None
        revisions = server_times.Revisions(
            past.written, entries, now_ms, past.created_at, self._heartbeat_seconds
        )
        for name, revision in past.created_at.items():
            came_ms.setdefault(name, revisions.latest_ms(revision))
        for name in past.removed:
            latest_ms = math.inf
            if name in past.removed_at:
                latest_ms = revisions.latest_ms(past.removed_at[name])
            left_ms.setdefault(name, latest_ms)
        covered_since_ms = -math.inf if past.is_whole else revisions.began_ms
        return version_choice.Evidence(
            listed,
            [*seen, *past.written],
            came_ms,
            left_ms,
            covered_since_ms,
            revisions.replacing(past.written),
        )
