"""TCP options of connections to instances, servers and the platform.

A peer behind a partition sends neither data nor a reset. Without these options a
connection to it looks alive for a quarter of an hour, or for ever while it is idle.
"""

import asyncio
import fcntl
import re
import resource
import socket
import struct
import termios
import typing

# Probes of an idle connection. They continue until the user timeout, whatever their
# number: Linux ignores TCP_KEEPCNT on a socket that has a user timeout.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
# The kernel drops a connection whose data or probes have not been acknowledged for this
# long. Machines that stand still for a second or two are back before that.
USER_TIMEOUT_MS = 2500
# Linux counts it also against a peer that acknowledges every probe and reads nothing.
# Data of this size fits into the peer's buffers, whether it reads or not.
MAX_BUFFERED_BYTES = 32 * 1024
# State of a connection that neither end has closed or reset, first byte of `tcp_info`.
ESTABLISHED = 1
# State of one that the other end has reset.
CLOSED = 7
PORT = re.compile("[1-9][0-9]{0,4}")
MAX_PORT = 65535
MAX_HOST_CHARACTERS = 253
MAX_QUOTED_CHARACTERS = 100


def split_address(text: str) -> tuple[str, int]:
    """Return host and port of an address as host:port.

    A resolver may take a port that is out of range for another one.

    Raises
    ------
    ValueError
        When it has no host that a resolver would take, or no decimal port from 1 to
        65535 without leading zeros.
    """
    host, _, port = text.rpartition(":")
    is_host = 0 < len(host) <= MAX_HOST_CHARACTERS and host.isprintable()
    if not is_host or PORT.fullmatch(port) is None or int(port) > MAX_PORT:
        raise ValueError(f"no address: {text[:MAX_QUOTED_CHARACTERS]!r}")
    return host, int(port)


def set_timeouts(target: socket.socket) -> None:
    """Let the kernel drop a connection whose other end has become unreachable."""
    target.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    target.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    target.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS
    )
    target.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def set_user_timeout(target: socket.socket, size: int) -> None:
    """Set the user timeout for a message of ``size`` bytes; none for a long one."""
    timeout_ms = USER_TIMEOUT_MS if size <= MAX_BUFFERED_BYTES else 0
    set_exact_user_timeout(target, timeout_ms)


def set_exact_user_timeout(target: socket.socket, timeout_ms: int) -> None:
    """Set the user timeout in milliseconds."""
    target.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def reset_on_close(target: socket.socket) -> None:
    """Let the end of a connection be a reset, which drops what was not sent yet."""
    target.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def close_in_order(target: socket.socket) -> None:
    """Let the kernel send what it has when a connection is closed, and its end."""
    target.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 0, 0))


def is_established(target: socket.socket) -> bool:
    """Return whether the other end of a connection has neither closed nor reset it.

    Bytes that were received before its end may still be unread.
    """
    return _read_state(target) == ESTABLISHED


def is_reset(target: socket.socket) -> bool:
    """Return whether the other end has reset a connection, or it is not one any more.

    While a connection is not read, the event loop does not learn of it.
    """
    return _read_state(target) == CLOSED


def unacknowledged_bytes(target: socket.socket) -> int:
    """Return how many written bytes the other end's kernel has not acknowledged."""
    try:
        found = fcntl.ioctl(target.fileno(), termios.TIOCOUTQ, bytes(4))
    except OSError:
        return 0
    count: int = struct.unpack("i", found)[0]
    return count


def unsent_bytes(transport: asyncio.Transport) -> int:
    """Return how many written bytes the other end's kernel has not taken."""
    bound = transport.get_extra_info("socket")
    if bound is None:
        return 0
    buffered: int = transport.get_write_buffer_size()
    return buffered + unacknowledged_bytes(bound)


def _read_state(target: socket.socket) -> int:
    try:
        state: bytes = target.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except OSError:
        return CLOSED
    return state[0]


def descriptor_limit() -> int:
    """Return how many descriptors this process may open; 0 if that is not known."""
    try:
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    except OSError:
        return 0
    return max(soft, 0)


def create(info: tuple[typing.Any, ...]) -> socket.socket:
    """Return a socket for an outgoing connection; ``info`` is as of ``getaddrinfo``."""
    family, kind, protocol = info[:3]
    created = socket.socket(family=family, type=kind, proto=protocol)
    created.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    set_timeouts(created)
    return created
