"""HTTP servers that write raw response bytes, so that tests can send invalid ones."""

import asyncio
import collections.abc
import socket
import struct
import typing

from ..network import listening


class Request(typing.NamedTuple):
    """One request as received by a backend server or the store."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def attempt(self) -> str:
        """The attempt id, chosen by the caller; empty if the header is missing."""
        return self.headers.get("cassiaquay-attempt-id", "")


Writer = asyncio.StreamWriter
Respond = collections.abc.Callable[[Request, Writer], collections.abc.Awaitable[None]]


class RawServer(listening.Listener):
    """An HTTP server whose subclasses write raw response bytes.

    ``aborted_attempts`` lists the attempt ids of requests whose connection the client
    closed before the answer was complete.
    """

    def __init__(self) -> None:
        super().__init__()
        self.requests: list[Request] = []
        self.aborted_attempts: list[str] = []

    async def respond(self, request: Request, writer: Writer) -> None:
        """Answer one request."""
        raise NotImplementedError

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: Writer
    ) -> None:
        try:
            while not writer.is_closing():
                request = await _read_request(reader)
                if request is None or not await self._answer_unless_closed(
                    request, reader, writer
                ):
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            return

    async def _answer_unless_closed(
        self, request: Request, reader: asyncio.StreamReader, writer: Writer
    ) -> bool:
        """Answer one request; return whether the connection stays open."""
        self.requests.append(request)
        answer_task = asyncio.create_task(self.respond(request, writer))
        read_task = asyncio.create_task(reader.read(1))
        try:
            done, _ = await asyncio.wait(
                [answer_task, read_task], return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            for task in (answer_task, read_task):
                task.cancel()
            answer_result, early_bytes = await asyncio.gather(
                answer_task, read_task, return_exceptions=True
            )
        if answer_task not in done:
            self.aborted_attempts.append(request.attempt)
            return False
        if isinstance(answer_result, BaseException):
            # uvloop raises RuntimeError where asyncio raises ConnectionError.
            if not isinstance(answer_result, (ConnectionError, RuntimeError)):
                raise answer_result
            return False
        if isinstance(early_bytes, bytes) and early_bytes:
            raise AssertionError("bytes between requests")
        return True


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


def write_head(writer: Writer, headers: dict[str, str], status: int = 200) -> None:
    """Write the head of a response."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    writer.write(f"HTTP/1.1 {status} X\r\n{lines}\r\n".encode())


async def send(
    writer: Writer, status: int, body: bytes, headers: dict[str, str]
) -> None:
    """Write a response with a content length."""
    write_head(writer, {"Content-Length": str(len(body))} | headers, status)
    writer.write(body)
    await writer.drain()


def reset(writer: Writer) -> None:
    """Reset a connection, as the machine of a crashed server does."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
