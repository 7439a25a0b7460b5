"""HTTP servers as every listener of the daemon runs them."""

import asyncio
import collections.abc
import contextlib
import logging
import typing

import uvicorn

Application = typing.Any
KEEP_ALIVE_SECONDS = 5

# The library reports with a stack trace each answer that is broken off on purpose.
logging.getLogger("uvicorn.error").disabled = True


class _Server(uvicorn.Server):
    """A server that leaves signals to the daemon and sleeps until it is told to end.

    The library's own loop looks ten times a second whether it should end. Four idle
    listeners took a fifth of all wake-ups of an idle daemon.
    """

    def __init__(self, config: uvicorn.Config):
        self._exit = asyncio.Event()
        super().__init__(config)

    @property
    def should_exit(self) -> bool:
        """Whether it has been told to end."""
        return self._exit.is_set()

    @should_exit.setter
    def should_exit(self, value: bool) -> None:
        if value:
            self._exit.set()

    async def main_loop(self) -> None:
        """Serve until told to end."""
        await self.on_tick(0)
        await self._exit.wait()

    @contextlib.contextmanager
    def capture_signals(self) -> collections.abc.Iterator[None]:
        """Capture none."""
        yield


def server(
    application: Application, idle_seconds: int = KEEP_ALIVE_SECONDS
) -> uvicorn.Server:
    """Return a server for an ASGI application; it listens once given sockets.

    Parameters
    ----------
    application
        The ASGI application.
    idle_seconds : int
        How long a connection without a request is kept.
    """
    config = uvicorn.Config(
        application,
        log_config=None,
        access_log=False,
        lifespan="off",
        http="httptools",
        ws="none",
        server_header=False,
        date_header=False,
        timeout_keep_alive=idle_seconds,
    )
    return _Server(config)
