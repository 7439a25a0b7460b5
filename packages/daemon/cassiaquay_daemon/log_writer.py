"""Log handler that never blocks the event loop and buffers a bounded number of lines.

A slow reader of standard output blocks the process that writes to it: a slow disk at
the log collector would stop all requests of the instance. A separate thread therefore
writes the buffered lines, in batches to save system calls. Lines that exceed the limits
are dropped, and their number is logged.
"""

import collections
import logging
import os
import sys
import threading
import time

# Interval between writes, and thus what a killed process loses of its log.
WRITE_INTERVAL_SECONDS = 0.1
# Buffered lines: some seconds at full load.
MAX_BUFFERED_LINES = 10_000
MAX_BUFFERED_CHARACTERS = 4_000_000
# A line may quote ids and fields as long as a client's head.
MAX_LINE_CHARACTERS = 8_000
# Ten lines for each of 200 requests a second, far above one instance's share.
MAX_LINES_PER_SECOND = 2000


class Writer(logging.Handler):
    """A handler that passes lines to a writer thread.

    Parameters
    ----------
    descriptor : int, optional
        File descriptor to write to; standard output by default.
    """

    def __init__(self, descriptor: int | None = None):
        super().__init__()
        self._descriptor = sys.stdout.fileno() if descriptor is None else descriptor
        self._lines: collections.deque[str] = collections.deque()
        # Counted by one thread each.
        self._added_characters = 0
        self._written_characters = 0
        self._dropped = 0
        self._second = 0
        self._count_in_second = 0
        self._thread: threading.Thread | None = None
        self._stopping = threading.Event()

    def start(self) -> None:
        """Start the writer thread."""
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Buffer a line; drop it above the limits on rate or buffered lines."""
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._count_in_second = second, 0
        self._count_in_second += 1
        is_over_rate = (
            self._count_in_second > MAX_LINES_PER_SECOND
            and record.levelno < logging.WARNING
        )
        if is_over_rate or self._is_full:
            self._dropped += 1
            return
        line = self._format_safely(record)[:MAX_LINE_CHARACTERS]
        self._added_characters += len(line)
        self._lines.append(line)

    def flush(self) -> None:
        """Write the buffered lines; blocks while the reader does not read."""
        lines = []
        while self._lines:
            lines.append(self._lines.popleft())
            self._written_characters += len(lines[-1])
        if self._dropped:
            dropped, self._dropped = self._dropped, 0
            lines.append(f"at={time.time()} level=WARNING event=log_lines_left_out ")
            lines[-1] += f"count={dropped}"
        if not lines:
            return
        # Values from outside may hold what is not valid Unicode.
        data = ("\n".join(lines) + "\n").encode(errors="backslashreplace")
        try:
            while data:
                data = data[os.write(self._descriptor, data) :]
        except OSError:
            # The reader has closed the pipe, so there is nowhere to report this.
            self._lines.clear()

    def close(self) -> None:
        """Write the remaining lines and stop the thread."""
        self._stopping.set()
        if self._thread is not None:
            self._thread.join(1.0)
            self._thread = None
        super().close()

    @property
    def _is_full(self) -> bool:
        buffered = self._added_characters - self._written_characters
        if buffered >= MAX_BUFFERED_CHARACTERS:
            return True
        return len(self._lines) >= MAX_BUFFERED_LINES

    def _format_safely(self, record: logging.LogRecord) -> str:
        """Return the line of a record; name its event if it cannot be formatted."""
        try:
            return self.format(record)
        except Exception as error:
            # A value must not end the work that it is logged for.
            line = f"at={record.created} level=WARNING event=log_line_invalid "
            return f"{line}of={record.getMessage()} cause={type(error).__name__}"

    def _run(self) -> None:
        while not self._stopping.wait(WRITE_INTERVAL_SECONDS):
            self.flush()
        self.flush()
