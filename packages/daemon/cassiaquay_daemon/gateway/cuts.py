"""Logs how much of an answer had come when it was cut off or was late."""

import typing

from .. import clock, exceptions, logs
from . import progress, tries


def log_cut(
    state: progress.RequestState, cut: tries.Try, error: exceptions.StreamInterrupted
) -> None:
    """Log that the answer of one try was cut off."""
    call = state.call
    logs.event(
        "answer_cut",
        id=call.parsed.attempt,
        content=call.content,
        server=cut.server,
        parts=",".join(call.parsed.shared_parts) or None,
        cause=str(error),
        after=state.last_event,
        runs=state.runs,
        sent_to=len(state.receivers),
        attempts=call.route.attempts,
        seconds_left=round(call.seconds_left, 3),
        **_describe(cut),
    )


def log_late(state: progress.RequestState, late: tries.Try) -> None:
    """Log the server whose answer was being read at the request's deadline."""
    logs.event(
        "answer_late",
        id=state.call.parsed.attempt,
        server=late.server,
        after=state.last_event,
        sent_to=len(state.receivers),
        attempts=state.call.route.attempts,
        **_describe(late),
    )


def _describe(cut: tries.Try) -> dict[str, typing.Any]:
    return {
        "at": cut.part,
        "received": cut.received_bytes,
        "bound": cut.met_bound or None,
        "quiet_ms": round((clock.now() - cut.progressed_at) * 1000.0),
    }
