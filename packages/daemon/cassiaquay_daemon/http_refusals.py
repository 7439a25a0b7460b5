"""Refusals of HTTP clients whose requests have not been received whole, or not run."""

import typing

from . import connection_room

# Causes for which a connection is refused or closed.
HEAD_TOO_LARGE = "head"
TOO_SLOW = "slow"
MALFORMED = "malformed"
UNREAD = "unread"
LEFT = "left"

RETRY_AFTER = b"0.500"
_END = b"content-length: 0\r\nconnection: close\r\n\r\n"
_UNAVAILABLE = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: %b\r\n" % RETRY_AFTER
REFUSALS = {
    HEAD_TOO_LARGE: b"HTTP/1.1 431 Request Header Fields Too Large\r\n" + _END,
    TOO_SLOW: b"HTTP/1.1 408 Request Timeout\r\n" + _END,
    connection_room.TOO_MANY: _UNAVAILABLE + _END,
    connection_room.TOO_LARGE: _UNAVAILABLE + _END,
}


async def unavailable(scope: typing.Any, receive: typing.Any, send: typing.Any) -> None:
    """Answer that there is no memory for a request, which is not run."""
    await send(
        {
            "type": "http.response.start",
            "status": 503,
            "headers": [
                (b"content-length", b"0"),
                (b"retry-after", RETRY_AFTER),
                (b"connection", b"close"),
            ],
        }
    )
    await send({"type": "http.response.body", "body": b""})
