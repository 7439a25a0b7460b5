"""Run a daemon whose wall clock jumps when the process receives SIGUSR1.

On real machines the wall clock is stepped by seconds, forward and back. The monotonic
clock is not shifted.
"""

import importlib
import signal
import sys
import time
import types

JUMP_SECONDS = 7.0


class Clock:
    """The wall clock plus an offset that SIGUSR1 sets and resets."""

    def __init__(self) -> None:
        self._offset = 0.0
        self._unshifted_time = time.time

    def now(self) -> float:
        """Return the shifted wall clock time."""
        return self._unshifted_time() + self._offset

    def jump(self, number: int, frame: types.FrameType | None) -> None:
        """Handle the signal: set the offset, or reset it to 0."""
        self._offset = 0.0 if self._offset else JUMP_SECONDS


def run(settings: str) -> None:
    """Replace the wall clock by a shiftable one and run the daemon."""
    clock = Clock()
    setattr(time, "time", clock.now)  # noqa: B010
    signal.signal(signal.SIGUSR1, clock.jump)
    sys.argv[1:] = ["--settings", settings]
    importlib.import_module("cassiaquay_daemon.main").run()


if __name__ == "__main__":
    run(sys.argv[1])
