"""Event streams of the model engine stand-in, which control calls can cut off."""

import asyncio
import json

from starlette import types

from . import engine_stream, texts

HEADERS = [(b"content-type", b"text/event-stream"), (b"cache-control", b"no-store")]


def encode_events(stream_id: str, first: int, end: int) -> bytes:
    """Return the token events ``first`` to ``end - 1`` as event-stream bytes."""
    parts = []
    for index in range(first, end):
        data = json.dumps({"text": texts.expected_text(stream_id, index)})
        parts.append(f"id: {index}\ndata: {data}\n\n")
    return "".join(parts).encode()


def encode_done(dispatch: engine_stream.Dispatch) -> bytes:
    """Return the ``done`` event, which follows the last token."""
    data = json.dumps(
        {
            "count": dispatch["generated_tokens"],
            "prompt_tokens": dispatch["prompt_tokens"],
            "cached_tokens": dispatch["cached_tokens"],
        }
    )
    return f"event: done\ndata: {data}\n\n".encode()


class Cuts:
    """Open answers, and the requested cuts of their connections."""

    def __init__(self) -> None:
        self._open: set[Answer] = set()
        self._pending_cuts: dict[str, int] = {}

    def cut(self, stream_id: str | None, after: int) -> int:
        """Cut open answers once they have sent ``after`` events.

        With ``stream_id`` None, cuts every open answer. If the stream has no open
        answer, cuts the next one that opens for it, once. Returns the number of open
        answers that are cut.
        """
        count = 0
        for answer in self._open:
            if stream_id in (None, answer.stream.id):
                answer.cut(after)
                count += 1
        if stream_id is not None and count == 0:
            self._pending_cuts[stream_id] = after
        return count

    def register(self, answer: "Answer") -> None:
        """Register an open answer and apply a pending cut of its stream."""
        self._open.add(answer)
        after = self._pending_cuts.pop(answer.stream.id, None)
        if after is not None:
            answer.cut(after)

    def unregister(self, answer: "Answer") -> None:
        """Remove an answer whose response has ended."""
        self._open.discard(answer)


class Answer:
    """ASGI response with the events of a stream from ``first`` on."""

    def __init__(self, stream: engine_stream.Stream, first: int, cuts: Cuts) -> None:
        self.stream = stream
        self._next = first
        self._cuts = cuts
        self._cut_after: int | None = None
        self._disconnected = False

    def cut(self, after: int) -> None:
        """Close the connection when event ``after`` is the next to send."""
        self._cut_after = after
        self.stream.notify()

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Send the events; a cut leaves the response body incomplete."""
        self._cuts.register(self)
        listener = asyncio.create_task(self._wait_for_disconnect(receive))
        try:
            await send(
                {"type": "http.response.start", "status": 200, "headers": HEADERS}
            )
            # The server sends the status line only with the first body part; the
            # empty part sends it before any token.
            await send({"type": "http.response.body", "body": b"", "more_body": True})
            await self._send_events(send)
        finally:
            listener.cancel()
            self._cuts.unregister(self)

    async def _wait_for_disconnect(self, receive: types.Receive) -> None:
        while (await receive())["type"] != "http.disconnect":
            pass
        self._disconnected = True
        self.stream.notify()

    async def _send_events(self, send: types.Send) -> None:
        stream = self.stream
        while not self._disconnected:
            end = stream.generated
            if self._cut_after is not None:
                end = min(end, max(self._cut_after, self._next))
            ended = stream.state in engine_stream.ENDED
            body = encode_events(stream.id, self._next, end)
            self._next = max(self._next, end)
            if body:
                await send(
                    {"type": "http.response.body", "body": body, "more_body": True}
                )
            if self._cut_after is not None and self._next >= self._cut_after:
                return
            if self._next < stream.generated:
                continue
            if ended:
                await self._send_end(send)
                return
            if stream.state not in engine_stream.ENDED and not self._disconnected:
                await stream.wait_change()

    async def _send_end(self, send: types.Send) -> None:
        body = b""
        if self.stream.state == engine_stream.FINISHED:
            body = encode_done(self.stream.dispatch)
        await send({"type": "http.response.body", "body": body})
