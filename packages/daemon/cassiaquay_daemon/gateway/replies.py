"""Builds the ASGI messages of answers to callers."""

import collections.abc
import http
import typing

import msgspec

from .. import clock, exceptions, logs
from ..operators import unanswered
from ..platform import headers
from . import progress

Message = collections.abc.MutableMapping[str, typing.Any]
Receive = collections.abc.Callable[[], collections.abc.Awaitable[Message]]
Send = collections.abc.Callable[[Message], collections.abc.Awaitable[None]]
Scope = collections.abc.MutableMapping[str, typing.Any]
Pairs = list[tuple[bytes, bytes]]


# Key of a message that starts an answer which is to end with its connection.
UNFRAMED = "cassiaquay.unframed"


class CallerDisconnected(Exception):
    """The caller closed its connection."""


class Replies:
    """Builds answers; adds ``Connection: close`` to them during a shutdown."""

    def __init__(self) -> None:
        self.leaving = False

    def start(self, status: int, pairs: Pairs, is_framed: bool = True) -> Message:
        """Return the message with an answer's status and headers.

        One that is not framed ends with its connection, as its server's answer did.
        """
        if self.leaving:
            # Callers stop using this connection with the next answer, so that none
            # sends a request on a connection that is being closed.
            pairs.append((b"connection", b"close"))
        return {
            "type": "http.response.start",
            "status": status,
            "headers": pairs,
            UNFRAMED: not is_framed,
        }

    async def refuse(self, send: Send, refusal: exceptions.Refusal) -> None:
        """Send a refusal as a complete answer."""
        body = msgspec.json.encode(
            {
                "outcome": refusal.outcome,
                "code": refusal.code,
                "message": refusal.message,
            }
        )
        pairs = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
        ]
        if refusal.retry_after_ms:
            seconds = refusal.retry_after_ms / 1000.0
            pairs.append((b"retry-after", f"{seconds:.3f}".encode()))
        await send(self.start(status_of(refusal), pairs))
        await send(part(body, False))


def part(data: bytes, more: bool) -> Message:
    """Return the message with a part of the body; ``more`` tells if others follow."""
    return {"type": "http.response.body", "body": data, "more_body": more}


def drop_content_length(pairs: Pairs) -> Pairs:
    """Return the headers without Content-Length."""
    return [pair for pair in pairs if pair[0].lower() != b"content-length"]


def status_of(refusal: exceptions.Refusal) -> int:
    """Return the HTTP status with which the gateway answers a refusal."""
    if isinstance(refusal, exceptions.DeadlineExceeded):
        # The standard status of a proxy whose backend server is too slow.
        return int(http.HTTPStatus.GATEWAY_TIMEOUT)
    return int(refusal.status)


def log_refused(
    parsed: headers.ParsedHeaders,
    refusal: exceptions.Refusal,
    began_at: float,
    state: progress.RequestState | None = None,
) -> None:
    """Log the end of a request that did not complete."""
    logs.event(
        "ended",
        id=parsed.attempt,
        outcome=refusal.outcome or "not_run",
        code=refusal.code,
        cause=refusal.message,
        status=status_of(refusal),
        retry_after_ms=refusal.retry_after_ms or None,
        route=state.call.route.name if state else None,
        server=state.server if state else None,
        tries=state.tries if state else None,
        was_sent=state.was_offered if state else None,
        declines=state.declines if state else None,
        unsent_late=_is_late(state) or None,
        ms=elapsed_ms(began_at),
    )


def _is_late(state: progress.RequestState | None) -> bool:
    """Return whether a request ends late without having been sent to a server."""
    if state is None:
        return False
    call = state.call
    seconds = clock.now() - call.began_at
    return unanswered.is_late_refusal(
        state.was_offered, seconds, call.route.objective_seconds
    )


def elapsed_ms(at: float) -> float:
    """Return the milliseconds since ``at``, rounded for logs."""
    return round((clock.now() - at) * 1000.0, 1)
