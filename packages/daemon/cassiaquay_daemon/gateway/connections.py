"""Connections to backend servers, with a client session that never retries."""

import asyncio
import contextlib
import functools
import math
import socket
import typing

import aiohttp
import multidict

from .. import bounded_http, clock, logs, sockets
from ..adapters import backends
from ..decisions import paths, server_processes
from ..platform import headers
from . import relays

# Shorter than the servers' own keep-alive time: a server that closes a connection while
# a request is being sent on it leaves the request's outcome unknown.
IDLE_TIMEOUT_SECONDS = 4.0
# A connection takes one round trip. One that takes longer waits in a full accept queue,
# for a crashed machine or behind a partition, and another way is faster.
CONNECT_TIMEOUT_SECONDS = 0.3
# Share of the idle time that a server states for which its connection is used again.
STATED_IDLE_SHARE = 0.8


class ServerResponse(aiohttp.ClientResponse):
    """Response that knows the connection on which it has arrived.

    Attributes
    ----------
    handler : ResponseHandler or None
        The connection.
    """

    handler: "ResponseHandler | None" = None

    async def start(self, connection: aiohttp.connector.Connection) -> typing.Self:
        """Read the head of the response."""
        if isinstance(connection.protocol, ResponseHandler):
            self.handler = connection.protocol
        await super().start(connection)
        return self


class ResponseHandler(bounded_http.BoundedHandler):
    """Response handler that skips other requests' answers and observes the path.

    A server may send a late copy of an earlier answer in place of the next one. It is
    recognized here, before the client library puts the connection back into its pool
    or takes the status for that of the request under way.

    Parameters
    ----------
    observed : Paths
        Learns what the connection shows about the path to its server.
    loop : AbstractEventLoop
        The event loop.
    """

    def __init__(self, observed: paths.Paths, loop: asyncio.AbstractEventLoop):
        super().__init__(loop)
        self._paths = observed
        self._address = ""
        # Start time of the server process, Unix milliseconds; None if not known.
        self._started_ms: int | None = None
        self._opened_at = 0.0
        # When neither end was known to have closed it.
        self._alive_at = server_processes.NEVER
        # Id of the attempt whose answer is awaited; empty for a request without one.
        self._attempt = ""
        self._has_skipped = False
        # Whether an answer has been taken before, of which a copy may follow.
        self._has_answered = False
        # As stated by the last answer.
        self._idle_seconds = math.inf
        self._reusable_until = math.inf

    @property
    def started_ms(self) -> int | None:
        """Start time that the server process has reported; None if not known."""
        if self._started_ms is None:
            self._note_alive()
        if self._started_ms is None:
            self._started_ms = self._paths.processes.identify(
                self._address, self._opened_at, self._alive_at
            )
        return self._started_ms

    @property
    def opened_at(self) -> float:
        """When it was opened; seconds on this clock."""
        return self._opened_at

    def note_report(self, started_ms: int, asked_at: float) -> None:
        """Record the start time that the server has reported on this connection."""
        self._started_ms = started_ms
        self._paths.processes.note_report(
            self._address, self._opened_at, started_ms, asked_at
        )
        self._note_alive()

    def is_connected(self) -> bool:
        """Return whether the connection may be used again."""
        return super().is_connected() and clock.now() < self._reusable_until

    def expect(self, attempt: str) -> None:
        """Take the next answer for that of an attempt."""
        self._attempt = attempt

    def feed_data(self, data: bounded_http.Received, size: int = 0) -> None:
        """Take the head of the awaited answer, and skip other requests' answers."""
        message, body = data
        if self._exception is not None:
            # An answer behind the one that failed may be any request's.
            return
        if not bounded_http.is_final(message.code):
            super().feed_data(data, size)
            return
        answered = headers.answered_attempts(message.headers)
        if answered - {self._attempt}:
            self._skip(message, body)
            return
        if not answered and headers.is_not_executed(message.code, message.headers):
            if self._has_answered or self._has_skipped:
                self._fail(bounded_http.InvalidResponse("an answer without an id"))
                return
            # A late copy of it could not be distinguished from the next answer.
            self.force_close()
        elif message.code == headers.MISDIRECTED_STATUS:
            # The request goes on to another server, which may have the same address.
            self.force_close()
        elif message.headers.get(relays.OUTCOME) == relays.NOT_SENT:
            # The request may be sent to the same relay again.
            self.force_close()
        # The client library ignores how long the server keeps idle connections.
        self._idle_seconds = _read_idle_seconds(message.headers)
        self._reusable_until = math.inf
        self._has_answered = True
        super().feed_data(data, size)

    def _skip(
        self, message: aiohttp.http.RawResponseMessage, body: aiohttp.StreamReader
    ) -> None:
        """Drop a complete answer of another request; fail if it is not complete."""
        logs.event(
            "surplus_answer",
            address=self._address,
            id=self._attempt,
            status=message.code,
        )
        self._has_skipped = True
        self.force_close()
        if not body.is_eof():
            # The rest of it would have to be read before the awaited answer.
            self._fail(bounded_http.InvalidResponse("an answer of another request"))
            return
        # Otherwise reading from the connection would stay paused.
        body.read_nowait()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Record the server that this connects to."""
        peer = transport.get_extra_info("peername")
        if peer:
            self._address = f"{peer[0]}:{peer[1]}"
        self._opened_at = clock.now()
        self._paths.connected(self._address)
        super().connection_made(transport)
        self._note_alive()

    def data_received(self, data: bytes) -> None:
        """Record that the server was heard."""
        if data:
            self._paths.heard(self._address)
            self._note_alive()
        super().data_received(data)
        if self._idle_seconds < math.inf:
            self._reusable_until = clock.now() + self._idle_seconds

    def eof_received(self) -> None:
        """Record that an idle connection was closed: its server may have restarted."""
        if not self.should_close:
            self._paths.processes.note_broken(self._address)
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Record that the connection was reset."""
        if exc is not None:
            self._paths.processes.note_broken(self._address)
            self._paths.doubt(self._address, "connection lost")
        super().connection_lost(exc)

    def _note_alive(self) -> None:
        """Record that the connection is alive, and so its process, if it is."""
        if self.transport is None:
            return
        bound = self.transport.get_extra_info("socket")
        if bound is None or not sockets.is_established(bound):
            return
        self._alive_at = clock.now()
        self._started_ms = self._paths.processes.note_alive(
            self._address, self._opened_at, self._started_ms
        )


