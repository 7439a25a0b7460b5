"""Outgoing connections that are refused or hang, as seen by one process.

Faults of a whole server are made before it (proxies). A process that cannot reach a
server which others reach has to fail at its own end.
"""

import collections.abc
import contextlib
import errno
import os
import socket
import typing

# A listening socket whose queue is full drops further attempts to connect, as a
# partition does.
FULL_QUEUE_CONNECTIONS = 3

Mode = typing.Literal["refused", "silent"]
Address = tuple[str, int]
Create = collections.abc.Callable[[tuple[typing.Any, ...]], socket.socket]


class Cut(typing.NamedTuple):
    """Servers that cannot be connected to.

    Attributes
    ----------
    mode : str
        Whether connections are refused or hang.
    servers : collection of str
        Their addresses, host:port.
    hole : pair
        Address at which connections hang; see :func:`hole`.
    """

    mode: Mode
    servers: collections.abc.Collection[str]
    hole: Address


class _Diverted(socket.socket):
    """A socket that connects to another address than it is told to."""

    target: Address

    def connect(self, address: typing.Any) -> None:
        """Connect to ``target``."""
        super().connect(self.target)


@contextlib.contextmanager
def hole() -> collections.abc.Iterator[Address]:
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


def create(info: tuple[typing.Any, ...], cut: Cut, usual: Create) -> socket.socket:
    """Return a socket for an address; one of ``usual`` unless it is cut off."""
    address = f"{info[4][0]}:{info[4][1]}"
    if address not in cut.servers:
        return usual(info)
    if cut.mode == "refused":
        raise OSError(errno.ECONNREFUSED, os.strerror(errno.ECONNREFUSED))
    diverted = _Diverted(*info[:3])
    diverted.target = cut.hole
    return diverted
