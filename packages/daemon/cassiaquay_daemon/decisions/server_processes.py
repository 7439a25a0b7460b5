"""Which process of a server is at the other end of each connection to it.

A server may restart under its name and address, and its registration follows up to
seconds later. Answers do not tell which process wrote them. Its report states when the
process started, but a report for each connection would cost as much as opening it.

One process at a time has an address, and its end closes all of its connections. So
connections that were alive at the same time lead to one process, and one report is
enough for all of them. Bytes do not show that a connection is alive: those of a process
that has ended may be read after the next one has reported.
"""

import typing

from .. import clock

NEVER = float("-inf")
# Connections that are older and unused are closed; keeping more is of no use.
RETENTION_SECONDS = 60.0
MAX_PROCESSES = 2048
# Servers register about each second, and the list is read each second.
LISTING_SECONDS = 5.0


class _Process(typing.NamedTuple):
    """A process that has reported its start.

    Attributes
    ----------
    started_ms : int
        Its start as reported, Unix milliseconds; 0 if it states none.
    alive_from, alive_until : float
        Times at which it was certainly alive; seconds on this clock.
    asked_at : float
        When it was asked for its last report; seconds on this clock.
    """

    started_ms: int
    alive_from: float
    alive_until: float
    asked_at: float


class Processes:
    """The processes that this instance has connections to, by address (host:port).

    Attributes
    ----------
    sign_count : int
        Signs of a restart of any server so far.
    """

    def __init__(self) -> None:
        self.sign_count = 0
        self._processes: dict[str, _Process] = {}
        self._broken_at: dict[str, float] = {}
        self._all_doubted_until = NEVER

    def doubt_all(self) -> None:
        """Doubt all servers for a while: this instance has seen no crash before."""
        self._all_doubted_until = clock.now() + LISTING_SECONDS

    def note_broken(self, address: str) -> None:
        """Record that a connection was reset or refused: its process may be gone."""
        self.sign_count += 1
        self._broken_at[address] = clock.now()
        self._trim()

    def note_alive(
        self, address: str, opened_at: float, started_ms: int | None
    ) -> int | None:
        """Record that a connection is alive; return the start time of its process.

        ``started_ms`` is what was known of it before, None if nothing.
        """
        process = self._processes.get(address)
        if process is None:
            return started_ms
        if started_ms is None and opened_at <= process.alive_until:
            started_ms = process.started_ms
        if started_ms == process.started_ms:
            self._processes[address] = process._replace(
                alive_from=min(process.alive_from, opened_at),
                alive_until=clock.now(),
            )
        return started_ms

    def note_report(
        self, address: str, opened_at: float, started_ms: int, asked_at: float
    ) -> None:
        """Record the start time that a server has reported on a connection."""
        process = self._processes.get(address)
        alive_from = opened_at
        if process is not None and process.started_ms == started_ms:
            alive_from = min(process.alive_from, opened_at)
        else:
            self.sign_count += 1
        # It may have ended since it was asked.
        alive_until = max(opened_at, asked_at)
        self._processes[address] = _Process(
            started_ms, alive_from, alive_until, asked_at
        )
        self._trim()

    def identify(self, address: str, opened_at: float, alive_at: float) -> int | None:
        """Return the start time of the process of a connection; None if unknown.

        ``alive_at`` is when the connection was last known to be alive.
        """
        process = self._processes.get(address)
        if process is None:
            return None
        if opened_at <= process.alive_until and alive_at >= process.alive_from:
            return process.started_ms
        return None

    def has_lasted(self, address: str, started_ms: int, since: float) -> bool:
        """Return whether a process was asked for its report after a time, and answered.

        One that was listed at that time has then served since.
        """
        process = self._processes.get(address)
        if process is None or process.started_ms != started_ms:
            return False
        return process.asked_at >= since

    def is_doubtful(self, address: str, listed_ms: int, broken_at: float) -> bool:
        """Return whether a server may have restarted since it was listed.

        Parameters
        ----------
        address : str
            Its address.
        listed_ms : int
            Start time of the listed process, Unix milliseconds.
        broken_at : float
            When the server broke off an answer of any instance; seconds on this clock.
        """
        broken_at = max(self._broken_at.get(address, NEVER), broken_at)
        process = self._processes.get(address)
        if process is None:
            return broken_at > NEVER or clock.now() < self._all_doubted_until
        if process.started_ms not in (0, listed_ms):
            return True
        return broken_at > process.asked_at

    def _trim(self) -> None:
        horizon = clock.now() - RETENTION_SECONDS
        if len(self._processes) > MAX_PROCESSES:
            for address, process in list(self._processes.items()):
                if process.alive_until < horizon:
                    del self._processes[address]
        if len(self._broken_at) > MAX_PROCESSES:
            for address, at in list(self._broken_at.items()):
                if at < horizon:
                    del self._broken_at[address]
