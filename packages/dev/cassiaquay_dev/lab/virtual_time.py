"""An asyncio event loop in virtual time, which skips waits for timers.

Simulated tasks must not wait for I/O. When every task waits and no timer is scheduled,
the loop raises an error instead of blocking.
"""

import asyncio
import collections.abc
import contextlib
import selectors
import typing

from cassiaquay_daemon import clock

Result = typing.TypeVar("Result")


class _TimeJumpSelector(selectors.SelectSelector):
    """A selector that advances virtual time to the next timer instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Advance the time by ``timeout``; no file descriptor is ever ready."""
        if timeout is None:
            raise RuntimeError("every task waits and no timer is set")
        self.now += max(timeout, 0.0)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock advances only to its next timer."""

    def __init__(self) -> None:
        self._selector = _TimeJumpSelector()
        super().__init__(self._selector)

    def time(self) -> float:
        """Return virtual seconds since the start."""
        return self._selector.now


def run(main: collections.abc.Coroutine[typing.Any, typing.Any, Result]) -> Result:
    """Run a coroutine in virtual time; the daemon's clock follows the loop's time."""
    with contextlib.closing(VirtualLoop()) as loop:
        previous = clock.use(loop.time)
        try:
            return loop.run_until_complete(main)
        finally:
            clock.use(previous)
            loop.run_until_complete(_cancel_remaining_tasks())


async def _cancel_remaining_tasks() -> None:
    remaining = asyncio.all_tasks() - {asyncio.current_task()}
    for task in remaining:
        task.cancel()
    await asyncio.gather(*remaining, return_exceptions=True)
