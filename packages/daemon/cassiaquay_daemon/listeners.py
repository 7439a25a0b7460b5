"""HTTP servers, configured alike for every listener of the daemon."""

import asyncio
import collections
import collections.abc
import contextlib
import functools
import logging
import typing

import uvicorn

from . import clock, connection_room, http_connections, logs

Application = typing.Any
Protocol = collections.abc.Callable[..., asyncio.Protocol]
KEEP_ALIVE_SECONDS = 5
CHECK_SECONDS = 1.0

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


class Watch:
    """Closes the connections of slow clients, and logs what clients were refused.

    Parameters
    ----------
    room : Room
        The connections of the process.
    """

    def __init__(self, room: connection_room.Room):
        self._room = room
        self._checked_at = clock.now()
        self._logged: collections.Counter[str] = collections.Counter()

    def check(self, lag: float) -> None:
        """Check all connections, if it is time to.

        Parameters
        ----------
        lag : float
            Seconds by which the event loop is late. What clients have sent meanwhile
            may not have been read yet.
        """
        now = clock.now()
        if now - self._checked_at < CHECK_SECONDS:
            return
        self._checked_at = now
        if lag < CHECK_SECONDS:
            self._room.check(asyncio.get_running_loop().time())
        new_counts = self._room.counts - self._logged
        if new_counts:
            self._logged = self._room.counts.copy()
            logs.event("clients_refused", **new_counts)


def server(
    application: Application,
    room: connection_room.Room,
    idle_seconds: int = KEEP_ALIVE_SECONDS,
    protocol: Protocol = http_connections.Connection,
) -> uvicorn.Server:
    """Return a server for an ASGI application; its sockets are passed to ``serve``.

    Parameters
    ----------
    application
        The ASGI application.
    room : Room
        Bounds what all connections of the process hold.
    idle_seconds : int
        How long an idle keep-alive connection stays open; `BY_LIMITS` for as long as
        the operators' limits say.
    protocol : callable
        Returns the protocol of a new connection.
    """
    config = uvicorn.Config(
        application,
        log_config=None,
        access_log=False,
        lifespan="off",
        # The library calls it as it would call a class.
        http=typing.cast(
            type[asyncio.Protocol],
            functools.partial(protocol, room=room, idle_seconds=idle_seconds),
        ),
        ws="none",
        server_header=False,
        date_header=False,
    )
    return _Server(config)


def has_unsent_bytes(listening: uvicorn.Server) -> bool:
    """Return whether bytes wait for the reader of any connection of a server."""
    for connection in listening.server_state.connections:
        if connection.transport.get_write_buffer_size():
            return True
    return False
