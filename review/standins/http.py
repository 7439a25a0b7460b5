"""Reads and writes HTTP/1.1 messages on streams of asyncio."""

import asyncio
import socket
import struct
import typing

Headers = dict[str, str]


class Message(typing.NamedTuple):
    """One request or response.

    Attributes
    ----------
    first : str
        Request line or status line.
    headers : dict of str to str
        Headers, names in lower case.
    body : bytes
        The complete body.
    """

    first: str
    headers: Headers
    body: bytes

    @property
    def target(self) -> str:
        """Target of a request."""
        return self.first.split(" ")[1]

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.first.split(" ")[1])

    @property
    def attempt(self) -> str:
        """Id of the attempt, empty if there is none."""
        return self.headers.get("cassiaquay-attempt-id", "")


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers]:
    """Return the first line and the headers of a message."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader: asyncio.StreamReader, headers: Headers) -> bytes:
    """Return the body of a message with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", "0")))
    body = b""
    while True:
        line = await reader.readline()
        if not line.endswith(b"\n"):
            raise asyncio.IncompleteReadError(body, None)
        size = int(line.split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return body


async def read(reader: asyncio.StreamReader) -> Message:
    """Return one message."""
    first, headers = await read_head(reader)
    return Message(first, headers, await read_body(reader, headers))


def response(status: int, body: bytes, headers: Headers) -> bytes:
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


def request(method: str, target: str, body: bytes, headers: Headers) -> bytes:
    """Return the bytes of a request with a length."""
    lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, as the kernel of a machine does whose process has died."""
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, linger
    )
    writer.transport.abort()
