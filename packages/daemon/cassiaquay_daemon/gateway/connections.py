"""Connections to backend servers that never repeat a request by themselves."""

import functools
import socket
import typing

import aiohttp
from aiohttp import client_proto

from ..adapters import backends

# Servers keep an idle connection for longer; one that is closed under a request leaves
# its outcome unknown, so connections are given up well before that.
IDLE_SECONDS = 4.0
# Bytes that a dead or cut-off server does not acknowledge for this long break the
# connection: without it a request would hang until its deadline.
TCP_USER_TIMEOUT_MS = 2500


class _ResetDetectingHandler(client_proto.ResponseHandler):
    """A connection on which a reset never looks like the end of an answer."""

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail an answer that was under way when the connection was reset.

        An answer without a length ends with its connection. The library takes a reset
        for that end, too: the caller would get a part that looks whole.
        """
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError("connection reset"))
        super().connection_lost(exc)


def create_session() -> aiohttp.ClientSession:
    """Return a session for requests that are passed through."""
    connector = aiohttp.TCPConnector(
        limit=0, keepalive_timeout=IDLE_SECONDS, socket_factory=_create_socket
    )
    # The library's own hook for its protocol; there is no public one.
    factory: typing.Any = functools.partial(
        _ResetDetectingHandler, loop=connector._loop
    )
    connector._factory = factory
    found = aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        trace_configs=[backends.tracing()],
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
    )
    # The library sends a GET again when a kept connection closes under it. It may have
    # run by then; only the gateway knows whether it may be repeated.
    found._retry_connection = False
    return found


def _create_socket(info: aiohttp.connector.AddrInfoType) -> socket.socket:
    family, kind, protocol, _, _ = info
    found = socket.socket(family=family, type=kind, proto=protocol)
    found.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    found.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    return found
