"""The deadline that bounds every await of a request."""

import asyncio
import collections.abc
import typing

_T = typing.TypeVar("_T")


class Deadline:
    """A time on the event loop's monotonic clock that limits awaits."""

    def __init__(self, seconds: float) -> None:
        self._expires_at = asyncio.get_running_loop().time() + seconds

    @property
    def left(self) -> float:
        """Seconds left; negative after the deadline."""
        return self._expires_at - asyncio.get_running_loop().time()

    async def bound(self, awaitable: collections.abc.Awaitable[_T]) -> _T:
        """Return the result of ``awaitable``; raise TimeoutError at the deadline."""
        async with asyncio.timeout_at(self._expires_at):
            return await awaitable
