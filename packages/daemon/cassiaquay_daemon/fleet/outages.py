"""Whether the platform was away, or only this instance.

Registrations run out while the platform is away, and their servers live on. They do not
run out while this process is paused or cut off: what is missing then has left.
"""

from .. import logs

# Registrations run out after three of their periods of 1.2 s: a shorter gap between two
# confirmations of the list costs none of them.
AWAY_SECONDS = 2.0
# Registrations that ran out are back within two seconds of the platform's return.
RETURN_SECONDS = 2.2
NEVER = float("-inf")


class Outages:
    """When the platform was last back from an outage; seconds on this clock."""

    def __init__(self) -> None:
        self._confirmed_at = NEVER
        self._steady_since = NEVER
        self._failed_at = NEVER
        self._back_at = NEVER

    @property
    def confirmed_at(self) -> float:
        """When the list of servers was last known to be current."""
        return self._confirmed_at

    @property
    def steady_since(self) -> float:
        """Since when the list was confirmed without a gap."""
        return self._steady_since

    @property
    def retained_until(self) -> float:
        """Missing servers are kept until a list that was read at this time."""
        return self._back_at + RETURN_SECONDS

    def failed(self, began_at: float) -> None:
        """Note a read that was not answered."""
        self._failed_at = max(self._failed_at, began_at)

    def took(self, read_at: float) -> None:
        """Note a list; where reads failed during a gap, the platform is back."""
        away = read_at - self._confirmed_at
        if self._confirmed_at == NEVER or away <= AWAY_SECONDS:
            return
        if self._back_at > self._confirmed_at or self._failed_at < self._confirmed_at:
            return
        self._back_at = read_at
        logs.event("platform_returned", away_ms=round(away * 1000))

    def confirmed(self, read_at: float) -> None:
        """Note that the list was current."""
        if read_at - self._confirmed_at > AWAY_SECONDS:
            self._steady_since = read_at
        self._confirmed_at = max(self._confirmed_at, read_at)

    def heard(self, steady_since: float, confirmed_at: float) -> None:
        """Note between which times another instance's list was confirmed without a gap.

        An instance that was cut off from the platform and from the others cannot tell
        its own gap from an outage; those that were in touch can.
        """
        # An older confirmation may be of before an outage that both have seen.
        if confirmed_at <= self._back_at - AWAY_SECONDS:
            return
        if steady_since < self._back_at:
            self._back_at = steady_since
            logs.event("platform_was_reachable")
