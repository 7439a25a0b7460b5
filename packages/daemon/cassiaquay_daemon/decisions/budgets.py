"""Retry budget of one instance, enforced without coordination.

Load pattern: servers fail or shed, all instances retry at the same moment, and the
retries keep the servers overloaded. The fleet's budget for a service is a share of its
requests plus a fixed number per window. Each instance spends the share of the requests
that it received itself and an equal part of the fixed number, so that the sum stays
within the budget in any partition.
"""

import collections.abc

from cassiaquay_schema import settings as settings_schema

from .. import clock
from . import windows

# Part of the budget that is used: the windows of the instances are not aligned with
# the window over which the fleet's total is checked.
USED_SHARE = 0.8


class RetryBudget:
    """Limits the retries that this instance sends to each service.

    Parameters
    ----------
    settings : Settings
        The fleet's budget.
    fleet_size : callable
        Returns the number of instances that may be spending from the budget.
    """

    def __init__(
        self,
        settings: settings_schema.Settings,
        fleet_size: collections.abc.Callable[[], int],
    ):
        self._gateway = settings.gateway
        self._fleet_size = fleet_size
        self._began_at = clock.now()
        self._requests: dict[str, windows.Window] = {}
        self._retries: dict[str, windows.Window] = {}

    def adopt(self, settings: settings_schema.Settings) -> None:
        """Use changed settings from now on."""
        self._gateway = settings.gateway

    def count(self, service: str) -> None:
        """Count a caller's first attempt at a service."""
        self._window(self._requests, service).add(1.0)

    def is_spent(self, service: str) -> bool:
        """Return whether no retry is left now."""
        retries = self._window(self._retries, service)
        return retries.sum() + 1.0 > self._bound(service)

    def take(self, service: str) -> bool:
        """Spend one retry; return False when the budget is used up."""
        if self.is_spent(service):
            return False
        self._window(self._retries, service).add(1.0)
        return True

    def give_back(self, service: str) -> None:
        """Return a retry that was not sent."""
        self._window(self._retries, service).take_back()

    def _bound(self, service: str) -> float:
        requests = self._window(self._requests, service).sum()
        extra = self._gateway.retry_extra / self._fleet_size()
        if not self._gateway.first_start:
            # The previous process of this instance may have spent it just before.
            known_seconds = clock.now() - self._began_at
            extra *= min(known_seconds / self._gateway.retry_window_seconds, 1.0)
        return USED_SHARE * (self._gateway.retry_share * requests + extra)

    def _window(
        self, by_service: dict[str, windows.Window], service: str
    ) -> windows.Window:
        seconds = self._gateway.retry_window_seconds
        return windows.window_of(by_service, service, seconds)
