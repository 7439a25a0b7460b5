"""How many dispatches beyond the first an instance may spend, without asking anybody.

Load pattern: servers fail or shed, and every instance sends again at the same moment;
repeats then keep the servers down. The fleet's budget for a service is a share of its
requests and a fixed number in a window. Each instance spends the share of what it took
in itself and its part of the fixed number, so that the sum keeps the bound in any
partition.
"""

import collections
import collections.abc

from cassiaquay_schema import settings as settings_schema

from . import clock

# Part of the budget that is used: instances may count a window a little later than
# whoever adds them all up.
USED_SHARE = 0.8


class Window:
    """Amounts of the last seconds and their sum."""

    def __init__(self, seconds: float):
        self._seconds = seconds
        self._began_at = clock.now()
        self._amounts: collections.deque[tuple[float, float]] = collections.deque()
        self._sum = 0.0

    @property
    def unknown_share(self) -> float:
        """Part of the window that was before this one began to count."""
        return max(1.0 - (clock.now() - self._began_at) / self._seconds, 0.0)

    def add(self, amount: float) -> None:
        """Count an amount now."""
        self._amounts.append((clock.now(), amount))
        self._sum += amount

    def sum(self) -> float:
        """Return the sum of the window that ends now."""
        horizon = clock.now() - self._seconds
        while self._amounts and self._amounts[0][0] < horizon:
            self._sum -= self._amounts.popleft()[1]
        return self._sum

    def room_after(self, amount: float, bound: float) -> float:
        """Return the seconds until ``amount`` fits under ``bound``."""
        missing = self.sum() + amount - bound
        for at, one in self._amounts:
            if missing <= 0.0:
                break
            missing -= one
            if missing <= 0.0:
                return max(at + self._seconds - clock.now(), 0.0)
        return 0.0 if missing <= 0.0 else self._seconds


class RetryBudget:
    """The repeats that this instance may send.

    Parameters
    ----------
    settings : Settings
        The fleet's budget.
    fleet_size : callable
        Returns how many instances may be spending from it.
    """

    def __init__(
        self,
        settings: settings_schema.Settings,
        fleet_size: collections.abc.Callable[[], int],
    ):
        self._gateway = settings.gateway
        self._fleet_size = fleet_size
        self._requests: dict[str, Window] = {}
        self._repeats: dict[str, Window] = {}

    def adopt(self, settings: settings_schema.Settings) -> None:
        """Take in changed settings."""
        self._gateway = settings.gateway

    def count(self, service: str) -> None:
        """Count a caller's request for a service."""
        self._window(self._requests, service).add(1.0)

    def take(self, service: str) -> bool:
        """Spend one repeat; return whether there was one."""
        requests = self._window(self._requests, service).sum()
        repeats = self._window(self._repeats, service)
        extra = self._gateway.retry_extra / self._fleet_size()
        if not self._gateway.first_start:
            # The process before this one may have spent it a moment ago.
            extra *= 1.0 - repeats.unknown_share
        bound = USED_SHARE * (self._gateway.retry_share * requests + extra)
        if repeats.sum() + 1.0 > bound:
            return False
        repeats.add(1.0)
        return True

    def _window(self, windows: dict[str, Window], service: str) -> Window:
        found = windows.get(service)
        if found is None:
            found = windows[service] = Window(self._gateway.retry_window_seconds)
        return found
