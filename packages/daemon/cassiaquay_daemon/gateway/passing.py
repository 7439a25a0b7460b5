"""Passes a server's answer on to the caller, whole or event by event."""

import asyncio
import collections.abc

from .. import exceptions, logs
from ..decisions import unmarked_ends
from . import events, forwarding, hedging, progress, replies, tries

# Time without a part taken after which a caller counts as gone.
STALL_SECONDS = 10.0
# Status codes by which callers know that a request has not run and never will. A
# server that did not run it says so in a header.
NOT_RUN_STATUSES = (408, 421, 429, 503)

BeforeEvents = collections.abc.Callable[[tries.Try], None]


def check_promise(state: progress.RequestState, answer: forwarding.Answer) -> None:
    """Raise AnswerLost if a status promises "not run" and the server did not say so.

    The caller would send the request again.
    """
    if answer.status in NOT_RUN_STATUSES and not state.call.route.is_repeatable:
        raise exceptions.AnswerLost(f"status {answer.status} of a server")


async def pass_whole(
    state: progress.RequestState,
    piece: forwarding.Piece,
    reply: replies.Replies,
    send: replies.Send,
) -> None:
    """Send an answer whose body is complete.

    One that has ended with its connection gets no length: no server has stated one.
    Nothing is sent before the body is complete: an answer that is cut off can still be
    retried at another server, and no caller gets a truncated body that looks complete.
    """
    if state.started:
        # Part of a stream has been sent; it cannot continue with a non-stream answer.
        raise _not_a_stream(piece)
    pairs = replies.drop_content_length(piece.answer.headers)
    state.is_framed = piece.answer.is_framed
    if state.is_framed:
        pairs.append((b"content-length", str(piece.size).encode()))
    state.started = True
    await send(reply.start(piece.answer.status, pairs, state.is_framed))
    if len(piece.parts) <= 1:
        await send(replies.part(b"".join(piece.parts), False))
        return
    # A caller that reads slowly gets its answer after the deadline, too.
    state.remove_deadline()
    await _send_parts(piece.parts, send)


async def _send_parts(
    parts: collections.abc.Sequence[bytes], send: replies.Send
) -> None:
    """Send a large body no faster than the caller reads it.

    Sent at once, it would be held in the buffer of the connection, where no bound
    applies.
    """
    try:
        for number, part in enumerate(parts, 1):
            async with asyncio.timeout(STALL_SECONDS):
                await send(replies.part(part, number < len(parts)))
    except TimeoutError as error:
        raise exceptions.CallerDisconnectedWhileRunning("it reads nothing") from error


async def pass_streamed(
    state: progress.RequestState,
    piece: forwarding.Piece,
    answer: hedging.HedgedAnswer,
    reply: replies.Replies,
    send: replies.Send,
    before_events: BeforeEvents,
    history: unmarked_ends.History,
) -> forwarding.Piece:
    """Pass events on as they arrive; raise StreamInterrupted when they are cut off.

    Raises EndUnproven when another server is to be asked for the rest.

    Parameters
    ----------
    state : RequestState
        The request.
    piece : Piece
        First piece of the answer.
    answer : HedgedAnswer
        Returns the other pieces.
    reply, send : Replies and callable
        Build and send the messages to the caller.
    before_events : callable
        Called with the try that they come from before complete events are sent.
    history : History
        Learns whether unmarked ends of streams are their ends.

    Returns
    -------
    Piece
        The last piece.
    """
    writer = answer.current
    is_first = True
    if not state.started:
        state.started = True
        # Without a mark, only a reset can show the caller that a stream is broken off.
        state.is_framed = piece.answer.is_framed or history.has_marks(
            state.call.service
        )
        pairs = replies.drop_content_length(piece.answer.headers)
        await send(reply.start(piece.answer.status, pairs, state.is_framed))
    while True:
        if answer.current is not writer:
            # Another server goes on after the last complete event.
            _check_is_stream(piece)
            writer = answer.current
            is_first = True
        received = piece.received
        if received.event_count:
            _check_event_order(state, received, is_first)
            is_first = False
            if state.unproven is not None:
                state.unproven = None
                history.refute(state.call.service)
            state.note_events()
            before_events(writer)
            writer.ticket.tally.add(received.event_count)
            if received.last != events.NO_EVENT:
                state.last_event = received.last
            state.is_position_known = received.ends_numbered
            await send(replies.part(received.data, True))
        if piece.is_last:
            break
        piece = await answer.read()
    if piece.answer.is_framed:
        history.note_mark(state.call.service)
    else:
        _check_unmarked_end(state, piece.answer, writer, history)
    if _has_ended_here(state):
        history.prove(state.call.service)
    await send(replies.part(piece.data, False))
    return piece


