"""Bounds on what HTTP servers may send to this process.

A server in trouble may send bytes without end. Without bounds they fill the memory of
the instance, which is then killed with all its requests. The client library bounds each
line of a head, but not how many heads, blank lines, chunk extensions or surplus answers
a server sends.
"""

import asyncio
import collections.abc
import contextlib
import functools
import typing

import aiohttp
from aiohttp import client_proto, http_exceptions

from . import logs, sockets

# Bytes of the head of one answer, with the interim answers before it.
MAX_HEAD_BYTES = 64 * 1024
# A server that works for long may send one each second until it answers.
MAX_INTERIM_ANSWERS = 300
# Bytes of chunk sizes, chunk extensions and trailers without a byte of body.
MAX_FRAMING_BYTES = 64 * 1024
# Reading from a connection stops while twice as many bytes are unread.
READ_BUFFER_BYTES = 64 * 1024
# Characters of the client library's errors, which quote what was received.
MAX_ERROR_CHARACTERS = 200
SWITCHING_PROTOCOLS_STATUS = 101
FIRST_STATUS = 100
FIRST_FINAL_STATUS = 200
LAST_STATUS = 599

Received = tuple[aiohttp.http.RawResponseMessage, aiohttp.StreamReader]


class ResponseTooLarge(aiohttp.ClientError):
    """A response is larger than its reader accepts."""


class InvalidResponse(aiohttp.ClientError):
    """A server sent bytes that belong to no response."""


