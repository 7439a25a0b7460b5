"""Serves one accepted request, from the check of its team's limit to its final answer.

Each request runs in one task. Invariant: a request is reported as "not run" only if no
byte of it was sent to a server, or if each server that received it reported that it did
not run it.
"""

import asyncio
import functools
import typing

from .. import clock, exceptions, logs, pause
from ..decisions import budgets, quarantine, unmarked_ends
from ..fleet import configuration, crash_reports, server_reports
from ..keepers import quotas
from . import (
    accepting,
    accounting,
    admission,
    completions,
    cuts,
    departing,
    end_checks,
    endings,
    forwarding,
    hedging,
    holding,
    passing,
    process_checks,
    progress,
    repeats,
    replies,
    resuming,
    tries,
)

# Share of the time to its objective that a request may wait for its team's limit; the
# rest is for obtaining a slot and for the first event.
LIMIT_WAIT_SHARE = 0.5
# Pause before capacity at another server is requested after a failed connection.
RETRY_PAUSE_SECONDS = 0.01
# Dispatches that may fail before sending until the request is refused. Crashed servers
# stay listed for a while, and two crashed at once must not make a request fail.
MAX_UNSENT_DISPATCHES = 4


class Parts(typing.NamedTuple):
    """Components that serve a request.

    Attributes
    ----------
    configured : Configuration
        Configuration; checked again right before the first byte is sent.
    capacity : Admission
        Obtains capacity.
    forwarder : Forwarder
        Sends requests to servers.
    budget : RetryBudget
        Limits retries.
    crashes : CrashReports
        Quarantines requests that crash servers.
    completions : Completions
        Clears requests that servers have completed.
    servers : ServerReports
        Returns why a server may get no request, by what it has reported.
    team_limits : Quotas
        Enforces the teams' limits.
    pauses : Pauses
        Tells whether this process's state is current after a start or a pause.
    reply : Replies
        Builds answers to callers.
    accounting : Accounting
        Reports the outcome of each request.
    resuming : Resuming
        Knows at which software version a stream must go on.
    room : Room
        Memory for the answers that are read.
    process_checks : ProcessChecks
        Checks that a server still runs the listed process.
    end_checks : EndChecks
        Checks that a server lives that has closed its connection.
    departure : Departure
        Refuses requests while the instance stops.
    """

    configured: configuration.Configuration
    capacity: admission.Admission
    forwarder: forwarding.Forwarder
    budget: budgets.RetryBudget
    crashes: crash_reports.CrashReports
    completions: completions.Completions
    servers: server_reports.ServerReports
    team_limits: quotas.Quotas
    pauses: pause.Pauses
    reply: replies.Replies
    accounting: accounting.Accounting
    resuming: resuming.Resuming
    room: holding.Room
    process_checks: process_checks.ProcessChecks
    end_checks: end_checks.EndChecks
    departure: departing.Departure


