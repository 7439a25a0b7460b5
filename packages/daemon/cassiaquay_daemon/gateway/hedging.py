"""Reads the answer of one server and, while it is silent, that of another one, too.

The first server to go on wins; the others are closed before any of its bytes are passed
on. A server that declines, fails or is silent, too, costs the request nothing but an
attempt.
"""

import asyncio
import collections.abc
import math
import typing

from .. import clock, exceptions, logs, pause
from ..decisions import budgets, hedges
from ..operators import reports
from . import accounting, admission, forwarding, progress, repeats, tries


class Parts(typing.NamedTuple):
    """Components that send a request to a second server.

    Attributes
    ----------
    capacity : Admission
        Receives unused tickets.
    budget : RetryBudget
        Limits the tries at other servers.
    repeated : Repeats
        Obtains capacity at another server.
    accounting : Accounting
        Receives silences, and why they were waited for.
    start : callable
        Starts a try with a ticket; returns None if no retry is left.
    is_held : callable
        Returns whether the request is quarantined.
    note_cut : callable
        Records that the answer of a try was cut off.
    """

    capacity: admission.Admission
    budget: budgets.RetryBudget
    repeated: repeats.Repeats
    accounting: accounting.Accounting
    start: collections.abc.Callable[[admission.Ticket], tries.Try | None]
    is_held: collections.abc.Callable[[], bool]
    note_cut: collections.abc.Callable[[tries.Try, exceptions.StreamInterrupted], None]


