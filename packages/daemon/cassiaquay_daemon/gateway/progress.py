"""Mutable state of one caller's request while it is served."""

import asyncio
import enum
import typing

from .. import clock
from ..configured import snapshots
from ..decisions import held_bytes, software_versions, stream_origins
from . import calls, forwarding

# A prompt that crashes its server does so when the server begins to answer it.
CRASH_SECONDS = 0.5


class UnprovenEnd(typing.NamedTuple):
    """A stream whose server has closed its connection, while another one is sought.

    Attributes
    ----------
    answer : Answer
        Status and headers of that server's answer.
    server, server_start : str
        That server.
    event_count : int
        Number of events that it has sent.
    first_at : float
        Time of the first one; seconds on this clock.
    after : int
        Id of the last event sent to the caller.
    runs : int
        Number of servers that may have run the request.
    is_acceptable : bool
        Whether the stream may end so if no other server can be asked.
    """

    answer: forwarding.Answer
    server: str
    server_start: str
    event_count: int
    first_at: float
    after: int
    runs: int
    is_acceptable: bool


class RequestState:
    """State of one request from its acceptance to its end.

    Parameters
    ----------
    call : Call
        The request.

    Attributes
    ----------
    snapshot : Snapshot
        Lists the servers that it may be sent to; newer than that of the call once it is
        sent again.
    runs : int
        Number of servers that may have run it.
    tries : int
        Number of times that capacity was requested.
    was_offered : bool
        Whether it was sent to any server, even if that declined it.
    declines : int
        Number of servers that reported that they did not run it.
    is_repeat : bool
        Whether a server has received it, so that sending it again takes a retry.
    search_began_at : float
        Time since which it seeks capacity for a repeat; seconds on this clock, 0 while
        it does not.
    last_event : int
        Id of the last event sent to the caller; -1 for none.
    is_position_known : bool
        Whether the last event sent to the caller has an id, so that another server can
        go on after it.
    software : str or None
        Software version of the server that began the stream; other versions must not
        go on with it. None before the first event.
    begins_at : str or None
        Software version that a new stream should begin at; None for any.
    first_writer : str
        Id of the demand of the server that began the stream; empty if the stream began
        at an earlier attempt.
    checked_writer, checked_snapshot, checked_process : str, Snapshot, Process or None
        Demand, snapshot and process for which the events were checked last.
    checked_signs : tuple
        Numbers of signs of restarts at that time.
    is_writer_certain : bool
        Whether the process that wrote the events is known to be the listed one.
    origin : Origin or None
        Where the stream began, as recorded under this attempt.
    is_abandoned : bool
        Whether its caller has gone and it is being cancelled.
    started : bool
        Whether the status and headers of an answer were sent to the caller.
    is_framed : bool
        Whether the caller's answer has a mark of its end.
    unproven : UnprovenEnd or None
        Last end of the stream by the end of a connection, at which another server is
        asked for the rest.
    server : str
        Name of the server whose answer is read.
    server_start : str
        That server's name with the start time of its process.
    events_began_at : float
        Time of the first event from that server; seconds on this clock, 0 before it.
    unreachable : list of str
        Servers that could not be reached.
    tried : list of str
        Servers that received it and gave no usable answer.
    receivers : set of str
        Servers that it was sent to, also those that declined it.
    failure : Piece or None
        A server's complete failure answer, passed on if no other server answers.
    failed_server : str
        Name of that server.
    limit : Timeout or None
        Ends the request at its deadline.
    end_code : str
        Code under which it was recorded as ended; empty before.
    """

    def __init__(self, call: calls.Call):
        self.call = call
        self.snapshot = call.snapshot
        self.runs = 0
        self.tries = 0
        self.was_offered = False
        self.declines = 0
        self.is_repeat = False
        self.search_began_at = 0.0
        self.last_event = call.parsed.last_event
        self.is_position_known = True
        self.software: str | None = None
        self.begins_at: str | None = None
        self.first_writer = ""
        self.checked_writer = ""
        self.checked_snapshot: snapshots.Snapshot | None = None
        self.checked_process: enum.Enum | None = None
        self.checked_signs = (0, 0)
        self.is_writer_certain = False
        self.origin: stream_origins.Origin | None = None
        self.is_abandoned = False
        self.started = False
        self.is_framed = True
        self.unproven: UnprovenEnd | None = None
        self.server = ""
        self.server_start = ""
        self.events_began_at = 0.0
        self.unreachable: list[str] = []
        self.tried: list[str] = []
        self.receivers: set[str] = set()
        self.failure: forwarding.Piece | None = None
        self.failed_server = ""
        self.limit: asyncio.Timeout | None = None
        self.end_code = ""

    @property
    def may_have_run(self) -> bool:
        """Whether any server may have run it."""
        return self.runs > 0

    @property
    def suspected_parts(self) -> tuple[str, ...]:
        """Parts of its prompt that may be the cause if its server crashes now."""
        began_at = self.events_began_at
        if began_at and clock.now() >= began_at + CRASH_SECONDS:
            return ()
        return self.call.parsed.shared_parts

    def adopt(self, server: str, server_start: str) -> None:
        """Take the answer from a server from now on."""
        self.server = server
        self.server_start = server_start
        self.events_began_at = 0.0

    def add_tried(self, server: str) -> None:
        """Record a server that should not get the request again."""
        if server not in self.tried:
            self.tried.append(server)

    def keep_failure(self, failure: forwarding.Piece, server: str) -> None:
        """Keep a server's failure answer in case that no other server answers.

        A large one is not kept: its request would hold room for two answers.
        """
        if failure.size > held_bytes.UNCOUNTED_BYTES:
            return
        self.failure = failure
        self.failed_server = server

    def remove_deadline(self) -> None:
        """Do not end the request at its deadline: its answer is ready."""
        if self.limit is not None and not self.limit.expired():
            self.limit.reschedule(None)

    def note_events(self) -> None:
        """Record that events have arrived."""
        self.events_began_at = self.events_began_at or clock.now()

    @property
    def has_attempts_left(self) -> bool:
        """Whether its route allows to send it to one more server."""
        used = max(len(self.receivers), self.runs)
        return used < self.call.route.attempts

    @property
    def has_other_server(self) -> bool:
        """Whether its service has a server that may go on and has not received it."""
        servers = self.snapshot.open_servers(self.call.service)
        for server in software_versions.matching(servers, self.software):
            if server.name not in self.receivers:
                return True
        return False

    @property
    def may_close(self) -> bool:
        """Whether it may end as its server has, since no other one has been asked."""
        unproven = self.unproven
        if unproven is None or unproven.runs != self.runs:
            return False
        return unproven.is_acceptable

    @property
    def is_repeatable_now(self) -> bool:
        """Whether it may be sent to one more server though one may have run it."""
        if not self.is_position_known:
            return False
        return self.call.route.is_repeatable and self.has_attempts_left
