"""HTTP servers, configured alike for every listener of the daemon."""

import asyncio
import collections.abc
import contextlib
import logging
import typing

import uvicorn
from uvicorn.protocols.http import httptools_impl

from . import logs

Application = typing.Any
Protocol = collections.abc.Callable[..., asyncio.Protocol]
KEEP_ALIVE_SECONDS = 5
# Bytes of a head, or of chunk extensions and trailers, without a byte of body. Above
# any limit of operators; the library's parser has none.
MAX_HEAD_BYTES = 256 * 1024
HEAD_TOO_LARGE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"content-length: 0\r\nconnection: close\r\n\r\n"
)

# The library logs a stack trace for each response that is aborted on purpose.
logging.getLogger("uvicorn.error").disabled = True


class Connection(httptools_impl.HttpToolsProtocol):
    """A connection that is closed when a head on it does not end."""

    def __init__(self, *args: typing.Any, **options: typing.Any):
        super().__init__(*args, **options)
        self._head_bytes = 0
        self._has_progressed = False

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        self._has_progressed = False
        super().data_received(data)
        if self._has_progressed:
            self._head_bytes = 0
            return
        self._head_bytes += len(data)
        if self._head_bytes > MAX_HEAD_BYTES and not self.transport.is_closing():
            self._refuse()

    def on_headers_complete(self) -> None:
        """Start a request."""
        self._has_progressed = True
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Pass a part of a request's body on."""
        self._has_progressed = True
        super().on_body(body)

    def on_response_complete(self) -> None:
        """Start the next pipelined request; read more only when none is left."""
        super().on_response_complete()
        if self.pipeline:
            # The library resumes with each response, however many requests wait.
            self.flow.pause_reading()

    def _refuse(self) -> None:
        logs.event("head_too_large", bytes=self._head_bytes)
        if self.cycle is None or self.cycle.response_complete:
            self.transport.write(HEAD_TOO_LARGE)
        self.transport.close()


class _Server(uvicorn.Server):
    """A server without signal handlers, whose main loop waits for an exit event.

    The library's main loop polls for the exit ten times a second, which for four idle
    listeners was a fifth of all wake-ups of an idle daemon.
    """

    def __init__(self, config: uvicorn.Config):
        self._exit = asyncio.Event()
        super().__init__(config)

    @property
    def should_exit(self) -> bool:
        """Whether the server has been asked to exit."""
        return self._exit.is_set()

    @should_exit.setter
    def should_exit(self, value: bool) -> None:
        if value:
            self._exit.set()

    async def main_loop(self) -> None:
        """Wait until the server is asked to exit."""
        await self.on_tick(0)
        await self._exit.wait()

    @contextlib.contextmanager
    def capture_signals(self) -> collections.abc.Iterator[None]:
        """Leave signal handling to the daemon."""
        yield


def server(
    application: Application,
    idle_seconds: int = KEEP_ALIVE_SECONDS,
    protocol: Protocol = Connection,
) -> uvicorn.Server:
    """Return a server for an ASGI application; its sockets are passed to ``serve``.

    Parameters
    ----------
    application
        The ASGI application.
    idle_seconds : int
        How long an idle keep-alive connection stays open.
    protocol : callable
        Returns the protocol of a new connection.
    """
    config = uvicorn.Config(
        application,
        log_config=None,
        access_log=False,
        lifespan="off",
        # The library calls it as it would call a class.
        http=typing.cast(type[asyncio.Protocol], protocol),
        ws="none",
        server_header=False,
        date_header=False,
        timeout_keep_alive=idle_seconds,
    )
    return _Server(config)


def has_unsent_bytes(listening: uvicorn.Server) -> bool:
    """Return whether bytes wait for the reader of any connection of a server."""
    for connection in listening.server_state.connections:
        if connection.transport.get_write_buffer_size():
            return True
    return False
