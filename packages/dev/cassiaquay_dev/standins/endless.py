"""Answers without end: a server in trouble sends bytes until its client closes.

Each kind is registered under the place in an answer at which the bytes do not end.
"""

import asyncio
import collections.abc
import typing

from cassiaquay_schema import registry

from . import raw_servers

BLOCK_BYTES = 64 * 1024
# Pause between two repeated parts of an answer that drips.
DRIP_SECONDS = 0.05
# Bounds one answer, for a client that does not close.
MAX_SECONDS = 60.0
MAX_BYTES = 4 * 1024**3
DECLARED_BYTES = 10**12


class Endless(typing.NamedTuple):
    """An answer without end.

    Attributes
    ----------
    start : bytes
        What is sent first.
    repeated : bytes
        What is sent again and again after it.
    """

    start: bytes
    repeated: bytes


# Forms the answer from the head lines that mark it as the server's own.
Former = collections.abc.Callable[[bytes], Endless]
endless: registry.Registry[Former] = registry.Registry("endless answer")

_OK = b"HTTP/1.1 200 OK\r\n"
_FAILURE = b"HTTP/1.1 500 X\r\n"
_CHUNKED = b"Transfer-Encoding: chunked\r\n"
_LENGTH = b"Content-Length: %d\r\n" % DECLARED_BYTES
_END_OF_HEAD = b"\r\n"
_TEXT = b"x" * 64


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


@endless.register("garbage")
def _garbage(lines: bytes) -> Endless:
    return Endless(b"", b"\x8f\x00\xff\r\n" * 16)


@endless.register("blank_lines")
def _blank_lines(lines: bytes) -> Endless:
    return Endless(b"", b"\r\n")


@endless.register("status_line")
def _status_line(lines: bytes) -> Endless:
    return Endless(b"HTTP/1.1 200 ", _TEXT)


@endless.register("header_name")
def _header_name(lines: bytes) -> Endless:
    return Endless(_OK + lines, _TEXT)


@endless.register("header")
def _header(lines: bytes) -> Endless:
    return Endless(_OK + lines + b"X-Long: ", _TEXT)


@endless.register("headers")
def _headers(lines: bytes) -> Endless:
    return Endless(_OK + lines, b"X-More: 1\r\n")


@endless.register("interim")
def _interim(lines: bytes) -> Endless:
    return Endless(b"", b"HTTP/1.1 100 Continue\r\n\r\n")


@endless.register("body")
def _body(lines: bytes) -> Endless:
    return Endless(_OK + lines + _CHUNKED + _END_OF_HEAD, _chunk(_TEXT * 16))


@endless.register("small_chunks")
def _small_chunks(lines: bytes) -> Endless:
    return Endless(_OK + lines + _CHUNKED + _END_OF_HEAD, _chunk(b"x"))


@endless.register("chunk_extension")
def _chunk_extension(lines: bytes) -> Endless:
    return Endless(_OK + lines + _CHUNKED + _END_OF_HEAD + b"5;a=", _TEXT)


@endless.register("trailer")
def _trailer(lines: bytes) -> Endless:
    return Endless(
        _OK + lines + _CHUNKED + _END_OF_HEAD + _chunk(b"x") + b"0\r\nX-Long: ", _TEXT
    )


@endless.register("trailers")
def _trailers(lines: bytes) -> Endless:
    start = _OK + lines + _CHUNKED + _END_OF_HEAD + _chunk(b"x") + b"0\r\n"
    return Endless(start, b"X-More: 1\r\n")


@endless.register("length")
def _length(lines: bytes) -> Endless:
    return Endless(_OK + lines + _LENGTH + _END_OF_HEAD, _TEXT)


@endless.register("unframed")
def _unframed(lines: bytes) -> Endless:
    return Endless(_OK + lines + _END_OF_HEAD, _TEXT)


@endless.register("failure")
def _failure(lines: bytes) -> Endless:
    return Endless(_FAILURE + lines + _CHUNKED + _END_OF_HEAD, _chunk(_TEXT))


@endless.register("failure_unframed")
def _failure_unframed(lines: bytes) -> Endless:
    return Endless(_FAILURE + lines + _END_OF_HEAD, _TEXT)


@endless.register("event")
def _event(lines: bytes) -> Endless:
    start = _OK + lines + _CHUNKED + _END_OF_HEAD + _chunk(b"id: 0\ndata: ")
    return Endless(start, _chunk(_TEXT))


@endless.register("comments")
def _comments(lines: bytes) -> Endless:
    return Endless(_OK + lines + _CHUNKED + _END_OF_HEAD, _chunk(b": wait\n\n"))


@endless.register("comment_lines")
def _comment_lines(lines: bytes) -> Endless:
    return Endless(_OK + lines + _CHUNKED + _END_OF_HEAD, _chunk(b": wait\n"))


@endless.register("blank_events")
def _blank_events(lines: bytes) -> Endless:
    return Endless(_OK + lines + _CHUNKED + _END_OF_HEAD, _chunk(b"\n\n"))


@endless.register("surplus")
def _surplus(lines: bytes) -> Endless:
    complete = _OK + lines + b"Content-Length: 2\r\n" + _END_OF_HEAD + b"ok"
    return Endless(complete, _TEXT)


@endless.register("surplus_answers")
def _surplus_answers(lines: bytes) -> Endless:
    complete = _OK + lines + b"Content-Length: 2\r\n" + _END_OF_HEAD + b"ok"
    return Endless(complete, _OK + b"Content-Length: 0\r\n\r\n")


class Allowance:
    """Bounds how fast several answers together flood, and how much they send.

    Parameters
    ----------
    rate : float
        Bytes per second.
    total : int
        Bytes after which the answers only drip.
    """

    def __init__(self, rate: float, total: int):
        self._rate = rate
        self._left = total
        self._free_at = 0.0

    async def take(self, count: int) -> bool:
        """Wait for the turn of ``count`` bytes; return False if they are too many."""
        if count > self._left:
            return False
        self._left -= count
        now = asyncio.get_running_loop().time()
        turn = max(self._free_at, now)
        self._free_at = turn + count / self._rate
        await asyncio.sleep(turn - now)
        return True


async def send(
    writer: raw_servers.Writer,
    kind: str,
    headers: dict[str, str],
    drips: bool = False,
    allowance: Allowance | None = None,
) -> None:
    """Send an answer without end, as fast as the client reads or drop by drop.

    See :func:`repeat`.
    """
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items()).encode()
    answer = endless.get(kind)(lines)
    writer.write(answer.start)
    await repeat(writer, answer.repeated, drips, allowance)


async def repeat(
    writer: raw_servers.Writer,
    repeated: bytes,
    drips: bool = False,
    allowance: Allowance | None = None,
) -> None:
    """Send bytes again and again, in blocks within ``allowance`` or drop by drop.

    Returns when the client closes the connection, or at MAX_SECONDS or MAX_BYTES.
    """
    block = repeated * (BLOCK_BYTES // len(repeated))
    sent = 0
    ends_at = asyncio.get_running_loop().time() + MAX_SECONDS
    while sent < MAX_BYTES and asyncio.get_running_loop().time() < ends_at:
        if not drips and allowance is not None:
            drips = not await allowance.take(len(block))
        if writer.is_closing():
            return
        part = repeated if drips else block
        writer.write(part)
        sent += len(part)
        await writer.drain()
        await asyncio.sleep(DRIP_SECONDS if drips else 0.0)
