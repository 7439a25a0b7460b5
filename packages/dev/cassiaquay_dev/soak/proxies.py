"""A loopback proxy that delays, holds, silences and resets connections.

What a cut holds back is delivered when it heals, as TCP would send it again; bytes in
the middle of a connection are never lost.
"""

import asyncio

READ_BYTES = 65536


class Direction:
    """One way through a proxy."""

    def __init__(self) -> None:
        self.delay = 0.0
        self._open = asyncio.Event()
        self._open.set()

    def cut(self) -> None:
        """Hold everything back."""
        self._open.clear()

    def heal(self) -> None:
        """Let it pass again."""
        self._open.set()

    async def passed(self) -> None:
        """Wait as long as the bytes need."""
        if self.delay:
            await asyncio.sleep(self.delay)
        await self._open.wait()


class _Pair:
    """One connection through the proxy."""

    def __init__(self, inner: asyncio.StreamWriter, outer: asyncio.StreamWriter):
        self.silent = False
        self._writers = (inner, outer)

    def abort(self) -> None:
        """Reset both sides."""
        for writer in self._writers:
            writer.transport.abort()


class Proxy:
    """Stands before one listening address.

    Parameters
    ----------
    target : str
        host:port that it passes on to.
    """

    def __init__(self, target: str):
        self.target = target
        self.address = ""
        self.refusing = False
        self.inward = Direction()
        self.outward = Direction()
        self._pairs: set[_Pair] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """Close everything."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset(self) -> None:
        """Reset all connections."""
        for pair in self._pairs:
            pair.abort()

    def silence(self) -> None:
        """Let nothing more pass on the connections that are open now."""
        for pair in self._pairs:
            pair.silent = True

    def heal(self) -> None:
        """End every fault but the silence of single connections."""
        self.refusing = False
        for direction in (self.inward, self.outward):
            direction.delay = 0.0
            direction.heal()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        if self.refusing:
            writer.transport.abort()
            return
        try:
            await self.inward.passed()
            host, _, port = self.target.rpartition(":")
            back, forth = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        pair = _Pair(writer, forth)
        self._pairs.add(pair)
        try:
            await asyncio.gather(
                self._pump(pair, reader, forth, self.inward),
                self._pump(pair, back, writer, self.outward),
            )
        except asyncio.CancelledError:
            # Only `stop` cancels; a stream server prints a cancelled task's traceback.
            return
        finally:
            self._pairs.discard(pair)
            pair.abort()

    async def _pump(
        self,
        pair: _Pair,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: Direction,
    ) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                await direction.passed()
                if pair.silent:
                    continue
                if writer.is_closing():
                    return
                writer.write(data)
                await writer.drain()
        except OSError:
            # The other end has reset it: the reset goes on to this one.
            if not pair.silent:
                pair.abort()
            return
        await direction.passed()
        if not pair.silent:
            writer.close()
