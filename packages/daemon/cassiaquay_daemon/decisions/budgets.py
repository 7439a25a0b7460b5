"""How many dispatches beyond the first an instance may spend, without asking anybody.

Load pattern: servers fail or shed, and every instance sends again at the same moment;
repeats then keep the servers down. The fleet's budget for a service is a share of its
requests and a fixed number in a window. Each instance spends the share of what it took
in itself and its part of the fixed number, so that the sum keeps the bound in any
partition.
"""

import collections.abc

from cassiaquay_schema import settings as settings_schema

from . import windows

# Part of the budget that is used: instances may count a window a little later than
# whoever adds them all up.
USED_SHARE = 0.8


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
        self._requests: dict[str, windows.Window] = {}
        self._repeats: dict[str, windows.Window] = {}

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

    def _window(self, known: dict[str, windows.Window], service: str) -> windows.Window:
        seconds = self._gateway.retry_window_seconds
        return windows.window_of(known, service, seconds)
