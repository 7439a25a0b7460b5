"""Limits that servers name in their answers: requests a second from the whole fleet.

Load pattern: a server under pressure names a limit far below what its free slots would
take. Each answer is seen by one instance only, while the limit holds for all of them
together, and answers of different instances arrive in any order.

Each change of a server's limit gets the next version. An answer changes the limit if
its request was sent after this instance learned of the current version; otherwise the
answer may be older, and it can only lower the limit. Instances exchange the limits, and
the higher version wins.
"""

import math
import typing

import xxhash

from cassiaquay_schema import settings as settings_schema

from .. import clock
from . import buckets, rate_budgets

# Smaller changes of a limit are not worth a message to all instances.
MIN_CHANGE_SHARE = 0.02
# A server with a limit of zero gets a request now and then: only an answer can end the
# limit.
MIN_RATE = 0.2
# After a limit has ended, the allowed rate doubles in each of these periods, at first
# from one request per second at least. Without it the server, whose slots have become
# free, would get a burst that renews its limit.
RAMP_PERIOD_SECONDS = 1.0
RAMP_PERIODS = 4.0
MIN_RAMP_RATE = 1.0


class Limit(typing.NamedTuple):
    """A server's limit.

    Attributes
    ----------
    version : int
        Number of changes of this server's limit.
    rate : float or None
        Requests per second; None when the limit has ended.
    """

    version: int
    rate: float | None


class _Ramp(typing.NamedTuple):
    """The rate of a limit that has ended, and when it ended."""

    rate: float
    ended_at: float


NO_LIMIT = Limit(0, None)


class ServerLimits:
    """The limits that are known to this instance.

    Parameters
    ----------
    settings : Settings
        Tolerances by which a limit may be exceeded.
    """

    name = "limited"

    def __init__(self, settings: settings_schema.Settings):
        self._keeper = settings.keeper
        self._limits: dict[str, Limit] = {}
        self._changed_at: dict[str, float] = {}
        self._ramps: dict[str, _Ramp] = {}
        self._listed: frozenset[str] | None = None
        self._digest: int | None = 0

    @property
    def digest(self) -> int:
        """Digest of all limits, ended ones included; 0 when there are none."""
        if self._digest is None:
            self._digest = self._compute_digest()
        return self._digest

    def adopt(self, settings: settings_schema.Settings) -> None:
        """Use changed settings from now on."""
        self._keeper = settings.keeper

    def current(self, server: str) -> Limit:
        """Return a server's limit; ``NO_LIMIT`` if it has never named one."""
        return self._limits.get(server, NO_LIMIT)

    def is_limited(self, server: str) -> bool:
        """Return whether a limit of the server is in force."""
        return self.current(server).rate is not None

    def seconds_limited(self, server: str) -> float:
        """Return for how long the server's limit has been in force."""
        if not self.is_limited(server):
            return 0.0
        return clock.now() - self._changed_at[server]

    def limited_servers(self) -> list[str]:
        """Return the names of the servers whose limits are in force."""
        return sorted(name for name in self._limits if self.is_limited(name))

    def entries(self) -> dict[str, Limit]:
        """Return all limits by server, ended ones included."""
        return dict(self._limits)

    def limit(self, server: str) -> buckets.Flow | None:
        """Return the flow of a keeper that reaches the whole fleet; None for none."""
        limit = self._limits.get(server)
        if limit is None:
            return None
        if limit.rate is not None:
            return self._flow(limit.rate)
        ramp = self._ramps.get(server)
        if ramp is None:
            return None
        periods = (clock.now() - ramp.ended_at) / RAMP_PERIOD_SECONDS
        if periods >= RAMP_PERIODS:
            del self._ramps[server]
            return None
        return self._flow(max(ramp.rate, MIN_RAMP_RATE) * 2.0**periods)

    def answered(self, server: str, sent_version: int, rate: float | None) -> bool:
        """Take in an answer of a server; return whether it changes the limit.

        Parameters
        ----------
        server : str
            Backend server.
        sent_version : int
            Version of its limit when the request was sent.
        rate : float or None
            The limit that the answer names; None for no limit.
        """
        current = self.current(server)
        if _is_same(rate, current.rate):
            return False
        is_newer = sent_version >= current.version
        if not is_newer and not _is_lower(rate, current.rate):
            return False
        return self._set(server, Limit(current.version + 1, rate))

    def learn(self, server: str, limit: Limit) -> bool:
        """Merge another instance's limit; return whether it changes this one's."""
        current = self.current(server)
        if limit.version < current.version:
            return False
        if limit.version == current.version:
            # Two instances saw different answers at the same time.
            if not _is_lower(limit.rate, current.rate):
                return False
        return self._set(server, limit)

    def retain(self, listed: frozenset[str]) -> None:
        """Forget all servers that are not in the list, now and in later reports.

        An empty list does nothing: an instance that has just started has no list yet,
        and the limits that it receives meanwhile are to be kept.
        """
        if not listed:
            return
        self._listed = listed
        for server in [server for server in self._limits if server not in listed]:
            del self._limits[server]
            del self._changed_at[server]
            self._ramps.pop(server, None)
            self._digest = None

    def _set(self, server: str, limit: Limit) -> bool:
        if self._listed is not None and server not in self._listed:
            return False
        now = clock.now()
        before = self.current(server)
        self._ramps.pop(server, None)
        if limit.rate is None and before.rate is not None:
            self._ramps[server] = _Ramp(before.rate, now)
        if (limit.rate is None) != (before.rate is None) or not before.version:
            self._changed_at[server] = now
        self._limits[server] = limit
        self._digest = None
        return True

    def _flow(self, rate: float) -> buckets.Flow:
        keeper = self._keeper
        window_seconds = keeper.limit_window_seconds
        max_requests = rate * window_seconds * keeper.limit_excess + keeper.limit_slack
        return rate_budgets.keeper_flow(
            max(rate, MIN_RATE), max_requests, window_seconds
        )

    def _compute_digest(self) -> int:
        if not self._limits:
            return 0
        return xxhash.xxh3_64_intdigest(repr(sorted(self._limits.items())).encode())


def _is_same(rate: float | None, other: float | None) -> bool:
    if rate is None or other is None:
        return rate is other
    return math.isclose(rate, other, rel_tol=MIN_CHANGE_SHARE)


def _is_lower(rate: float | None, other: float | None) -> bool:
    if rate is None:
        return False
    return other is None or rate < other
