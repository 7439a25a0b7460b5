"""What the caller of a request has been sent, and requests without a whole answer."""

import collections.abc
import typing

from .. import logs
from ..operators import unanswered
from . import progress, replies

# Causes of requests that were read whole and got no complete answer.
CALLER_LEFT = "caller_left"
STREAM_CUT = "stream_cut"
DEADLINE = "deadline"
DRAINED = "drained"
PIPELINED = "pipelined"
CRASHED = "crashed"
# Codes under which requests end whose answer has begun.
_CAUSES_BY_CODE = {"answer_lost": STREAM_CUT, "deadline_exceeded": DEADLINE}


class Connection(typing.Protocol):
    """What an answer needs that ends with its connection."""

    def begin_unframed(self) -> None:
        """Send the next answer without a mark of its end, and close the connection."""

    def end_unframed(self, size: int) -> None:
        """Let that answer end with its next ``size`` bytes."""


class Delivery:
    """Passes the messages of one answer on and records how far it has come.

    Parameters
    ----------
    send : callable
        The listener's function that sends a message.
    connection : Connection
        The caller's connection.

    Attributes
    ----------
    status : int
        Status that the listener was given; 0 before the answer has begun.
    is_complete : bool
        Whether the listener has taken the last message.
    """

    def __init__(self, send: replies.Send, connection: Connection):
        self.status = 0
        self.is_complete = False
        self._send = send
        self._connection = connection
        self._is_unframed = False

    def __call__(self, message: replies.Message) -> collections.abc.Awaitable[None]:
        """Send one message of the answer."""
        if message["type"] == "http.response.start":
            self.status = message["status"]
            self._is_unframed = message.get(replies.UNFRAMED, False)
            if self._is_unframed:
                self._connection.begin_unframed()
            return self._send(message)
        if message["more_body"]:
            return self._send(message)
        return self._complete(message)

    async def _complete(self, message: replies.Message) -> None:
        if self._is_unframed:
            self._connection.end_unframed(len(message["body"]))
        await self._send(message)
        self.is_complete = True


def cause_of(state: progress.RequestState) -> str:
    """Return why an answer that had begun was not completed."""
    return _CAUSES_BY_CODE.get(state.end_code, CRASHED)


def log(
    state: progress.RequestState, delivery: Delivery, ended: unanswered.Unanswered
) -> None:
    """Log a request without a complete answer."""
    call = state.call
    logs.event(
        "unanswered",
        id=call.parsed.attempt,
        cause=ended.cause,
        dispatched=ended.was_dispatched,
        status=delivery.status or None,
        server=state.server or None,
        after=state.last_event if state.last_event >= 0 else None,
        ms=replies.elapsed_ms(call.began_at),
        configuration=call.snapshot.label,
    )
    if ended.cause == CRASHED:
        logs.trouble("unanswered_without_cause", id=call.parsed.attempt)
