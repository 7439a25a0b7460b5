"""Client session for backend servers that never retries a request on its own."""

import functools
import socket
import typing

import aiohttp
from aiohttp import client_proto

from .. import clock
from ..adapters import backends
from ..platform import headers

# Shorter than the servers' own keep-alive time: a server that closes a connection while
# a request is being sent on it leaves the request's outcome unknown.
IDLE_TIMEOUT_SECONDS = 4.0
# The kernel drops a connection whose data has not been acknowledged for this long;
# otherwise a request to a crashed or unreachable server would hang until its deadline.
TCP_USER_TIMEOUT_MS = 2500


class _ResetDetectingHandler(client_proto.ResponseHandler):
    """Response handler that reports a connection reset as a payload error."""

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail an answer that was being read when the connection was reset.

        An answer without Content-Length ends when the connection closes. aiohttp
        treats a reset as that end, too, and the caller would get a truncated body that
        looks complete.
        """
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError("connection reset"))
        super().connection_lost(exc)


class _TimedRequest(aiohttp.ClientRequest):
    """Request that states the time left when it is written.

    Opening a connection takes up to half a second, and longer on a busy machine. The
    server would work for that long after the caller has given up.
    """

    def __init__(self, *args: typing.Any, **options: typing.Any) -> None:
        super().__init__(*args, **options)
        self._formed_at = clock.now()

    async def send(self, conn: aiohttp.connector.Connection) -> aiohttp.ClientResponse:
        """Write the request to an open connection."""
        elapsed_ms = int((clock.now() - self._formed_at) * 1000)
        headers.shorten_deadline(self.headers, elapsed_ms)
        return await super().send(conn)


def create_session() -> aiohttp.ClientSession:
    """Return the session for proxied requests."""
    connector = aiohttp.TCPConnector(
        limit=0, keepalive_timeout=IDLE_TIMEOUT_SECONDS, socket_factory=_create_socket
    )
    # aiohttp has no public way to set the protocol class of a connector.
    factory: typing.Any = functools.partial(
        _ResetDetectingHandler, loop=connector._loop
    )
    connector._factory = factory
    session = aiohttp.ClientSession(
        connector=connector,
        request_class=_TimedRequest,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        trace_configs=[backends.tracing()],
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
    )
    # By default aiohttp resends a GET when a kept-alive connection closes during it.
    # The server may have run it by then; only the gateway may decide on a retry.
    session._retry_connection = False
    return session


def _create_socket(info: aiohttp.connector.AddrInfoType) -> socket.socket:
    family, kind, protocol, _, _ = info
    created = socket.socket(family=family, type=kind, proto=protocol)
    created.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    created.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    return created
