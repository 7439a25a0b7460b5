"""How an answer broke off: by the server's connection, by silence or by odd bytes."""

import aiohttp

from .. import exceptions


def cut(error: Exception) -> exceptions.StreamCut:
    """Return the error of an answer that broke off with an error of the client."""
    if isinstance(error, TimeoutError):
        return exceptions.StreamCut(repr(error))
    if isinstance(error, (aiohttp.ClientPayloadError, OSError)):
        return exceptions.ConnectionBroken(repr(error))
    if isinstance(error, aiohttp.ServerDisconnectedError):
        return exceptions.ConnectionBroken(repr(error))
    return exceptions.StreamCut(repr(error))
