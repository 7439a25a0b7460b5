"""Connections of HTTP clients, which hold little whatever a client does.

A client may send heads, trailers or requests without end, or read no answer. Fields and
requests take up many times their bytes once they are parsed, so bytes are parsed in
small parts, and no further than they can be served.
"""

import asyncio
import collections
import collections.abc
import math
import typing

from uvicorn.protocols.http import flow_control, httptools_impl

from . import connection_room, http_input, http_refusals, sockets

Application = typing.Any
Cycle = httptools_impl.RequestResponseCycle
# Idle connections stay open as long as the operators' limits say.
BY_LIMITS = 0
# Callers reuse idle connections for most of the operators' idle timeout. Closing one
# earlier would lose a request that is being sent on it.
IDLE_FACTOR = 1.25
# Bytes that are parsed for one client before others have their turn: each small chunk
# or field is a call.
TURN_BYTES = 16 * 1024
# Bytes behind the last request that are read and dropped until it is answered.
MAX_DROPPED_BYTES = 1024 * 1024
# Memory of one parsed field beside its bytes.
FIELD_BYTES = 160
# Bytes of a body that the library buffers before it stops reading.
BODY_BUFFER_BYTES = flow_control.HIGH_WATER_LIMIT
# Bytes of one body that count for its connection. Larger ones reserve memory.
COUNTED_BODY_BYTES = 64 * 1024
# Unsent bytes of an answer above which its sender waits for the client to read.
UNSENT_BYTES = 16 * 1024
# After a head's time is over: its end may have arrived and not been read yet.
HEAD_GRACE_SECONDS = 1.0


