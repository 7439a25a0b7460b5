"""Decides which software version may go on with a stream, and records where it began.

A caller whose stream broke off names the attempt that brought its first event. What the
caller has received counts: an attempt that brought it no event is never named.
"""

import collections
import contextlib
import functools
import typing

from cassiaquay_schema import fleet

from .. import exceptions, logs
from ..decisions import software_versions, stream_origins
from ..fleet import configuration, server_past, servers
from ..fleet import stream_origins as origin_reports
from ..platform import headers
from . import (
    admission,
    calls,
    derivations,
    list_checks,
    process_checks,
    progress,
    sole_versions,
    writers,
)

# Retry-After when the instances that may know a stream's origin have not answered.
UNKNOWN_RETRY_MS = 300
# Retry-After while a process is not listed; servers register about each second.
UNLISTED_RETRY_MS = 600
# What was known of the origin of a stream that a caller took up: its version, that the
# service has had only one, or the version that the attempt's id gives.
KNOWN = "known"
SOLE = "sole"
DERIVED = "derived"
UNKNOWN = "unknown"


class _Version(typing.NamedTuple):
    """The version of a stream of unknown origin, by one of two ways or by none.

    Attributes
    ----------
    sole : str or None
        The only version that the service has had.
    derived : Derived or None
        The version that the attempt's id gives.
    """

    sole: str | None
    derived: derivations.Derived | None


