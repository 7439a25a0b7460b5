"""HTTP servers, configured alike for every listener of the daemon."""

import asyncio
import collections.abc
import contextlib
import logging
import typing

import uvicorn
from uvicorn.protocols.http import httptools_impl

Application = typing.Any
Protocol = collections.abc.Callable[..., asyncio.Protocol]
KEEP_ALIVE_SECONDS = 5

# The library logs a stack trace for each response that is aborted on purpose.
logging.getLogger("uvicorn.error").disabled = True


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
    protocol: Protocol = httptools_impl.HttpToolsProtocol,
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
