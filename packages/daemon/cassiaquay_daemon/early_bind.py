"""Listening sockets that are there before the modules are loaded.

Load pattern: all instances are killed at once and start again together. Loading the
modules takes most of a start; callers that connect meanwhile would be refused by every
instance, use up their retries within half a second and go away. A socket that listens
from the first moment lets them wait for the little that is left of the start.

Imports little on purpose: what is imported here delays the sockets.
"""

import contextlib
import pathlib
import socket
import tomllib

# Callers that may wait for one start.
BACKLOG = 1024
SETTINGS_FLAG = "--settings"
# Where settings name addresses that callers and other instances connect to.
GATEWAY_KEYS = ("front", "ready", "directory")

_held: dict[str, socket.socket] = {}


def settings_path(arguments: list[str]) -> str:
    """Return the settings file of a command line as service managers write it.

    Empty for any other; the command line's library understands more.
    """
    if len(arguments) == 3 and arguments[1] == SETTINGS_FLAG:
        return arguments[2]
    return ""


def listen_all(path: str) -> None:
    """Listen on all addresses that a settings file names.

    A file that cannot be read is left for the command to complain about, and an address
    that cannot be bound for whoever asks for its socket.
    """
    with contextlib.suppress(OSError, ValueError, AttributeError):
        for address in _addresses(pathlib.Path(path).read_text()):
            _held[address] = _bind(address)


def take(address: str) -> socket.socket:
    """Return the listening socket of an address, a new one when there is none."""
    bound = _held.pop(address, None)
    return bound if bound is not None else _bind(address)


def close_unclaimed() -> None:
    """Close the sockets that nobody took: callers there would wait for nothing."""
    while _held:
        _held.popitem()[1].close()


def _addresses(text: str) -> list[str]:
    settings = tomllib.loads(text)
    gateway = settings.get("gateway", {})
    found = [settings.get("peer_listen")]
    for key in GATEWAY_KEYS:
        found.append(gateway.get(key))
    return [address for address in found if address]


def _bind(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    return socket.create_server((host, int(port)), backlog=BACKLOG)
