"""Ports for processes that must find them free when they start again."""

import collections.abc
import random
import socket

# Below the ports that the kernel gives to outgoing connections: one of those may be
# taken while a process is down.
PORTS = (10_000, 30_000)


def free_ports() -> collections.abc.Iterator[int]:
    """Yield ports that nobody listens on, each once."""
    chance = random.SystemRandom()
    for port in chance.sample(range(*PORTS), PORTS[1] - PORTS[0]):
        try:
            with socket.create_server(("127.0.0.1", port)):
                pass
        except OSError:
            continue
        yield port


def free_port() -> int:
    """Return a port that nobody listens on."""
    return next(free_ports())
