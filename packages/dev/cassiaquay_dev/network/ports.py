"""Ports for processes that must be able to bind them again after a restart."""

import collections.abc
import random
import socket

# Below the kernel's ephemeral port range: an outgoing connection could take a port of
# that range while a process is down.
PORT_RANGE = (10_000, 30_000)


def free_ports() -> collections.abc.Iterator[int]:
    """Yield ports without a listener in random order, each once."""
    generator = random.SystemRandom()
    for port in generator.sample(range(*PORT_RANGE), PORT_RANGE[1] - PORT_RANGE[0]):
        try:
            with socket.create_server(("127.0.0.1", port)):
                pass
        except OSError:
            continue
        yield port


_unused = free_ports()


def free_port() -> int:
    """Return a port without a listener that this process has not returned before."""
    return next(_unused)
