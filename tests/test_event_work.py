"""The work of one event of a stream, counted in operations."""

import asyncio
import collections.abc
import contextlib
import functools

import aiohttp

from cassiaquay_daemon import bounded_http

PART_COUNT = 20
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LARGE_BYTES = 4 * 1024 * 1024


Handler = collections.abc.Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], collections.abc.Awaitable[None]
]


@contextlib.asynccontextmanager
async def _asked(
    handler: Handler,
) -> collections.abc.AsyncIterator[aiohttp.ClientResponse]:
    """Yield the response of a server to one request."""
    server = await asyncio.start_server(handler, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    http = bounded_http.create_session(bounded_http.create_connector())
    url = f"http://{host}:{port}/"
    async with asyncio.timeout(10.0), server, http, http.get(url) as response:
        yield response


async def _send_parts(
    taken: asyncio.Event, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Send each part once the reader has taken the one before it."""
    await reader.readuntil(b"\r\n\r\n")
    writer.write(HEAD)
    for _ in range(PART_COUNT):
        writer.write(b"2\r\nok\r\n")
        await taken.wait()
        taken.clear()
    writer.write(b"0\r\n\r\n")


def test_a_part_that_is_read_causes_no_parse_without_bytes(monkeypatch) -> None:
    """Guards against a second run of the parser, without bytes, for each event."""
    sizes = []
    parse = bounded_http.BoundedHandler.data_received

    def count(self, data: bytes) -> None:
        sizes.append(len(data))
        parse(self, data)

    monkeypatch.setattr(bounded_http.BoundedHandler, "data_received", count)

    async def work() -> None:
        taken = asyncio.Event()
        async with _asked(functools.partial(_send_parts, taken)) as response:
            for _ in range(PART_COUNT):
                assert await response.content.read(1024) == b"ok"
                taken.set()
            assert await response.content.read(1024) == b""

    asyncio.run(work())
    assert len(sizes) >= PART_COUNT
    assert 0 not in sizes


def test_a_body_that_pauses_its_connection_is_read_to_its_end() -> None:
    """Guards against a connection that stays paused when its body is read on."""

    async def send_large(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LARGE_BYTES)
        writer.write(b"x" * LARGE_BYTES)

    async def work() -> None:
        async with _asked(send_large) as response:
            while not response.connection.protocol._reading_paused:
                await asyncio.sleep(0.01)
            read_bytes = 0
            while data := await response.content.read(65536):
                read_bytes += len(data)
        assert read_bytes == LARGE_BYTES

    asyncio.run(work())
