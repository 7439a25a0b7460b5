"""Limits that servers name in their answers: requests a second from the whole fleet.

Load pattern: a server under pressure names a limit far below what its free slots would
take.
"""

import typing

from cassiaquay_schema import settings as settings_schema

from .. import clock
from . import buckets, rate_budgets, reported_values

# A server with a limit of zero gets a request now and then: only an answer can end the
# limit.
MIN_RATE = 0.2
# After a limit has ended, the allowed rate doubles in each of these periods, at first
# from one request per second at least. Without it the server, whose slots have become
# free, would get a burst that renews its limit.
RAMP_PERIOD_SECONDS = 1.0
RAMP_PERIODS = 4.0
MIN_RAMP_RATE = 1.0


class _Ramp(typing.NamedTuple):
    """The rate of a limit that has ended, and when it ended."""

    rate: float
    ended_at: float


class ServerLimits(reported_values.ReportedValues):
    """The limits that are known to this instance.

    Parameters
    ----------
    settings : Settings
        Tolerances by which a limit may be exceeded.
    """

    name = "limited"

    def __init__(self, settings: settings_schema.Settings):
        super().__init__()
        self._keeper = settings.keeper
        self._ramps: dict[str, _Ramp] = {}

    def adopt(self, settings: settings_schema.Settings) -> None:
        """Use changed settings from now on."""
        self._keeper = settings.keeper

    def limit(self, server: str) -> buckets.Flow | None:
        """Return the flow of a keeper that reaches the whole fleet; None for none."""
        limit = self._values.get(server)
        if limit is None:
            return None
        if limit.number is not None:
            return self._flow(limit.number)
        ramp = self._ramps.get(server)
        if ramp is None:
            return None
        periods = (clock.now() - ramp.ended_at) / RAMP_PERIOD_SECONDS
        if periods >= RAMP_PERIODS:
            del self._ramps[server]
            return None
        return self._flow(max(ramp.rate, MIN_RAMP_RATE) * 2.0**periods)

    def _change(
        self, server: str, before: reported_values.Value, after: reported_values.Value
    ) -> None:
        self._ramps.pop(server, None)
        if after.number is None and before.number is not None:
            self._ramps[server] = _Ramp(before.number, clock.now())

    def _forget(self, server: str) -> None:
        self._ramps.pop(server, None)

    def _flow(self, rate: float) -> buckets.Flow:
        keeper = self._keeper
        window_seconds = keeper.limit_window_seconds
        max_requests = rate * window_seconds * keeper.limit_excess + keeper.limit_slack
        return rate_budgets.keeper_flow(
            max(rate, MIN_RATE), max_requests, window_seconds
        )
