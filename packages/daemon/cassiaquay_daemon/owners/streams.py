"""The HTTP response that reads an answer while it is made."""

import asyncio
import collections.abc
import typing

import msgspec
from starlette import types

from .. import exceptions
from ..adapters import answers

EVENT_STREAM = b"text/event-stream"
JSON = b"application/json"


class RefusalBody(typing.TypedDict):
    """The JSON body of a refusal."""

    outcome: str
    code: str
    message: str
    retry_after_ms: int
    address: str


def refusal_body(refusal: exceptions.Refusal) -> RefusalBody:
    """Return what a caller is told of a refusal."""
    return RefusalBody(
        outcome=refusal.outcome,
        code=refusal.code,
        message=refusal.message,
        retry_after_ms=refusal.retry_after_ms,
        address=refusal.address,
    )


class RefusalResponse:
    """An ASGI response with the status and body of a refusal.

    Parameters
    ----------
    refusal : Refusal
        What the caller is told.
    """

    def __init__(self, refusal: exceptions.Refusal):
        self._refusal = refusal

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Send it."""
        headers = [(b"content-type", JSON)]
        if self._refusal.retry_after_ms:
            seconds = -(-self._refusal.retry_after_ms // 1000)
            headers.append((b"retry-after", str(seconds).encode()))
        await _start(send, int(self._refusal.status), headers)
        body = msgspec.json.encode(refusal_body(self._refusal))
        await send({"type": "http.response.body", "body": body})


class AnswerResponse:
    """An ASGI response that streams an answer from one event on.

    The status line waits for the first event or the final one, so that it tells the
    truth. A caller that disconnects is noticed also while nothing is sent.

    Parameters
    ----------
    answer : Answer
        What is read.
    after : int
        Events to skip.
    refused : callable
        Returns the refusal, when the answer ended with one.
    attach : callable
        Called when the reading begins.
    detach : callable
        Called when it ends, with whether the caller was sent the final event.
    """

    def __init__(
        self,
        answer: answers.Answer,
        after: int,
        refused: collections.abc.Callable[[], exceptions.Refusal | None],
        attach: collections.abc.Callable[[], None],
        detach: collections.abc.Callable[[bool], None],
    ):
        self._answer = answer
        self._after = after
        self._refused = refused
        self._attach = attach
        self._detach = detach
        self._delivered = False

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Stream until the end or until the caller is gone."""
        self._attach()
        reading = asyncio.create_task(self._stream(scope, receive, send))
        watching = asyncio.create_task(disconnected(receive))
        try:
            await asyncio.wait({reading, watching}, return_when=asyncio.FIRST_COMPLETED)
            if reading.done():
                reading.result()
        finally:
            reading.cancel()
            watching.cancel()
            await asyncio.gather(reading, watching, return_exceptions=True)
            self._detach(self._delivered)

    async def _stream(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        answer = self._answer
        after = self._after
        await answer.wait(after)
        refusal = self._refused()
        if refusal is not None and answer.count <= after:
            await RefusalResponse(refusal)(scope, receive, send)
            self._delivered = True
            return
        if answer.forgotten and after < answer.count:
            await RefusalResponse(exceptions.AnswerExpired())(scope, receive, send)
            return
        await _start(send, 200, [(b"content-type", EVENT_STREAM)])
        while True:
            chunk, after = answer.chunk(after)
            ended = answer.final is not None
            if ended:
                chunk += answer.final_event()
            await send(
                {"type": "http.response.body", "body": chunk, "more_body": not ended}
            )
            if ended:
                self._delivered = True
                return
            await answer.wait(after)


async def _start(
    send: types.Send, status: int, headers: list[tuple[bytes, bytes]]
) -> None:
    await send({"type": "http.response.start", "status": status, "headers": headers})


async def disconnected(receive: types.Receive) -> None:
    """Return when the caller has gone; its body must have been read whole."""
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return