class HedgedAnswer:
    """The answer to one request, from the first server or from another one.

    Parameters
    ----------
    parts : Parts
        Components that send the request to a second server.
    state : RequestState
        The request.
    first : Try
        The try whose answer is read.

    Attributes
    ----------
    current : Try
        The try that the last piece came from.
    """

    def __init__(self, parts: Parts, state: progress.RequestState, first: tries.Try):
        self.current = first
        self._parts = parts
        self._state = state
        self._others: list[tries.Try] = []
        self._search: asyncio.Task[admission.Ticket] | None = None
        self._searched_at = float("-inf")
        self._obstacle = ""
        self._complete_by = math.inf
        call = state.call
        if not call.is_stream:
            self._complete_by = clock.now() + call.seconds_left * hedges.GROWTH_SHARE
        state.adopt(first.server, first.server_start)

    async def read(self) -> forwarding.Piece:
        """Return the next piece; raise like :meth:`Try.take` if no server has one."""
        if not self._state.call.route.is_repeatable:
            return await self._read_patiently()
        while True:
            progressed_at = self.current.progressed_at
            patience_seconds = self._patience_seconds(self.current)
            # A server that is still being connected to is not silent.
            if self.current.sent_at:
                silent_at = min(progressed_at + patience_seconds, self._complete_by)
                patience_seconds = silent_at - clock.now()
            if patience_seconds <= 0.0:
                await pause.read_buffers()
            piece = await self.current.read(max(patience_seconds, 0.0))
            if piece is not None and not piece.is_failed_head:
                return piece
            if piece is not None:
                continue
            if (
                self.current.progressed_at == progressed_at
                or clock.now() >= self._complete_by
            ):
                return await self._read_from_any()

    def close(self) -> None:
        """Close the tries that are left."""
        self._close_others()
        self.current.close()

    async def _read_patiently(self) -> forwarding.Piece:
        """Return the next piece of the only server that may get the request."""
        while True:
            piece = await self.current.read(None)
            assert piece is not None
            if not piece.is_failed_head:
                return piece

    def _patience_seconds(self, asked: tries.Try) -> float:
        """Return the time without progress after which a try counts as silent."""
        call = self._state.call
        return hedges.patience_seconds(
            call.is_stream,
            call.route.objective_seconds,
            call.parsed.prompt_tokens,
            asked.has_failed,
        )

    async def _read_from_any(self) -> forwarding.Piece:
        """Return the next piece of the first server that has one."""
        silent = self.current
        silent_since = silent.progressed_at
        self._log("server_quiet", silent, since=silent_since)
        self._obstacle = ""
        self._state.search_began_at = 0.0
        outcome = "ended"
        try:
            while True:
                self._act()
                await self._wait()
                piece = self._take()
                if piece is not None:
                    break
            outcome = "answered" if self.current is silent else "moved"
            if self.current is silent:
                self._log("server_answered", silent, since=silent_since)
            return piece
        except exceptions.BackendError:
            outcome = "broken"
            raise
        except asyncio.CancelledError:
            if self._state.call.seconds_left > 0.0:
                outcome = "left"
            raise
        finally:
            self._close_others()
            seconds = clock.now() - silent_since
            service = self._state.call.service
            self._parts.accounting.record_silence(
                reports.Silence(service, silent.server, seconds, outcome)
            )

    def _act(self) -> None:
        action = hedges.decide(self._describe_silence())
        if action is hedges.Action.SEARCH:
            self._search = asyncio.create_task(self._obtain())
        if action is hedges.Action.MOVE:
            for other in self._others:
                if other.has_begun:
                    self._promote(other)
                    break
        if action is hedges.Action.STAY:
            for other in list(self._others):
                self._drop(other, "woke_up")

    def _describe_silence(self) -> hedges.Silence:
        now = clock.now()
        newest_seconds = None
        is_awake = False
        newest = self.current
        if self._others:
            newest = self._others[-1]
            newest_at = newest.sent_at or now
            newest_seconds = now - newest_at
            is_awake = self.current.has_progressed(newest_at)
        return hedges.Silence(
            self._state.call.is_stream,
            self._search is not None,
            now - self._searched_at,
            self._parts.repeated.interval_seconds(self._state),
            self._find_obstacle(),
            self._patience_seconds(newest),
            newest_seconds,
            any(other.has_begun for other in self._others),
            is_awake,
        )

    def _find_obstacle(self) -> str:
        """Return why no other server may get the request now."""
        obstacle = ""
        if not self.current.sent_at:
            # It is not counted as an attempt yet.
            return "connecting"
        if not self._state.has_attempts_left:
            obstacle = "attempts"
        elif not self._state.is_position_known:
            obstacle = "unnumbered"
        elif self._parts.budget.is_spent(self._state.call.service):
            obstacle = "budget"
        elif self._parts.is_held():
            obstacle = "quarantined"
        if obstacle and not self._others and self._search is None:
            self._note_kept(obstacle)
        return obstacle

    async def _wait(self) -> None:
        waiting: list[asyncio.Task[typing.Any]] = [self.current.step()]
        for other in self._others:
            waiting.append(other.step())
        if self._search is not None:
            waiting.append(self._search)
        done, _ = await asyncio.wait(
            waiting,
            timeout=hedges.CHECK_SECONDS,
            return_when=asyncio.FIRST_COMPLETED,
        )
        if not done:
            await pause.read_buffers()

    def _take(self) -> forwarding.Piece | None:
        """Return the next piece of the answer if there is one."""
        if self.current.is_ready:
            piece = self._take_current()
            if piece is not None:
                return piece
        for other in list(self._others):
            if not other.is_ready:
                continue
            piece = self._take_other(other)
            if piece is not None:
                return piece
        if self._search is not None and self._search.done():
            self._take_ticket(self._search)
        return None

    def _take_current(self) -> forwarding.Piece | None:
        try:
            piece = self.current.take()
        except (exceptions.BackendError, exceptions.Refusal) as error:
            if not self._others:
                raise
            if isinstance(error, exceptions.StreamInterrupted):
                self._parts.note_cut(self.current, error)
            self._promote(self._others[0])
            return None
        if piece.is_failed_head:
            return None
        if self._others and piece.answer.is_failure:
            self._state.keep_failure(piece, self.current.server)
            self._promote(self._others[0])
            return None
        return piece

    def _take_other(self, other: tries.Try) -> forwarding.Piece | None:
        try:
            piece = other.take()
        except (exceptions.BackendError, exceptions.Refusal) as error:
            if isinstance(error, exceptions.StreamInterrupted):
                self._parts.note_cut(other, error)
            self._drop(other, _cause_of(error))
            return None
        if piece.is_head:
            return None
        if piece.answer.is_failure:
            self._state.keep_failure(piece, other.server)
        elif not self._state.started or piece.answer.status == 200:
            self._promote(other)
            return piece
        self._drop(other, "declined")
        return None

    def _take_ticket(self, search: "asyncio.Task[admission.Ticket]") -> None:
        self._search = None
        self._searched_at = clock.now()
        try:
            ticket = search.result()
        except (exceptions.BackendError, exceptions.Refusal) as error:
            self._note_kept("no_permit", error)
            return
        receivers = [self.current, *self._others]
        if any(ticket.server.name == item.server for item in receivers):
            self._parts.capacity.return_unused(ticket)
            self._note_kept("no_permit")
            return
        started = self._parts.start(ticket)
        if started is None:
            self._note_kept("budget")
            return
        self._others.append(started)

    async def _obtain(self) -> admission.Ticket:
        state = self._state
        for item in [self.current, *self._others]:
            state.add_tried(item.server)
        state.is_repeat = True
        return await self._parts.repeated.obtain_once(state)

    def _promote(self, other: tries.Try) -> None:
        """Close the current try; the answer goes on with another one."""
        left, self.current = self.current, other
        self._others.remove(other)
        if left.outcome == tries.UNKNOWN:
            left.outcome = tries.CUT
        left.close()
        self._state.adopt(other.server, other.server_start)
        self._log("server_replaced", left, since=left.progressed_at, by=other.server)

    def _drop(self, other: tries.Try, cause: str) -> None:
        self._others.remove(other)
        other.close()
        self._note_kept(cause)

    def _close_others(self) -> None:
        for other in self._others:
            other.close()
        self._others = []
        search, self._search = self._search, None
        if search is None:
            return
        if search.done() and not search.cancelled() and search.exception() is None:
            self._parts.capacity.return_unused(search.result())
        search.cancel()

    def _note_kept(self, cause: str, error: Exception | None = None) -> None:
        """Record why the silent server is kept; once for each change of the cause."""
        if cause == self._obstacle:
            return
        self._obstacle = cause
        self._parts.accounting.record_kept(
            reports.Kept(self._state.call.service, cause)
        )
        logs.event(
            "server_kept",
            id=self._state.call.parsed.attempt,
            server=self.current.server,
            cause=cause,
            error=str(error) if error is not None else None,
        )

    def _log(
        self, event: str, silent: tries.Try, since: float, by: str | None = None
    ) -> None:
        logs.event(
            event,
            id=self._state.call.parsed.attempt,
            server=silent.server,
            by=by,
            silent_ms=round((clock.now() - since) * 1000.0),
            after=self._state.last_event,
            sent_to=len(self._state.receivers),
            attempts=self._state.call.route.attempts,
        )


def _cause_of(error: Exception) -> str:
    """Return why a second server has not taken over."""
    if isinstance(error, exceptions.Unreachable):
        return "unreachable"
    if isinstance(error, exceptions.StreamInterrupted):
        return "silent"
    return "declined"
