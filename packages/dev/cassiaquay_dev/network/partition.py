"""Partitions between instances: proxies before their peer ports that can be cut.

Each proxy reads the first frame of a connection, which names the dialling instance,
and passes bytes on while both are on the same side. Callers, back ends and the
platform are reached as before, which is what a partition between instances is.
"""

import asyncio

import msgpack

from . import proxies

HELLO_INSTANCE = 2


class Proxy(proxies.Proxy):
    """Stands before the peer port of one instance.

    Parameters
    ----------
    name : str
        The instance.
    owner : Partition
        Tells whom it may speak to.
    """

    def __init__(self, name: str, owner: "Partition"):
        super().__init__("")
        self._name = name
        self._owner = owner

    def join(self, target: str) -> str:
        """Pass connections on to ``target``; return the proxy's own address."""
        self.target = target
        return self.address

    def cut(self) -> None:
        """Close what crosses the partition."""
        for pair in self._pairs:
            if self._owner.divides(pair.source, self._name):
                pair.abort()

    async def _admit(self, reader: asyncio.StreamReader) -> proxies.Opening | None:
        first = await reader.read(proxies.READ_BYTES)
        source = _source(first)
        if self._owner.divides(source, self._name):
            return None
        return proxies.Opening(source, first)


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


def _source(first: bytes) -> str:
    unpacker = msgpack.Unpacker()
    unpacker.feed(first)
    try:
        return str(next(iter(unpacker))[HELLO_INSTANCE])
    except (ValueError, TypeError, IndexError, StopIteration):
        return ""
