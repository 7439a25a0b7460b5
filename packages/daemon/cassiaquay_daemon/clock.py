"""The daemon's clock, in seconds; it also runs while the machine is suspended."""

import collections.abc
import functools
import time

Source = collections.abc.Callable[[], float]


# Returns seconds since the machine booted. Unlike `time.monotonic` it counts time in
# suspension, so that leases that expired meanwhile count as expired after it.
machine: Source = functools.partial(time.clock_gettime, time.CLOCK_BOOTTIME)

_source: Source = machine


def now() -> float:
    """Return seconds on the clock in use.

    A function, not the source itself: a default argument that holds it must follow
    :func:`use`, too.
    """
    return _source()


def use(source: Source) -> Source:
    """Replace the clock by ``source``, as tests do; return the previous one."""
    global _source
    before = _source
    _source = source
    return before


class Stopwatch:
    """Measures the milliseconds since its creation."""

    def __init__(self) -> None:
        self._start = now()

    @property
    def elapsed_ms(self) -> float:
        """Milliseconds since the stopwatch was created."""
        return (now() - self._start) * 1000.0
