"""Network partitions between instances, made by proxies before their peer ports.

Each proxy reads the first frame of a connection, which names the dialling instance,
and forwards bytes while both instances are on the same side of the partition. The
connections to callers, backend servers and the platform are not affected.
"""

import asyncio

import msgpack

from . import proxies

HELLO_INSTANCE_INDEX = 2


class Proxy(proxies.Proxy):
    """Proxy before the peer port of one instance.

    Parameters
    ----------
    name : str
        Name of the instance.
    partition : Partition
        Decides which instances may connect.
    """

    def __init__(self, name: str, partition: "Partition"):
        super().__init__("")
        self._name = name
        self._partition = partition

    def forward_to(self, target: str) -> str:
        """Forward connections to ``target``; return the proxy's own address."""
        self.target = target
        return self.address

    def reset_separated(self) -> None:
        """Reset the connections that cross the partition."""
        for pair in self._pairs:
            if self._partition.separates(pair.source, self._name):
                pair.reset()

    async def _admit(self, reader: asyncio.StreamReader) -> proxies.Opening | None:
        first = await reader.read(proxies.READ_BYTES)
        source = source_instance(first)
        if self._partition.separates(source, self._name):
            return None
        return proxies.Opening(source, first)


class Partition:
    """The proxies of all instances, and the set of instances that are cut off."""

    def __init__(self) -> None:
        self._proxies: dict[str, Proxy] = {}
        self._separated: set[str] = set()

    def proxy(self, name: str) -> Proxy:
        """Return the proxy of an instance."""
        return self._proxies[name]

    async def add(self, name: str) -> None:
        """Start the proxy of an instance, unless it has one."""
        if name not in self._proxies:
            self._proxies[name] = Proxy(name, self)
            await self._proxies[name].start()

    def separates(self, one: str, other: str) -> bool:
        """Return whether the partition separates two instances."""
        return (one in self._separated) != (other in self._separated)

    def split(self, apart: set[str]) -> None:
        """Separate ``apart`` from the other instances; an empty set heals."""
        self._separated = apart
        for proxy in self._proxies.values():
            proxy.reset_separated()

    async def stop(self) -> None:
        """Stop all proxies."""
        for proxy in self._proxies.values():
            await proxy.stop()


def source_instance(first: bytes) -> str:
    """Return the name of the instance that sent a first frame; empty if it has none."""
    unpacker = msgpack.Unpacker()
    unpacker.feed(first)
    try:
        return str(next(iter(unpacker))[HELLO_INSTANCE_INDEX])
    except (ValueError, TypeError, IndexError, StopIteration):
        return ""