UNSHOWN = _Version(None, None)


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
    written : Writers
        Compares the process that writes a stream with the listed one.
    checks : ProcessChecks
        Asks servers whether they run the listed process.
    heartbeat_seconds : float, optional
        Time between two writes of a server's entry; 0 if unknown.
    """

    def __init__(
        self,
        configured: configuration.Configuration,
        origins: origin_reports.StreamOrigins,
        server_list: servers.Servers,
        written: writers.Writers,
        checks: process_checks.ProcessChecks,
        heartbeat_seconds: float = 0.0,
    ):
        self._servers = server_list
        self._history = software_versions.History()
        past = server_past.ServerPast(server_list)
        self._list_checks = list_checks.ListChecks(server_list, checks)
        self._sole_versions = sole_versions.SoleVersions(
            self._history, server_list, past, self._list_checks
        )
        self._derivations = derivations.Derivations(
            server_list, past, self._list_checks, heartbeat_seconds
        )
        self._configured = configured
        self._origins = origins
        self._writers = written
        # Streams that callers took up, by what was known of their origins.
        self.counts: collections.Counter[str] = collections.Counter()
        configured.on_accept(self._update_history)

    def close(self) -> None:
        """End what was begun for streams that are taken up."""
        self._servers.close()

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
        if not (parsed.resumes or parsed.names_event):
            self._derivations.note_new(call)
            return
        lookup = origin_reports.Lookup(None)
        if parsed.resumes:
            key = stream_origins.key_of(call.team_name, parsed.resumes)
            lookup = await self._origins.find(key)
        origin = lookup.origin
        if origin is not None and origin.is_open:
            origin = self._close(origin, parsed)
        shown = UNSHOWN
        if origin is None:
            shown = await self._find_version(call, lookup)
        versions = self._history.recent(call.service)
        logs.event(
            "stream_resumes",
            id=parsed.attempt,
            resumes=parsed.resumes or None,
            after=parsed.last_event,
            service=origin.service if origin else None,
            software=origin.software if origin else None,
            is_known=origin is not None,
            sole=shown.sole,
            derived=shown.derived.software if shown.derived else None,
            versions=",".join(sorted(versions)),
            asked=lookup.asked or None,
            answered=lookup.answered if lookup.asked else None,
            revision=self._servers.position.revision or None,
            list_age_ms=self._servers.age_ms,
            list_steady_ms=self._servers.steady_ms,
        )
        if origin is None:
            self._set_version(state, shown)
            return
        self.counts[KNOWN] += 1
        if origin.service not in {share.service for share in call.route.shares}:
            raise exceptions.OriginUnknown("the route has left the service")
        state.call = call._replace(service=origin.service)
        state.software = origin.software

    def note_events(
        self,
        state: progress.RequestState,
        ticket: admission.Ticket,
        connection: writers.Connection | None = None,
    ) -> None:
        """Record which version writes a stream; called before events are passed on.

        ``connection`` is that of the server, None behind a relay.

        Raises
        ------
        StreamInterrupted
            The server turns out to be of another version than the stream began at.
        """
        writer = ticket.demand.id
        snapshot = self._configured.current
        signs = self._writers.sign_counts
        if state.checked_writer != writer:
            state.is_writer_certain = False
        elif state.is_writer_certain or (
            state.checked_process is writers.Process.ASSUMED
            and state.checked_snapshot is snapshot
            and state.checked_signs == signs
        ):
            return
        state.checked_signs = signs
        listed = self._listed_server(state.call, ticket)
        process = self._writers.compare(listed, ticket.server, connection)
        checked = (writer, snapshot, process)
        if checked == (
            state.checked_writer,
            state.checked_snapshot,
            state.checked_process,
        ):
            return
        state.checked_writer, state.checked_snapshot, state.checked_process = checked
        state.is_writer_certain = process is writers.Process.LISTED
        if state.origin is None and state.software is None:
            state.first_writer = writer
        if state.first_writer == writer:
            self._note_first_writer(state, listed, process, connection)
        else:
            self._check_next_writer(state, listed, process)
        if process is writers.Process.UNKNOWN:
            learned = functools.partial(self._note_learned, state, ticket, connection)
            self._writers.learn(listed, learned)

    def settle_origin(self, state: progress.RequestState) -> None:
        """Find the version of a stream that began at a server listed late.

        Raises
        ------
        OriginUnknown
            It is not listed yet, so that no server may go on with the stream.
        """
        origin = state.origin
        if origin is None or not origin.is_open:
            return
        software = self._find_listed_version(origin)
        if software is None:
            raise exceptions.OriginUnknown(retry_after_ms=UNLISTED_RETRY_MS)
        state.software = software
        self._record(state, stream_origins.Origin(origin.service, software))

    def _note_first_writer(
        self,
        state: progress.RequestState,
        listed: fleet.Server,
        process: writers.Process,
        connection: writers.Connection | None,
    ) -> None:
        """Record where a stream began, as far as that is known now.

        The entry of a server that was restarted under its name may follow late: the
        version of a stream that it began is then corrected.
        """
        if process in (writers.Process.LISTED, writers.Process.ASSUMED):
            state.software = listed.software
            origin = stream_origins.Origin(state.call.service, listed.software)
            self._record(state, origin)
            return
        started_ms = connection.started_ms or 0 if connection is not None else 0
        state.software = None
        self._record(
            state,
            stream_origins.Origin(state.call.service, "", listed.name, started_ms),
        )

    def _check_next_writer(
        self,
        state: progress.RequestState,
        listed: fleet.Server,
        process: writers.Process,
    ) -> None:
        """Raise StreamInterrupted unless a server may go on with a stream.

        Its process was confirmed before the stream was sent there, so that only a
        report of another start speaks against the listed one.
        """
        if process is writers.Process.OTHER:
            raise exceptions.StreamInterrupted("of a process that is not listed")
        if state.software != listed.software:
            raise exceptions.StreamInterrupted("of another software version")
        origin = stream_origins.Origin(state.call.service, listed.software)
        self._record(state, origin)

    def _note_learned(
        self,
        state: progress.RequestState,
        ticket: admission.Ticket,
        connection: writers.Connection | None,
    ) -> None:
        """Correct the record of a stream once its server was asked for its start."""
        # Its next events ask again if that is not known.
        state.checked_process = None
        if state.checked_writer != ticket.demand.id:
            return
        listed = self._listed_server(state.call, ticket)
        process = self._writers.compare(listed, ticket.server, connection)
        if process not in (writers.Process.LISTED, writers.Process.OTHER):
            return
        # Its next events are not passed on if it is another process.
        with contextlib.suppress(exceptions.StreamInterrupted):
            self.note_events(state, ticket, connection)

    def check_origin(self, state: progress.RequestState) -> None:
        """Raise AnswerLost if nothing will show where a cut stream began."""
        if state.origin is None or not state.origin.is_lost:
            return
        if state.checked_process is not writers.Process.UNKNOWN:
            raise exceptions.AnswerLost("its version is not known")

    async def _find_version(
        self, call: calls.Call, lookup: origin_reports.Lookup
    ) -> _Version:
        """Return the version of a stream of unknown origin, if it can be shown."""
        is_missing = self._origins.has_missing(_lifetime_seconds(call))
        if lookup.answered < lookup.asked or (is_missing and not lookup.asked):
            # One that does not answer may know it.
            return UNSHOWN
        may_derive = (
            lookup.is_unknown_to_all
            and not is_missing
            and self._derivations.may_derive(call)
        )
        # What cannot be shown costs no read.
        if await self._find_shown(call, may_derive) == UNSHOWN:
            return UNSHOWN
        if not await self._list_checks.confirm(call.service):
            return UNSHOWN
        return await self._find_shown(call, may_derive)

    async def _find_shown(self, call: calls.Call, may_derive: bool) -> _Version:
        """Return the version that is shown by what is known here now."""
        lifetime = _lifetime_seconds(call)
        sole = await self._sole_versions.find(call.service, lifetime)
        if sole is not None or not may_derive:
            return _Version(sole, None)
        return _Version(None, await self._derivations.derive(call, lifetime))

    def _set_version(self, state: progress.RequestState, shown: _Version) -> None:
        """Set the version of a stream whose origin no instance knows."""
        if shown.sole is not None:
            self.counts[SOLE] += 1
            # Servers of another version may be listed before this one is sent.
            state.software = shown.sole
            return
        if shown.derived is None:
            self.counts[UNKNOWN] += 1
            raise exceptions.OriginUnknown(retry_after_ms=UNKNOWN_RETRY_MS)
        self.counts[DERIVED] += 1
        state.software = shown.derived.software
        for name in shown.derived.young:
            state.add_tried(name)

    def _close(
        self, origin: stream_origins.Origin, parsed: headers.ParsedHeaders
    ) -> stream_origins.Origin:
        """Return the origin with its version; raise OriginUnknown without one."""
        software = self._find_listed_version(origin)
        if software is not None:
            return stream_origins.Origin(origin.service, software)
        logs.event(
            "stream_resumes",
            id=parsed.attempt,
            resumes=parsed.resumes,
            after=parsed.last_event,
            service=origin.service,
            is_known=False,
            server=origin.server,
            started_ms=origin.started_ms or None,
        )
        self.counts[UNKNOWN] += 1
        raise exceptions.OriginUnknown(retry_after_ms=UNLISTED_RETRY_MS)

    def _record(
        self, state: progress.RequestState, origin: stream_origins.Origin
    ) -> None:
        if state.origin == origin:
            return
        state.origin = origin
        call = state.call
        self._origins.add(
            stream_origins.key_of(call.team_name, call.parsed.attempt),
            origin,
            _lifetime_seconds(call),
        )
        if origin.is_open:
            logs.event(
                "origin_open",
                id=call.parsed.attempt,
                server=origin.server,
                started_ms=origin.started_ms or None,
            )

    def _listed_server(
        self, call: calls.Call, ticket: admission.Ticket
    ) -> fleet.Server:
        """Return the entry in force of the server that a request was sent to."""
        snapshot = self._configured.current
        if snapshot is not None and call.service in snapshot.fleet.pools:
            server = snapshot.server(call.service, ticket.server.name)
            if server is not None:
                return server
        return ticket.server

    def _find_listed_version(self, origin: stream_origins.Origin) -> str | None:
        """Return the version of a process; None if it is not listed."""
        if not origin.started_ms:
            return None
        for entry in self._servers.entries():
            is_same = entry.name == origin.server
            if is_same and entry.started_ms == origin.started_ms:
                return entry.software
        return None

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
