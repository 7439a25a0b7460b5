"""One try of a request: its dispatch to one server and the answer of that server."""

import asyncio
import collections.abc
import typing

from cassiaquay_schema import fleet

from .. import clock, exceptions, logs
from ..decisions import hedges, held_bytes
from . import admission, bodies, connections, events, forwarding, holding, progress

# Outcomes of tries, for the keeper.
UNKNOWN = "unknown"
UNSENT = "unsent"
DECLINED = "declined"
DEFERRED = "deferred"
CUT = "cut"
FAILED = "failed"
COMPLETED = "completed"

# Parts of an answer in which it may be cut off.
HEAD = "head"
BODY = "body"
EVENT = "event"


class Hooks(typing.NamedTuple):
    """What a request handler contributes to each try.

    Attributes
    ----------
    check : callable
        Raises NotSent or Refusal if the request must not be sent now.
    mark_dispatched : callable
        Records that the first byte is about to be written.
    give_back : callable
        Called at the end if no server has received the request.
    check_end : callable
        Raises StreamInterrupted if a server that has closed its connection has ended.
    """

    check: collections.abc.Callable[[progress.RequestState, admission.Ticket], None]
    mark_dispatched: collections.abc.Callable[
        [progress.RequestState, admission.Ticket], None
    ]
    give_back: collections.abc.Callable[[], None]
    check_end: collections.abc.Callable[[fleet.Server], collections.abc.Awaitable[None]]


