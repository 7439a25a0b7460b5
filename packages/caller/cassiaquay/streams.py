"""Answers as server-sent events: parsing, event count and digest check."""

import typing

import xxhash

FINAL = "final"
MAX_ANSWER_SIZE = 1 << 25
"""Maximum size of an answer and of each of its events; instances keep no larger."""
EVENT_OVERHEAD_SIZE = 48
"""Memory overhead of an event, which counts towards the size of an answer."""


class Event(typing.NamedTuple):
    """One server-sent event; ``number`` is -1 when it carries no id."""

    kind: str
    number: int
    data: str


class BrokenStream(Exception):
    """The bytes are not a stream of events in order; the rest is discarded."""


class Parser:
    r"""Incremental parser of a byte stream into events.

    >>> Parser().feed(b'id: 0\ndata: {"text":"a"}\n\n')
    [Event(kind='', number=0, data='{"text":"a"}')]
    """

    def __init__(self) -> None:
        self._partial_line = bytearray()
        self._kind = ""
        self._number = -1
        self._data: list[str] = []
        self._data_size = 0

    def feed(self, chunk: bytes) -> list[Event]:
        """Return the events that ``chunk`` completes.

        Raises
        ------
        BrokenStream
            For bytes that are not UTF-8, ids that are not numbers and an event above
            ``MAX_ANSWER_SIZE``.
        """
        lines = self._split_lines(chunk)
        events = []
        for line in lines:
            try:
                event = self._parse_line(line.removesuffix(b"\r").decode())
            except ValueError as error:
                raise BrokenStream(str(error)) from error
            if event is not None:
                events.append(event)
        if len(self._partial_line) + self._data_size > MAX_ANSWER_SIZE:
            raise BrokenStream("an event is too large")
        return events

    def _split_lines(self, chunk: bytes) -> list[bytes]:
        """Return the lines that ``chunk`` completes; keep the rest."""
        known = len(self._partial_line)
        self._partial_line += chunk
        end = self._partial_line.rfind(b"\n", known)
        if end < 0:
            return []
        lines = bytes(self._partial_line[:end]).split(b"\n")
        del self._partial_line[: end + 1]
        return lines

    def _parse_line(self, line: str) -> Event | None:
        if not line:
            return self._complete_event()
        field, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if field == "data":
            self._data.append(value)
            self._data_size += len(line)
        elif field == "event":
            self._kind = value
        elif field == "id":
            self._number = int(value)
        return None

    def _complete_event(self) -> Event | None:
        if not self._data:
            self._kind, self._number = "", -1
            return None
        event = Event(self._kind, self._number, "\n".join(self._data))
        self._kind, self._number, self._data = "", -1, []
        self._data_size = 0
        return event


class Transcript:
    """Events of one request received so far; a resumed read starts at ``count``."""

    def __init__(self) -> None:
        self.events: list[str] = []
        self._size = 0
        self._digest = xxhash.xxh3_128()

    @property
    def count(self) -> int:
        """Number of events received."""
        return len(self.events)

    @property
    def digest(self) -> str:
        """Hex xxh3-128 digest of the events' data, concatenated as UTF-8."""
        return self._digest.hexdigest()

    def append(self, event: Event) -> bool:
        """Append ``event``; return False when it was already received.

        Raises
        ------
        BrokenStream
            When events before this one are missing, and above ``MAX_ANSWER_SIZE``.
        """
        if event.number < 0 or event.number > self.count:
            raise BrokenStream(f"event {event.number} follows {self.count} events")
        if event.number < self.count:
            return False
        self._size += len(event.data) + EVENT_OVERHEAD_SIZE
        if self._size > MAX_ANSWER_SIZE:
            raise BrokenStream("the answer is too large")
        self.events.append(event.data)
        self._digest.update(event.data.encode())
        return True

    def is_whole(self, count: int, digest: str) -> bool:
        """Return whether the events match the count and digest of the whole answer."""
        return count == self.count and digest == self.digest
