"""Splits a server's event stream into complete events.

A server may fail in the middle of an event. Only complete events are forwarded, so that
a stream resumed at another server continues at the start of an event.
"""

import typing

MAX_EVENT_BYTES = 1024 * 1024
NO_EVENT = -1


class Events(typing.NamedTuple):
    """Complete events that one read of the stream yielded.

    Attributes
    ----------
    data : bytes
        Their bytes, as the server sent them.
    event_count : int
        Number of events.
    last : int
        Id of the last event that has one; -1 when none has.
    first : int
        Id of the first event that has one; -1 when none has.
    """

    data: bytes
    event_count: int
    first: int
    last: int


class Splitter:
    """Buffers received bytes and returns complete events."""

    def __init__(self) -> None:
        self._incomplete = b""

    @property
    def is_empty(self) -> bool:
        """Whether no incomplete event is buffered."""
        return not self._incomplete

    @property
    def is_too_long(self) -> bool:
        """Whether the incomplete event exceeds the size limit."""
        return len(self._incomplete) > MAX_EVENT_BYTES

    def feed(self, data: bytes) -> Events:
        """Buffer ``data`` and return the events that it completes."""
        text = self._incomplete + data
        end = text.rfind(b"\n\n")
        if end < 0:
            self._incomplete = text
            return Events(b"", 0, NO_EVENT, NO_EVENT)
        whole, self._incomplete = text[: end + 2], text[end + 2 :]
        first, last, count = NO_EVENT, NO_EVENT, 0
        for event in whole.split(b"\n\n"):
            if not event.strip():
                continue
            count += 1
            event_id = _event_id(event)
            if event_id == NO_EVENT:
                continue
            last = event_id
            if first == NO_EVENT:
                first = event_id
        return Events(whole, count, first, last)


def _event_id(event: bytes) -> int:
    for line in event.split(b"\n"):
        name, _, value = line.partition(b":")
        if name != b"id":
            continue
        value = value.strip()
        if value.isdigit() and len(value) <= 12:
            return int(value)
    return NO_EVENT
