"""Partitions between instances: proxies before their peer ports that can be cut.

Each proxy reads the first frame of a connection, which names the dialling instance,
and passes bytes on while both are on the same side. Callers, back ends and the
platform are reached as before, which is what a partition between instances is.
"""

import asyncio

import msgpack

HELLO_INSTANCE = 2
READ_BYTES = 65536


class Proxy:
    """Stands before the peer port of one instance.

    Parameters
    ----------
    name : str
        The instance.
    owner : Partition
        Tells whom it may speak to.
    """

    def __init__(self, name: str, owner: "Partition"):
        self.address = ""
        self._name = name
        self._owner = owner
        self._target = ""
        self._server: asyncio.Server | None = None
        self._pairs: dict[tuple[asyncio.StreamWriter, asyncio.StreamWriter], str] = {}

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def join(self, target: str) -> str:
        """Pass connections on to ``target``; return the proxy's own address."""
        self._target = target
        return self.address

    def cut(self) -> None:
        """Close what crosses the partition."""
        for pair, source in list(self._pairs.items()):
            if self._owner.divides(source, self._name):
                for writer in pair:
                    writer.transport.abort()

    async def stop(self) -> None:
        """Close everything."""
        for pair in list(self._pairs):
            for writer in pair:
                writer.transport.abort()
        if self._server is not None:
            self._server.close()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        first = await reader.read(READ_BYTES)
        source = _source(first)
        if not self._target or self._owner.divides(source, self._name):
            writer.transport.abort()
            return
        host, _, port = self._target.rpartition(":")
        try:
            inward, outward = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        outward.write(first)
        pair = (writer, outward)
        self._pairs[pair] = source
        try:
            await asyncio.gather(_pass(reader, outward), _pass(inward, writer))
        finally:
            del self._pairs[pair]


class Partition:
    """Which instances are on the other side."""

    def __init__(self) -> None:
        self._proxies: dict[str, Proxy] = {}
        self._apart: set[str] = set()

    def proxy(self, name: str) -> Proxy:
        """Return the proxy of an instance."""
        return self._proxies[name]

    async def add(self, name: str) -> None:
        """Start the proxy of an instance; one that there is stays."""
        if name not in self._proxies:
            self._proxies[name] = Proxy(name, self)
            await self._proxies[name].start()

    def divides(self, one: str, other: str) -> bool:
        """Tell whether two instances cannot reach each other."""
        return (one in self._apart) != (other in self._apart)

    def split(self, apart: set[str]) -> None:
        """Cut ``apart`` off from the others; an empty set heals the partition."""
        self._apart = apart
        for proxy in self._proxies.values():
            proxy.cut()

    async def stop(self) -> None:
        """Stop all proxies."""
        for proxy in self._proxies.values():
            await proxy.stop()


async def _pass(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while data := await reader.read(READ_BYTES):
            writer.write(data)
            await writer.drain()
    except OSError:
        pass
    finally:
        writer.close()


def _source(first: bytes) -> str:
    unpacker = msgpack.Unpacker()
    unpacker.feed(first)
    try:
        return str(next(iter(unpacker))[HELLO_INSTANCE])
    except (ValueError, TypeError, IndexError, StopIteration):
        return ""
