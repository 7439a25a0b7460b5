"""Collects the received bytes of a stream into blocks that end with a blank line."""

END_OF_BLOCK = b"\n\n"


class Blocks:
    """Buffers an incomplete block and returns the complete ones.

    Each received byte is searched once, however many pieces a block arrives in.
    """

    def __init__(self) -> None:
        self._incomplete = bytearray()

    @property
    def size(self) -> int:
        """Bytes of the incomplete block."""
        return len(self._incomplete)

    def feed(self, data: bytes) -> bytes:
        """Buffer ``data`` and return the blocks that it completes, none if empty."""
        # The end of a block may lie across two pieces.
        searched_from = max(len(self._incomplete) - 1, 0)
        self._incomplete += data
        end = self._incomplete.rfind(END_OF_BLOCK, searched_from)
        if end < 0:
            return b""
        end += len(END_OF_BLOCK)
        complete = bytes(self._incomplete[:end])
        del self._incomplete[:end]
        return complete
