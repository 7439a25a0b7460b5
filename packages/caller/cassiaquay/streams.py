"""Answers as server-sent events: parsing, counting and the digest check."""

import typing

import xxhash

FINAL = "final"


class Event(typing.NamedTuple):
    """One server-sent event; ``number`` is -1 when it carries no id."""

    kind: str
    number: int
    data: str


class BrokenStream(Exception):
    """The bytes are no stream of events in order; the rest can't be used."""


class Parser:
    r"""Cut a byte stream into events.

    >>> Parser().feed(b'id: 0\ndata: {"text":"a"}\n\n')
    [Event(kind='', number=0, data='{"text":"a"}')]
    """

    def __init__(self) -> None:
        self._rest = b""
        self._kind = ""
        self._number = -1
        self._data: list[str] = []

    def feed(self, chunk: bytes) -> list[Event]:
        """Return the events that ``chunk`` completes.

        Raises
        ------
        BrokenStream
            For bytes that are not UTF-8 and ids that are no numbers.
        """
        lines = (self._rest + chunk).split(b"\n")
        self._rest = lines.pop()
        events = []
        for line in lines:
            try:
                event = self._take(line.removesuffix(b"\r").decode())
            except ValueError as error:
                raise BrokenStream(str(error)) from error
            if event is not None:
                events.append(event)
        return events

    def _take(self, line: str) -> Event | None:
        if not line:
            return self._finish()
        field, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if field == "data":
            self._data.append(value)
        elif field == "event":
            self._kind = value
        elif field == "id":
            self._number = int(value)
        return None

    def _finish(self) -> Event | None:
        if not self._data:
            self._kind, self._number = "", -1
            return None
        event = Event(self._kind, self._number, "\n".join(self._data))
        self._kind, self._number, self._data = "", -1, []
        return event


class Transcript:
    """Events of one request kept so far; a resume asks from ``count``."""

    def __init__(self) -> None:
        self.events: list[str] = []
        self._digest = xxhash.xxh3_128()

    @property
    def count(self) -> int:
        """Number of events kept."""
        return len(self.events)

    @property
    def digest(self) -> str:
        """Hex xxh3-128 digest of the events kept, concatenated as UTF-8."""
        return self._digest.hexdigest()

    def take(self, event: Event) -> bool:
        """Keep ``event``; False when it was kept before.

        Raises
        ------
        BrokenStream
            When events before this one are missing.
        """
        if event.number < 0 or event.number > self.count:
            raise BrokenStream(f"event {event.number} after {self.count} events")
        if event.number < self.count:
            return False
        self.events.append(event.data)
        self._digest.update(event.data.encode())
        return True

    def is_whole(self, count: int, digest: str) -> bool:
        """Tell whether the events kept are the whole answer."""
        return count == self.count and digest == self.digest
