"""The address of callers' requests."""

import asyncio

from .. import clock, exceptions, logs
from ..owners import streams
from ..platform import headers
from . import accepting, accounting, progress, replies, serving


class Front:
    """The ASGI application of callers' requests.

    Parameters
    ----------
    accepted : Accepting
        Checks requests.
    served : Serving
        Serves them.
    reply : Replies
        Told when this instance shuts down.
    noted : Accounts
        Told of requests that are refused before they have a route.
    """

    def __init__(
        self,
        accepted: accepting.Accepting,
        served: serving.Serving,
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
        """Whether this instance shuts down."""
        return self._replies.leaving

    def leave(self) -> None:
        """Tell callers with each answer that this instance shuts down."""
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
        facts = headers.read(scope["headers"])
        try:
            call = await self._accepting.accept(scope, receive, facts, began_at)
        except exceptions.Refusal as refusal:
            replies.log_refused(facts, refusal, began_at)
            self._accounts.refused(facts, refusal)
            await self._replies.refuse(send, refusal)
            return
        except replies.Gone:
            logs.event("caller_gone", id=facts.attempt, sent=False)
            return
        known = progress.Progress(call)
        work = asyncio.create_task(self._serving.serve(known, send))
        gone = asyncio.create_task(streams.disconnected(receive))
        done, _ = await asyncio.wait([work, gone], return_when=asyncio.FIRST_COMPLETED)
        if work in done:
            gone.cancel()
        else:
            self._caller_gone(known, work)
        await asyncio.gather(work, gone, return_exceptions=True)

    def _caller_gone(
        self, known: progress.Progress, work: "asyncio.Task[None]"
    ) -> None:
        # What waits for a caller that has gone is forgotten and what runs for it is
        # stopped, so that no server works for nobody. What may not run twice is left
        # to its end: cut off, its work would be half done.
        call = known.call
        if call.is_stream or call.route.is_repeatable or not known.sent:
            work.cancel()
            self._accounts.abandoned(known)
        logs.event(
            "caller_gone",
            id=call.facts.attempt,
            sent=known.sent,
            server=known.server or None,
            ms=replies.ms_since(call.began_at),
        )
