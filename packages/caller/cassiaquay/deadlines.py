"""One point in time that bounds every await of a request."""

import asyncio
import collections.abc
import typing

_T = typing.TypeVar("_T")


class Deadline:
    """A point of the event loop's monotonic clock that bounds single awaits."""

    def __init__(self, seconds: float) -> None:
        self._at = asyncio.get_running_loop().time() + seconds

    @property
    def left(self) -> float:
        """Seconds left; negative once passed."""
        return self._at - asyncio.get_running_loop().time()

    async def bound(self, awaitable: collections.abc.Awaitable[_T]) -> _T:
        """Await no longer than the deadline. Raises TimeoutError."""
        async with asyncio.timeout_at(self._at):
            return await awaitable
