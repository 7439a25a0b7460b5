"""Timeouts of the kernel on connections to instances, servers and the platform."""

import asyncio
import socket

import gateway_fakes as fakes

from cassiaquay_daemon import sockets
from cassiaquay_daemon.decisions import paths
from cassiaquay_daemon.gateway import connections

OPTIONS = {
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE): 1,
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE): sockets.KEEPALIVE_IDLE_SECONDS,
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL): sockets.KEEPALIVE_INTERVAL_SECONDS,
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT): sockets.USER_TIMEOUT_MS,
}

RECEIVE_BYTES = 65_536
LONG_BODY = b"x" * 1_000_000
# Longer than the user timeout.
UNREAD_SECONDS = 3.0


def _options(transport: asyncio.BaseTransport) -> dict[tuple[int, int], int]:
    sock = transport.get_extra_info("socket")
    return {name: sock.getsockopt(*name) for name in OPTIONS}


def test_dead_connections_are_dropped_by_the_kernel() -> None:
    """Guards against connections that look alive for minutes behind a partition."""

    async def work(site: fakes.Site) -> None:
        answer = await site.ask("/safe/x", "GET", b"")
        assert answer.status == 200
        transports = []
        for made in site.daemons:
            transports += [link._writer.transport for link in made._peers.open_links()]
            for session in (made._http, made._gateway._parts.forwarder._http):
                for pooled in session.connector._conns.values():
                    transports += [handler.transport for handler, _ in pooled]
        peers = {transport.get_extra_info("peername")[1] for transport in transports}
        ports = {int(engine.address.rpartition(":")[2]) for engine in site.engines}
        store = int(site.store.address.rpartition(":")[2])
        assert peers & ports, "a connection to a server is among them"
        assert store in peers
        assert any(made._peers.open_links() for made in site.daemons)
        for transport in transports:
            assert _options(transport) == OPTIONS

    fakes.run(work, 2)


async def _answer_before_reading(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Send a part of an answer, and the rest long before reading the body."""
    head = (await reader.readuntil(b"\r\n\r\n")).lower()
    size = int(head.partition(b"content-length: ")[2].partition(b"\r\n")[0])
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\npart")
    if size > sockets.MAX_BUFFERED_BYTES:
        await asyncio.sleep(UNREAD_SECONDS)
    await reader.readexactly(size)
    writer.write(b"rest")
    await writer.drain()


async def _serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while not reader.at_eof():
            await _answer_before_reading(reader, writer)
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()


def test_server_that_reads_a_long_body_late_is_not_given_up() -> None:
    """Guards against an answer that is cut while its server's kernel acknowledges."""

    async def work() -> None:
        listening = socket.create_server(("127.0.0.1", 0))
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        server = await asyncio.start_server(_serve, sock=listening, limit=1000)
        address = ":".join(map(str, listening.getsockname()))
        dialer = connections.Dialer(paths.Paths(lambda: {"plain": [address]}))
        async with dialer.create_session() as session:
            for body in (LONG_BODY, b"short"):
                async with session.post(f"http://{address}/", data=body) as response:
                    assert await response.read() == b"partrest"
            (pooled,) = session.connector._conns.values()
            # Both requests used one connection, and the second set its timeout again.
            ((handler, _),) = pooled
            assert _options(handler.transport) == OPTIONS
        server.close()

    asyncio.run(work())
