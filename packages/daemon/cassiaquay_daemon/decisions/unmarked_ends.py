"""Decides what a stream whose server has closed its connection has come to.

Load pattern: servers answer with neither a length nor chunks, so that each answer ends
with its connection. A process that ends, or a worker of it, closes its connections in
order as well, between two events or right after the head. From here both look alike: a
part of a stream would pass for all of it, or whole streams would be broken off.

Another server that is asked for the rest tells them apart: its events, or the mark of
its end. Without that proof, and where servers of the service mark the ends of other
streams, an end without a mark is a cut. Where they never do, two servers that end a
stream after the same event are believed; where no other server may have the request,
the answer ends for the caller as it has ended here, by the end of the connection; and
where one was sought and had no room, it does so only if such ends of its service have
proved to be ends. It never gets a mark that no server has given.
"""

import enum
import typing

from .. import clock
from . import windows

# Servers that never mark their ends prove it with each stream, those that are cut off
# show it with one of their first.
MIN_PROOFS = 5
MEMORY_SECONDS = 60.0


class Verdict(enum.Enum):
    """What becomes of the stream.

    ASK sends it to another server for the rest, CLOSE ends it as its server did, BREAK
    breaks it off.
    """

    ASK = "ask"
    CLOSE = "close"
    BREAK = "break"


class UnmarkedEnd(typing.NamedTuple):
    """A stream whose server has closed its connection between two events.

    Attributes
    ----------
    may_ask : bool
        Whether another server may get the request.
    is_framed_here : bool
        Whether the caller's answer needs a mark of its end.
    has_events : bool
        Whether this server has sent any event.
    is_first : bool
        Whether no other server has had the request.
    has_marks : bool
        Whether servers of its service mark the ends of streams.
    has_agreed : bool
        Whether another server has ended the stream after the same event, and had sent
        that event.
    """

    may_ask: bool
    is_framed_here: bool
    has_events: bool
    is_first: bool
    has_marks: bool
    has_agreed: bool


def judge(end: UnmarkedEnd) -> Verdict:
    """Return what becomes of a stream."""
    is_believed = end.has_agreed and not end.has_marks
    if end.may_ask and not is_believed:
        return Verdict.ASK
    if end.is_framed_here or end.has_marks:
        return Verdict.BREAK
    if is_believed or (end.is_first and end.has_events):
        return Verdict.CLOSE
    return Verdict.BREAK


class History:
    """What is known of the ends of streams, by service.

    An unmarked end that was none shows that servers of its service are in trouble.
    """

    def __init__(self) -> None:
        self._proofs: dict[str, windows.Window] = {}
        self._refuted_at: dict[str, float] = {}
        self._marked_at: dict[str, float] = {}

    def note_mark(self, service: str) -> None:
        """Record that a server has marked the end of a stream."""
        self._marked_at[service] = clock.now()

    def has_marks(self, service: str) -> bool:
        """Return whether servers of a service mark the ends of streams."""
        return _is_recent(self._marked_at, service)

    def prove(self, service: str) -> None:
        """Record that another server had nothing behind an unmarked end."""
        windows.window_of(self._proofs, service, MEMORY_SECONDS).add(1.0)

    def refute(self, service: str) -> None:
        """Record that a stream went on behind an unmarked end."""
        self._refuted_at[service] = clock.now()
        self._proofs.pop(service, None)

    def is_trusted(self, service: str) -> bool:
        """Return whether an end that could not be checked is taken for one."""
        if _is_recent(self._refuted_at, service):
            return False
        proofs = windows.window_of(self._proofs, service, MEMORY_SECONDS)
        return proofs.sum() >= MIN_PROOFS


def _is_recent(times: dict[str, float], service: str) -> bool:
    return clock.now() - times.get(service, float("-inf")) < MEMORY_SECONDS
