"""A loopback proxy that delays, holds, silences and resets connections.

What a cut holds back is delivered when it heals, as TCP would send it again; bytes in
the middle of a connection are never lost.
"""

import asyncio
import typing

from . import listening

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


class Pair:
    """One connection through a proxy.

    Parameters
    ----------
    source : str
        Who opened it, where the proxy knows.
    inner, outer : StreamWriter
        Its two sides.
    """

    def __init__(
        self, source: str, inner: asyncio.StreamWriter, outer: asyncio.StreamWriter
    ):
        self.source = source
        self.silent = False
        self._writers = (inner, outer)

    def abort(self) -> None:
        """Reset both sides."""
        for writer in self._writers:
            writer.transport.abort()


class Opening(typing.NamedTuple):
    """What a proxy read of a connection before it passed it on."""

    source: str = ""
    data: bytes = b""


class Proxy(listening.Listener):
    """Stands before one listening address.

    Parameters
    ----------
    target : str
        host:port that it passes on to; nothing is passed on while it is empty.
    """

    def __init__(self, target: str):
        super().__init__()
        self.target = target
        self.refusing = False
        self.inward = Direction()
        self.outward = Direction()
        self._pairs: set[Pair] = set()

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

    async def _admit(self, reader: asyncio.StreamReader) -> Opening | None:
        """Return what was read to let a connection pass; None refuses it."""
        return Opening()

    async def _connected(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        opening = None if self.refusing else await self._admit(reader)
        if opening is None or not self.target:
            writer.transport.abort()
            return
        try:
            await self.inward.passed()
            host, _, port = self.target.rpartition(":")
            back, forth = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        forth.write(opening.data)
        pair = Pair(opening.source, writer, forth)
        self._pairs.add(pair)
        try:
            await asyncio.gather(
                self._pump(pair, reader, forth, self.inward),
                self._pump(pair, back, writer, self.outward),
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
