"""Lets request bodies wait, unread, until there is memory for them."""

import asyncio
import collections
import contextlib

from .. import exceptions
from ..decisions import body_bytes
from . import replies

# Callers give up a request that is not read within a second; a refusal before that
# states that it has not run.
PATIENCE_SECONDS = 0.7
RETRY_MS = 500
# Both together are shorter than the time for which others wait. A process that wakes
# late ends one wait only, and then reads what came meanwhile.
STALL_WAITS = 5
STALL_WAIT_SECONDS = 0.1
CAUSE = "The bodies of other requests take up the memory of the instance."


class BodyRoom:
    """Memory of one process for the bodies of requests.

    Parameters
    ----------
    memory_mb : float
        Memory of the process; 0 if it is not known.
    """

    def __init__(self, memory_mb: float = 0.0):
        self._held = body_bytes.BodyBytes(body_bytes.bound(memory_mb))
        self._waiting: collections.OrderedDict[asyncio.Future[None], tuple[Hold, int]]
        self._waiting = collections.OrderedDict()

    @property
    def used(self) -> int:
        """Bytes that are reserved."""
        return self._held.used

    @property
    def is_awaited(self) -> bool:
        """Whether bodies wait for memory."""
        return not all(granted.done() for granted in self._waiting)

    async def reserve(self, hold: "Hold", size: int) -> None:
        """Reserve the bytes of a body, after those that wait already.

        Raises
        ------
        TableFull
            When there is no memory for it for some time.
        """
        if not self._waiting and self._held.reserve(hold, size):
            return
        granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting[granted] = (hold, size)
        try:
            async with asyncio.timeout(PATIENCE_SECONDS):
                await granted
        except TimeoutError as error:
            raise exceptions.TableFull(CAUSE, retry_after_ms=RETRY_MS) from error
        finally:
            self._waiting.pop(granted, None)
            # The next ones may have waited for this one only.
            self._grant()

    def free(self, hold: "Hold") -> None:
        """Give the bytes of a body to those that wait."""
        self._held.free(hold)
        self._grant()

    def _grant(self) -> None:
        for granted, (hold, size) in list(self._waiting.items()):
            if granted.done():
                continue
            if not self._held.reserve(hold, size):
                return
            granted.set_result(None)


class Hold:
    """The memory that the body of one request takes up.

    Parameters
    ----------
    room : BodyRoom
        The memory of the process.
    """

    def __init__(self, room: BodyRoom):
        self._room = room
        self._size = 0

    async def reserve(self, size: int) -> None:
        """Reserve memory for a body of this size, once; small ones need none."""
        if self._size or size <= body_bytes.UNCOUNTED_BYTES:
            return
        self._size = size
        await self._room.reserve(self, size)

    async def receive(self, receive: replies.Receive) -> replies.Message:
        """Return the next part of the body.

        Raises
        ------
        BodyTimeout
            When nothing comes for some time while others wait for the memory.
        """
        if not self._size:
            return await receive()
        waits = 0
        while waits < STALL_WAITS or not self._room.is_awaited:
            waits += 1
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(STALL_WAIT_SECONDS):
                    return await receive()
        # Others get the memory before the refusal is written.
        self.close()
        raise exceptions.BodyTimeout()

    def close(self) -> None:
        """Give the memory back."""
        if self._size:
            self._size = 0
            self._room.free(self)
