"""Why an answer broke off: a closed connection, silence or invalid bytes."""

import aiohttp

from .. import exceptions


def cut(error: Exception) -> exceptions.StreamInterrupted:
    """Return the error that an error of the HTTP client stands for."""
    if isinstance(error, TimeoutError):
        return exceptions.StreamInterrupted(repr(error))
    if isinstance(error, (aiohttp.ClientPayloadError, OSError)):
        return exceptions.ConnectionBroken(repr(error))
    if isinstance(error, aiohttp.ServerDisconnectedError):
        return exceptions.ConnectionBroken(repr(error))
    return exceptions.StreamInterrupted(repr(error))
