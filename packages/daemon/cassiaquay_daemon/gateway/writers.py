"""Finds out which process of a server writes the events of a stream.

A server that was restarted under its name writes events of its new software version,
while its registration still describes the process before. It is asked for its report
only if there is a sign of a restart: a connection to it broke, it has broken off an
answer of any instance, its entry has changed, it has reported another start before, or
this instance's list is outdated.
"""

import asyncio
import collections.abc
import enum
import functools

from cassiaquay_schema import fleet

from ..decisions import paths
from ..fleet import server_breaks, servers
from . import connections, process_checks

Connection = connections.ResponseHandler
Done = collections.abc.Callable[[], None]


class Process(enum.Enum):
    """The process that writes a stream, compared with the listed one."""

    # It is the listed one, by its report.
    LISTED = "listed"
    # Nothing speaks against the listed one.
    ASSUMED = "assumed"
    # It has reported another start.
    OTHER = "other"
    # The server may have restarted, and has not been asked yet.
    UNKNOWN = "unknown"


class Writers:
    """Compares the processes that write streams with the listed ones.

    Parameters
    ----------
    checks : ProcessChecks
        Asks servers for their reports.
    observed : Paths
        Knows the processes at the other ends of the connections.
    breaks : ServerBreaks
        Knows which servers have broken off answers of any instance.
    server_list : Servers
        Knows whether this instance's list of servers may be outdated.
    """

    def __init__(
        self,
        checks: process_checks.ProcessChecks,
        observed: paths.Paths,
        breaks: server_breaks.ServerBreaks,
        server_list: servers.Servers,
    ):
        self._checks = checks
        self._processes = observed.processes
        self._breaks = breaks
        self._servers = server_list
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def sign_counts(self) -> tuple[int, int]:
        """Signs of restarts so far: at this instance, and answers broken off at any."""
        return self._processes.sign_count, self._breaks.count

    def compare(
        self,
        listed: fleet.Server,
        sent_to: fleet.Server,
        connection: Connection | None,
    ) -> Process:
        """Return what is known of the process at the other end of a connection.

        Without a connection of this instance, or a listed start, there is nothing to
        compare. ``sent_to`` is the server as it was listed at the dispatch.
        """
        if connection is None or not listed.started_ms:
            return Process.ASSUMED
        started_ms = connection.started_ms
        if started_ms is None and self._processes.has_lasted(
            sent_to.address, sent_to.started_ms, connection.opened_at
        ):
            started_ms = sent_to.started_ms
        if started_ms is None:
            is_doubtful = self._is_doubtful(listed, sent_to)
            return Process.UNKNOWN if is_doubtful else Process.ASSUMED
        if not started_ms:
            return Process.ASSUMED
        if started_ms == listed.started_ms:
            return Process.LISTED
        return Process.OTHER

    def learn(self, server: fleet.Server, done: Done) -> None:
        """Ask a server for its start, and call ``done`` afterwards."""
        task = asyncio.create_task(self._checks.learn(server))
        self._tasks.add(task)
        task.add_done_callback(functools.partial(self._finish, done))

    def _is_doubtful(self, listed: fleet.Server, sent_to: fleet.Server) -> bool:
        if listed.started_ms != sent_to.started_ms:
            # The connection was opened before that entry was in force.
            return True
        if self._servers.is_behind:
            # Others may know of a restart, and of its sign.
            return True
        return self._processes.is_doubtful(
            listed.address, listed.started_ms, self._breaks.broken_at(listed.name)
        )

    def _finish(self, done: Done, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            done()
