"""A loopback proxy that delays, holds back, drops and resets connections.

Bytes that a cut holds back are delivered when it heals, as TCP would retransmit them:
a connection never loses bytes in the middle.
"""

import asyncio
import socket
import struct
import typing

from . import listening

READ_BYTES = 65536


class Direction:
    """One direction through a proxy, with a delay and a gate that can be closed."""

    def __init__(self) -> None:
        self.delay = 0.0
        self._open = asyncio.Event()
        self._open.set()

    def cut(self) -> None:
        """Hold back all bytes until `heal`."""
        self._open.clear()

    def heal(self) -> None:
        """Release the bytes that were held back."""
        self._open.set()

    async def wait_until_open(self) -> None:
        """Wait for the delay, and until the direction is not cut."""
        if self.delay:
            await asyncio.sleep(self.delay)
        await self._open.wait()


class Pair:
    """The two sides of one connection through a proxy.

    Parameters
    ----------
    source : str
        Name of the client if the proxy knows it, else its IP address.
    inner, outer : StreamWriter
        Writers to the client and to the target.
    """

    def __init__(
        self, source: str, inner: asyncio.StreamWriter, outer: asyncio.StreamWriter
    ):
        self.source = source
        self.silent = False
        self._writers = (inner, outer)

    def abort(self) -> None:
        """Close both sides at once."""
        for writer in self._writers:
            writer.transport.abort()

    def reset(self) -> None:
        """Reset both sides; a close in order would look like the end of an answer."""
        linger = struct.pack("ii", 1, 0)
        for writer in self._writers:
            if writer.is_closing():
                continue
            bound = writer.get_extra_info("socket")
            bound.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()


class Opening(typing.NamedTuple):
    """Bytes that a proxy read before it connected to the target, and their sender."""

    source: str = ""
    data: bytes = b""


class Proxy(listening.Listener):
    """A proxy before one listening address.

    Parameters
    ----------
    target : str
        host:port of the server; while it is empty, connections are reset.
    """

    def __init__(self, target: str):
        super().__init__()
        self.target = target
        self.refusing = False
        self.inward = Direction()
        self.outward = Direction()
        self._pairs: set[Pair] = set()

    def reset(self, source: str = "") -> None:
        """Reset all connections, or those of one client."""
        for pair in self._pairs_of(source):
            pair.reset()

    def silence(self, source: str = "") -> None:
        """Drop all further bytes of the connections that are open now."""
        for pair in self._pairs_of(source):
            pair.silent = True

    def heal(self) -> None:
        """End every fault, except for connections that are already silent."""
        self.refusing = False
        for direction in (self.inward, self.outward):
            direction.delay = 0.0
            direction.heal()

    def _note_arrival(self, data: bytes, direction: Direction) -> None:
        """Observe bytes as they arrive; does nothing unless overridden."""

    def _note_delivery(self, data: bytes, direction: Direction) -> None:
        """Observe bytes as they are passed on; does nothing unless overridden."""

    async def _wait_until_open(self, pair: Pair, direction: Direction) -> None:
        """Wait until bytes of a connection may be passed on."""
        await direction.wait_until_open()

    def _pairs_of(self, source: str) -> list[Pair]:
        return [pair for pair in self._pairs if source in ("", pair.source)]

    async def _admit(self, reader: asyncio.StreamReader) -> Opening | None:
        """Return the bytes read to identify the client; None refuses it."""
        return Opening()

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        opening = None if self.refusing else await self._admit(reader)
        if opening is None or not self.target:
            writer.transport.abort()
            return
        try:
            await self.inward.wait_until_open()
            host, _, port = self.target.rpartition(":")
            server_reader, server_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        server_writer.write(opening.data)
        source = opening.source or writer.get_extra_info("peername")[0]
        pair = Pair(source, writer, server_writer)
        self._pairs.add(pair)
        try:
            await asyncio.gather(
                self._pump(pair, reader, server_writer, self.inward),
                self._pump(pair, server_reader, writer, self.outward),
            )
        finally:
            self._pairs.discard(pair)
            pair.abort()

    async def _pump(
        self,
        pair: Pair,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: Direction,
    ) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                self._note_arrival(data, direction)
                await self._wait_until_open(pair, direction)
                if pair.silent:
                    continue
                if writer.is_closing():
                    return
                self._note_delivery(data, direction)
                writer.write(data)
                await writer.drain()
        except OSError:
            # One side reset its connection: reset the other side too.
            if not pair.silent:
                pair.reset()
            return
        await self._wait_until_open(pair, direction)
        if not pair.silent:
            writer.close()