class Connection(httptools_impl.HttpToolsProtocol):
    """A connection that holds little, whatever its client sends or does not read.

    At most one whole request is parsed behind the one in progress. Reading stops until
    the rest can be parsed.

    Parameters
    ----------
    room : Room
        Bounds what all connections of the process hold.
    idle_seconds : int
        How long an idle connection stays open; `BY_LIMITS` for the operators' limit.
    **options
        What the library gives to its own class.
    """

    # Bytes of a head beyond the operators' limit.
    EXTRA_HEAD_BYTES = 0

    def __init__(
        self, room: connection_room.Room, idle_seconds: int, **options: typing.Any
    ):
        super().__init__(**options)
        self._room = room
        self._fixed_idle_seconds = idle_seconds
        self._flow: http_input.Flow = None  # type: ignore[assignment]
        self._input = http_input.Input()
        self._awaits_turn = False
        # Bytes since the last end of a head, byte of body or end of a request.
        self._head_bytes = 0
        self._has_progressed = False
        self._ignores_input = False
        self._dropped_bytes = 0
        # Bytes of the body that are still to come; None if not known yet.
        self._body_left: int | None = 0
        self._body_bytes = 0
        # Memory of each request whose response is not complete.
        self._request_bytes: collections.deque[int] = collections.deque()
        # The request in progress; ``cycle`` of the library is the newest one.
        self._running: Cycle | None = None
        # When what the client does not go on with has begun; seconds of the loop.
        self._head_since: float | None = None
        self._waits_since = 0.0
        self._body_at = 0.0
        self._unread_since: float | None = None
        self._unsent_bytes = 0
        self._closing_since: float | None = None

    @property
    def _has_whole_request(self) -> bool:
        """Whether a whole request waits for its response."""
        running = self._running
        if running is None or running.response_complete:
            return False
        return not running.more_body

    @property
    def _last_due(self) -> Cycle | None:
        """The last whole request whose response is not complete."""
        for cycle, _ in self.pipeline:
            if not cycle.more_body:
                return cycle
        return self._running if self._has_whole_request else None

    @property
    def _must_wait(self) -> bool:
        """Whether what follows is parsed later."""
        cycle = self.cycle
        if cycle is None or cycle.response_complete:
            return False
        if len(cycle.body) > BODY_BUFFER_BYTES:
            return True
        return bool(self.pipeline) and not cycle.more_body

    @property
    def _stall_seconds(self) -> float:
        """Time for which a client may send nothing, or read nothing."""
        return self._room.limits.idle_seconds * IDLE_FACTOR

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Add the connection to those of the process."""
        super().connection_made(transport)
        self.flow = self._flow = http_input.Flow(transport, self._parse)
        transport.set_write_buffer_limits(high=UNSENT_BYTES)
        self._waits_since = self.loop.time()
        self._room.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection, and end the request in progress."""
        self._input.clear()
        self._room.remove(self)
        super().connection_lost(exc)
        self._end_running()
        self._release()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if self._ignores_input:
            self._dropped_bytes += len(data)
            if self._dropped_bytes > MAX_DROPPED_BYTES:
                self._hold_input()
            return
        self._input.add(data)
        self._parse()

    def on_message_begin(self) -> None:
        """Begin the next request; blank lines before it do not."""
        self._head_since = self.loop.time()
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """Start a request, or refuse it if its head is too much for the process."""
        self._has_progressed = True
        self._head_since = None
        self._body_left = None
        self._body_bytes = 0
        size = self._head_bytes + FIELD_BYTES * len(self.headers)
        self._request_bytes.append(size)
        self._head_bytes = 0
        if self._report():
            super().on_headers_complete()
        else:
            self._refuse_request()
        # The library would add trailers to the fields of the request.
        self.headers = []

    def _refuse_request(self) -> None:
        """Refuse a request whose head is complete."""
        self._room.counts[connection_room.TOO_LARGE] += 1
        application, self.app = self.app, http_refusals.unavailable
        super().on_headers_complete()
        self.app = application
        self._body_left = http_input.declared_length(self.scope)
        self.headers.clear()

    def on_body(self, body: bytes) -> None:
        """Pass a part of a request's body on."""
        self._has_progressed = True
        self._body_at = self.loop.time()
        if self._body_left:
            self._body_left -= len(body)
        if not self.cycle.response_complete:
            counted = min(len(body), COUNTED_BODY_BYTES - self._body_bytes)
            self._body_bytes += counted
            self._request_bytes[-1] += counted
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Record that a whole request has been received."""
        self._has_progressed = True
        self._body_left = 0
        self.headers = []
        super().on_message_complete()
        if self._has_whole_request:
            self._room.begin(self)

    def on_response_complete(self) -> None:
        """Start the next pipelined request; read more only when none is left."""
        if self._request_bytes:
            self._request_bytes.popleft()
        self.timeout_keep_alive = math.ceil(
            self._fixed_idle_seconds or self._stall_seconds
        )
        self._waits_since = self.loop.time()
        super().on_response_complete()
        if self.transport.is_closing():
            return
        if self._has_whole_request:
            self._room.begin(self)
        elif self._unread_since is None:
            self._room.end(self)
        self._parse()
        if self.pipeline:
            # The library resumes with each response, however many requests wait.
            self.flow.pause_reading()
        elif not self._flow.is_held:
            self.flow.resume_reading()

    def pause_writing(self) -> None:
        """Stop sending until the client reads."""
        super().pause_writing()
        self._unread_since = self.loop.time()
        self._unsent_bytes = sockets.unsent_bytes(self.transport)
        self._room.pause(self)
        if not self._report():
            self._abort(http_refusals.UNREAD)

    def resume_writing(self) -> None:
        """Go on sending."""
        self._unread_since = None
        self._room.resume(self)
        if self._running is None or self._running.response_complete:
            # The end of its answer was still to be read.
            self._room.end(self)
        super().resume_writing()
        self._report()

    def send_400_response(self, msg: str) -> None:
        """Refuse bytes that are no request, unless an answer is due before."""
        self._room.counts[http_refusals.MALFORMED] += 1
        self._ignore_input()
        last = self._last_due
        if last is None:
            self._end_running()
            super().send_400_response(msg)
            return
        # These bytes follow a whole request, whose answer the client must get first.
        last.keep_alive = False

    def give_way(self, cause: str) -> None:
        """Refuse what the client has not sent whole, and close the connection."""
        if self.transport.get_write_buffer_size():
            # Closing it would wait for the client to read.
            self._abort(cause)
            return
        self._refuse(cause)

    def check(self, now: float) -> None:
        """Close the connection if its client takes too long by the loop's time."""
        if self.transport.is_closing():
            if self._closing_since is None:
                self._closing_since = now
            elif now - self._closing_since > self._stall_seconds:
                self._abort(http_refusals.UNREAD)
            return
        if self._unread_since is not None:
            unsent_bytes = sockets.unsent_bytes(self.transport)
            if unsent_bytes < self._unsent_bytes:
                self._room.advance(self)
            self._unsent_bytes = unsent_bytes
        if self._has_left():
            self._abort(http_refusals.LEFT)
        elif self._is_since(self._unread_since, now, self._stall_seconds):
            self._abort(http_refusals.UNREAD)
        elif self._is_late(now):
            self._refuse(http_refusals.TOO_SLOW)

    def _is_late(self, now: float) -> bool:
        """Return whether the client takes too long with its request."""
        head_seconds = self._room.limits.head_seconds + HEAD_GRACE_SECONDS
        if self._is_since(self._head_since, now, head_seconds):
            return True
        running = self._running
        if running is None or running.response_complete:
            is_idle = self._head_since is None
            return is_idle and now - self._waits_since > self._stall_seconds
        if not running.more_body or self.flow.read_paused:
            return False
        return now - max(self._body_at, self._waits_since) > self._stall_seconds

    @staticmethod
    def _is_since(since: float | None, now: float, seconds: float) -> bool:
        return since is not None and now - since > seconds

    def _has_left(self) -> bool:
        """Return whether the client has reset a connection that is not read."""
        if not self.flow.read_paused:
            return False
        bound = self.transport.get_extra_info("socket")
        return bound is not None and sockets.is_reset(bound)

    def _parse(self) -> None:
        """Parse what has been received, as far as it may be."""
        if self._ignores_input:
            return
        turn_left = TURN_BYTES
        while self._input and not self._must_wait and not self.transport.is_closing():
            if turn_left <= 0:
                self._await_turn()
                break
            if self._body_left is None:
                self._body_left = http_input.declared_length(self.scope)
            if not self._body_left:
                turn_left -= http_input.SLICE_BYTES
            part = self._input.take(self._body_left)
            self._has_progressed = False
            # The parser takes any buffer.
            super().data_received(typing.cast(bytes, part))
            if self._ignores_input:
                return
            if self._has_progressed:
                self._head_bytes = 0
                continue
            self._head_bytes += len(part)
            if not self._check_head():
                return
        was_held = self._flow.is_held
        self._flow.is_held = bool(self._input)
        if self._input:
            self.flow.pause_reading()
        elif was_held and not self._must_wait:
            self.flow.resume_reading()
        if not self._report():
            self._refuse(connection_room.TOO_LARGE)

    def _await_turn(self) -> None:
        """Let others have their turn before the rest is parsed."""
        if not self._awaits_turn:
            self._awaits_turn = True
            self.loop.call_soon(self._take_turn)

    def _take_turn(self) -> None:
        self._awaits_turn = False
        self._parse()

    def _check_head(self) -> bool:
        """Refuse a head that is too large; return whether to go on."""
        limit = 2 * self._room.limits.head_bytes + self.EXTRA_HEAD_BYTES
        if self._head_bytes > limit:
            self._refuse(http_refusals.HEAD_TOO_LARGE)
            return False
        if not self._report():
            self._refuse(connection_room.TOO_LARGE)
            return False
        return True

    def _report(self) -> bool:
        """Report what the connection holds; return whether there is room for it."""
        size = sum(self._request_bytes) + self._input.size
        if self._head_bytes:
            size += self._head_bytes + FIELD_BYTES * len(self.headers or ())
        if self.cycle is not None:
            size += len(self.cycle.body)
        if self._unread_since is not None:
            size += self.transport.get_write_buffer_size()
        return self._room.hold(self, size)

    def _refuse(self, cause: str) -> None:
        """Refuse what is no whole request; whole ones are answered before that."""
        self._room.counts[cause] += 1
        is_begun = self._head_since is not None
        self._ignore_input()
        if self.pipeline and self.pipeline[0][0].more_body:
            self.pipeline.popleft()
            self._request_bytes.pop()
        last = self._last_due
        if last is not None:
            last.keep_alive = False
            return
        running = self._running
        if running is not None and not running.response_complete:
            is_begun = not running.response_started
            self._end_running()
            # The others need its memory before its task ends.
            typing.cast(list[typing.Any], running.scope["headers"]).clear()
            running.body = bytearray()
        if is_begun and not self.transport.is_closing():
            self.transport.write(http_refusals.REFUSALS[cause])
        self.transport.close()

    def _abort(self, cause: str) -> None:
        self._room.counts[cause] += 1
        self._ignore_input()
        self.transport.abort()

    def _end_running(self) -> None:
        """Tell the request in progress that its client cannot be answered."""
        running = self._running
        if running is not None and not running.response_complete:
            running.disconnected = True
            running.message_event.set()

    def _ignore_input(self) -> None:
        """Read no more requests on this connection."""
        self._ignores_input = True
        self._head_since = None
        self._head_bytes = 0
        if self.headers:
            # The list of a head that has not ended; a whole one has its own.
            self.headers.clear()
        self._input.clear()
        if self._last_due is None:
            self._hold_input()
        elif not self.transport.is_closing():
            # Closing a connection with unread bytes would reset it, and its client
            # might lose the answer that is due.
            self._flow.is_held = False
            self.flow.resume_reading()
        self._report()

    def _hold_input(self) -> None:
        self._flow.is_held = True
        if not self.transport.is_closing():
            self.flow.pause_reading()

    def _release(self) -> None:
        """Drop the references between the objects of a connection that was closed.

        A crowd of connections would stay in memory until all objects are traversed.
        """
        # The library leaves the timer of a connection that was reset.
        self._unset_keepalive_if_required()
        self._running = None
        self.cycle = None  # type: ignore[assignment]
        self.scope = None  # type: ignore[assignment]
        self.headers = []
        self.pipeline.clear()
        self._flow.release()

    def _unsupported_upgrade_warning(self) -> None:
        # What follows is in a protocol that is not spoken here.
        self.cycle.keep_alive = False
        self._ignore_input()

    def _start_asgi_task(self, cycle: Cycle, app: Application) -> None:
        self._running = cycle
        super()._start_asgi_task(cycle, app)
