"""Bounds what all answers that are read take up together: bytes, and time of the loop.

An answer without room stops reading, so that its server stops sending. An answer that
has been received faster than it is read needs a turn for each part: one turn is given
in each pass of the event loop, so that other requests do not wait for all of them.
"""

import asyncio
import collections

from .. import clock
from ..decisions import held_bytes

# Time to read a part above which it is slow, and the pause before the next slow
# one, as a multiple of that time. Bytes in tiny chunks cost a hundred times as much as
# others.
SLOW_READ_SECONDS = 0.001
PAUSE_FACTOR = 2.0
MAX_PAUSE_SECONDS = 0.05
MIN_PART_BYTES = 512


class Room:
    """Memory and turns of the answers of one process.

    Parameters
    ----------
    held : HeldBytes
        Decides which answers may grow.

    Attributes
    ----------
    turns, slow_turns : Turns
        Turns of answers whose last part was read fast, and slowly.
    """

    def __init__(self, held: held_bytes.HeldBytes):
        self.held = held
        self.turns = Turns()
        self.slow_turns = Turns()
        self._waiting: dict[asyncio.Future[None], tuple[Hold, int]] = {}

    @property
    def waiting_count(self) -> int:
        """Number of answers that wait for room."""
        return len(self._waiting)

    async def wait(self, hold: "Hold", size: int) -> None:
        """Wait until an answer may grow to a size."""
        grown: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting[grown] = (hold, size)
        try:
            await grown
        finally:
            self._waiting.pop(grown, None)

    def free(self, hold: "Hold") -> None:
        """Give the room of an answer to those that wait, the first one first."""
        self.held.free(hold)
        self._grant()

    def complete(self, hold: "Hold") -> None:
        """Record that an answer is complete; another one may be the largest now."""
        self.held.complete(hold)
        self._grant()

    def _grant(self) -> None:
        for grown, (waiting, size) in list(self._waiting.items()):
            if grown.done() or waiting.is_closed:
                continue
            if self.held.grow(waiting, size):
                waiting.size = size
                grown.set_result(None)


class Hold:
    """The room that one answer takes up.

    Parameters
    ----------
    room : Room
        The memory of the process.

    Attributes
    ----------
    is_waiting : bool
        Whether the answer waits for room.
    is_closed : bool
        Whether nothing of the answer is needed any more.
    size : int
        Bytes that are reserved.
    part_bytes : int
        Bytes that should be read at once.
    """

    def __init__(self, room: Room):
        self.is_waiting = False
        self.is_closed = False
        self.size = 0
        self.part_bytes = held_bytes.PART_BYTES
        self._room = room
        self._is_slow = False

    def try_grow(self, size: int) -> bool:
        """Reserve room for an answer of this size; return False if there is none."""
        if size > self.size:
            if not self._room.held.grow(self, size):
                return False
            self.size = size
        return True

    async def grow(self, size: int) -> None:
        """Wait until there is room for an answer of this size, and reserve it."""
        self.is_waiting = True
        try:
            await self._room.wait(self, size)
        finally:
            self.is_waiting = False

    async def take_turn(self) -> None:
        """Wait until the answer may read a part that has been received."""
        room = self._room
        await (room.slow_turns if self._is_slow else room.turns).take()

    def note_cost(self, seconds: float) -> None:
        """Record the time that it took to read a part in a turn."""
        self._is_slow = seconds > SLOW_READ_SECONDS
        if not self._is_slow:
            self.part_bytes = min(self.part_bytes * 2, held_bytes.PART_BYTES)
            return
        self.part_bytes = max(self.part_bytes // 2, MIN_PART_BYTES)
        self._room.slow_turns.pause(seconds * PAUSE_FACTOR)

    def complete(self) -> None:
        """Record that the answer is complete; it keeps its room until it is closed."""
        if self.size:
            self._room.complete(self)

    def free(self) -> None:
        """Give the room back until the answer grows again."""
        if self.size:
            self.size = 0
            self._room.free(self)

    def close(self) -> None:
        """Give the room back for good."""
        if self.size or self.is_waiting:
            self.is_closed = True
            self.size = 0
            self._room.free(self)


class Turns:
    """Lets one answer read on in each pass of the event loop, in order."""

    def __init__(self) -> None:
        self._waiting: collections.deque[asyncio.Future[None]] = collections.deque()
        self._is_granting = False
        self._paused_until = 0.0

    async def take(self) -> None:
        """Wait for a turn."""
        loop = asyncio.get_running_loop()
        turn: asyncio.Future[None] = loop.create_future()
        self._waiting.append(turn)
        if not self._is_granting:
            self._is_granting = True
            loop.call_soon(self._grant)
        await turn

    def pause(self, seconds: float) -> None:
        """Give no turn for a time."""
        self._paused_until = clock.now() + min(seconds, MAX_PAUSE_SECONDS)

    def _grant(self) -> None:
        loop = asyncio.get_running_loop()
        pause_seconds = self._paused_until - clock.now()
        if pause_seconds > 0.0:
            loop.call_later(pause_seconds, self._grant)
            return
        while self._waiting:
            turn = self._waiting.popleft()
            if turn.done():
                continue
            turn.set_result(None)
            loop.call_soon(self._grant)
            return
        self._is_granting = False
