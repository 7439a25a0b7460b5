"""An event loop in virtual time: minutes of a fleet pass as fast as its code runs.

Nothing in it may wait for the outside: a wait without a timer can never end, and says
so in place of hanging.
"""

import asyncio
import collections.abc
import contextlib
import selectors
import typing

from cassiaquay_daemon import clock

Result = typing.TypeVar("Result")


class _Jump(selectors.SelectSelector):
    """Lets time jump to the next timer in place of waiting for it."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Move the time on; nothing outside is ever ready."""
        if timeout is None:
            raise RuntimeError("every task waits and no timer is set")
        self.now += max(timeout, 0.0)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time is that of its timers."""

    def __init__(self) -> None:
        self._jump = _Jump()
        super().__init__(self._jump)

    def time(self) -> float:
        """Return virtual seconds since the start."""
        return self._jump.now


def run(main: collections.abc.Coroutine[typing.Any, typing.Any, Result]) -> Result:
    """Run a coroutine in virtual time, the daemon's clock included."""
    with contextlib.closing(VirtualLoop()) as loop:
        before = clock.use(loop.time)
        try:
            return loop.run_until_complete(main)
        finally:
            clock.use(before)
            loop.run_until_complete(_cancel_rest())


async def _cancel_rest() -> None:
    rest = asyncio.all_tasks() - {asyncio.current_task()}
    for task in rest:
        task.cancel()
    await asyncio.gather(*rest, return_exceptions=True)
