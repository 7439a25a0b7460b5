"""A server's stream of events, cut into whole events.

A server may stop in the middle of an event. Only whole events go to the caller, so that
a stream which goes on at another server continues at an event's beginning.
"""

import typing

MAX_EVENT_BYTES = 1024 * 1024
NO_EVENT = -1


class Events(typing.NamedTuple):
    """Whole events that came together.

    Attributes
    ----------
    data : bytes
        Their bytes, as the server sent them.
    number : int
        How many.
    last : int
        Number of the last one; -1 when none of them has a number.
    first : int
        Number of the first one; -1 likewise.
    """

    data: bytes
    number: int
    first: int
    last: int


class Splitter:
    """Collects bytes and gives whole events back."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def is_empty(self) -> bool:
        """Whether no part of an event waits for its end."""
        return not self._rest

    @property
    def is_too_long(self) -> bool:
        """Whether an event is too long to be one."""
        return len(self._rest) > MAX_EVENT_BYTES

    def feed(self, data: bytes) -> Events:
        """Return the events that ``data`` completes."""
        text = self._rest + data
        end = text.rfind(b"\n\n")
        if end < 0:
            self._rest = text
            return Events(b"", 0, NO_EVENT, NO_EVENT)
        whole, self._rest = text[: end + 2], text[end + 2 :]
        first, last, count = NO_EVENT, NO_EVENT, 0
        for event in whole.split(b"\n\n"):
            if not event.strip():
                continue
            count += 1
            number = _number(event)
            if number == NO_EVENT:
                continue
            last = number
            if first == NO_EVENT:
                first = number
        return Events(whole, count, first, last)


def _number(event: bytes) -> int:
    for line in event.split(b"\n"):
        name, _, value = line.partition(b":")
        if name != b"id":
            continue
        value = value.strip()
        if value.isdigit() and len(value) <= 12:
            return int(value)
    return NO_EVENT