def _check_is_stream(piece: forwarding.Piece) -> None:
    if piece.answer.status != 200:
        raise _not_a_stream(piece)


def _not_a_stream(piece: forwarding.Piece) -> exceptions.StreamInterrupted:
    status = piece.answer.status
    return exceptions.StreamInterrupted(f"status {status} for the rest of a stream")


def _check_unmarked_end(
    state: progress.RequestState,
    answer: forwarding.Answer,
    writer: tries.Try,
    history: unmarked_ends.History,
) -> None:
    """Raise if a stream may go on that has ended with its server's connection."""
    has_events = bool(state.events_began_at)
    if not has_events and state.last_event == events.NO_EVENT:
        # A server that crashes closes the connection like this.
        raise exceptions.ConnectionBroken("the connection ends before the first event")
    found = unmarked_ends.UnmarkedEnd(
        state.is_repeatable_now and state.has_other_server,
        state.is_framed,
        has_events,
        state.runs <= 1,
        history.has_marks(state.call.service),
        not has_events and _has_ended_here(state),
    )
    verdict = unmarked_ends.judge(found)
    logs.event(
        "end_unmarked",
        id=state.call.parsed.attempt,
        server=state.server,
        after=state.last_event,
        verdict=verdict.value,
    )
    if verdict is unmarked_ends.Verdict.ASK:
        unasked = unmarked_ends.judge(found._replace(may_ask=False))
        is_trusted = history.is_trusted(state.call.service)
        state.unproven = progress.UnprovenEnd(
            answer,
            state.server,
            state.server_start,
            writer.ticket.tally.count,
            writer.ticket.tally.first_at,
            state.last_event,
            state.runs,
            is_trusted and unasked is unmarked_ends.Verdict.CLOSE,
        )
        raise exceptions.EndUnproven("the connection has ended")
    if verdict is unmarked_ends.Verdict.BREAK:
        raise exceptions.StreamInterrupted("the connection ends, perhaps too early")


def _has_ended_here(state: progress.RequestState) -> bool:
    """Return whether a server has sent the last event and closed its connection."""
    unproven = state.unproven
    if unproven is None or not unproven.event_count:
        return False
    return unproven.after == state.last_event


def _check_event_order(
    state: progress.RequestState, received: events.Events, is_first: bool
) -> None:
    """Raise StreamInterrupted if events don't follow those passed on before.

    A server that restarts the stream instead of resuming it, or skips events, would mix
    the output of two runs in one answer; breaking the stream is safer.

    Parameters
    ----------
    state : RequestState
        The request.
    received : Events
        The events.
    is_first : bool
        Whether they are the first ones of their server.
    """
    if not received.is_ordered:
        raise exceptions.StreamInterrupted("events out of order")
    if state.last_event == events.NO_EVENT:
        return
    if received.first == events.NO_EVENT:
        if is_first:
            raise exceptions.StreamInterrupted(
                f"an event without an id after {state.last_event}"
            )
        return
    expected = state.last_event + 1
    if received.first == expected:
        return
    if state.is_position_known or received.first < expected:
        raise exceptions.StreamInterrupted(
            f"event {received.first} after {state.last_event}"
        )
