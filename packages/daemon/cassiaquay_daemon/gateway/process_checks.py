"""Checks that a server still runs the process that its registration describes.

A server may restart under its name with other software, and its registration follows
up to a second later. A stream that goes on there meanwhile would get events of two
software versions. The server's own report states when its process started, so it is
asked before a stream goes on, and only then: that is once for each resumed stream.
"""

import asyncio
import collections

import aiohttp

from cassiaquay_schema import fleet

from .. import bounded_http, exceptions, logs
from ..decisions import paths
from ..platform import reports
from . import admission, progress

# A report takes one round trip and no slot. A server that takes longer is paused, or
# behind a partition; callers wait two seconds for an event, so that another server can
# still go on in time.
TIMEOUT_SECONDS = 0.8
MAX_REPORT_BYTES = 1024 * 1024
OK_STATUS = 200

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
        raise exceptions.NotSent(f"the listed process of the server is {result}")

    async def _ask(self, server: fleet.Server) -> int | None:
        """Return the start time that a server reports; None without an answer."""
        url = f"http://{server.address}{reports.REPORT_PATH}"
        try:
            async with asyncio.timeout(TIMEOUT_SECONDS), self._http.get(url) as answer:
                if answer.status != OK_STATUS:
                    # It does not serve reports, as servers of other platforms.
                    return 0
                body = await bounded_http.read_body(answer, MAX_REPORT_BYTES)
        except (OSError, aiohttp.ClientError):
            return None
        return reports.read_started_ms(body)


def _compare(reported_ms: int | None, listed_ms: int) -> str:
    if reported_ms is None:
        return SILENT
    return CONFIRMED if reported_ms in (0, listed_ms) else RESTARTED
