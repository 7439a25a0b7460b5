"""Notices that this process did not run for a while, and holds it back after that.

Nothing tells a process that it was stopped. Its timers fire late and in any order, so
each place that acts on what may be stale asks here first, by the clock that goes on
during a pause.
"""

import asyncio
import collections.abc

from cassiaquay_schema import settings as settings_schema

from . import clock, logs

TICK_SECONDS = 0.1


def shortest_lease(settings: settings_schema.Settings) -> float:
    """Return the longest pause, in seconds, after which nothing has run out yet."""
    keeper = settings.keeper
    return min(
        keeper.permit_ms / 1000.0,
        keeper.lease_seconds,
        settings.membership.suspect_after,
    )


class Pauses:
    """Whether this process may act on what it knows.

    Parameters
    ----------
    limit : float
        Seconds; a gap longer than this is a pause in which leases ran out.
    now : callable
        The clock.
    """

    def __init__(
        self, limit: float, now: collections.abc.Callable[[], float] = clock.now
    ):
        self.count = 0
        self._limit = limit
        self._now = now
        self._seen_at = now()
        self._current = asyncio.Event()
        self._current.set()
        self._on_overslept: list[collections.abc.Callable[[], None]] = []

    @property
    def current(self) -> bool:
        """Whether this instance may grant, dispatch and name addresses now."""
        self._check()
        return self._current.is_set()

    def on_resume(self, call: collections.abc.Callable[[], None]) -> None:
        """Call ``call`` when a pause is noticed."""
        self._on_overslept.append(call)

    def hold(self) -> None:
        """Hold this instance back until :meth:`release` is called."""
        self._current.clear()

    def release(self) -> None:
        """Let this instance act again."""
        self._check()
        self._current.set()

    async def wait(self, seconds: float) -> bool:
        """Wait until this instance may act, at most ``seconds``; return whether."""
        if self.current:
            return True
        try:
            async with asyncio.timeout(seconds):
                await self._current.wait()
        except TimeoutError:
            return False
        return True

    async def tick(self) -> None:
        """Look at the clock for ever."""
        while True:
            self._check()
            await asyncio.sleep(TICK_SECONDS)

    def _check(self) -> None:
        now = self._now()
        gap = now - self._seen_at
        self._seen_at = now
        if gap <= self._limit:
            return
        # Permits, leases and the view of the others are of before the pause. Acting
        # on them would put work on engines that others have filled meanwhile, and
        # send callers to the dead; asking anew first costs a round trip.
        self.count += 1
        self._current.clear()
        logs.trouble("overslept", seconds=round(gap, 3))
        for call in self._on_overslept:
            call()
