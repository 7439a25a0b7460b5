"""Splits a server's event stream into complete events.

A server may fail in the middle of an event. Only complete events are forwarded, so that
a stream resumed at another server continues at the start of an event.

Comments and blank blocks are no events. They are passed on with the next event, so that
a server that sends nothing else counts as silent.
"""

import re
import typing

from ..adapters import blocks

# Bound on the bytes from one event to the next, comments included.
MAX_EVENT_BYTES = 1024 * 1024
NO_EVENT = -1
# A line that makes a block an event.
_EVENT_LINE = re.compile(rb"^(?:id|data)(?::|$)", re.MULTILINE)


class Events(typing.NamedTuple):
    """Complete events that one read of the stream yielded.

    Attributes
    ----------
    data : bytes
        Their bytes, as the server sent them, and those of the comments between them.
    event_count : int
        Number of events.
    first : int
        Id of the first event; -1 if it has none.
    last : int
        Id of the last event that has one; -1 when none has.
    is_ordered : bool
        Whether the ids rise one by one.
    ends_numbered : bool
        Whether the last event has an id.
    """

    data: bytes
    event_count: int
    first: int
    last: int
    is_ordered: bool = True
    ends_numbered: bool = True


NOTHING = Events(b"", 0, NO_EVENT, NO_EVENT)


class Splitter:
    """Buffers received bytes and returns complete events."""

    def __init__(self) -> None:
        self._blocks = blocks.Blocks()
        self._comments = bytearray()

    @property
    def is_empty(self) -> bool:
        """Whether no incomplete event is buffered."""
        return not self._blocks.size

    @property
    def size(self) -> int:
        """Number of buffered bytes."""
        return self._blocks.size + len(self._comments)

    @property
    def is_too_long(self) -> bool:
        """Whether the bytes since the last event exceed the size limit."""
        return self.size > MAX_EVENT_BYTES

    def feed(self, data: bytes) -> Events:
        """Buffer ``data`` and return the events that it completes."""
        complete = self._blocks.feed(data)
        if not complete:
            return NOTHING
        if not _EVENT_LINE.search(complete):
            self._comments += complete
            return NOTHING
        ids = []
        for block in complete.split(blocks.END_OF_BLOCK):
            is_event, event_id = _read_block(block)
            if is_event:
                ids.append(event_id)
        if self._comments:
            complete = self.take_comments() + complete
        last = max(ids, default=NO_EVENT)
        return Events(
            complete,
            len(ids),
            ids[0],
            last,
            _are_ordered(ids),
            ids[-1] != NO_EVENT,
        )

    def take_comments(self) -> bytes:
        """Return the complete blocks since the last event."""
        taken, self._comments = self._comments, bytearray()
        return bytes(taken)


def _are_ordered(ids: list[int]) -> bool:
    """Return whether ids rise one by one, apart from events without one."""
    last = NO_EVENT
    is_next = False
    for event_id in ids:
        if event_id == NO_EVENT:
            is_next = False
            continue
        if event_id <= last or (is_next and event_id != last + 1):
            return False
        last = event_id
        is_next = True
    return True


def _read_block(block: bytes) -> tuple[bool, int]:
    """Return whether a block is an event, and its id."""
    is_event = False
    for line in block.split(b"\n"):
        name, _, value = line.partition(b":")
        if name == b"data":
            is_event = True
        if name != b"id":
            continue
        is_event = True
        value = value.strip()
        if value.isdigit() and len(value) <= 12:
            return True, int(value)
    return is_event, NO_EVENT
