"""Cuts the path from one daemon of a site to all backend servers."""

import collections.abc
import contextlib
import errno
import os
import socket
import typing

import gateway_fakes as fakes

# Listening sockets whose queue of connections is full drop further attempts to
# connect, as a partition does.
FULL_QUEUE_CONNECTIONS = 3

Modes = typing.Literal["refused", "silent"]


class _Diverted(socket.socket):
    """A socket that connects to another address than it is told to."""

    target: tuple[str, int]

    def connect(self, address: typing.Any) -> None:
        """Connect to ``target``."""
        super().connect(self.target)


@contextlib.contextmanager
def _full_listener() -> collections.abc.Iterator[tuple[str, int]]:
    """Yield an address at which connections hang."""
    with contextlib.ExitStack() as stack:
        listening = stack.enter_context(socket.socket())
        listening.bind(("127.0.0.1", 0))
        listening.listen(0)
        address = listening.getsockname()
        for _ in range(FULL_QUEUE_CONNECTIONS):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect(address)
        yield address


@contextlib.contextmanager
def cut(
    site: fakes.Site,
    at: int,
    mode: Modes = "refused",
    keep_open: bool = False,
    servers: collections.abc.Collection[str] | None = None,
) -> collections.abc.Iterator[None]:
    """Cut one daemon off from the servers for the duration of the context.

    Parameters
    ----------
    site : Site
        The site.
    at : int
        Index of the daemon.
    mode : str
        What becomes of new connections.
    keep_open : bool
        Whether open connections live on; otherwise they are reset.
    servers : collection of str, optional
        Addresses of the servers; all by default.
    """
    dialer = site.gateway(at)._prober._dialer
    real_factory = dialer.create_socket
    with _full_listener() as target:

        def create(info: typing.Any) -> socket.socket:
            address = f"{info[4][0]}:{info[4][1]}"
            if address not in (servers or site.server_addresses()):
                return real_factory(info)
            if mode == "refused":
                code = errno.ECONNREFUSED
                raise OSError(code, os.strerror(code))
            diverted = _Diverted(info[0], info[1], info[2])
            diverted.target = target
            return diverted

        dialer.create_socket = create
        if not keep_open:
            site.reset_connections(at, servers)
        try:
            yield
        finally:
            dialer.create_socket = real_factory
