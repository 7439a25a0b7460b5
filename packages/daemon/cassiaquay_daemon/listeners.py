"""HTTP servers as every listener of the daemon runs them."""

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
    """A server that leaves signals to the daemon."""

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