class Try:
    """Sends a request to the server of one ticket and reads the answer in pieces.

    Reading may be interrupted and taken up again without losing any byte.

    Parameters
    ----------
    state : RequestState
        The request.
    ticket : Ticket
        Permission to dispatch it.
    capacity : Admission
        Receives the end of the dispatch.
    forwarder : Forwarder
        Sends the request.
    hooks : Hooks
        Checks and records of the request handler.
    room : Room
        Memory for the answers of this process.

    Attributes
    ----------
    outcome : str
        Outcome for the keeper.
    sent_at : float
        Time of the first byte; seconds on this clock, 0 before it.
    received_bytes : int
        Bytes of its body.
    met_bound : int
        Bound that it exceeds; bytes, 0 while it exceeds none.
    """

    def __init__(
        self,
        state: progress.RequestState,
        ticket: admission.Ticket,
        capacity: admission.Admission,
        forwarder: forwarding.Forwarder,
        hooks: Hooks,
        room: holding.Room,
    ):
        self.ticket = ticket
        self.outcome = UNKNOWN
        self.sent_at = 0.0
        self.received_bytes = 0
        self.met_bound = 0
        self._state = state
        self._capacity = capacity
        self._forwarder = forwarder
        self._hooks = hooks
        self._answer: forwarding.Answer | None = None
        self._body = bodies.Body()
        self._splitter = events.Splitter()
        self._progressed_at = clock.now()
        self._hold = holding.Hold(room)
        self._step: asyncio.Task[forwarding.Piece] | None = None
        self._is_closed = False
        self._is_first_receipt = ticket.server.name not in state.receivers

    @property
    def server(self) -> str:
        """Name of the server."""
        return self.ticket.server.name

    @property
    def server_start(self) -> str:
        """Name of the server with the start time of its process."""
        return f"{self.server}/{self.ticket.server.started_ms}"

    @property
    def connection(self) -> connections.ResponseHandler | None:
        """The connection to the server; None before an answer or behind a relay."""
        if self._answer is None or self._answer.is_relayed:
            return None
        return getattr(self._answer.response, "handler", None)

    @property
    def progressed_at(self) -> float:
        """Time at which the answer went on last, or of the dispatch.

        Bytes that bring it no closer to its end do not count, and a server is not
        silent while its answer waits for room.
        """
        return clock.now() if self._hold.is_waiting else self._progressed_at

    @property
    def has_begun(self) -> bool:
        """Whether the server has begun to answer with success."""
        return self._answer is not None and self._answer.status == 200

    @property
    def has_failed(self) -> bool:
        """Whether the server has begun to answer with a failure."""
        return self._answer is not None and self._answer.is_failure

    @property
    def part(self) -> str:
        """The part of the answer that is being read."""
        if self._answer is None:
            return HEAD
        return EVENT if self._is_streamed(self._answer) else BODY

    @property
    def is_ready(self) -> bool:
        """Whether the task of :meth:`step` is done."""
        return self._step is not None and self._step.done()

    def has_progressed(self, since: float) -> bool:
        """Return whether the server has gone on with any answer."""
        return self._forwarder.has_progressed(self.ticket.server.address, since)

    async def read(self, patience_seconds: float | None) -> forwarding.Piece | None:
        """Return the next piece, or None if there is none after the given time."""
        if self._step is None and self._answer is not None:
            try:
                async with asyncio.timeout(patience_seconds):
                    return await self._read_checked()
            except TimeoutError:
                return None
        await asyncio.wait([self.step()], timeout=patience_seconds)
        if self.is_ready:
            return self.take()
        return None

    def step(self) -> "asyncio.Task[forwarding.Piece]":
        """Return the task that reads the next piece, until :meth:`take` is called."""
        if self._step is None:
            self._step = asyncio.create_task(self._read_checked())
            self._step.add_done_callback(_retrieve)
        return self._step

    def take(self) -> forwarding.Piece:
        """Return the piece that was read, or raise why there is none."""
        step, self._step = self._step, None
        assert step is not None
        try:
            return step.result()
        finally:
            # The traceback of its error would refer to the task, and thus to itself.
            del step

    def mark_cut(self) -> None:
        """Record that its answer is of no use."""
        self.outcome = CUT
        self._state.add_tried(self.server)

    def close(self) -> None:
        """Stop the server's work on the request and report the end of the dispatch."""
        if self._is_closed:
            return
        self._is_closed = True
        if self._step is not None:
            self._step.cancel()
            self._step = None
        # Tracebacks may refer to this object for longer.
        self._body = bodies.Body()
        self._splitter = events.Splitter()
        if self._answer is not None:
            # Closing the connection makes the server stop a request that still runs.
            # After a completely read answer, the connection stays in the pool.
            self._answer.response.close()
            # The response refers to this object, which would keep both until the next
            # garbage collection.
            self._answer = None
        self._hold.close()
        if self.sent_at:
            self._capacity.report_ended(self.ticket, self.sent_at, self.outcome)
        else:
            self._capacity.return_unused(self.ticket)
        if not self.sent_at or self.outcome == UNSENT:
            self._hooks.give_back()

    async def _read_checked(self) -> forwarding.Piece:
        try:
            piece = await self._read()
        except exceptions.BackendError as error:
            self._note_failure(error)
            raise
        if piece.is_last:
            self.outcome = _outcome_of(piece.answer)
        return piece

    async def _read(self) -> forwarding.Piece:
        if self._answer is None:
            self._answer = await self._forwarder.send(
                self._state.call,
                self.ticket.server,
                self._state.last_event,
                self._before_sending,
            )
            self._progressed_at = clock.now()
            self._check_announced(self._answer)
            if self._is_streamed(self._answer) or self._answer.is_failure:
                return forwarding.Piece(self._answer, b"", False)
        if self._is_streamed(self._answer):
            return await self._read_events(self._answer)
        return await self._read_body(self._answer)

    async def _read_events(self, answer: forwarding.Answer) -> forwarding.Piece:
        """Return the next events of a stream, or its end."""
        if self._splitter.size < held_bytes.UNCOUNTED_BYTES:
            # The events that were held have been passed on.
            self._hold.free()
        while True:
            data = await self._read_part(answer, self._splitter.size)
            if not data:
                await self._check_end(answer)
                self._note_progress()
                return forwarding.Piece(answer, self._splitter.take_comments(), True)
            found = self._splitter.feed(data)
            if self._splitter.is_too_long:
                self._fail_at(events.MAX_EVENT_BYTES)
            if found.event_count:
                self._note_progress()
                return forwarding.Piece(answer, found.data, False, found)

    async def _read_body(self, answer: forwarding.Answer) -> forwarding.Piece:
        """Return the complete body of any other answer."""
        while True:
            data = await self._read_part(answer, self._body.size)
            if not data:
                await self._check_end(answer)
                self._hold.complete()
                self._note_progress()
                return forwarding.Piece(answer, b"", True, parts=self._body.parts())
            counted = self._body.size // hedges.PROGRESS_BYTES
            self._body.add(data)
            if self._body.size > held_bytes.MAX_ANSWER_BYTES:
                self._fail_at(held_bytes.MAX_ANSWER_BYTES)
            if self._body.size // hedges.PROGRESS_BYTES > counted:
                # It may have no end: this says nothing of the server's other answers.
                self._progressed_at = clock.now()

    async def _read_part(self, answer: forwarding.Answer, held: int) -> bytes:
        """Return the next bytes of an answer of which ``held`` bytes are held."""
        size = held_bytes.UNCOUNTED_BYTES - held
        if size <= 0:
            size = held_bytes.PART_BYTES
            await self._grow(min(held + size, held_bytes.MAX_ANSWER_BYTES))
        if not forwarding.has_backlog(answer, self.received_bytes):
            data = await forwarding.read_part(answer, size)
        else:
            data = await forwarding.read_in_turn(answer, size, self._hold)
        self.received_bytes += len(data)
        return data

    async def _grow(self, size: int) -> None:
        if self._hold.try_grow(size):
            return
        try:
            await self._hold.grow(size)
        finally:
            self._progressed_at = clock.now()

    def _check_announced(self, answer: forwarding.Answer) -> None:
        """Raise if the length of a body exceeds the bound by the head."""
        if self._is_streamed(answer):
            return
        if answer.announced_bytes > held_bytes.MAX_ANSWER_BYTES:
            self._fail_at(held_bytes.MAX_ANSWER_BYTES)

    def _is_streamed(self, answer: forwarding.Answer) -> bool:
        return self._state.call.is_stream and answer.status == 200

    def _note_progress(self) -> None:
        self._progressed_at = clock.now()
        self._forwarder.note_progress(self.ticket.server.address)

    async def _check_end(self, answer: forwarding.Answer) -> None:
        """Raise if an answer ends within an event, or by the end of its server."""
        if not self._splitter.is_empty:
            if not answer.is_framed:
                raise exceptions.ConnectionBroken("the connection ends within an event")
            raise exceptions.StreamInterrupted("the stream ends within an event")
        # A relay checks that itself.
        if not answer.is_framed and not answer.is_relayed:
            await self._hooks.check_end(self.ticket.server)

    def _fail_at(self, bound: int) -> typing.NoReturn:
        self.met_bound = bound
        raise exceptions.StreamInterrupted(f"the {self.part} is over {bound} bytes")

    def _before_sending(self) -> None:
        self._hooks.check(self._state, self.ticket)
        if self.sent_at:
            return
        self.sent_at = self._progressed_at = clock.now()
        self._hooks.mark_dispatched(self._state, self.ticket)

    def _note_failure(self, error: exceptions.BackendError) -> None:
        state = self._state
        if isinstance(error, exceptions.Declined):
            # The server reports that it did not run the request.
            state.runs -= 1
            state.declines += 1
            # A server that asks for time has not failed.
            is_deferred = isinstance(error, exceptions.Deferred)
            self.outcome = DEFERRED if is_deferred else DECLINED
            state.add_tried(self.server)
            if isinstance(error, forwarding.Misdirected):
                state.receivers.discard(self.server)
            logs.event(
                "declined",
                id=state.call.parsed.attempt,
                server=self.server,
                cause=str(error),
            )
        elif isinstance(error, exceptions.NotSent):
            if self.sent_at:
                # Relays have received the request and report that they did not send it.
                self.outcome = UNSENT
                state.runs -= 1
                if self._is_first_receipt:
                    state.receivers.discard(self.server)
            if isinstance(error, exceptions.Unreachable):
                state.unreachable.append(self.server)
        else:
            self.mark_cut()


def _outcome_of(answer: forwarding.Answer) -> str:
    """Return the outcome of an answered request for the keeper."""
    if not answer.is_failure:
        return COMPLETED
    # A server that asks for time has not failed, whether it ran the request or not.
    return DEFERRED if answer.reported.retry_after is not None else FAILED


def _retrieve(step: "asyncio.Task[forwarding.Piece]") -> None:
    """Mark the error of a step that is not taken as handled."""
    if not step.cancelled():
        step.exception()
