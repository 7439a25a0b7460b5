"""Serve the stand-ins' applications on the loopback address."""

import asyncio
import collections.abc
import contextlib
import importlib
import logging
import signal
import socket
import typing

import uvicorn
from starlette import applications

HOST = "127.0.0.1"
BACKLOG = 2048
GRACEFUL_SECONDS = 1
START_POLL_SECONDS = 0.005
INCOMPLETE_RESPONSE_MESSAGE = "ASGI callable returned without completing response."


class StandIn(typing.Protocol):
    """An application with background tasks."""

    app: applications.Starlette

    def start(self) -> None:
        """Start the background tasks; called inside the event loop."""

    async def stop(self) -> None:
        """Stop the background tasks."""


class _Server(uvicorn.Server):
    """A server without signal handlers, so that several can share a process."""

    @contextlib.contextmanager
    def capture_signals(self) -> collections.abc.Iterator[None]:
        yield


def _accept_record(record: logging.LogRecord) -> bool:
    return INCOMPLETE_RESPONSE_MESSAGE not in record.getMessage()


class Served:
    """One stand-in and the server that listens for it.

    Parameters
    ----------
    stand_in : StandIn
        The stand-in to serve.
    port : int
        Port to listen on; 0 for an ephemeral one.
    """

    def __init__(self, stand_in: StandIn, port: int = 0) -> None:
        self._stand_in = stand_in
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((HOST, port))
        config = uvicorn.Config(
            stand_in.app,
            log_level="warning",
            access_log=False,
            lifespan="off",
            backlog=BACKLOG,
            timeout_graceful_shutdown=GRACEFUL_SECONDS,
        )
        # Connections that a fault cuts on purpose must not be logged as errors.
        logging.getLogger("uvicorn.error").addFilter(_accept_record)
        self._server = _Server(config)
        self._task: asyncio.Task[None] | None = None

    @property
    def address(self) -> str:
        """Listening address as host:port."""
        return f"{HOST}:{self._socket.getsockname()[1]}"

    async def start(self) -> None:
        """Start to listen; return when the server accepts connections."""
        self._stand_in.start()
        self._task = asyncio.create_task(self._server.serve(sockets=[self._socket]))
        while not self._server.started:
            if self._task.done():
                self._task.result()
                raise RuntimeError("the server ended before it listened")
            await asyncio.sleep(START_POLL_SECONDS)

    async def stop(self) -> None:
        """Close the connections and stop the background tasks."""
        self._server.should_exit = True
        if self._task is not None:
            await self._task
        await self._stand_in.stop()
        self._socket.close()


async def _serve(
    create: collections.abc.Callable[[], list[tuple[StandIn, int]]],
) -> None:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    served = [Served(stand_in, port) for stand_in, port in create()]
    for one in served:
        await one.start()
        print(f"ready address={one.address}", flush=True)
    await stop_requested.wait()
    await asyncio.gather(*(one.stop() for one in served))


def run(create: collections.abc.Callable[[], list[tuple[StandIn, int]]]) -> None:
    """Serve stand-ins until SIGTERM or SIGINT.

    Prints ``ready address=HOST:PORT`` for each, in order, when it listens.

    Parameters
    ----------
    create : callable
        Creates the stand-ins, each with its port; called inside the event loop.
    """
    try:
        factory = importlib.import_module("uvloop").new_event_loop
    except ImportError:
        factory = asyncio.new_event_loop
    with asyncio.Runner(loop_factory=factory) as runner:
        runner.run(_serve(create))
