"""Cuts the path from one daemon of a site to all backend servers."""

import collections.abc
import contextlib
import socket
import typing

import gateway_fakes as fakes

from cassiaquay_dev.network import cuts


@contextlib.contextmanager
def cut(
    site: fakes.Site,
    at: int,
    mode: cuts.Mode = "refused",
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
    addresses = site.server_addresses() if servers is None else servers
    dialer = site.gateway(at)._prober._dialer
    usual = dialer.create_socket
    with cuts.hole() as hole:
        made = cuts.Cut(mode, addresses, hole)

        def create(info: tuple[typing.Any, ...]) -> socket.socket:
            return cuts.create(info, made, usual)

        dialer.create_socket = create
        if not keep_open:
            site.reset_connections(at, addresses)
        try:
            yield
        finally:
            dialer.create_socket = usual
