"""Time as the daemon uses it: seconds that pass also while the machine sleeps."""

import collections.abc
import time

Source = collections.abc.Callable[[], float]


def machine() -> float:
    """Return seconds since the machine started.

    Unlike ``time.monotonic`` this goes on while the machine is suspended: leases
    that ran out during the pause are seen as expired on wake-up.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


_source: Source = machine


def now() -> float:
    """Return seconds on the clock that is in use."""
    return _source()


def use(source: Source) -> Source:
    """Take time from ``source``, as tests do; return the source used before."""
    global _source
    before = _source
    _source = source
    return before


class Stopwatch:
    """Milliseconds since it was made."""

    def __init__(self) -> None:
        self._start = now()

    @property
    def elapsed_ms(self) -> float:
        """Milliseconds since the start."""
        return (now() - self._start) * 1000.0
