"""ASGI application that receives callers' requests."""

import asyncio
import collections.abc
import typing

from .. import exceptions, logs, pause
from ..operators import unanswered
from ..platform import headers
from . import (
    accepting,
    accounting,
    body_room,
    caller_connections,
    calls,
    deliveries,
    departing,
    progress,
    replies,
    serving,
)

CLOSED = "The caller closed its side of the connection."
GRACE_OVER = "The instance shut down while it ran."
# Time in which requests that are ended by a shutdown send their last bytes.
ENDING_SECONDS = 0.1


class Front:
    """The ASGI application of callers' requests.

    Parameters
    ----------
    acceptor : Acceptor
        Validates requests.
    handler : RequestHandler
        Serves the accepted requests.
    reply : Replies
        Builds the answers; announces the shutdown to callers.
    accounts : Accounting
        Records requests that are refused before they have a route, and those that get
        no complete answer.
    pauses : Pauses
        Gives the time since when a request may have waited to be read.
    bodies : BodyRoom
        Memory for the bodies of requests.
    departure : Departure
        Refuses requests while the instance stops.
    """

    def __init__(
        self,
        acceptor: accepting.Acceptor,
        handler: serving.RequestHandler,
        reply: replies.Replies,
        accounts: accounting.Accounting,
        pauses: pause.Pauses,
        bodies: body_room.BodyRoom,
        departure: departing.Departure,
    ):
        self.open_count = 0
        self._departure = departure
        self._bodies = bodies
        # Work of the handler by the listener's task that waits for it.
        self._open: dict[asyncio.Task[typing.Any], asyncio.Task[None]] = {}
        self._has_ended = False
        self._acceptor = acceptor
        self._handler = handler
        self._replies = reply
        self._accounts = accounts
        self._pauses = pauses

    @property
    def leaving(self) -> bool:
        """Whether this instance is shutting down."""
        return self._replies.leaving

    def leave(self) -> None:
        """Send ``Connection: close`` with each answer from now on."""
        self._replies.leaving = True

    async def end_requests(self) -> None:
        """End all requests; those whose answers have not begun get a refusal."""
        self._has_ended = True
        waiting = list(self._open)
        for work in self._open.values():
            work.cancel()
        if waiting:
            await asyncio.wait(waiting, timeout=ENDING_SECONDS)

    async def __call__(
        self, scope: replies.Scope, receive: replies.Receive, send: replies.Send
    ) -> None:
        """Serve one request."""
        self.open_count += 1
        connection = scope["extensions"][caller_connections.EXTENSION]
        delivery = deliveries.Delivery(send, connection)
        hold = body_room.Hold(self._bodies)
        try:
            call = await self._accept(scope, receive, delivery, hold)
            if call is not None:
                left = _until_left(scope, receive)
                await self._serve(call, left, delivery)
        finally:
            hold.close()
            self.open_count -= 1

    async def _accept(
        self,
        scope: replies.Scope,
        receive: replies.Receive,
        delivery: deliveries.Delivery,
        hold: body_room.Hold,
    ) -> calls.Call | None:
        """Return the validated request; None if it has ended before it had a route."""
        began_at = self._pauses.earliest_arrival()
        try:
            parsed = headers.read(scope["headers"])
            try:
                call = await self._acceptor.accept(
                    scope, receive, parsed, began_at, hold
                )
                if self._has_ended:
                    raise self._departure.refusal()
                return call
            except exceptions.Refusal as refusal:
                replies.log_refused(parsed, refusal, began_at)
                self._accounts.record_refused(parsed, refusal)
                await self._replies.refuse(delivery, refusal)
        except replies.CallerDisconnected:
            logs.event("caller_gone", id=parsed.attempt, sent=False)
        except Exception as error:
            _log_crash(headers.attempt_of(scope["headers"]), repr(error))
            if not delivery.status:
                await self._replies.refuse(delivery, exceptions.InternalError())
        return None

    async def _serve(
        self,
        call: calls.Call,
        left: collections.abc.Coroutine[None, None, None],
        delivery: deliveries.Delivery,
    ) -> None:
        state = progress.RequestState(call)
        work = asyncio.create_task(self._handler.serve(state, delivery))
        disconnected = asyncio.create_task(left)
        task = asyncio.current_task()
        assert task is not None
        self._open[task] = work
        try:
            done, _ = await asyncio.wait(
                [work, disconnected], return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            del self._open[task]
        has_left = work not in done
        if has_left:
            self._handle_disconnect(state, work)
        disconnected.cancel()
        await asyncio.gather(work, disconnected, return_exceptions=True)
        if not work.cancelled() and work.exception() is not None:
            _log_crash(call.parsed.attempt, repr(work.exception()))
        if has_left:
            await self._refuse_left(state, delivery)
            self._record_unanswered(state, delivery, deliveries.CALLER_LEFT)
        elif not delivery.status:
            await self._refuse(state, delivery, self._refusal_of(state, work))
        elif not delivery.is_complete:
            # Returning makes the listener break the connection, so that the part of the
            # answer that was sent does not look complete.
            is_drained = self._has_ended and work.cancelled()
            cause = deliveries.DRAINED if is_drained else deliveries.cause_of(state)
            self._record_unanswered(state, delivery, cause)

    def _refusal_of(
        self, state: progress.RequestState, work: "asyncio.Task[None]"
    ) -> exceptions.Refusal:
        """Return the refusal of a request that the handler has not answered."""
        if self._has_ended and work.cancelled():
            if state.may_have_run:
                return exceptions.AnswerLost(GRACE_OVER)
            return self._departure.refusal()
        if work.cancelled():
            _log_crash(state.call.parsed.attempt, "cancelled")
        if state.may_have_run:
            return exceptions.OutcomeUnknown()
        return exceptions.InternalError()

    async def _refuse_left(
        self, state: progress.RequestState, delivery: deliveries.Delivery
    ) -> None:
        """Refuse a request whose caller may have closed its sending side only."""
        if delivery.status:
            return
        lost: exceptions.Refusal = exceptions.CallerDisconnected(CLOSED)
        if state.may_have_run:
            lost = exceptions.CallerDisconnectedWhileRunning(CLOSED)
        await self._replies.refuse(delivery, lost)

    async def _refuse(
        self,
        state: progress.RequestState,
        delivery: deliveries.Delivery,
        refusal: exceptions.Refusal,
    ) -> None:
        call = state.call
        replies.log_refused(call.parsed, refusal, call.began_at, state)
        await self._replies.refuse(delivery, refusal)
        if not state.end_code:
            outcome, code = refusal.outcome, refusal.code
            self._accounts.record_ended(state, outcome, code, 0.0, refusal.message)

    def _record_unanswered(
        self, state: progress.RequestState, delivery: deliveries.Delivery, cause: str
    ) -> None:
        ended = unanswered.Unanswered(cause, state.may_have_run)
        deliveries.log(state, delivery, ended)
        self._accounts.record_unanswered(ended)

    def _handle_disconnect(
        self, state: progress.RequestState, work: "asyncio.Task[None]"
    ) -> None:
        # A stream, a request that may be repeated and one that has not been sent are
        # cancelled: no server should work for a caller that has disconnected. Any other
        # request runs to its end, because an abort could leave its work half done.
        call = state.call
        if call.is_stream or call.route.is_repeatable or not state.may_have_run:
            state.is_abandoned = True
            work.cancel()
            self._accounts.record_abandoned(state)
        logs.event(
            "caller_gone",
            id=call.parsed.attempt,
            sent=state.may_have_run,
            server=state.server or None,
            ms=replies.elapsed_ms(call.began_at),
        )


async def _until_left(scope: replies.Scope, receive: replies.Receive) -> None:
    """Return when the caller has closed its connection or its sending side."""
    connection = scope["extensions"][caller_connections.EXTENSION]
    while not connection.is_half_closed:
        message = await receive()
        if message["type"] == "http.disconnect":
            return


def _log_crash(attempt: str, cause: str) -> None:
    logs.trouble("request_crashed", id=attempt, cause=cause)
