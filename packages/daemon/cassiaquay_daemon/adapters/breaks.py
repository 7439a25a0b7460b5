"""Classifies why an answer was cut: closed connection, timeout or invalid bytes."""

import errno

import aiohttp

from .. import exceptions

# The kernel gives a connection up whose other end acknowledges nothing or that no route
# leads to. The server may live on: a crashed one closes or resets its connections.
UNREACHED_ERRORS = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH)


def is_unreached(error: BaseException) -> bool:
    """Return whether a connection ended because nothing came from its other end."""
    if isinstance(error, TimeoutError):
        return True
    return isinstance(error, OSError) and error.errno in UNREACHED_ERRORS


def to_stream_interrupted(error: Exception) -> exceptions.StreamInterrupted:
    """Return the StreamInterrupted for an error of the HTTP client."""
    if is_unreached(error):
        return exceptions.StreamInterrupted(repr(error))
    if isinstance(error, (aiohttp.ClientPayloadError, OSError)):
        return exceptions.ConnectionBroken(repr(error))
    if isinstance(error, aiohttp.ServerDisconnectedError):
        return exceptions.ConnectionBroken(repr(error))
    return exceptions.StreamInterrupted(repr(error))