class BoundedHandler(client_proto.ResponseHandler):
    """Response handler that closes a connection once a bound is exceeded.

    The answer fails with ResponseTooLarge or InvalidResponse: a server that sends too
    much has not crashed. So does one whose status is none of HTTP: the client library
    takes any three digits.

    Parameters
    ----------
    loop : AbstractEventLoop
        The event loop.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop):
        super().__init__(loop)
        # Whether a request is under way whose answer is not complete.
        self._is_answer_due = False
        self._interim_count = 0
        self._has_surplus = False
        # Body of the answer, once its head is complete, and its length so far.
        self._body: aiohttp.StreamReader | None = None
        self._body_bytes = 0
        # Received without the end of the head or a byte of body.
        self._bytes_without_progress = 0

    @property
    def peer_address(self) -> str:
        """Address of the server as host:port; empty without a connection."""
        peer = self.transport and self.transport.get_extra_info("peername")
        return f"{peer[0]}:{peer[1]}" if peer else ""

    @property
    def should_close(self) -> bool:
        """Whether the connection is not used again.

        A server may answer before it has read a long request. The next request would
        wait behind the rest of it.
        """
        return super().should_close or self._unsent_bytes > 0

    @property
    def _unsent_bytes(self) -> int:
        """Bytes of the request that the server's kernel has not taken."""
        return sockets.unsent_bytes(self.transport) if self.transport else 0

    def set_response_params(self, **options: typing.Any) -> None:
        """Prepare for the answer to a request that is about to be sent."""
        self._is_answer_due = self._exception is None
        self._interim_count = 0
        self._has_surplus = False
        self._body = None
        self._bytes_without_progress = 0
        super().set_response_params(**options)

    def feed_data(self, data: Received, size: int = 0) -> None:
        """Queue the head of an answer; drop what follows a failure."""
        message, body = data
        if self._exception is not None:
            return
        if self._body is not None:
            self._has_surplus = True
            return
        if is_final(message.code):
            self._body = body
            self._body_bytes = -1
            self._bytes_without_progress = 0
            super().feed_data(data, size)
            return
        if not _is_interim(message.code):
            self._fail(InvalidResponse(f"status {message.code}"))
            return
        self._interim_count += 1
        # The first one lets the client send a body that waits for it.
        if self._interim_count == 1:
            super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; close the connection once a bound is exceeded."""
        if not self._is_answer_due:
            if data and self._exception is None:
                self._refuse(len(data))
            return
        super().data_received(data)
        if isinstance(self._exception, InvalidResponse):
            # aiohttp fails the head only; the body would be awaited for ever.
            self._fail(self._exception)
            return
        body = self._body
        if body is None:
            self._check_head(len(data))
            return
        if body.is_eof():
            self._is_answer_due = False
            if self._has_surplus or self._has_begun_another():
                self._refuse(len(data))
        elif body.total_bytes != self._body_bytes:
            self._body_bytes = body.total_bytes
            self._bytes_without_progress = 0
        else:
            self._check_framing(len(data))

    def eof_received(self) -> None:
        """Fail an answer that ends before its request has been written.

        One without Content-Length would look complete. Another one would be awaited for
        as long as the server takes nothing of the request.
        """
        if self._is_answer_due and self._unsent_bytes:
            self._fail(
                aiohttp.ClientPayloadError("the connection ends within the request")
            )
        super().eof_received()

    def close(self) -> None:
        """Close the connection, and drop what the server has not taken.

        A transport that is closed keeps it for as long as the server reads nothing, and
        a request that was given up would arrive late.
        """
        transport = self.transport
        self._reset_long_request()
        super().close()
        if transport is not None and transport.get_write_buffer_size():
            transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail an answer that was being read when the connection was reset.

        An answer without Content-Length ends when the connection closes. aiohttp
        treats a reset as that end, too, and a truncated body would look complete.
        """
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            error = exc
            if not isinstance(exc, OSError):
                error = aiohttp.ClientPayloadError(repr(exc))
            payload.set_exception(error)
            # It would end the body or report another error.
            self._parser = None
        super().connection_lost(exc)

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Go on reading, if that was paused.

        The client library calls this after each part of a body that is read; without a
        pause it would parse no bytes and start a transport that is running.
        """
        if self._reading_paused or self._buffer_paused:
            super().resume_reading(resume_parser)

    def set_exception(self, exc: BaseException, *causes: BaseException) -> None:
        """Fail the answer."""
        if isinstance(exc, http_exceptions.HttpProcessingError):
            exc = InvalidResponse(exc.message[:MAX_ERROR_CHARACTERS])
        super().set_exception(exc, *causes)

    def _has_begun_another(self) -> bool:
        """Return whether a part of another answer follows a complete one."""
        parser: typing.Any = self._parser
        # Only the pure Python parser shows what it holds of the first line.
        if getattr(parser, "_tail", b""):
            return True
        try:
            return parser is not None and parser.feed_eof() is not None
        except Exception:
            # Of any type: it parses the part as if it were whole.
            return True

    def _check_head(self, size: int) -> None:
        self._bytes_without_progress += size
        if self._bytes_without_progress > MAX_HEAD_BYTES:
            self._fail(
                ResponseTooLarge(f"{self._bytes_without_progress} bytes and no head")
            )
        elif self._interim_count > MAX_INTERIM_ANSWERS:
            count = self._interim_count
            self._fail(ResponseTooLarge(f"{count} interim answers and no other"))

    def _check_framing(self, size: int) -> None:
        self._bytes_without_progress += size
        if self._bytes_without_progress > MAX_FRAMING_BYTES:
            self._fail(
                ResponseTooLarge(
                    f"{self._bytes_without_progress} bytes and none of the body"
                )
            )

    def _refuse(self, size: int) -> None:
        """Close a connection on which bytes have arrived that no request asked for."""
        logs.event("surplus_bytes", address=self.peer_address, bytes=size)
        self._fail(InvalidResponse(f"surplus among {size} bytes"))

    def _reset_long_request(self) -> None:
        """Let the end of the connection drop a long request that is not yet sent.

        A short one may have arrived, and only its acknowledgement may be missing.
        """
        if self.transport is None or self._unsent_bytes <= sockets.MAX_BUFFERED_BYTES:
            return
        bound = self.transport.get_extra_info("socket")
        # The connection may have ended.
        with contextlib.suppress(OSError):
            sockets.reset_on_close(bound)

    def _fail(self, error: BaseException) -> None:
        self._is_answer_due = False
        self.set_exception(error)
        if self._body is not None and not self._body.is_eof():
            self._body.set_exception(error)
        # Otherwise its parser would report an incomplete body when it is closed.
        self._payload = None
        if self.transport is not None:
            self._reset_long_request()
            self.transport.abort()


class BoundedRequest(aiohttp.ClientRequest):
    """Request that is not written to a connection that has failed."""

    async def send(self, conn: aiohttp.connector.Connection) -> aiohttp.ClientResponse:
        """Write the request to an open connection."""
        error = conn.protocol and conn.protocol.exception()
        if error:
            raise error
        return await super().send(conn)


Factory = collections.abc.Callable[
    [asyncio.AbstractEventLoop], client_proto.ResponseHandler
]


def create_connector(
    create_handler: Factory = BoundedHandler, **options: typing.Any
) -> aiohttp.TCPConnector:
    """Return a connector without a limit of connections and with bounded handlers."""
    connector = aiohttp.TCPConnector(limit=0, **options)
    # aiohttp has no public way to set the protocol class of a connector.
    factory: typing.Any = functools.partial(create_handler, connector._loop)
    connector._factory = factory
    return connector


def create_session(
    connector: aiohttp.TCPConnector, **options: typing.Any
) -> aiohttp.ClientSession:
    """Return a session whose connections buffer little."""
    options = {"request_class": BoundedRequest} | options
    return aiohttp.ClientSession(
        connector=connector, read_bufsize=READ_BUFFER_BYTES, **options
    )


async def read_body(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Return the complete body of a response; raise ResponseTooLarge over a bound."""
    if (response.content_length or 0) > max_bytes:
        raise ResponseTooLarge(f"{response.content_length} bytes announced")
    body = bytearray()
    while data := await response.content.readany():
        body += data
        if len(body) > max_bytes:
            raise ResponseTooLarge(f"over {max_bytes} bytes")
    return bytes(body)


def is_final(status: int) -> bool:
    """Return whether a status is that of the answer to a request."""
    return FIRST_FINAL_STATUS <= status <= LAST_STATUS


def _is_interim(status: int) -> bool:
    """Return whether another answer follows to the same request.

    No request asks for another protocol.
    """
    if status == SWITCHING_PROTOCOLS_STATUS:
        return False
    return FIRST_STATUS <= status < FIRST_FINAL_STATUS
