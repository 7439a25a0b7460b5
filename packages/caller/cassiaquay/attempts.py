"""One attempt: a call under an id at one address, read until it ends or breaks off."""

import asyncio
import collections.abc
import contextlib

from . import adapters, channels, deadlines, exceptions, hooks, models, streams


class Attempt:
    """One attempt of an exchange.

    Parameters
    ----------
    session : Channel
        Gives transports, addresses and hooks.
    deadline : deadlines.Deadline
        Bounds the whole request.
    request_id, address : str
        What is asked about, and where.
    """

    def __init__(
        self,
        session: channels.Channel,
        deadline: deadlines.Deadline,
        request_id: str,
        address: str,
    ) -> None:
        self.accepted = False
        """Whether a status 200 came: the id is known and its answer is there."""
        self.refusal: models.Outcome | None = None
        """What a status other than 200 said, for the exchange to judge."""
        self.unsent = False
        """Whether no byte of it left the caller."""
        self._session = session
        self._deadline = deadline
        self._request_id = request_id
        self._address = address

    async def run(
        self, call: adapters.Call, transcript: streams.Transcript
    ) -> collections.abc.AsyncGenerator[str | models.Outcome, None]:
        """Yield new events, then the outcome unless the attempt broke off."""
        finished = False
        reply: adapters.Reply | None = None
        try:
            reply = await self._send(call)
            if reply.status != 200:
                await self._read_refusal(reply)
                return
            self.accepted = True
            async with contextlib.aclosing(self._events(reply, transcript)) as parts:
                async for part in parts:
                    finished = isinstance(part, models.Outcome)
                    yield part
        except (exceptions.AttemptFailed, streams.BrokenStream) as error:
            self.unsent = isinstance(error, exceptions.NotConnected)
            self._session.addresses.report_failure(self._address)
        finally:
            if reply is not None:
                self._end(reply, finished)

    def _end(self, reply: adapters.Reply, finished: bool) -> None:
        if finished:
            self._session.drain_later(reply)
        else:
            reply.close()

    async def _read_refusal(self, reply: adapters.Reply) -> None:
        raw = await self._deadline.bound(reply.read_all())
        outcome = models.parse_outcome(raw, reply.status)
        is_wrong = 400 <= reply.status < 500 and reply.status != 429
        if outcome is None or not outcome.outcome:
            # No outcome in our words (a crash page): nothing is known by it, except
            # that the call as it stands is wrong.
            if not is_wrong:
                raise exceptions.AttemptFailed(f"status {reply.status} without outcome")
            outcome = outcome or models.Outcome(status=reply.status)
        self.refusal = outcome

    async def _events(
        self, reply: adapters.Reply, transcript: streams.Transcript
    ) -> collections.abc.AsyncGenerator[str | models.Outcome, None]:
        parser = streams.Parser()
        while True:
            chunk = await self._read(reply)
            if not chunk:
                raise exceptions.AttemptFailed("ended without a final event")
            for event in parser.feed(chunk):
                if event.kind == streams.FINAL:
                    outcome = models.parse_outcome(event.data)
                    if outcome is None or not outcome.outcome:
                        raise exceptions.AttemptFailed("the final event is broken")
                    self._session.addresses.report_success(self._address)
                    yield outcome
                    return
                if event.kind or not transcript.take(event):
                    continue
                self._session.hooks.dispatch(
                    hooks.EVENT,
                    hooks.Event(self._request_id, event.number, event.data),
                )
                yield event.data

    async def _send(self, call: adapters.Call) -> adapters.Reply:
        """Return the reply to ``call``, which is held back while a request waits."""
        task = asyncio.ensure_future(self._session.send(call))
        try:
            while True:
                silence = self._silence()
                await asyncio.wait({task}, timeout=silence)
                if task.done():
                    return task.result()
                await self._check_silence()
        finally:
            if not task.done():
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)

    async def _read(self, reply: adapters.Reply) -> bytes:
        """Return the next piece of ``reply``."""
        while True:
            try:
                async with asyncio.timeout(self._silence()):
                    return await reply.read()
            except TimeoutError:
                await self._check_silence()

    def _silence(self) -> float:
        return min(self._session.settings.silence_timeout, self._deadline.left)

    async def _check_silence(self) -> None:
        """Raise unless the request goes on.

        The failure: a paused instance keeps its connections and says nothing; so does
        one where the request waits its turn. Taking silence for a fault would send
        waiting requests round all instances and spend the retry budget; waiting for
        ever would hang on the paused one. The question tells them apart.
        """
        if self._deadline.left <= 0:
            raise TimeoutError
        asked = self._session.is_under_way(self._request_id, self._address)
        if not await self._deadline.bound(asked):
            raise exceptions.AttemptFailed("silent")
