"""Writes log lines without ever holding the process up, and not without bound.

A reader of standard output that falls behind blocks whoever writes to it; one slow disk
at the log collector would stop all requests of the instance. A thread of its own writes
what has gathered; what does not fit is counted and told of. Writing in batches also
saves a system call for each line.
"""

import collections
import logging
import os
import sys
import threading
import time

# How long lines gather. What a killed process loses of its log.
GATHER_SECONDS = 0.1
# Lines that wait for the reader: some seconds at full load, and 4 MB at the most.
MOST_WAITING = 10_000
# Lines a second: ten for each of 200 requests, far above one instance's share.
MOST_A_SECOND = 2000


class Writer(logging.Handler):
    """A handler that hands lines to a writing thread.

    Parameters
    ----------
    descriptor : int, optional
        Where to write; standard output by default.
    """

    def __init__(self, descriptor: int | None = None):
        super().__init__()
        self._descriptor = sys.stdout.fileno() if descriptor is None else descriptor
        self._lines: collections.deque[str] = collections.deque()
        self._left_out = 0
        self._second = 0
        self._count = 0
        self._thread: threading.Thread | None = None
        self._stopping = threading.Event()

    def start(self) -> None:
        """Start writing."""
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Take in a line; leave it out when too many are waiting."""
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._count = second, 0
        self._count += 1
        flooded = self._count > MOST_A_SECOND and record.levelno < logging.WARNING
        if flooded or len(self._lines) >= MOST_WAITING:
            self._left_out += 1
            return
        self._lines.append(self.format(record))

    def flush(self) -> None:
        """Write what has gathered; blocks as long as the reader does."""
        lines = []
        while self._lines:
            lines.append(self._lines.popleft())
        if self._left_out:
            left_out, self._left_out = self._left_out, 0
            lines.append(f"at={time.time()} level=WARNING event=log_lines_left_out ")
            lines[-1] += f"count={left_out}"
        if not lines:
            return
        data = ("\n".join(lines) + "\n").encode()
        try:
            while data:
                data = data[os.write(self._descriptor, data) :]
        except OSError:
            # The reader has gone; there is nobody to tell.
            self._lines.clear()

    def close(self) -> None:
        """Write the rest and stop."""
        self._stopping.set()
        if self._thread is not None:
            self._thread.join(1.0)
            self._thread = None
        super().close()

    def _run(self) -> None:
        while not self._stopping.wait(GATHER_SECONDS):
            self.flush()
        self.flush()
