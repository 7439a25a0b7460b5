"""A minimal HTTP/1.1 client for callers, which shows them the raw response bytes."""

import asyncio
import typing

from . import records

READ_BYTES = 64 * 1024


class Connection:
    """One connection of a caller to a daemon."""

    def __init__(
        self, address: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ):
        self.address = address
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, address: str, seconds: float) -> "Connection":
        """Open a connection within ``seconds``."""
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, int(port))
        return cls(address, reader, writer)

    @property
    def is_usable(self) -> bool:
        """Whether neither side has closed the connection."""
        return not (self._writer.is_closing() or self._reader.at_eof())

    async def read_unrequested(self) -> bytes:
        """Return the bytes that the daemon sent without a request."""
        try:
            async with asyncio.timeout(0.0):
                return await self._reader.read(1000)
        except (TimeoutError, OSError):
            return b""

    async def send(self, head: str, body: bytes) -> None:
        """Send the head and body of a request."""
        self._writer.write(head.encode() + body)
        await self._writer.drain()

    async def read(self, attempt: records.Attempt) -> bool:
        """Read the answer into an attempt; return whether the connection stays open."""
        head = await self._reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        for line in lines[1:]:
            name, _, value = line.partition(":")
            attempt.headers[name.lower()] = value.strip()
        attempt.status = int(lines[0].split(" ")[1])
        is_last = attempt.headers.get("connection", "").lower() == "close"
        if attempt.headers.get("transfer-encoding", "").lower() == "chunked":
            await self._read_chunks(attempt)
        elif "content-length" in attempt.headers or not is_last:
            length = int(attempt.headers["content-length"])
            attempt.answer = await self._reader.readexactly(length)
        else:
            attempt.is_marked = False
            await self._read_to_end(attempt)
        attempt.complete = True
        return not is_last

    async def _read_chunks(self, attempt: records.Attempt) -> None:
        received = bytearray()
        try:
            while True:
                line = await self._reader.readuntil(b"\r\n")
                size = int(line, 16)
                data = await self._reader.readexactly(size + 2)
                received += data[:-2]
                if not size:
                    return
        finally:
            attempt.answer = bytes(received)

    async def _read_to_end(self, attempt: records.Attempt) -> None:
        """Read an answer that ends with its connection; a reset is no end."""
        received = bytearray()
        try:
            while data := await self._reader.read(READ_BYTES):
                received += data
        finally:
            attempt.answer = bytes(received)

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


class Resolved(typing.NamedTuple):
    """Addresses of daemons, valid until the time ``until`` of `records.now`."""

    addresses: list[str]
    until: float


async def get(address: str, target: str, seconds: float) -> records.Attempt | None:
    """Send a GET to a daemon; return None unless it answers completely in time."""
    found = records.Attempt("", "get", target, "", b"")
    try:
        async with asyncio.timeout(seconds):
            connection = await Connection.open(address, seconds)
            try:
                head = f"GET {target} HTTP/1.1\r\nHost: {address}\r\n"
                await connection.send(f"{head}Connection: close\r\n\r\n", b"")
                await connection.read(found)
            finally:
                connection.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    return found