class _TimedRequest(bounded_http.BoundedRequest):
    """Request that states the time left when it is written, and adapts its socket.

    Opening a connection takes up to a third of a second, and longer on a busy machine.
    The server would work for that long after the caller has given up.
    """

    def __init__(self, *args: typing.Any, **options: typing.Any) -> None:
        super().__init__(*args, **options)
        self._formed_at = clock.now()

    async def send(self, conn: aiohttp.connector.Connection) -> aiohttp.ClientResponse:
        """Write the request to an open connection."""
        elapsed_ms = int((clock.now() - self._formed_at) * 1000)
        headers.shorten_deadline(self.headers, elapsed_ms)
        # A server may answer, or be paused, before it has read a long body.
        size = int(self.headers.get(aiohttp.hdrs.CONTENT_LENGTH, "0"))
        if isinstance(conn.protocol, ResponseHandler):
            conn.protocol.expect(self.headers.get(headers.ATTEMPT.decode(), ""))
        if conn.transport is not None:
            # On a connection that was lost meanwhile, sending fails and reports it.
            with contextlib.suppress(OSError):
                sockets.set_user_timeout(conn.transport.get_extra_info("socket"), size)
        return await super().send(conn)


class Dialer:
    """Opens the connections to backend servers.

    Parameters
    ----------
    observed : Paths
        Learns which servers are reached.
    """

    def __init__(self, observed: paths.Paths):
        self.create_socket = sockets.create
        self._paths = observed

    def create_session(self) -> aiohttp.ClientSession:
        """Return the session for proxied requests."""
        connector = bounded_http.create_connector(
            functools.partial(ResponseHandler, self._paths),
            keepalive_timeout=IDLE_TIMEOUT_SECONDS,
            socket_factory=self._create_socket,
        )
        session = bounded_http.create_session(
            connector,
            request_class=_TimedRequest,
            response_class=ServerResponse,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            trace_configs=[backends.tracing()],
            skip_auto_headers=(
                "User-Agent",
                "Accept",
                "Accept-Encoding",
                "Content-Type",
            ),
        )
        # By default aiohttp resends a GET when a kept-alive connection closes during
        # it. The server may have run it by then; only the gateway may retry.
        session._retry_connection = False
        return session

    async def probe(self, address: str) -> bool:
        """Open a connection to a server and close it; record whether that works.

        Returns
        -------
        bool
            Whether the server refused it. One that does not answer at all may be paused
            with a full accept queue, or behind a partition, and an error of this
            machine says nothing of it.
        """
        try:
            target = sockets.split_address(address)
            info = (socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP, "", target)
            with self._create_socket(info) as probing:
                probing.setblocking(False)
                async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                    await asyncio.get_running_loop().sock_connect(probing, target)
        except (OSError, ValueError) as error:
            # Also after the timeout.
            self._paths.failed(address)
            return isinstance(error, ConnectionRefusedError)
        self._paths.connected(address)
        return False

    def _create_socket(self, info: tuple[typing.Any, ...]) -> socket.socket:
        return self.create_socket(info)


def _read_idle_seconds(pairs: multidict.CIMultiDictProxy[str]) -> float:
    """Return for how long an idle connection is used again; infinity if not stated."""
    for item in pairs.get(aiohttp.hdrs.KEEP_ALIVE, "").split(","):
        name, _, seconds = item.strip().partition("=")
        if name.lower() == "timeout" and seconds.isdecimal():
            return int(seconds) * STATED_IDLE_SHARE
    return math.inf
