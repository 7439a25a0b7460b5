"""Forwards a server's answer to the caller, buffered whole or event by event."""

import collections.abc

from .. import exceptions
from . import admission, events, forwarding, progress, replies

BeforeEvents = collections.abc.Callable[[], None]


async def pass_buffered(
    state: progress.RequestState,
    answer: forwarding.Answer,
    reply: replies.Replies,
    send: replies.Send,
) -> None:
    """Read an answer to its end, then send it.

    Nothing is sent before the body is complete: an answer that is cut off can still be
    retried at another server, and no caller gets a truncated body that looks complete.
    """
    body = await forwarding.read_body(answer)
    if state.started:
        # Part of a stream has been sent; it cannot continue with a non-stream answer.
        raise exceptions.StreamInterrupted(
            f"status {answer.status} for the rest of a stream"
        )
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
    before_events: BeforeEvents,
) -> None:
    """Forward events as they arrive; raise StreamInterrupted when they are cut off.

    An answer that ends with its connection and has no event, or only a part of its last
    one, was cut off by the server's end.

    ``before_events`` is called before complete events are sent to the caller.
    """
    splitter = events.Splitter()
    if not state.started:
        state.started = True
        pairs = replies.drop_content_length(answer.headers)
        await send(reply.start(answer.status, pairs))
    async for data in forwarding.stream_body(answer):
        received = splitter.feed(data)
        if splitter.is_too_long:
            raise exceptions.StreamInterrupted("an event is too long")
        if not received.event_count:
            continue
        _check_event_order(state, received)
        state.note_events()
        before_events()
        tally.add(received.event_count)
        if received.last != events.NO_EVENT:
            state.last_event = received.last
        await send(replies.part(received.data, True))
    if not answer.is_framed:
        _check_unframed_end(state, splitter)
    if not splitter.is_empty:
        raise exceptions.StreamInterrupted("the stream ends within an event")
    await send(replies.part(b"", False))


def _check_unframed_end(
    state: progress.RequestState, splitter: events.Splitter
) -> None:
    if not splitter.is_empty:
        raise exceptions.ConnectionBroken("the connection ends within an event")
    if state.last_event == events.NO_EVENT and not state.events_began_at:
        raise exceptions.ConnectionBroken("the connection ends before the first event")


def _check_event_order(state: progress.RequestState, received: events.Events) -> None:
    # A server that restarts the stream instead of resuming it, or skips events, would
    # mix the output of two runs in one answer; breaking the stream is safer.
    if events.NO_EVENT in (received.first, state.last_event):
        return
    if received.first != state.last_event + 1:
        raise exceptions.StreamInterrupted(
            f"event {received.first} after {state.last_event}"
        )
