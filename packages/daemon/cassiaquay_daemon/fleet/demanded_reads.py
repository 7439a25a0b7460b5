"""Reads of the platform, one at a time, and on demand.

Periodic reads tell what was current a short time ago. A decision that must not rest on
less than what is known now waits for a read that began after it was needed.
"""

import asyncio
import collections.abc
import typing

from .. import clock, supervision

# Least time between two reads, of which the later one is on demand. A read serves all
# who wait when it begins.
SPACING_SECONDS = 0.25
POLL_SECONDS = 0.01
NEVER = float("-inf")


class Result(typing.NamedTuple):
    """What has become of a read.

    Attributes
    ----------
    is_answered : bool
        Whether the platform has answered.
    is_current : bool
        Whether the answer is no older than what was known before.
    """

    is_answered: bool
    is_current: bool


class DemandedReads:
    """Runs the reads of one list.

    Parameters
    ----------
    read : callable
        Reads the list once, given the time of the begin; raises nothing if the platform
        does not answer.
    """

    def __init__(
        self,
        read: collections.abc.Callable[[float], collections.abc.Awaitable[Result]],
    ):
        self._read = read
        self._lock = asyncio.Lock()
        self._began_at = NEVER
        # When the last read began that gave a current answer.
        self._current_at = NEVER
        self._demanded: asyncio.Task[bool] | None = None

    async def run(self) -> bool:
        """Read once, after a read that is under way; return whether it was answered."""
        async with self._lock:
            began = self._began_at = clock.now()
            result = await self._read(began)
            if result.is_current:
                self._current_at = began
            return result.is_answered

    async def wait(self, since: float, seconds: float) -> bool:
        """Return whether a read that began after a time gave a current answer.

        Parameters
        ----------
        since : float
            The time, on this clock.
        seconds : float
            How long to wait for the answer.
        """
        ends_at = clock.now() + seconds
        while self._current_at < since and clock.now() < ends_at:
            self._demand()
            await asyncio.sleep(POLL_SECONDS)
        return self._current_at >= since

    def close(self) -> None:
        """End a read on demand that is under way."""
        if self._demanded is not None:
            self._demanded.cancel()

    def _demand(self) -> None:
        """Start a read, unless one is under way or the last one has just begun."""
        if self._demanded is not None and not self._demanded.done():
            return
        if clock.now() < self._began_at + SPACING_SECONDS:
            return
        self._demanded = asyncio.create_task(self.run())
        self._demanded.add_done_callback(_log_failure)


def _log_failure(reading: "asyncio.Task[bool]") -> None:
    error = None if reading.cancelled() else reading.exception()
    if error is not None:
        supervision.log_failure("servers", error)
