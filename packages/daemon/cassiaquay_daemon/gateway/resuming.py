"""Decides which software version may go on with a stream, and records where it began.

A caller whose stream broke off names the attempt that brought its first event. What the
caller has received counts: an attempt that brought it no event is never named.
"""

import collections
import time

from .. import exceptions, logs
from ..decisions import software_versions, stream_origins
from ..fleet import configuration, server_past, servers
from ..fleet import stream_origins as origin_reports
from . import admission, calls, derivations, progress

# Retry-After when the instances that may know a stream's origin have not answered.
UNKNOWN_RETRY_MS = 300
# What was known of the origin of a stream that a caller took up: its version, that the
# service has had only one, or the version that the attempt's id gives.
KNOWN = "known"
SOLE = "sole"
DERIVED = "derived"
UNKNOWN = "unknown"


class Resuming:
    """Knows the origins of streams and the versions of all services.

    Parameters
    ----------
    configured : Configuration
        Lists the servers with their versions.
    origins : StreamOrigins
        Keeps the origins of streams on several instances.
    server_list : Servers
        Tells whether this instance's list of servers may be outdated.
    heartbeat_seconds : float, optional
        Time between two writes of a server's entry; 0 if unknown.
    """

    def __init__(
        self,
        configured: configuration.Configuration,
        origins: origin_reports.StreamOrigins,
        server_list: servers.Servers,
        heartbeat_seconds: float = 0.0,
    ):
        self._servers = server_list
        self._past = server_past.ServerPast(server_list)
        self._derivations = derivations.Derivations(
            server_list, self._past, heartbeat_seconds
        )
        self._configured = configured
        self._origins = origins
        self._history = software_versions.History()
        # Streams that callers took up, by what was known of their origins.
        self.counts: collections.Counter[str] = collections.Counter()
        configured.on_accept(self._update_history)

    async def resolve(self, state: progress.RequestState) -> None:
        """Set the service and version at which a caller's stream must go on.

        Raises
        ------
        OriginUnknown
            The service has several versions, or the route has left the service.
        """
        call = state.call
        parsed = call.parsed
        if not call.is_stream:
            return
        if not (parsed.resumes or parsed.last_event >= 0):
            self._derivations.note_new(call)
            return
        origin = None
        if parsed.resumes:
            key = stream_origins.key_of(call.team_name, parsed.resumes)
            origin = await self._origins.find(key)
        versions = self._history.recent(call.service)
        sole = None
        derived = None
        if origin is None:
            sole = await self._find_sole_version(call, versions)
            if sole is None:
                derived = await self._derivations.derive(call, _lifetime_seconds(call))
        logs.event(
            "stream_resumes",
            id=parsed.attempt,
            resumes=parsed.resumes or None,
            after=parsed.last_event,
            service=origin.service if origin else None,
            software=origin.software if origin else None,
            is_known=origin is not None,
            sole=sole,
            derived=derived.software if derived else None,
            versions=",".join(sorted(versions)),
        )
        if origin is None:
            self._set_version(state, sole, derived)
            return
        self.counts[KNOWN] += 1
        if origin.service not in {share.service for share in call.route.shares}:
            raise exceptions.OriginUnknown("the route has left the service")
        state.call = call._replace(service=origin.service)
        state.software = origin.software

    def note_events(
        self, state: progress.RequestState, ticket: admission.Ticket
    ) -> None:
        """Record which version writes a stream; called before events are passed on.

        Raises
        ------
        StreamInterrupted
            The server turns out to be of another version than the stream began at.
        """
        writer = ticket.demand.id
        snapshot = self._configured.current
        if state.checked_writer == writer and state.checked_snapshot is snapshot:
            return
        state.checked_writer = writer
        state.checked_snapshot = snapshot
        software = self._software_of(state.call, ticket)
        if state.software is None:
            state.first_writer = writer
        elif state.software != software and state.first_writer != writer:
            raise exceptions.StreamInterrupted("of another software version")
        if state.software == software and state.is_origin_recorded:
            return
        # The entry of a server that was restarted under its name may follow late: the
        # version of a stream that it began is then corrected.
        state.software = software
        state.is_origin_recorded = True
        self._record(state.call, software)

    def _set_version(
        self,
        state: progress.RequestState,
        sole: str | None,
        derived: derivations.Derived | None,
    ) -> None:
        """Set the version of a stream whose origin no instance knows."""
        if sole is not None:
            self.counts[SOLE] += 1
            # Servers of another version may be listed before this one is sent.
            state.software = sole
            return
        if derived is None:
            self.counts[UNKNOWN] += 1
            raise exceptions.OriginUnknown(retry_after_ms=UNKNOWN_RETRY_MS)
        self.counts[DERIVED] += 1
        state.software = derived.software
        for name in derived.young:
            state.add_tried(name)

    @property
    def _is_isolated(self) -> bool:
        """Whether others may know of versions that this instance has not heard of."""
        return self._servers.is_behind and self._origins.is_alone

    async def _find_sole_version(
        self, call: calls.Call, versions: set[str]
    ) -> str | None:
        """Return the only version that can have begun a stream; None if unknown."""
        if self._is_isolated or len(versions) != 1:
            return None
        [software] = versions
        window_seconds = _lifetime_seconds(call)
        if self._history.covers(call.service, window_seconds):
            return software
        evidence = await self._past.evidence(call.service)
        if evidence is None:
            return None
        return software_versions.sole_version(
            call.service, evidence, window_seconds, time.time() * 1000.0
        )

    def _record(self, call: calls.Call, software: str) -> None:
        self._origins.add(
            stream_origins.key_of(call.team_name, call.parsed.attempt),
            stream_origins.Origin(call.service, software),
            _lifetime_seconds(call),
        )

    def _software_of(self, call: calls.Call, ticket: admission.Ticket) -> str:
        """Return the listed version of the server that a request was sent to."""
        snapshot = self._configured.current
        if snapshot is not None and call.service in snapshot.fleet.pools:
            server = snapshot.server(call.service, ticket.server.name)
            if server is not None:
                return server.software
        return ticket.server.software

    def _update_history(self) -> None:
        snapshot = self._configured.current
        if snapshot is None:
            return
        self._history.update(snapshot.fleet)
        self._derivations.note_servers()
        for entry in self._servers.entries():
            if entry.service in snapshot.fleet.pools:
                self._history.note(entry.service, entry.software)


def _lifetime_seconds(call: calls.Call) -> float:
    """Return how long ago a stream that is taken up may have begun."""
    longest = max(call.parsed.deadline_ms / 1000.0, call.route.timeout_seconds)
    return longest + stream_origins.MARGIN_SECONDS
