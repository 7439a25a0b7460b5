"""Received bytes of a connection that wait to be parsed, and the reading they stop."""

import asyncio
import collections.abc
import typing

from uvicorn.protocols.http import flow_control

# Bytes that are parsed at once, unless they are of a body with a known length.
SLICE_BYTES = 4096
BLANK_LINE = b"\r\n\r\n"


class Input:
    """Received bytes in the order in which they are parsed."""

    def __init__(self) -> None:
        self._data = b""
        self._parsed_bytes = 0

    def __bool__(self) -> bool:
        return bool(self._data)

    @property
    def size(self) -> int:
        """Bytes of memory that it takes up."""
        return len(self._data)

    def add(self, data: bytes) -> None:
        """Append received bytes."""
        self._data = self._data[self._parsed_bytes :] + data if self._data else data
        self._parsed_bytes = 0

    def clear(self) -> None:
        """Drop what has not been parsed."""
        self._data = b""
        self._parsed_bytes = 0

    def take(self, body_bytes: int) -> bytes | memoryview:
        """Return the next bytes to parse: up to the end of a head at the most.

        Parameters
        ----------
        body_bytes : int
            Bytes that are still to come of a body with a known length.
        """
        start = self._parsed_bytes
        if body_bytes:
            end = start + body_bytes
        else:
            limit = start + SLICE_BYTES
            found = self._data.find(BLANK_LINE, start, limit)
            end = limit if found < 0 else found + len(BLANK_LINE)
        data = self._data
        if end < len(data):
            self._parsed_bytes = end
            return memoryview(data)[start:end]
        self.clear()
        return memoryview(data)[start:] if start else data


class Flow(flow_control.FlowControl):
    """Flow control that reads no more while received bytes wait to be parsed."""

    def __init__(
        self, transport: asyncio.Transport, parse: collections.abc.Callable[[], None]
    ):
        super().__init__(transport)
        self.is_held = False
        self._parse = parse

    def release(self) -> None:
        """Drop the reference to the connection."""
        self.is_held = False
        self._parse = _do_nothing

    def resume_reading(self) -> None:
        """Parse what waits; read more if nothing is left."""
        if self.is_held:
            self._parse()
        if not self.is_held:
            super().resume_reading()


def _do_nothing() -> None:
    """Do nothing."""


def declared_length(scope: typing.Any) -> int:
    """Return the length of a request's body as stated; 0 if it is not."""
    for name, value in scope["headers"]:
        if name == b"content-length" and value.isdigit():
            return int(value)
    return 0
