"""The proxy before a daemon's peer port, which can cut off single daemons."""

import asyncio
import collections

from ..network import partition, proxies


class PeerProxy(proxies.Proxy):
    """Proxy that knows which daemon has opened a connection.

    Parameters
    ----------
    target : str
        host:port of the peer port.
    """

    def __init__(self, target: str):
        super().__init__(target)
        # What daemons send here, and what they get, by their names.
        self.sent_by: dict[str, proxies.Direction]
        self.sent_by = collections.defaultdict(proxies.Direction)
        self.sent_to: dict[str, proxies.Direction]
        self.sent_to = collections.defaultdict(proxies.Direction)

    async def _admit(self, reader: asyncio.StreamReader) -> proxies.Opening | None:
        first = await reader.read(proxies.READ_BYTES)
        source = partition.source_instance(first)
        await self.sent_by[source].wait_until_open()
        return proxies.Opening(source, first)

    async def _wait_until_open(
        self, pair: proxies.Pair, direction: proxies.Direction
    ) -> None:
        await super()._wait_until_open(pair, direction)
        gates = self.sent_by if direction is self.inward else self.sent_to
        await gates[pair.source].wait_until_open()
