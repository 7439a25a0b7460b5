"""Tells outages of the platform from pauses or isolation of this instance.

Registrations expire during an outage of the platform, though their servers still run.
They do not expire while only this process is paused or cut off: a server that is
missing from the list after that has left.
"""

from .. import logs

# Registrations expire after three periods of 1.2 s, so none expires during a shorter
# gap between two confirmations of the list.
MIN_OUTAGE_SECONDS = 2.0
# Servers register again within two seconds of the platform's return.
REREGISTRATION_SECONDS = 2.2
NEVER = float("-inf")


class Outages:
    """Records when the platform last returned; times are seconds on the local clock."""

    def __init__(self) -> None:
        self._confirmed_at = NEVER
        self._steady_since = NEVER
        self._failed_at = NEVER
        self._returned_at = NEVER

    @property
    def confirmed_at(self) -> float:
        """When the list of servers was last known to be current."""
        return self._confirmed_at

    @property
    def steady_since(self) -> float:
        """Since when the list has been confirmed without a gap."""
        return self._steady_since

    @property
    def retained_until(self) -> float:
        """Read time of a list from which on missing servers are dropped."""
        return self._returned_at + REREGISTRATION_SECONDS

    def note_failure(self, began_at: float) -> None:
        """Note a failed read of the list."""
        self._failed_at = max(self._failed_at, began_at)

    def note_read(self, read_at: float) -> None:
        """Note a list that was read.

        A gap in which reads failed was an outage, from which the platform has returned.
        """
        gap_s = read_at - self._confirmed_at
        if self._confirmed_at == NEVER or gap_s <= MIN_OUTAGE_SECONDS:
            return
        if (
            self._returned_at > self._confirmed_at
            or self._failed_at < self._confirmed_at
        ):
            return
        self._returned_at = read_at
        logs.event("platform_returned", away_ms=round(gap_s * 1000))

    def note_restored(self, read_at: float) -> None:
        """Note the platform's return from a copy.

        The copy may lack servers that have registered since; it takes them as long as
        after an outage to register again, however short the outage was.
        """
        self._returned_at = max(self._returned_at, read_at)
        self._steady_since = max(self._steady_since, read_at)

    def confirm(self, read_at: float) -> None:
        """Note that the list was confirmed current at a time."""
        if read_at - self._confirmed_at > MIN_OUTAGE_SECONDS:
            self._steady_since = read_at
        self._confirmed_at = max(self._confirmed_at, read_at)

    def note_peer_interval(self, steady_since: float, confirmed_at: float) -> None:
        """Note that another instance's list was confirmed without a gap in an interval.

        An instance that was cut off from the platform and from its peers cannot tell
        its own gap from an outage; instances that could reach the platform can.
        """
        # An older confirmation may date from before an outage that both have seen.
        if confirmed_at <= self._returned_at - MIN_OUTAGE_SECONDS:
            return
        if steady_since < self._returned_at:
            self._returned_at = steady_since
            logs.event("platform_was_reachable")
