"""One accepted request, from its team's limit to its final answer.

One task for each request, written straight down. The promise is kept here: a request is
"not run" only while no byte of it has gone to a server, or when each server that got it
said that it did not run it.
"""

import asyncio
import typing

from .. import clock, exceptions, logs, pause
from ..configured import routing
from ..decisions import budgets, quarantine
from ..fleet import configuration, crash_reports
from ..keepers import quotas
from . import (
    accepting,
    accounting,
    admission,
    calls,
    forwarding,
    passing,
    progress,
    replies,
)

# Retry-After when servers keep refusing or cannot be reached.
UNREACHABLE_RETRY_MS = 300
# Share of the time to its objective that a request may wait for room in its team's
# limit; the other half is for its slot and its first event.
LIMIT_WAIT_SHARE = 0.5
# Pause before a request whose connection failed asks for another server.
AGAIN_SECONDS = 0.01
# A server that says nothing for so long is taken for silent while its caller, who waits
# two seconds and more between events, still has time for another one.
STREAM_SILENCE_SECONDS = 1.2
LEAST_SILENCE_SECONDS = 0.25
# Prompt tokens a second of a slow engine: long prompts delay the first event.
SLOW_RATE = 20_000.0
# Connections that may fail before a request is refused: servers that crashed are still
# listed for a while, and two of them together must not cost a request.
MOST_UNSENT = 4


class Parts(typing.NamedTuple):
    """What a request needs on its way.

    Attributes
    ----------
    configured : Configuration
        Looked at again right before the first byte.
    admitted : Admission
        Capacity.
    forwarder : Forwarder
        The way to servers.
    budget : RetryBudget
        Repeats.
    crashes : CrashReports
        Requests that crash servers.
    limited : Quotas
        Teams' limits.
    pauses : Pauses
        Whether this process knows what is true now.
    reply : Replies
        The way to callers.
    accounting : Accounts
        Told of each end.
    """

    configured: configuration.Configuration
    admitted: admission.Admission
    forwarder: forwarding.Forwarder
    budget: budgets.RetryBudget
    crashes: crash_reports.CrashReports
    limited: quotas.Quotas
    pauses: pause.Pauses
    reply: replies.Replies
    accounting: accounting.Accounting


