"""Decides which answers may grow, so that all of them together stay within a bound.

Load pattern: servers in trouble send bodies without end, many at once, and sound ones
send large bodies meanwhile. An answer is held until it is complete; all that are held
must fit into the memory of the instance, and none must wait for ever.

An answer at the bound waits for others to end. So that not all of them wait for each
other, there is always room left in which the largest one can grow to the most that an
answer may have (the banker's algorithm for one resource). It then ends and frees its
room.
"""

import collections.abc

# Bytes of all held answers. Instances have 300 MB, of which an idle one uses 40 MB.
MAX_HELD_BYTES = 48 * 1024 * 1024
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Bytes that each answer may have without being counted.
FREE_BYTES = 64 * 1024
# Bytes that are read at once.
PART_BYTES = 64 * 1024

Holder = collections.abc.Hashable


class HeldBytes:
    """The sizes of all answers that are held.

    Parameters
    ----------
    max_bytes : int
        Bound on all of them together.
    max_answer_bytes : int
        Bound on each of them.

    Attributes
    ----------
    used : int
        Sum of the sizes.
    peak : int
        Largest sum so far.
    """

    def __init__(
        self,
        max_bytes: int = MAX_HELD_BYTES,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ):
        self.used = 0
        self.peak = 0
        self._max_bytes = max_bytes
        self._max_answer_bytes = max_answer_bytes
        self._sizes: dict[Holder, int] = {}

    def grow(self, holder: Holder, size: int) -> bool:
        """Set the size of an answer to a larger one; return False if it must wait."""
        used = self.used + size - self._sizes.get(holder, 0)
        largest = max(size, max(self._sizes.values(), default=0))
        if used + self._max_answer_bytes - largest > self._max_bytes:
            return False
        self._sizes[holder] = size
        self.used = used
        self.peak = max(self.peak, used)
        return True

    def free(self, holder: Holder) -> None:
        """Remove an answer."""
        self.used -= self._sizes.pop(holder, 0)
