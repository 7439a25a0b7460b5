"""Base class of the TCP servers that stand-ins and proxies run on loopback."""

import asyncio

from . import ports


class Listener:
    """A TCP server on a loopback port; closes its connections when it stops.

    Attributes
    ----------
    address : str
        Address of the last start as host:port.
    """

    def __init__(self) -> None:
        self.address = ""
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start to listen and set ``address``."""
        self.address = f"{ports.HOST}:{ports.free_port()}"
        await self.start_again()

    async def start_again(self) -> None:
        """Start to listen at ``address`` after a stop."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))

    async def stop(self) -> None:
        """Stop listening and close every connection."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection; the caller closes it when this returns."""
        raise NotImplementedError

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            await self._serve_connection(reader, writer)
        except asyncio.CancelledError:
            # Only `stop` cancels. asyncio's stream server would print the traceback
            # of a cancelled task, so the cancellation ends here.
            return
        finally:
            writer.close()
