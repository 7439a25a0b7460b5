"""Decides which request bodies may be read, so that all of them fit into the memory.

Load pattern: a burst of uploads, each within the configured limit. Each body is held
until its request ends, and a process that exceeds its memory is killed, with all the
requests that it has passed on.
"""

import collections.abc

from .. import connection_room

# What bodies may have of the memory that an idle instance and the answers that it holds
# leave; connections whose bodies wait buffer some, too.
SHARE = 2 / 3
# Bytes that each body may have without being counted.
UNCOUNTED_BYTES = 64 * 1024

Holder = collections.abc.Hashable


def bound(memory_mb: float) -> float:
    """Return how many bytes all bodies may have in an instance with some memory."""
    return connection_room.share_of_memory(memory_mb, SHARE)


class BodyBytes:
    """The sizes of the bodies that are held or read.

    Parameters
    ----------
    max_bytes : float
        Bound on all of them together.

    Attributes
    ----------
    used : int
        Sum of the sizes.
    """

    def __init__(self, max_bytes: float):
        self.used = 0
        self._max_bytes = max_bytes
        self._sizes: dict[Holder, int] = {}

    def reserve(self, holder: Holder, size: int) -> bool:
        """Reserve the bytes of a body; return False if it must wait.

        One that exceeds the bound by itself is read alone.
        """
        if self.used and self.used + size > self._max_bytes:
            return False
        self._sizes[holder] = size
        self.used += size
        return True

    def free(self, holder: Holder) -> None:
        """Give back what a body has reserved."""
        self.used -= self._sizes.pop(holder, 0)