class Serving:
    """Serves accepted requests.

    Parameters
    ----------
    parts : Parts
        What they need.
    """

    def __init__(self, parts: Parts):
        self._parts = parts

    async def serve(self, known: progress.Progress, send: replies.Send) -> None:
        """Serve one request; it has its final answer when this returns."""
        call = known.call
        self._parts.budget.count(call.service)
        taken: quotas.Taken | None = None
        try:
            self._check_quarantine(known)
            async with asyncio.timeout(max(call.left, 0.0)):
                patience = call.first_left * LIMIT_WAIT_SHARE
                taken = await self._parts.limited.take(call.team, call.facts, patience)
                await self._answer(known, send)
        except exceptions.Refusal as refusal:
            await self._end(known, send, refusal)
        except TimeoutError:
            late = (
                exceptions.DeadlineExceeded
                if known.sent
                else exceptions.DeadlineInfeasible
            )
            await self._end(known, send, late())
        except Exception as error:
            # Whatever went wrong here, the caller gets an answer that is true.
            logs.trouble("request_crashed", id=call.facts.attempt, cause=repr(error))
            lost = exceptions.OutcomeUnknown if known.sent else exceptions.InternalError
            await self._end(known, send, lost())
        finally:
            if taken is not None and not known.sent:
                self._parts.limited.give_back(taken)

    async def _answer(self, known: progress.Progress, send: replies.Send) -> None:
        """Dispatch until an answer is whole; raise Refusal for any other end."""
        unsent = 0
        while True:
            known.tries += 1
            try:
                await self._try(known, send)
                return
            except exceptions.NotSent as error:
                logs.event(
                    "not_sent",
                    id=known.call.facts.attempt,
                    server=known.server,
                    cause=str(error),
                )
                unsent += 1
                if unsent >= MOST_UNSENT:
                    raise _unserved(known) from error
                await asyncio.sleep(AGAIN_SECONDS)
            except exceptions.Declined as error:
                if not self._parts.budget.take(known.call.service):
                    raise _unserved(known) from error
            except _FailedOnce as error:
                logs.event(
                    "repeated",
                    id=known.call.facts.attempt,
                    server=known.server,
                    cause=f"status {error}",
                )
            except exceptions.StreamInterrupted as error:
                self._check_repeat(known, error)

    def _check_repeat(
        self, known: progress.Progress, error: exceptions.StreamInterrupted
    ) -> None:
        """Return when the request may be sent to another server; raise otherwise."""
        call = known.call
        logs.event(
            "answer_cut",
            id=call.facts.attempt,
            content=call.content,
            server=known.server,
            cause=str(error),
            after=known.last_event,
            runs=known.runs,
        )
        if isinstance(error, exceptions.ConnectionBroken):
            self._parts.crashes.crashed(call.content, known.server_start)
        if not known.may_repeat:
            raise exceptions.AnswerLost() from error
        if known.started and not call.is_stream:
            raise exceptions.AnswerLost() from error
        self._check_quarantine(known)
        if not self._parts.budget.take(call.service):
            raise exceptions.AnswerLost("the budget of repeats is spent") from error

    async def _try(self, known: progress.Progress, send: replies.Send) -> None:
        """Dispatch once and pass the answer on."""
        call = known.call
        ticket = await self._parts.admitted.obtain(
            call, known.tries, known.refused, known.tried
        )
        known.server = ticket.server.name
        known.server_start = f"{ticket.server.name}/{ticket.server.started_ms}"
        sent_at = 0.0

        def before_sending() -> None:
            nonlocal sent_at
            self._check(known, ticket)
            sent_at = clock.now()
            self._mark(known, ticket)

        outcome = "unknown"
        try:
            outcome = await self._exchange(known, ticket, send, before_sending)
        except exceptions.Declined as error:
            # The server's own word that it did not run it: nothing has happened.
            known.runs -= 1
            outcome = "declined"
            known.tried.append(ticket.server.name)
            logs.event(
                "declined",
                id=call.facts.attempt,
                server=ticket.server.name,
                cause=str(error),
            )
            raise
        except exceptions.Unreachable:
            known.refused.append(ticket.server.name)
            raise
        except (exceptions.StreamInterrupted, _FailedOnce) as error:
            outcome = "failed" if isinstance(error, _FailedOnce) else "cut"
            known.tried.append(ticket.server.name)
            raise
        finally:
            if sent_at:
                self._parts.admitted.ended(ticket, sent_at, outcome)
            else:
                self._parts.admitted.unused(ticket)

    async def _exchange(
        self,
        known: progress.Progress,
        ticket: admission.Ticket,
        send: replies.Send,
        before_sending: forwarding.BeforeSending,
    ) -> str:
        """Send a request and pass its answer on; return how it ended."""
        call = known.call
        answer = await self._parts.forwarder.send(
            call,
            ticket.server,
            known.last_event,
            _silence_seconds(known),
            before_sending,
        )
        try:
            if answer.is_failure and not known.started and known.may_repeat:
                if self._parts.budget.take(call.service):
                    raise _FailedOnce(answer.status)
            if call.is_stream and answer.status == 200:
                await passing.pass_events(
                    known, answer, ticket.tally, self._parts.reply, send
                )
            else:
                await passing.pass_whole(known, answer, self._parts.reply, send)
        finally:
            # The server stops working on a request whose connection closes; the
            # connection of an answer that was read to its end is kept.
            answer.response.close()
        self._log_completed(known, answer.status, ticket.tally)
        return "failed" if answer.is_failure else "completed"

    def _check(self, known: progress.Progress, ticket: admission.Ticket) -> None:
        # The last look before the first byte. A process that was paused wakes up here
        # with a ticket that is over, a server that has left or a key that was taken
        # away: nothing may be sent on what was true before.
        call = known.call
        self._check_quarantine(known)
        if not self._parts.pauses.is_current:
            raise exceptions.StaleAfterPause("this process was paused")
        if clock.now() >= min(ticket.expires_at, call.deadline):
            raise exceptions.NotSent("the permit has expired")
        snapshot = self._parts.configured.current
        if snapshot is None or snapshot.routes is None:
            raise exceptions.NotSent("no configuration")
        if snapshot.open_server(call.service, ticket.server.name) is None:
            raise exceptions.NotSent("the server has left or is evacuated")
        if snapshot is call.snapshot or _is_allowed(call, snapshot.routes):
            return
        raise exceptions.NotReady(
            "the route or key has gone", retry_after_ms=accepting.NOT_READY_RETRY_MS
        )

    def _check_quarantine(self, known: progress.Progress) -> None:
        if not self._parts.crashes.holds(known.call.content):
            return
        if known.sent:
            raise exceptions.AnswerLost("the request has crashed several servers")
        raise exceptions.Quarantined(retry_after_ms=quarantine.RETRY_MS)

    def _mark(self, known: progress.Progress, ticket: admission.Ticket) -> None:
        # From here on it may run: only the server's own word unmarks it.
        known.runs += 1
        self._parts.admitted.dispatched(ticket)
        call = known.call
        logs.event(
            "dispatch",
            id=call.facts.attempt,
            content=call.content,
            server=ticket.server.name,
            route=call.route.name,
            team=call.team_name,
            rank=call.rank,
            number=known.tries,
            after=known.last_event if known.last_event >= 0 else None,
            alone=ticket.is_alone or None,
            waited_ms=replies.ms_since(call.began_at),
            configuration=call.snapshot.revision,
        )

    async def _end(
        self,
        known: progress.Progress,
        send: replies.Send,
        refusal: exceptions.Refusal,
    ) -> None:
        call = known.call
        replies.log_refused(call.facts, refusal, call.began_at, known)
        outcome = refusal.outcome or "not_run"
        self._parts.accounting.ended(known, outcome, refusal.code, 0.0)
        if known.started:
            # The caller has a part: returning without its end breaks the connection,
            # so that the part does not look whole.
            return
        await self._parts.reply.refuse(send, refusal)

    def _log_completed(
        self, known: progress.Progress, status: int, tally: admission.Tally
    ) -> None:
        call = known.call
        first_ms = None
        if tally.first_at:
            first_ms = round((tally.first_at - call.began_at) * 1000.0, 1)
        first_at = tally.first_at or clock.now()
        outcome = "failed" if status >= forwarding.FIRST_FAILURE else "completed"
        if status < forwarding.FIRST_REDIRECT:
            self._parts.crashes.completed(known.call.content)
        self._parts.accounting.ended(known, outcome, outcome, first_at - call.began_at)
        logs.event(
            "ended",
            id=call.facts.attempt,
            outcome=outcome,
            status=status,
            server=known.server,
            route=call.route.name,
            events=tally.count,
            prompt_tokens=call.facts.prompt_tokens or None,
            output_tokens=call.facts.output_tokens or None,
            first_ms=first_ms,
            ms=replies.ms_since(call.began_at),
        )


class _FailedOnce(Exception):
    """A server failed at a request that may be, and will be, sent to another."""


def _unserved(known: progress.Progress) -> exceptions.Refusal:
    if known.sent:
        return exceptions.AnswerLost()
    return exceptions.ServerDeclined(
        "no server took it", retry_after_ms=UNREACHABLE_RETRY_MS
    )


def _is_allowed(call: calls.Call, found: routing.Routing) -> bool:
    """Tell whether a newer configuration still lets a request through."""
    route = found.find(call.facts.host, call.target.partition("?")[0])
    if route is None or call.service not in {share.service for share in route.shares}:
        return False
    if call.team is None:
        return route.is_public or not found.needs_keys
    team = found.teams_by_key.get(call.facts.key)
    return team is not None and team.name == call.team.name


def _silence_seconds(known: progress.Progress) -> float | None:
    """Return how long a server may say nothing before another one is asked.

    None where nobody else may be asked: then the deadline ends it.
    """
    call = known.call
    if not known.may_repeat:
        return None
    if not call.is_stream:
        return max(call.route.objective_seconds, LEAST_SILENCE_SECONDS)
    return STREAM_SILENCE_SECONDS + call.facts.prompt_tokens / SLOW_RATE
