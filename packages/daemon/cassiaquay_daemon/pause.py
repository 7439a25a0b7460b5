"""Detects pauses of this process and stops it from acting on stale state after them.

A process gets no notice that it was suspended. Its timers fire late and in any order,
so code that acts on possibly stale state checks here first. Pauses are measured on a
clock that also runs during a pause.
"""

import asyncio
import collections.abc
import typing

from cassiaquay_schema import settings as settings_schema

from . import clock, logs

CHECK_INTERVAL_SECONDS = 0.1
# A check that is later than this shows that the event loop did not run.
LATE_SECONDS = 0.05
# Iterations of the event loop after a late check in which it accepts the connections
# and reads the requests that have waited in sockets meanwhile.
CATCH_UP_ITERATIONS = 8
# Passes of the event loop from received bytes to the task that reads them.
LOOP_PASSES = 2


async def read_buffers() -> None:
    """Let the loop deliver bytes that arrived while this process stood still."""
    for _ in range(LOOP_PASSES):
        await asyncio.sleep(0)


async def wait_answered(answer: asyncio.Future[typing.Any], seconds: float) -> bool:
    """Wait for an answer of another instance; return whether it has come.

    If this process stood still meanwhile, the question may not have left it: the other
    instance gets the time once more.
    """
    began_at = clock.now()
    await asyncio.wait([answer], timeout=seconds)
    if answer.done():
        return True
    await read_buffers()
    if clock.now() - began_at > seconds + LATE_SECONDS and not answer.done():
        await asyncio.wait([answer], timeout=seconds)
    return answer.done()


def shortest_lease(settings: settings_schema.Settings) -> float:
    """Return the longest pause, in seconds, during which no lease or permit expires."""
    keeper = settings.keeper
    return min(
        keeper.permit_ms / 1000.0,
        keeper.lease_seconds,
        settings.membership.suspect_after,
    )


class Pauses:
    """Whether this process may act on its state.

    Parameters
    ----------
    limit : float
        Seconds; leases may have expired during a pause longer than this.
    now : callable
        The clock.
    """

    def __init__(
        self, limit: float, now: collections.abc.Callable[[], float] = clock.now
    ):
        self.count = 0
        self._limit = limit
        self._now = now
        self._checked_at = now()
        # When the event loop was last known to run on time.
        self._caught_up_at = now()
        self._is_current = asyncio.Event()
        self._is_current.set()
        self._on_resume: list[collections.abc.Callable[[], None]] = []
        self._on_check: list[collections.abc.Callable[[float], None]] = []

    @property
    def is_current(self) -> bool:
        """Whether this instance may grant permits, dispatch and hand out addresses."""
        self.check()
        return self._is_current.is_set()

    @property
    def _is_late(self) -> bool:
        """Whether the periodic check is overdue, or was and input is still waiting."""
        seconds = self._now() - self._caught_up_at
        return seconds > CHECK_INTERVAL_SECONDS + LATE_SECONDS

    def on_resume(self, call: collections.abc.Callable[[], None]) -> None:
        """Call ``call`` after each pause, as soon as it is detected."""
        self._on_resume.append(call)

    def on_check(self, call: collections.abc.Callable[[float], None]) -> None:
        """Call ``call`` with the event loop's lag in seconds after each check."""
        self._on_check.append(call)

    def hold(self) -> None:
        """Stop this instance from acting until :meth:`release` is called."""
        self._is_current.clear()

    def release(self) -> None:
        """Let this instance act again."""
        self.check()
        self._is_current.set()

    async def wait(self, seconds: float) -> bool:
        """Wait until this instance may act, at most ``seconds``; return if it may."""
        if self.is_current:
            return True
        try:
            async with asyncio.timeout(seconds):
                await self._is_current.wait()
        except TimeoutError:
            return False
        return True

    def earliest_arrival(self) -> float:
        """Return the earliest time at which input read now may have arrived.

        While this process gets no processor time, requests wait in sockets. Their
        callers' time runs, so counting from the read would let servers work for
        callers that have given up.
        """
        return self._caught_up_at if self._is_late else self._now()

    async def check_periodically(self) -> None:
        """Check for pauses periodically until cancelled."""
        while True:
            self.check()
            self._caught_up_at = self._now()
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            lag = self._now() - self._caught_up_at - CHECK_INTERVAL_SECONDS
            for call in self._on_check:
                call(max(lag, 0.0))
            if not self._is_late:
                continue
            for _ in range(CATCH_UP_ITERATIONS):
                await asyncio.sleep(0)

    def check(self) -> None:
        """Detect a pause that has just ended.

        Messages that waited in sockets may be handled before any timer fires.
        """
        now = self._now()
        gap = now - self._checked_at
        self._checked_at = now
        if gap <= self._limit:
            return
        # Permits, leases and the membership view date from before the pause. Acting on
        # them would send requests to engines that other instances have filled meanwhile
        # and callers to failed instances; a refresh costs only a round trip.
        self.count += 1
        self._is_current.clear()
        logs.trouble("overslept", seconds=round(gap, 3))
        for call in self._on_resume:
            call()
