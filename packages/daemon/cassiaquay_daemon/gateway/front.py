"""ASGI application that receives callers' requests."""

import asyncio

from .. import clock, exceptions, logs
from ..owners import streams
from ..platform import headers
from . import accepting, accounting, progress, replies, serving


class Front:
    """The ASGI application of callers' requests.

    Parameters
    ----------
    accepted : Acceptor
        Validates requests.
    served : RequestHandler
        Serves the accepted requests.
    reply : Replies
        Builds the answers; announces the shutdown to callers.
    noted : Accounting
        Records requests that are refused before they have a route.
    """

    def __init__(
        self,
        accepted: accepting.Acceptor,
        served: serving.RequestHandler,
        reply: replies.Replies,
        noted: accounting.Accounting,
    ):
        self.open_count = 0
        self._accepting = accepted
        self._serving = served
        self._replies = reply
        self._accounts = noted

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
        began_at = clock.now()
        parsed = headers.read(scope["headers"])
        try:
            call = await self._accepting.accept(scope, receive, parsed, began_at)
        except exceptions.Refusal as refusal:
            replies.log_refused(parsed, refusal, began_at)
            self._accounts.record_refused(parsed, refusal)
            await self._replies.refuse(send, refusal)
            return
        except replies.CallerDisconnected:
            logs.event("caller_gone", id=parsed.attempt, sent=False)
            return
        state = progress.RequestState(call)
        work = asyncio.create_task(self._serving.serve(state, send))
        gone = asyncio.create_task(streams.disconnected(receive))
        done, _ = await asyncio.wait([work, gone], return_when=asyncio.FIRST_COMPLETED)
        if work in done:
            gone.cancel()
        else:
            self._handle_disconnect(state, work)
        await asyncio.gather(work, gone, return_exceptions=True)

    def _handle_disconnect(
        self, state: progress.RequestState, work: "asyncio.Task[None]"
    ) -> None:
        # A request that has not been sent, or that may be repeated, is cancelled: its
        # server need not work for a caller that has disconnected. A request that may
        # not run twice runs to its end, because an abort could leave it half done.
        call = state.call
        if call.is_stream or call.route.is_repeatable or not state.may_have_run:
            work.cancel()
            self._accounts.record_abandoned(state)
        logs.event(
            "caller_gone",
            id=call.parsed.attempt,
            sent=state.may_have_run,
            server=state.server or None,
            ms=replies.elapsed_ms(call.began_at),
        )
