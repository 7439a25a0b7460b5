"""Servers that send without end and count what their clients let them send."""

import typing

from cassiaquay_dev.standins import endless, raw_servers


class CountingWriter:
    """A writer that counts the bytes written."""

    def __init__(self, writer: raw_servers.Writer) -> None:
        self.sent_bytes = 0
        self._writer = writer

    def __getattr__(self, name: str) -> typing.Any:
        return getattr(self._writer, name)

    def write(self, data: bytes) -> None:
        """Write and count."""
        self.sent_bytes += len(data)
        self._writer.write(data)


class Flood:
    """Sends answers without end of one kind.

    Attributes
    ----------
    kind : str
        Name in the registry of endless answers.
    drips : bool
        Whether the answers drip.
    """

    def __init__(self, kind: str, drips: bool = False) -> None:
        self.kind = kind
        self.drips = drips
        self._writers: list[CountingWriter] = []

    @property
    def count(self) -> int:
        """Number of answers begun."""
        return len(self._writers)

    @property
    def sent_bytes(self) -> int:
        """Bytes written on all connections."""
        return sum(writer.sent_bytes for writer in self._writers)

    async def send(self, writer: raw_servers.Writer, **headers: str) -> None:
        """Send one answer until the client closes."""
        counting = CountingWriter(writer)
        self._writers.append(counting)
        await endless.send(counting, self.kind, headers, self.drips)


class FloodServer(raw_servers.RawServer):
    """A server that answers each request without end."""

    def __init__(self, flood: Flood) -> None:
        super().__init__()
        self.flood = flood

    async def respond(
        self, request: raw_servers.Request, writer: raw_servers.Writer
    ) -> None:
        """Answer without end."""
        await self.flood.send(writer)
