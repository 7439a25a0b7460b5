"""A server's answer on its way to the caller, unchanged."""

from .. import exceptions
from . import admission, events, forwarding, progress, replies


async def pass_buffered(
    state: progress.RequestState,
    answer: forwarding.Answer,
    reply: replies.Replies,
    send: replies.Send,
) -> None:
    """Read an answer to its end, then send it.

    Nothing goes out before the whole is here: an answer that breaks off can still be
    asked for elsewhere, and no caller gets a part that looks whole.
    """
    body = await forwarding.read_body(answer)
    if state.started:
        # A stream that the caller has a part of cannot go on with other bytes.
        raise exceptions.StreamCut(f"status {answer.status} for the rest of a stream")
    pairs = replies.drop_content_length(answer.headers)
    pairs.append((b"content-length", str(len(body)).encode()))
    state.started = True
    await send(reply.start(answer.status, pairs))
    await send(replies.part(body, False))


async def pass_streamed(
    state: progress.RequestState,
    answer: forwarding.Answer,
    tally: admission.Tally,
    reply: replies.Replies,
    send: replies.Send,
) -> None:
    """Pass events on as they come; raise StreamCut when the stream breaks off."""
    splitter = events.Splitter()
    if not state.started:
        state.started = True
        pairs = replies.drop_content_length(answer.headers)
        await send(reply.start(answer.status, pairs))
    async for data in forwarding.stream_body(answer):
        found = splitter.feed(data)
        if splitter.is_too_long:
            raise exceptions.StreamCut("an event is too long")
        if not found.number:
            continue
        _check_event_order(state, found)
        tally.add(found.number)
        if found.last != events.NO_EVENT:
            state.last_event = found.last
        await send(replies.part(found.data, True))
    if not splitter.is_empty:
        raise exceptions.StreamCut("the stream ends within an event")
    await send(replies.part(b"", False))


def _check_event_order(state: progress.RequestState, found: events.Events) -> None:
    # A server that began anew instead of going on, or skipped a part, would give the
    # caller a stream of two runs: no answer is better than that one.
    if events.NO_EVENT in (found.first, state.last_event):
        return
    if found.first != state.last_event + 1:
        raise exceptions.StreamCut(f"event {found.first} after {state.last_event}")