class RequestHandler:
    """Serves accepted requests.

    Parameters
    ----------
    parts : Parts
        Components that serve a request.
    """

    def __init__(self, parts: Parts):
        self._parts = parts
        self._unmarked_ends = unmarked_ends.History()
        self._endings = endings.Endings(
            parts.reply, parts.accounting, parts.completions
        )
        self._repeats = repeats.Repeats(
            self._obtain, parts.budget, self._check_sendable
        )

    async def serve(self, state: progress.RequestState, send: replies.Send) -> None:
        """Serve one request; return after its final answer has been sent."""
        self._parts.budget.count(state.call.service)
        taken: quotas.Taken | None = None
        try:
            self._check_quarantine(state)
            async with asyncio.timeout(max(state.call.seconds_left, 0.0)) as limit:
                state.limit = limit
                async with self._parts.departure.waiting(state.call.deadline):
                    await self._parts.resuming.resolve(state)
                    call = state.call
                    patience = call.objective_seconds_left * LIMIT_WAIT_SHARE
                    taken = await self._parts.team_limits.take(
                        call.team, call.parsed, patience
                    )
                await self._dispatch_until_answered(state, send)
        except exceptions.Refusal as refusal:
            await self._endings.end_refused(state, send, refusal)
        except TimeoutError:
            late = (
                exceptions.DeadlineExceeded
                if state.may_have_run
                else exceptions.DeadlineInfeasible
            )
            await self._endings.end_refused(state, send, late())
        except Exception as error:
            # Also after an unexpected error, the caller gets the correct outcome.
            attempt = state.call.parsed.attempt
            logs.trouble("request_crashed", id=attempt, cause=repr(error))
            lost = (
                exceptions.OutcomeUnknown
                if state.may_have_run
                else exceptions.InternalError
            )
            await self._endings.end_refused(state, send, lost())
        finally:
            if taken is not None and not state.may_have_run:
                self._parts.team_limits.give_back(taken)

    async def _dispatch_until_answered(
        self, state: progress.RequestState, send: replies.Send
    ) -> None:
        """Dispatch until an answer is complete; raise Refusal for any other end."""
        unsent = 0
        while True:
            try:
                await self._dispatch_once(state, send)
                return
            except exceptions.NotSent as error:
                logs.event(
                    "not_sent",
                    id=state.call.parsed.attempt,
                    server=state.server,
                    cause=str(error),
                )
                unsent += 1
                if unsent < MAX_UNSENT_DISPATCHES:
                    await asyncio.sleep(RETRY_PAUSE_SECONDS)
                    continue
                # A request that may have run cannot be refused.
                if not state.may_have_run or not self._repeats.may_ask_again(state):
                    raise repeats.unserved_refusal(state) from error
                await asyncio.sleep(self._repeats.interval_seconds(state))
            except exceptions.Declined as error:
                state.is_repeat = True
                if not state.has_attempts_left:
                    raise repeats.unserved_refusal(state) from error
            except _RetryableFailure as error:
                state.is_repeat = True
                logs.event(
                    "repeated",
                    id=state.call.parsed.attempt,
                    server=state.server,
                    cause=f"status {error}",
                )
            except exceptions.StreamInterrupted as error:
                state.is_repeat = True
                self._check_repeat(state, error)

    def _note_cut(
        self,
        state: progress.RequestState,
        cut: tries.Try,
        error: exceptions.StreamInterrupted,
    ) -> None:
        """Record that the answer of one try was cut off."""
        cuts.log_cut(state, cut, error)
        if not isinstance(error, exceptions.ConnectionBroken):
            return
        suspected = state.call.parsed.shared_parts
        if cut.server == state.server:
            suspected = state.suspected_parts
        self._parts.crashes.crashed(state.call.content, cut.server_start, suspected)

    def _check_repeat(
        self, state: progress.RequestState, error: exceptions.StreamInterrupted
    ) -> None:
        """Return if the request may be sent to another server; raise otherwise."""
        call = state.call
        if not state.is_repeatable_now:
            raise exceptions.AnswerLost("no other server may get it") from error
        if state.started and not call.is_stream:
            raise exceptions.AnswerLost() from error

    async def _dispatch_once(
        self, state: progress.RequestState, send: replies.Send
    ) -> None:
        """Dispatch once and forward the answer to the caller."""
        ticket = await self._repeats.obtain(state)
        first = self._start_try(state, ticket)
        if first is None:
            raise repeats.spent_refusal(state)
        answer = hedging.HedgedAnswer(
            hedging.Parts(
                self._parts.capacity,
                self._parts.budget,
                self._repeats,
                self._parts.accounting,
                functools.partial(self._start_try, state),
                functools.partial(self._is_held, state),
                functools.partial(self._note_cut, state),
            ),
            state,
            first,
        )
        try:
            piece = await self._pass_answer(state, answer, send)
        except exceptions.EndUnproven:
            state.add_tried(answer.current.server)
            raise
        except exceptions.StreamInterrupted as error:
            answer.current.mark_cut()
            self._note_cut(state, answer.current, error)
            raise
        except _RetryableFailure:
            state.add_tried(answer.current.server)
            raise
        except asyncio.CancelledError:
            if state.call.seconds_left <= 0.0:
                cuts.log_late(state, answer.current)
            raise
        finally:
            answer.close()
        ticket = answer.current.ticket
        self._endings.log_completed(
            state, piece.answer, ticket.tally, ticket.server.address
        )

    async def _obtain(self, state: progress.RequestState) -> admission.Ticket:
        newest = self._parts.configured.current
        if newest is not None and state.call.service in newest.fleet.pools:
            # Servers may have come and gone since the request was accepted.
            state.snapshot = newest
        self._parts.resuming.settle_origin(state)
        if state.may_have_run:
            # A request in progress is not refused: only a repeat can complete it.
            return await self._obtain_ticket(state)
        async with self._parts.departure.waiting(state.call.deadline):
            return await self._obtain_ticket(state)

    async def _obtain_ticket(self, state: progress.RequestState) -> admission.Ticket:
        ticket = await self._parts.capacity.obtain(state)
        await self._parts.process_checks.check(state, ticket)
        return ticket

    def _start_try(
        self, state: progress.RequestState, ticket: admission.Ticket
    ) -> tries.Try | None:
        """Return a try with a ticket; None if it is a repeat and no retry is left."""
        parts = self._parts
        give_back = _do_nothing
        if state.is_repeat:
            if not self._repeats.take(state):
                parts.capacity.return_unused(ticket)
                return None
            give_back = functools.partial(self._repeats.give_back, state)
        hooks = tries.Hooks(
            self._check_before_sending,
            self._mark_dispatched,
            give_back,
            functools.partial(parts.end_checks.check, state.call.service),
        )
        return tries.Try(
            state, ticket, parts.capacity, parts.forwarder, hooks, parts.room
        )

    async def _pass_answer(
        self,
        state: progress.RequestState,
        answer: hedging.HedgedAnswer,
        send: replies.Send,
    ) -> forwarding.Piece:
        """Pass an answer on to the caller; return its last piece."""
        piece = await answer.read()
        if state.call.is_stream and piece.answer.status == 200:
            return await passing.pass_streamed(
                state,
                piece,
                answer,
                self._parts.reply,
                send,
                functools.partial(self._note_events, state),
                self._unmarked_ends,
            )
        if piece.answer.is_failure and not state.started and state.is_repeatable_now:
            state.keep_failure(piece, answer.current.server)
            if not self._parts.budget.is_spent(state.call.service):
                raise _RetryableFailure(piece.answer)
        passing.check_promise(state, piece.answer)
        await passing.pass_whole(state, piece, self._parts.reply, send)
        return piece

    def _note_events(self, state: progress.RequestState, writer: tries.Try) -> None:
        self._parts.resuming.note_events(state, writer.ticket, writer.connection)

    def _check_before_sending(
        self, state: progress.RequestState, ticket: admission.Ticket
    ) -> None:
        # Last check before the first byte. After a pause of this process the ticket may
        # have expired, the server left or the key been revoked; nothing may be sent on
        # outdated state.
        call = state.call
        if state.is_abandoned:
            raise exceptions.NotSent("the caller has gone")
        if not state.may_have_run:
            self._parts.departure.check(call.deadline)
        self._check_quarantine(state, is_sent_now=True)
        if not self._parts.pauses.is_current:
            raise exceptions.StaleAfterPause("this process was paused")
        if clock.now() >= min(ticket.expires_at, call.deadline):
            raise exceptions.NotSent("the permit has expired")
        cause = self._parts.servers.blocking_cause(
            ticket.server.name, ticket.is_charged
        )
        if cause:
            raise exceptions.ServerUnavailable(cause)
        snapshot = self._parts.configured.current
        if snapshot is None or snapshot.routes is None:
            raise exceptions.NotSent("no configuration")
        server = snapshot.open_server(call.service, ticket.server.name)
        if server is None:
            raise exceptions.NotSent("the server has left or is evacuated")
        if state.software not in (None, server.software):
            raise exceptions.NotSent("the stream began at another software version")
        if snapshot is call.snapshot or accepting.is_allowed(call, snapshot.routes):
            return
        raise exceptions.NotReady(
            "the route or key has gone", retry_after_ms=accepting.NOT_READY_RETRY_MS
        )

    def _is_held(self, state: progress.RequestState) -> bool:
        call = state.call
        parts = call.parsed.shared_parts
        return bool(self._parts.crashes.blocking(call.content, parts))

    def _check_sendable(self, state: progress.RequestState) -> None:
        """Raise Refusal if no further server may get a request."""
        self._parts.resuming.check_origin(state)
        self._check_quarantine(state)

    def _check_quarantine(
        self, state: progress.RequestState, is_sent_now: bool = False
    ) -> None:
        call = state.call
        parts = call.parsed.shared_parts
        if not self._parts.crashes.holds(call.content, parts, is_sent_now):
            return
        logs.event(
            "request_held",
            id=call.parsed.attempt,
            content=call.content,
            by=",".join(self._parts.crashes.blocking(call.content, parts)),
        )
        if state.may_have_run:
            # The end of its stream may be such a crash.
            state.unproven = None
            raise exceptions.AnswerLost("the request has crashed several servers")
        raise exceptions.Quarantined(retry_after_ms=quarantine.RETRY_MS)

    def _mark_dispatched(
        self, state: progress.RequestState, ticket: admission.Ticket
    ) -> None:
        # From here on the request may run. Only a server that reports that it did not
        # run it takes this back, or a relay that reports that it did not send it.
        state.runs += 1
        state.was_offered = True
        state.search_began_at = 0.0
        state.receivers.add(ticket.server.name)
        self._parts.capacity.report_dispatched(ticket)
        call = state.call
        logs.event(
            "dispatch",
            id=call.parsed.attempt,
            content=call.content,
            server=ticket.server.name,
            software=ticket.server.software or None,
            resumes=call.parsed.resumes or None,
            route=call.route.name,
            team=call.team_name,
            rank=call.rank,
            number=state.tries,
            after=state.last_event if state.last_event >= 0 else None,
            alone=ticket.is_without_keeper or None,
            waited_ms=replies.elapsed_ms(call.began_at),
            configuration=call.snapshot.label,
        )


class _RetryableFailure(Exception):
    """A server answered with an error, and the request is retried at another one."""

    def __init__(self, answer: forwarding.Answer):
        super().__init__(str(answer.status))
        self.answer = answer


def _do_nothing() -> None:
    """Keep the retry budget: a first try takes nothing from it."""
