"""Timeouts of the kernel on connections to instances, servers and the platform."""

import asyncio
import socket

import gateway_fakes as fakes

from cassiaquay_daemon import sockets

OPTIONS = {
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE): 1,
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE): sockets.KEEPALIVE_IDLE_SECONDS,
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL): sockets.KEEPALIVE_INTERVAL_SECONDS,
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT): sockets.USER_TIMEOUT_MS,
}


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
