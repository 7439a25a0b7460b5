"""Classifies why an answer was cut: closed connection, timeout or invalid bytes."""

import errno

import aiohttp

from .. import exceptions


def to_stream_interrupted(error: Exception) -> exceptions.StreamInterrupted:
    """Return the StreamInterrupted for an error of the HTTP client."""
    if isinstance(error, TimeoutError):
        return exceptions.StreamInterrupted(repr(error))
    if isinstance(error, OSError) and error.errno == errno.ETIMEDOUT:
        # The kernel has given the connection up; a crashed server would have closed it.
        return exceptions.StreamInterrupted(repr(error))
    if isinstance(error, (aiohttp.ClientPayloadError, OSError)):
        return exceptions.ConnectionBroken(repr(error))
    if isinstance(error, aiohttp.ServerDisconnectedError):
        return exceptions.ConnectionBroken(repr(error))
    return exceptions.StreamInterrupted(repr(error))
