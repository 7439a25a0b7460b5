"""One attempt: a call for a request id to one address, read until it ends or fails."""

import asyncio
import collections.abc
import contextlib

from . import adapters, channels, deadlines, exceptions, hooks, models, streams


class Attempt:
    """One attempt of an exchange.

    Parameters
    ----------
    session : Channel
        Provides transports, addresses and hooks.
    deadline : deadlines.Deadline
        Bounds the whole request.
    request_id, address : str
        Id of the request, and the instance to send to.
    """

    def __init__(
        self,
        session: channels.Channel,
        deadline: deadlines.Deadline,
        request_id: str,
        address: str,
    ) -> None:
        self.accepted = False
        """Whether the instance replied with status 200, so it serves this id."""
        self.refusal: models.Outcome | None = None
        """Outcome in a reply with another status, for the exchange to handle."""
        self.unsent = False
        """Whether the attempt failed before any byte was sent."""
        self._session = session
        self._deadline = deadline
        self._request_id = request_id
        self._address = address

    async def run(
        self, call: adapters.Call, transcript: streams.Transcript
    ) -> collections.abc.AsyncGenerator[str | models.Outcome, None]:
        """Yield new events, then the outcome unless the attempt failed."""
        finished = False
        reply: adapters.Reply | None = None
        try:
            reply = await self._send(call)
            if reply.status != 200:
                await self._read_refusal(reply)
                return
            self.accepted = True
            async with contextlib.aclosing(
                self._read_events(reply, transcript)
            ) as parts:
                async for part in parts:
                    finished = isinstance(part, models.Outcome)
                    yield part
        except (exceptions.AttemptFailed, streams.BrokenStream) as error:
            self.unsent = isinstance(error, exceptions.NotConnected)
            self._session.addresses.report_failure(self._address)
        finally:
            if reply is not None:
                self._close_reply(reply, finished)

    def _close_reply(self, reply: adapters.Reply, finished: bool) -> None:
        if finished:
            self._session.drain_later(reply)
        else:
            reply.close()

    async def _read_refusal(self, reply: adapters.Reply) -> None:
        raw = await self._deadline.bound(reply.read_all())
        outcome = models.parse_outcome(raw, reply.status)
        is_client_error = 400 <= reply.status < 500 and reply.status != 429
        if outcome is None or not outcome.outcome:
            # Not an outcome of cassiaquay (an error page of a proxy, for example): the
            # result is unknown, except that a 4xx status rejects the call itself.
            if not is_client_error:
                raise exceptions.AttemptFailed(f"status {reply.status} without outcome")
            outcome = outcome or models.Outcome(status=reply.status)
        self.refusal = outcome

    async def _read_events(
        self, reply: adapters.Reply, transcript: streams.Transcript
    ) -> collections.abc.AsyncGenerator[str | models.Outcome, None]:
        parser = streams.Parser()
        while True:
            chunk = await self._read(reply)
            if not chunk:
                raise exceptions.AttemptFailed("the stream ended without a final event")
            for event in parser.feed(chunk):
                if event.kind == streams.FINAL:
                    outcome = models.parse_outcome(event.data)
                    if outcome is None or not outcome.outcome:
                        raise exceptions.AttemptFailed(
                            "the final event has no valid outcome"
                        )
                    self._session.addresses.report_success(self._address)
                    yield outcome
                    return
                if event.kind or not transcript.append(event):
                    continue
                self._session.hooks.dispatch(
                    hooks.EVENT,
                    hooks.Event(self._request_id, event.number, event.data),
                )
                yield event.data

    async def _send(self, call: adapters.Call) -> adapters.Reply:
        """Return the reply to ``call``, which comes only after the request's wait."""
        task = asyncio.ensure_future(self._session.send(call))
        try:
            while True:
                silence_timeout = self._silence_timeout()
                await asyncio.wait({task}, timeout=silence_timeout)
                if task.done():
                    return task.result()
                await self._check_under_way()
        finally:
            if not task.done():
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)

    async def _read(self, reply: adapters.Reply) -> bytes:
        """Return the next chunk of ``reply``."""
        while True:
            try:
                async with asyncio.timeout(self._silence_timeout()):
                    return await reply.read()
            except TimeoutError:
                await self._check_under_way()

    def _silence_timeout(self) -> float:
        return min(self._session.settings.silence_timeout, self._deadline.left)

    async def _check_under_way(self) -> None:
        """Raise unless the instance confirms that the request is under way.

        A paused instance keeps its connections open and sends nothing, and so does an
        instance where the request waits in a queue. Treating silence as a fault would
        send waiting requests to one instance after the other and spend the retry
        budget; waiting without limit would hang on a paused instance. The query
        distinguishes the two.
        """
        if self._deadline.left <= 0:
            raise TimeoutError
        query = self._session.is_under_way(self._request_id, self._address)
        if not await self._deadline.bound(query):
            raise exceptions.AttemptFailed(
                "the instance does not confirm that the request is under way"
            )
