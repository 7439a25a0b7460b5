"""Run a daemon whose time of day jumps when it gets SIGUSR1.

The system reads the time of day for few things; on real machines it is stepped by
seconds, and back. The steady clock is left alone.
"""

import importlib
import signal
import sys
import time
import types

JUMP_SECONDS = 7.0


class Clock:
    """The time of day with an offset that the signal moves forth and back."""

    def __init__(self) -> None:
        self._offset = 0.0
        self._true = time.time

    def now(self) -> float:
        """Return the shifted time of day."""
        return self._true() + self._offset

    def jump(self, number: int, frame: types.FrameType | None) -> None:
        """Move the offset."""
        self._offset = 0.0 if self._offset else JUMP_SECONDS


def run(settings: str) -> None:
    """Shift the clock and serve."""
    clock = Clock()
    setattr(time, "time", clock.now)  # noqa: B010
    signal.signal(signal.SIGUSR1, clock.jump)
    sys.argv[1:] = ["--settings", settings]
    importlib.import_module("cassiaquay_daemon.main").run()


if __name__ == "__main__":
    run(sys.argv[1])
