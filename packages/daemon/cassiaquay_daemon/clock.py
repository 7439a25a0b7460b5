"""Time as the daemon uses it: seconds that pass also while the machine sleeps."""

import time


def now() -> float:
    """Return seconds since the machine started.

    Unlike ``time.monotonic`` this goes on while the machine is suspended: leases
    that ran out during the pause are seen as expired on wake-up.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Stopwatch:
    """Milliseconds since it was made."""

    def __init__(self) -> None:
        self._start = now()

    @property
    def elapsed_ms(self) -> float:
        """Milliseconds since the start."""
        return (now() - self._start) * 1000.0
