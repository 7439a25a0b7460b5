"""Collects a body in parts of similar size, however it arrives.

One large buffer would be copied as it grows, and leave gaps in the memory when it is
freed.
"""

from ..decisions import held_bytes


class Body:
    """The bytes of a body that have been received."""

    def __init__(self) -> None:
        self.size = 0
        self._parts: list[bytes] = []
        self._tail = bytearray()

    def add(self, data: bytes) -> None:
        """Append received bytes."""
        self.size += len(data)
        if not self._tail and len(data) >= held_bytes.PART_BYTES:
            self._parts.append(data)
            return
        self._tail += data
        if len(self._tail) >= held_bytes.PART_BYTES:
            self._flush()

    def parts(self) -> list[bytes]:
        """Return the bytes in parts of at most twice the usual size, or none."""
        if self._tail:
            self._flush()
        return self._parts

    def _flush(self) -> None:
        self._parts.append(bytes(self._tail))
        self._tail = bytearray()
