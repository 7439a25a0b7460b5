"""Ends requests: the last answer to their callers, the record and the log line."""

from .. import clock, exceptions, logs
from . import (
    accounting,
    admission,
    completions,
    forwarding,
    passing,
    progress,
    replies,
)


class Endings:
    """Ends the requests of one handler.

    Parameters
    ----------
    reply : Replies
        Builds answers to callers.
    accounts : Accounting
        Reports the outcome of each request.
    completed : Completions
        Clears requests that servers have completed.
    """

    def __init__(
        self,
        reply: replies.Replies,
        accounts: accounting.Accounting,
        completed: completions.Completions,
    ):
        self._reply = reply
        self._accounting = accounts
        self._completions = completed

    async def end_refused(
        self,
        state: progress.RequestState,
        send: replies.Send,
        refusal: exceptions.Refusal,
    ) -> None:
        """End a request that no server has answered."""
        call = state.call
        if state.failure is not None and not state.started:
            # No other server took the request: this is its answer.
            await self._pass_failure(state, send)
            return
        if state.may_close:
            # No other server could be asked whether the stream goes on.
            await self._close_stream(state, send)
            return
        if state.may_have_run and not isinstance(refusal, exceptions.OutcomeUnknown):
            refusal = exceptions.AnswerLost(f"{refusal.code} after it was sent")
        replies.log_refused(call.parsed, refusal, call.began_at, state)
        outcome = refusal.outcome or "not_run"
        self._accounting.record_ended(
            state, outcome, refusal.code, 0.0, refusal.message
        )
        if state.started:
            # Part of an answer was sent. Returning without its last message makes the
            # listener break the connection, so that the part does not look complete.
            return
        await self._reply.refuse(send, refusal)

    def log_completed(
        self,
        state: progress.RequestState,
        answer: forwarding.Answer,
        tally: admission.Tally,
        address: str,
    ) -> None:
        """Record and log a request whose caller was sent an answer of a server."""
        call = state.call
        status = answer.status
        first_ms = None
        if tally.first_at:
            first_ms = round((tally.first_at - call.began_at) * 1000.0, 1)
        first_at = tally.first_at or clock.now()
        outcome = (
            "failed" if status >= forwarding.FIRST_SERVER_ERROR_STATUS else "completed"
        )
        if status < forwarding.FIRST_REDIRECT_STATUS:
            self._completions.record(state, answer, address)
        self._accounting.record_ended(state, outcome, outcome, first_at - call.began_at)
        logs.event(
            "ended",
            id=call.parsed.attempt,
            outcome=outcome,
            status=status,
            server=state.server,
            server_limit=answer.reported.limit,
            route=call.route.name,
            events=tally.count,
            framed=None if answer.is_framed else False,
            prompt_tokens=call.parsed.prompt_tokens or None,
            output_tokens=call.parsed.output_tokens or None,
            first_ms=first_ms,
            ms=replies.elapsed_ms(call.began_at),
        )

    async def _close_stream(
        self, state: progress.RequestState, send: replies.Send
    ) -> None:
        unproven = state.unproven
        assert unproven is not None
        await send(replies.part(b"", False))
        state.adopt(unproven.server, unproven.server_start)
        tally = admission.Tally()
        tally.count = unproven.event_count
        tally.first_at = unproven.first_at
        self.log_completed(state, unproven.answer, tally, "")

    async def _pass_failure(
        self, state: progress.RequestState, send: replies.Send
    ) -> None:
        failure = state.failure
        assert failure is not None
        await passing.pass_whole(state, failure, self._reply, send)
        state.server = state.failed_server
        self.log_completed(state, failure.answer, admission.Tally(), "")
