"""ASGI application that receives callers' requests."""

import asyncio

from .. import exceptions, logs, pause
from ..owners import streams
from ..platform import headers
from . import accepting, accounting, progress, replies, serving


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
        Records requests that are refused before they have a route.
    pauses : Pauses
        Gives the time since when a request may have waited to be read.
    """

    def __init__(
        self,
        acceptor: accepting.Acceptor,
        handler: serving.RequestHandler,
        reply: replies.Replies,
        accounts: accounting.Accounting,
        pauses: pause.Pauses,
    ):
        self.open_count = 0
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

    async def __call__(
        self, scope: replies.Scope, receive: replies.Receive, send: replies.Send
    ) -> None:
        """Serve one request."""
        self.open_count += 1
        try:
            await self._serve(scope, receive, send)
        finally:
            self.open_count -= 1

    async def _serve(
        self, scope: replies.Scope, receive: replies.Receive, send: replies.Send
    ) -> None:
        began_at = self._pauses.earliest_arrival()
        parsed = headers.read(scope["headers"])
        try:
            call = await self._acceptor.accept(scope, receive, parsed, began_at)
        except exceptions.Refusal as refusal:
            replies.log_refused(parsed, refusal, began_at)
            self._accounts.record_refused(parsed, refusal)
            await self._replies.refuse(send, refusal)
            return
        except replies.CallerDisconnected:
            logs.event("caller_gone", id=parsed.attempt, sent=False)
            return
        state = progress.RequestState(call)
        work = asyncio.create_task(self._handler.serve(state, send))
        disconnected = asyncio.create_task(streams.disconnected(receive))
        done, _ = await asyncio.wait(
            [work, disconnected], return_when=asyncio.FIRST_COMPLETED
        )
        if work in done:
            disconnected.cancel()
        else:
            self._handle_disconnect(state, work)
        await asyncio.gather(work, disconnected, return_exceptions=True)

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
