"""Sends a caller's request to one backend server and reads the answer."""

import collections.abc
import typing

import aiohttp
import yarl

from cassiaquay_schema import fleet

from .. import exceptions
from ..adapters import breaks, signals
from ..fleet import server_reports
from ..platform import headers
from . import calls

# A connection takes one round trip. One that takes longer waits in a full accept queue
# or for a crashed machine, and another server answers sooner.
CONNECT_TIMEOUT_SECONDS = 0.5
MAX_ANSWER_BYTES = 16 * 1024 * 1024
FIRST_REDIRECT_STATUS = 300
# Another server now has the address of the intended one.
WRONG_SERVER_STATUS = 421
FIRST_SERVER_ERROR_STATUS = 500

NO_SIGNALS = signals.Signals()
BeforeSending = collections.abc.Callable[[], None]


class Answer(typing.NamedTuple):
    """Status and headers of a server's answer, and the response to read its body from.

    Attributes
    ----------
    response : ClientResponse
        Response whose body has not been read.
    status : int
        HTTP status.
    headers : list of pairs
        Headers to send to the caller.
    reported : Signals
        What it says about the server.
    """

    response: aiohttp.ClientResponse
    status: int
    headers: list[tuple[bytes, bytes]]
    reported: signals.Signals = NO_SIGNALS

    @property
    def is_failure(self) -> bool:
        """Whether the status is a server error."""
        return self.status >= FIRST_SERVER_ERROR_STATUS


class Misdirected(exceptions.Declined):
    """Another server has the address of the intended one; it declined the request."""

    code = "backend_misdirected"


class Forwarder:
    """Sends requests to backend servers.

    Parameters
    ----------
    http : ClientSession
        The session that :func:`connections.create_session` returns.
    reports : ServerReports
        Receives what servers report about themselves.
    """

    def __init__(
        self, http: aiohttp.ClientSession, reports: server_reports.ServerReports
    ):
        self._http = http
        self._reports = reports

    async def send(
        self,
        call: calls.Call,
        server: fleet.Server,
        last_event: int,
        read_timeout: float | None,
        before_sending: BeforeSending,
    ) -> Answer:
        """Send a request; return its answer once the headers have arrived.

        ``read_timeout`` is in seconds, None for no timeout.
        ``before_sending`` is called when the connection is established and no byte of
        the request has been written; it may raise NotSent.

        Raises
        ------
        Unreachable
            The connection failed; no byte was written.
        Declined
            The server reports that it did not run the request.
        StreamInterrupted
            The request was sent and may have run.
        """
        pairs = headers.towards_server(
            call.headers,
            server.name,
            call.team_name,
            int(call.seconds_left * 1000),
            last_event,
        )
        sent = self._reports.sent(call.parsed.attempt, server)

        def connected() -> None:
            nonlocal sent
            before_sending()
            sent = self._reports.sent(call.parsed.attempt, server)

        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_SECONDS, sock_read=read_timeout
        )
        url = yarl.URL(f"http://{server.address}{call.target}", encoded=True)
        try:
            response = await self._http.request(
                call.method,
                url,
                headers=pairs,
                data=call.body or None,
                timeout=timeout,
                allow_redirects=False,
                trace_request_ctx=connected,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise exceptions.Unreachable(repr(error)) from error
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
            raise breaks.to_stream_interrupted(error) from error
        found = _read_signals(call, response)
        if found is not None:
            self._reports.answered(sent, found, _is_failure(response))
        try:
            answer = self._check_answer(call, response, found or NO_SIGNALS)
        except exceptions.BackendError:
            response.close()
            raise
        return answer

    async def close(self) -> None:
        """Close all connections."""
        await self._http.close()

    def _check_answer(
        self,
        call: calls.Call,
        response: aiohttp.ClientResponse,
        found: signals.Signals,
    ) -> Answer:
        if _is_declined(response) or response.status == WRONG_SERVER_STATUS:
            if found.retry_after is not None:
                raise exceptions.Deferred(f"retry after {found.retry_after:g} s")
            if response.status == WRONG_SERVER_STATUS:
                raise Misdirected(f"status {response.status}")
            raise exceptions.Declined(f"status {response.status}")
        if not _is_answer_to(call, response):
            # A surplus answer on a kept-alive connection belongs to an earlier request
            # and may be another caller's.
            raise exceptions.StreamInterrupted("the answer is not of this request")
        return Answer(
            response,
            response.status,
            headers.towards_caller(response.headers.items()),
            found,
        )


def _read_signals(
    call: calls.Call, response: aiohttp.ClientResponse
) -> signals.Signals | None:
    """Return the signals of an answer; None if it may be another server's."""
    if response.status == WRONG_SERVER_STATUS:
        return None
    if not _is_declined(response) and not _is_answer_to(call, response):
        return None
    return headers.read_signals(response.status, response.headers)


def _is_declined(response: aiohttp.ClientResponse) -> bool:
    return headers.NOT_EXECUTED in response.headers


def _is_failure(response: aiohttp.ClientResponse) -> bool:
    return _is_declined(response) or response.status >= FIRST_SERVER_ERROR_STATUS


def _is_answer_to(call: calls.Call, response: aiohttp.ClientResponse) -> bool:
    return response.headers.get(headers.ATTEMPT.decode(), "") == call.parsed.attempt


async def read_body(answer: Answer) -> bytes:
    """Return the complete body; raise StreamInterrupted when it is cut off."""
    parts = []
    size = 0
    async for part in stream_body(answer):
        parts.append(part)
        size += len(part)
        if size > MAX_ANSWER_BYTES:
            raise exceptions.StreamInterrupted("the answer is too large")
    return b"".join(parts)


async def stream_body(answer: Answer) -> collections.abc.AsyncIterator[bytes]:
    """Yield the body as it arrives; raise StreamInterrupted when it is cut off."""
    try:
        async for part in answer.response.content.iter_any():
            yield part
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        raise breaks.to_stream_interrupted(error) from error
