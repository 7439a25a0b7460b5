"""HTTP responses that stream an answer while it is generated, or report a refusal."""

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
    """Return the JSON body of a refusal."""
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
        The refusal to report.
    """

    def __init__(self, refusal: exceptions.Refusal):
        self._refusal = refusal

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Send the response."""
        headers = [(b"content-type", JSON)]
        if self._refusal.retry_after_ms:
            seconds = -(-self._refusal.retry_after_ms // 1000)
            headers.append((b"retry-after", str(seconds).encode()))
        await _send_start(send, int(self._refusal.status), headers)
        body = msgspec.json.encode(refusal_body(self._refusal))
        await send({"type": "http.response.body", "body": body})


class AnswerResponse:
    """An ASGI response that streams an answer, starting at a given event.

    The status line is sent only with the first or final event, when the outcome decides
    the status. A disconnection of the caller is noticed even while nothing is sent.

    Parameters
    ----------
    answer : Answer
        The answer to stream.
    after : int
        Number of events to skip.
    refused : callable
        Returns the refusal, if the answer ended with one.
    attach : callable
        Called when reading starts.
    detach : callable
        Called when reading ends, with whether the final event was sent to the caller.
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
        """Stream until the answer ends or the caller disconnects."""
        self._attach()
        stream_task = asyncio.create_task(self._stream(scope, receive, send))
        disconnect_task = asyncio.create_task(disconnected(receive))
        try:
            await asyncio.wait(
                {stream_task, disconnect_task}, return_when=asyncio.FIRST_COMPLETED
            )
            if stream_task.done():
                stream_task.result()
        finally:
            stream_task.cancel()
            disconnect_task.cancel()
            await asyncio.gather(stream_task, disconnect_task, return_exceptions=True)
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
        await _send_start(send, 200, [(b"content-type", EVENT_STREAM)])
        while True:
            chunk, after = answer.chunk(after)
            # Events of a forgotten answer do not come any more.
            is_last = answer.forgotten or after >= answer.count
            ended = answer.final is not None and is_last
            start = 0
            while len(chunk) - start > answers.CHUNK_BYTES:
                end = start + answers.CHUNK_BYTES
                await _send_body(send, chunk[start:end], True)
                start = end
            chunk = chunk[start:]
            if ended:
                chunk += answer.final_event()
            await _send_body(send, chunk, not ended)
            if ended:
                self._delivered = True
                return
            await answer.wait(after)


async def _send_start(
    send: types.Send, status: int, headers: list[tuple[bytes, bytes]]
) -> None:
    await send({"type": "http.response.start", "status": status, "headers": headers})


async def _send_body(send: types.Send, body: bytes, more_body: bool) -> None:
    await send({"type": "http.response.body", "body": body, "more_body": more_body})


async def disconnected(receive: types.Receive) -> None:
    """Return when the caller disconnects; its body must have been read in full."""
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return
