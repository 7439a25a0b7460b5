"""Opens the listening sockets before the daemon's modules are imported.

When all instances are killed and restart together, importing the modules takes most of
the startup time. Callers that connect meanwhile would be refused by every instance and
use up their retries within half a second. With a socket that listens from the beginning
they wait in its backlog until the process has started.

This module imports little, because each import delays the sockets.
"""

import contextlib
import pathlib
import socket
import tomllib

# Number of callers that may wait during one start.
BACKLOG = 1024
SETTINGS_FLAG = "--settings"
# Gateway settings whose values are addresses to listen on.
GATEWAY_KEYS = ("front", "ready", "directory", "relay")

_unclaimed: dict[str, socket.socket] = {}


def settings_path(arguments: list[str]) -> str:
    """Return the settings path of a command line ``cassiaquayd --settings PATH``.

    Empty for any other form; the command-line library parses those later.
    """
    if len(arguments) == 3 and arguments[1] == SETTINGS_FLAG:
        return arguments[2]
    return ""


def listen_all(path: str) -> None:
    """Listen on all addresses in a settings file.

    Errors are ignored here: the command reports an unreadable file, and :func:`take` an
    address that cannot be bound.
    """
    with contextlib.suppress(OSError, ValueError, AttributeError):
        for address in _addresses(pathlib.Path(path).read_text()):
            _unclaimed[address] = _bind(address)


def take(address: str) -> socket.socket:
    """Return the listening socket of an address; open one if there is none."""
    bound = _unclaimed.pop(address, None)
    return bound if bound is not None else _bind(address)


def close_unclaimed() -> None:
    """Close the sockets that were not taken, as callers there would never be served."""
    while _unclaimed:
        _unclaimed.popitem()[1].close()


def _addresses(text: str) -> list[str]:
    settings = tomllib.loads(text)
    gateway = settings.get("gateway", {})
    addresses = [settings.get("peer_listen")]
    for key in GATEWAY_KEYS:
        addresses.append(gateway.get(key))
    return [address for address in addresses if address]


def _bind(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    return socket.create_server((host, int(port)), backlog=BACKLOG)
