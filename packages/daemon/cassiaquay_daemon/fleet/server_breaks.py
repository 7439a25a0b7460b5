"""Which servers have broken off answers of any instance, and when.

A server that restarts under its name breaks off the answers of some instances; the
others see nothing of it and would take the new process for the listed one.

Load pattern: a crash ends dozens of answers at several instances within milliseconds.
"""

import collections
import random

from cassiaquay_schema import messages

from .. import clock

# Breaks of one server in this time are taken for one.
SAME_BREAK_SECONDS = 0.05
MAX_SERVERS = 2048
MAX_NUMBERS = 8192
NUMBER_BITS = 63
NEVER = float("-inf")


class ServerBreaks:
    """When servers broke answers off.

    Attributes
    ----------
    count : int
        Breaks that were noted or learned so far.
    """

    def __init__(self) -> None:
        self.count = 0
        self._broken_at: collections.OrderedDict[str, float] = collections.OrderedDict()
        self._numbers: collections.OrderedDict[int, None] = collections.OrderedDict()

    def broken_at(self, server: str) -> float:
        """Return when a server broke an answer off last; minus infinity if never."""
        return self._broken_at.get(server, NEVER)

    def note(self, server: str) -> messages.ServerBreak | None:
        """Record an answer of this instance; return the break if it is a new one."""
        is_same = clock.now() < self.broken_at(server) + SAME_BREAK_SECONDS
        self._record(server)
        if is_same:
            return None
        found = messages.ServerBreak(random.getrandbits(NUMBER_BITS), server)
        self._add_number(found.number)
        return found

    def learn(self, found: messages.ServerBreak) -> bool:
        """Record a break that others report; return whether it is a new one."""
        if found.number in self._numbers:
            return False
        self._add_number(found.number)
        self._record(found.server)
        return True

    def _record(self, server: str) -> None:
        self.count += 1
        self._broken_at[server] = clock.now()
        self._broken_at.move_to_end(server)
        if len(self._broken_at) > MAX_SERVERS:
            self._broken_at.popitem(last=False)

    def _add_number(self, number: int) -> None:
        self._numbers[number] = None
        if len(self._numbers) > MAX_NUMBERS:
            self._numbers.popitem(last=False)
