"""The planned stop of this instance: which requests it still begins, and which wait.

Invariant: once the stop has begun, no request is sent to a server for the first time if
its deadline lies behind the end of the grace period.
"""

import asyncio
import collections.abc
import contextlib

from .. import clock, exceptions
from ..decisions import planned_stops


class Departure:
    """Refuses requests that do not fit into the rest of the grace period.

    Parameters
    ----------
    has_others : callable
        Returns whether other instances serve.
    """

    def __init__(self, has_others: collections.abc.Callable[[], bool] = lambda: True):
        self._has_others = has_others
        # Seconds on this clock; None while the instance stays.
        self._ends_at: float | None = None
        # Deadlines of the requests that wait, by what ends their wait.
        self._waits: dict[asyncio.Timeout, float] = {}

    def begin(self, ends_at: float) -> None:
        """Refuse from now on what may last beyond ``ends_at``, also what waits."""
        self._ends_at = ends_at
        now = asyncio.get_running_loop().time()
        for limit, deadline in self._waits.items():
            if not planned_stops.fits(deadline, ends_at):
                limit.reschedule(now)

    def refuses(self, deadline: float) -> bool:
        """Return whether a request with this deadline must not begin."""
        if self._ends_at is None:
            return False
        return not planned_stops.fits(deadline, self._ends_at)

    def check(self, deadline: float) -> None:
        """Raise InstanceLeaving if a request with this deadline must not begin."""
        if self.refuses(deadline):
            raise self.refusal()

    def refusal(self) -> exceptions.InstanceLeaving:
        """Return the refusal of a request that this instance does not begin."""
        seconds_left = 0.0
        if self._ends_at is not None:
            seconds_left = self._ends_at - clock.now()
        return exceptions.InstanceLeaving(
            retry_after_ms=planned_stops.retry_after_ms(
                self._has_others(), seconds_left
            )
        )

    @contextlib.asynccontextmanager
    async def waiting(self, deadline: float) -> collections.abc.AsyncIterator[None]:
        """Raise InstanceLeaving within the block as soon as the request is refused.

        Nothing of it may be sent in the block.
        """
        self.check(deadline)
        limit = asyncio.timeout(None)
        try:
            async with limit:
                self._waits[limit] = deadline
                yield
        except TimeoutError as error:
            if limit.expired():
                raise self.refusal() from error
            raise
        finally:
            self._waits.pop(limit, None)
