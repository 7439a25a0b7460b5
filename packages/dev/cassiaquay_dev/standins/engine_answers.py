"""Event streams of the model engine stand-in, which can be cut by order."""

import asyncio
import json

from starlette import types

from . import engine_stream, texts

HEADERS = [(b"content-type", b"text/event-stream"), (b"cache-control", b"no-store")]


def encode_events(stream_id: str, first: int, end: int) -> bytes:
    """Return the token events ``first`` to ``end - 1``."""
    parts = []
    for index in range(first, end):
        data = json.dumps({"text": texts.expected_text(stream_id, index)})
        parts.append(f"id: {index}\ndata: {data}\n\n")
    return "".join(parts).encode()


def encode_done(dispatch: engine_stream.Dispatch) -> bytes:
    """Return the event after the last token."""
    data = json.dumps(
        {
            "count": dispatch["generated_tokens"],
            "prompt_tokens": dispatch["prompt_tokens"],
            "cached_tokens": dispatch["cached_tokens"],
        }
    )
    return f"event: done\ndata: {data}\n\n".encode()


class Cuts:
    """Open answers, and the orders to cut them."""

    def __init__(self) -> None:
        self._open: set[Answer] = set()
        self._armed: dict[str, int] = {}

    def cut(self, stream_id: str | None, after: int) -> int:
        """Cut open answers once they have sent ``after`` events.

        With None every open answer is cut. With an id that has no open answer the
        next answer of that id is cut, once. Returns the number of open answers.
        """
        count = 0
        for answer in self._open:
            if stream_id in (None, answer.stream.id):
                answer.cut(after)
                count += 1
        if stream_id is not None and count == 0:
            self._armed[stream_id] = after
        return count

    def opened(self, answer: "Answer") -> None:
        """Register an answer."""
        self._open.add(answer)
        after = self._armed.pop(answer.stream.id, None)
        if after is not None:
            answer.cut(after)

    def closed(self, answer: "Answer") -> None:
        """Forget an answer."""
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
        """Close the connection once event ``after`` is the next one."""
        self._cut_after = after
        self.stream.notify()

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Send the events; the body is left without an end when it is cut."""
        self._cuts.opened(self)
        listener = asyncio.create_task(self._listen(receive))
        try:
            await send(
                {"type": "http.response.start", "status": 200, "headers": HEADERS}
            )
            # The status line leaves with the first body part, before any token.
            await send({"type": "http.response.body", "body": b"", "more_body": True})
            await self._send_events(send)
        finally:
            listener.cancel()
            self._cuts.closed(self)

    async def _listen(self, receive: types.Receive) -> None:
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
