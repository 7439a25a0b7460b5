"""Decides which answers may grow, so that all of them together stay within a bound.

Load pattern: servers in trouble send bodies without end, many at once, and sound ones
send large bodies meanwhile. An answer is held until it is complete; all that are held
must fit into the memory of the instance, and none must wait for ever.

An answer at the bound waits for others to end. So that not all of them wait for each
other, there is always room left in which the largest one can grow to the most that an
answer may have (the banker's algorithm for one resource). It then ends and frees its
room.

The largest one may be held up itself: its server sends little, or it is complete and
its caller reads slowly. So room is left for the two largest that still grow. Only when
a complete one has left less, the largest goes on alone.
"""

import collections.abc
import heapq

# Bytes of all held answers. Instances have 300 MB, of which an idle one uses 40 MB.
MAX_HELD_BYTES = 48 * 1024 * 1024
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Bytes that each answer may have without being counted.
UNCOUNTED_BYTES = 64 * 1024
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
        self._growing: dict[Holder, int] = {}

    def grow(self, holder: Holder, size: int) -> bool:
        """Set the size of an answer to a larger one; return False if it must wait."""
        used = self.used + size - self._sizes.get(holder, 0)
        if not self._leaves_room(holder, size, used):
            return False
        self._sizes[holder] = self._growing[holder] = size
        self.used = used
        self.peak = max(self.peak, used)
        return True

    def complete(self, holder: Holder) -> None:
        """Record that an answer grows no more and is held until it is sent."""
        self._growing.pop(holder, None)

    def free(self, holder: Holder) -> None:
        """Remove an answer."""
        self.used -= self._sizes.pop(holder, 0)
        self._growing.pop(holder, None)

    def _leaves_room(self, holder: Holder, size: int, used: int) -> bool:
        """Return whether others can still end once an answer has this size."""
        most = self._max_answer_bytes
        two_largest = heapq.nlargest(2, (self._growing | {holder: size}).values())
        reserved = sum(most - largest for largest in two_largest)
        if used + reserved <= self._max_bytes:
            return True
        is_largest = self._growing.get(holder, 0) >= max(
            self._growing.values(), default=0
        )
        return is_largest and used + most - size <= self._max_bytes
