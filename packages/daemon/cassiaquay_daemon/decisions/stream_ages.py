"""How long ago a stream began, by the time that its caller states to have left.

Callers count the time of a whole request down over their attempts, and those of a route
usually begin with the same time.
"""

# A caller that states about as much time as new ones doesn't count it down: it has at
# least waited for events, for the end of its connection and to come back.
MIN_AGE_SECONDS = 0.25
MAX_ROUTES = 1024


class StatedTimes:
    """The longest time that new requests of each route have stated to have."""

    def __init__(self) -> None:
        self._longest_ms: dict[str, int] = {}

    def note(self, route: str, deadline_ms: int) -> None:
        """Record the time that a caller states with a first attempt."""
        if deadline_ms <= self._longest_ms.get(route, 0):
            return
        if route in self._longest_ms or len(self._longest_ms) < MAX_ROUTES:
            self._longest_ms[route] = deadline_ms

    def longest_seconds(self, route: str) -> float:
        """Return the longest time of a route's new requests; 0 if none is known."""
        return self._longest_ms.get(route, 0) / 1000.0

    def age_seconds(
        self, route: str, deadline_ms: int, timeout_seconds: float
    ) -> float | None:
        """Return how long ago a stream can have begun; None if unknown.

        Parameters
        ----------
        route : str
            Name of the route.
        deadline_ms : int
            Time that its caller states to have left; 0 if it states none.
        timeout_seconds : float
            Timeout of the route.
        """
        longest_ms = self._longest_ms.get(route, 0)
        passed_seconds = (longest_ms - deadline_ms) / 1000.0
        if not deadline_ms or passed_seconds < MIN_AGE_SECONDS:
            return None
        longest_seconds = max(longest_ms / 1000.0, timeout_seconds)
        return longest_seconds - deadline_ms / 1000.0
