"""Decides whether a completed answer clears its request of crashing servers.

Load pattern: many prompts share a part that crashes servers, and answers have no length
and no chunks. The answer of a crashed server then ends like a complete one. A part that
was cleared by it would be sent to one server after the other.

An answer that ends with its connection therefore counts only if its server is alive a
moment later. A server that has crashed breaks off its other answers, too, and refuses
connections. One that is merely silent may be paused: its answer neither clears the
request nor suspects it.
"""

import asyncio
import typing

from .. import clock, logs
from ..decisions import paths
from ..fleet import crash_reports
from . import connections, forwarding, progress

# Crashes reach other instances within a few round trips; a server that has crashed
# needs seconds to start again.
CONFIRMATION_SECONDS = 0.3
# Bytes that a server sent on other connections before it crashed may be read this late.
IN_FLIGHT_SECONDS = 0.15
# After a longer pause of this process, another server may have the address.
MAX_CONFIRMATION_SECONDS = 1.0


class _Ended(typing.NamedTuple):
    """A request whose answer has ended with the connection.

    Attributes
    ----------
    content : str
        Content digest of the request.
    parts, suspected_parts : tuple of str
        Parts of its prompt, and those that may be the cause if the server has crashed.
    server, address : str
        The server by its start, and its address; the latter is empty if this instance
        does not reach it itself.
    at : float
        Seconds on this clock.
    """

    content: str
    parts: tuple[str, ...]
    suspected_parts: tuple[str, ...]
    server: str
    address: str
    at: float


class Completions:
    """Reports completed requests, once it is certain that their servers live.

    Parameters
    ----------
    crashes : CrashReports
        Receives completions, and crashes that were taken for completions.
    observed : Paths
        Records when each server was heard last.
    dialer : Dialer
        Opens a connection to a server that was not heard since.
    """

    def __init__(
        self,
        crashes: crash_reports.CrashReports,
        observed: paths.Paths,
        dialer: connections.Dialer,
    ):
        self._crashes = crashes
        self._paths = observed
        self._dialer = dialer
        self._confirmations: set[asyncio.Task[None]] = set()

    def record(
        self, state: progress.RequestState, answer: forwarding.Answer, address: str
    ) -> None:
        """Record the complete answer of the server at ``address``."""
        call = state.call
        if answer.is_framed:
            self._crashes.completed(call.content, call.parsed.shared_parts)
            return
        ended = _Ended(
            call.content,
            call.parsed.shared_parts,
            state.suspected_parts,
            state.server_start,
            "" if answer.is_relayed else address,
            clock.now(),
        )
        task = asyncio.create_task(self._confirm(ended))
        self._confirmations.add(task)
        task.add_done_callback(self._remove)

    def close(self) -> None:
        """Stop waiting for confirmations."""
        for task in self._confirmations:
            task.cancel()

    async def _confirm(self, ended: _Ended) -> None:
        """Clear a request if its server lives on, report a crash if it does not."""
        await asyncio.sleep(CONFIRMATION_SECONDS)
        if self._crashes.has_ended(ended.server, ended.at - CONFIRMATION_SECONDS):
            self._report_crash(ended)
            return
        if not ended.address:
            return
        alive_since = ended.at + IN_FLIGHT_SECONDS
        is_refused = False
        if self._paths.is_silent(ended.address, alive_since):
            is_refused = await self._dialer.probe(ended.address)
        if clock.now() - ended.at > MAX_CONFIRMATION_SECONDS:
            return
        if not self._paths.is_silent(ended.address, alive_since):
            self._crashes.completed(ended.content, ended.parts)
        elif is_refused:
            self._report_crash(ended)

    def _report_crash(self, ended: _Ended) -> None:
        self._crashes.crashed(ended.content, ended.server, ended.suspected_parts)

    def _remove(self, task: "asyncio.Task[None]") -> None:
        self._confirmations.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logs.trouble("confirmation_failed", cause=repr(task.exception()))
