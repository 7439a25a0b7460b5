"""Checks that a server still runs the process that its registration describes.

A server may restart under its name with other software, and its registration follows
up to a second later. A stream that goes on there meanwhile would get events of two
software versions. The server's own report states when its process started, so it is
asked before a stream goes on, and only then: that is once for each resumed stream.
"""

import asyncio
import collections
import functools

import aiohttp

from cassiaquay_schema import fleet, messages

from .. import bounded_http, clock, exceptions, logs
from ..decisions import paths
from ..platform import reports
from . import admission, progress

# A report takes one round trip and no slot. A server that takes longer is paused, or
# behind a partition; callers wait two seconds for an event, so that another server can
# still go on in time.
TIMEOUT_SECONDS = 0.8
# Time after which a server that has not answered is asked again.
REPEAT_SECONDS = 0.5
MAX_REPORT_BYTES = 1024 * 1024
OK_STATUS = 200
# Servers that refused a connection and are remembered.
MAX_REFUSED = 2048
NEVER = float("-inf")

CONFIRMED = "confirmed"
RESTARTED = "restarted"
SILENT = "silent"


class ProcessChecks:
    """Asks servers for the start time of their process.

    Parameters
    ----------
    http : ClientSession
        Session for requests to servers.
    observed : Paths
        The servers that this instance reaches itself.
    capacity : Admission
        Takes back the tickets that are not used.

    Attributes
    ----------
    counts : Counter
        Results of the checks.
    """

    def __init__(
        self,
        http: aiohttp.ClientSession,
        observed: paths.Paths,
        capacity: admission.Admission,
    ):
        self.counts: collections.Counter[str] = collections.Counter()
        # Servers that are being asked, by address, and when they were asked last.
        self._asking: dict[str, asyncio.Task[int | None]] = {}
        self._asked_at: dict[str, float] = {}
        # When those were asked that have refused the connection.
        self._refused_at: dict[str, float] = {}
        self._http = http
        self._paths = observed
        self._capacity = capacity

    async def check(
        self, state: progress.RequestState, ticket: admission.Ticket
    ) -> None:
        """Return if a request may be sent to the server of its ticket.

        Any process may begin a stream. A server that is reached only through other
        instances cannot be asked, and one that states no start time has nothing to
        compare.

        Raises
        ------
        NotSent
            The server has restarted, or has not answered; the ticket is returned.
        """
        server = ticket.server
        if state.software is None or not server.started_ms:
            return
        if not self._paths.is_open(server.address):
            return
        asked_at = clock.now()
        try:
            started_ms = await self._ask(server)
        except asyncio.CancelledError:
            self._capacity.return_unused(ticket)
            raise
        result = _compare(started_ms, server.started_ms)
        self.counts[result] += 1
        if result == CONFIRMED:
            return
        logs.event(
            "process_not_confirmed",
            id=state.call.parsed.attempt,
            server=server.name,
            cause=result,
            listed_ms=server.started_ms,
            reported_ms=started_ms,
        )
        self._capacity.return_unused(ticket)
        if result == RESTARTED:
            state.add_tried(server.name)
        if self._refused_at.get(server.address, NEVER) >= asked_at:
            state.unreachable.append(server.name)
        raise exceptions.NotSent(f"the listed process of the server is {result}")

    async def confirm(self, entries: list[messages.ServerEntry], since: float) -> bool:
        """Return whether no server runs another process than the listed one.

        They are asked after a time. One that runs the listed process has run no other
        since that began; one that refuses connections runs none. Servers that state no
        start time have nothing to compare.
        """
        asking = []
        for entry in entries:
            if entry.started_ms:
                asking.append(self._has_lasted(entry, since))
        return all(await asyncio.gather(*asking))

    async def learn(self, server: fleet.Server) -> None:
        """Ask a server for the start time of its process, for its connections.

        Requests share a question; one that fails is repeated after a while.
        """
        address = server.address
        if address not in self._asking:
            if clock.now() < self._asked_at.get(address, 0.0) + REPEAT_SECONDS:
                return
            self._asked_at[address] = clock.now()
            asking = asyncio.create_task(self._ask(server))
            self._asking[address] = asking
            asking.add_done_callback(functools.partial(self._forget, address))
        await asyncio.wait([self._asking[address]])

    def _note_refused(self, address: str, asked_at: float) -> None:
        if len(self._refused_at) >= MAX_REFUSED:
            self._refused_at.clear()
        self._refused_at[address] = asked_at
        # It has answered at once, and may be asked again.
        self._asked_at.pop(address, None)

    async def _has_lasted(self, entry: messages.ServerEntry, since: float) -> bool:
        processes = self._paths.processes
        server = fleet.Server(name=entry.name, address=entry.address)
        # A question that is under way may have been asked before that time.
        for _ in range(2):
            await self.learn(server)
            for started_ms in (entry.started_ms, 0):
                if processes.has_lasted(entry.address, started_ms, since):
                    return True
            if self._refused_at.get(entry.address, NEVER) >= since:
                return True
        return False

    def close(self) -> None:
        """Stop asking servers."""
        for asking in self._asking.values():
            asking.cancel()

    def _forget(self, address: str, asking: "asyncio.Task[int | None]") -> None:
        del self._asking[address]
        if not asking.cancelled() and asking.exception() is not None:
            logs.trouble("process_check_failed", cause=repr(asking.exception()))
        elif not asking.cancelled() and asking.result() is not None:
            del self._asked_at[address]

    async def _ask(self, server: fleet.Server) -> int | None:
        """Return the start time that a server reports; None without an answer."""
        url = f"http://{server.address}{reports.REPORT_PATH}"
        asked_at = clock.now()
        try:
            async with asyncio.timeout(TIMEOUT_SECONDS), self._http.get(url) as answer:
                started_ms = await _read_started_ms(answer)
                handler = getattr(answer, "handler", None)
        except (OSError, aiohttp.ClientError) as error:
            if _is_refused(error):
                self._note_refused(server.address, asked_at)
            return None
        if started_ms is not None and handler is not None:
            handler.note_report(started_ms, asked_at)
        return started_ms


def _is_refused(error: Exception) -> bool:
    if not isinstance(error, aiohttp.ClientConnectorError):
        return False
    return isinstance(error.os_error, ConnectionRefusedError)


async def _read_started_ms(answer: aiohttp.ClientResponse) -> int | None:
    if answer.status != OK_STATUS:
        # It does not serve reports, as servers of other platforms.
        return 0
    body = await bounded_http.read_body(answer, MAX_REPORT_BYTES)
    return reports.read_started_ms(body)


def _compare(reported_ms: int | None, listed_ms: int) -> str:
    if reported_ms is None:
        return SILENT
    return CONFIRMED if reported_ms in (0, listed_ms) else RESTARTED
