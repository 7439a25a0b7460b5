"""One dispatch of a caller's request to one backend server."""

import collections.abc
import typing

import aiohttp
import yarl

from cassiaquay_schema import fleet

from .. import exceptions
from ..adapters import breaks
from ..platform import headers
from . import calls

# Connections are there within a round trip; what takes longer hits a full queue of new
# connections or a dead machine, and another server answers sooner.
CONNECT_SECONDS = 0.5
MAX_ANSWER_BYTES = 16 * 1024 * 1024
FIRST_REDIRECT_STATUS = 300
FIRST_SERVER_ERROR_STATUS = 500

BeforeSending = collections.abc.Callable[[], None]


class Answer(typing.NamedTuple):
    """The beginning of a server's answer.

    Attributes
    ----------
    response : ClientResponse
        Its body is read from here.
    status : int
        Its status.
    headers : list of pairs
        As the caller gets them.
    """

    response: aiohttp.ClientResponse
    status: int
    headers: list[tuple[bytes, bytes]]

    @property
    def is_failure(self) -> bool:
        """Whether the server failed at it."""
        return self.status >= FIRST_SERVER_ERROR_STATUS


class Forwarder:
    """Sends requests to backend servers.

    Parameters
    ----------
    http : ClientSession
        As :func:`connections.create_session` returns it.
    """

    def __init__(self, http: aiohttp.ClientSession):
        self._http = http

    async def send(
        self,
        call: calls.Call,
        server: fleet.Server,
        last_event: int,
        silence: float | None,
        before_sending: BeforeSending,
    ) -> Answer:
        """Send a request and return the beginning of its answer.

        ``silence`` is how many seconds the server may send nothing, None for any.
        ``before_sending`` is called when a connection is there and no byte has been
        written; it may raise NotSent.

        Raises
        ------
        Unreachable
            There is no connection; no byte was written.
        Declined
            The server says that it did not run the request.
        StreamCut
            It may have run.
        """
        pairs = headers.towards_server(
            call.headers,
            server.name,
            call.team_name,
            int(call.seconds_left * 1000),
            last_event,
        )
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_SECONDS, sock_read=silence
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
                trace_request_ctx=before_sending,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise exceptions.Unreachable(repr(error)) from error
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
            raise breaks.cut(error) from error
        try:
            return self._check_answer(call, response)
        except exceptions.BackendError:
            response.close()
            raise

    async def close(self) -> None:
        """Close all connections."""
        await self._http.close()

    def _check_answer(
        self, call: calls.Call, response: aiohttp.ClientResponse
    ) -> Answer:
        found = response.headers
        if headers.NOT_EXECUTED in found or response.status == 421:
            raise exceptions.Declined(f"status {response.status}")
        if found.get(headers.ATTEMPT.decode(), "") != call.parsed.attempt:
            # Bytes of another request, or of none: a late second answer on a kept
            # connection would give this caller another one's answer.
            raise exceptions.StreamCut("the answer is not of this request")
        return Answer(response, response.status, headers.towards_caller(found.items()))


async def read_body(answer: Answer) -> bytes:
    """Return the body of an answer; raise StreamCut when it breaks off."""
    parts = []
    size = 0
    async for part in stream_body(answer):
        parts.append(part)
        size += len(part)
        if size > MAX_ANSWER_BYTES:
            raise exceptions.StreamCut("the answer is too large")
    return b"".join(parts)


async def stream_body(answer: Answer) -> collections.abc.AsyncIterator[bytes]:
    """Yield the body as it comes; raise StreamCut when it breaks off."""
    try:
        async for part in answer.response.content.iter_any():
            yield part
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        raise breaks.cut(error) from error
