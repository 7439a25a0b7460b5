"""The record of a case: what was sent, answered and run."""

import collections
import pathlib
import time

# Statuses that promise that a request has not run and never will.
PROMISES = (408, 421, 429, 503)


class Record:
    """Collects events and writes them to a file.

    Attributes
    ----------
    runs : dict of str to list of str
        Servers that began to work on each attempt.
    answers : dict of str to int
        Status that each attempt got; 0 where its connection ended without an answer.
    """

    def __init__(self, path: pathlib.Path):
        self.runs: dict[str, list[str]] = collections.defaultdict(list)
        self.answers: dict[str, int] = {}
        self.counts: collections.Counter[str] = collections.Counter()
        self._file = path.open("w")
        self._began_at = time.monotonic()

    def note(self, event: str, **fields: object) -> None:
        """Write one event."""
        self.counts[event] += 1
        seconds = time.monotonic() - self._began_at
        words = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{seconds:9.4f} {event} {words}\n")

    def note_run(self, attempt: str, server: str) -> None:
        """Write that a server began to work on an attempt."""
        self.runs[attempt].append(server)
        self.note("run", id=attempt, server=server)

    def note_answer(self, attempt: str, status: int, **fields: object) -> None:
        """Write what an attempt got."""
        self.answers[attempt] = status
        self.note("answered", id=attempt, status=status, **fields)

    def close(self, verdict: str) -> None:
        """Write the verdict and the counts of all events."""
        for event, count in sorted(self.counts.items()):
            self._file.write(f"count {event} {count}\n")
        self._file.write(f"verdict {verdict}\n")
        self._file.close()
