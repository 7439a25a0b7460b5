"""Bounds on what HTTP servers may send to this process.

A server in trouble may send bytes without end. Without bounds they fill the memory of
the instance, which is then killed with all its requests.
"""

import aiohttp


class ResponseTooLarge(aiohttp.ClientError):
    """A response is larger than its reader accepts."""


async def read_body(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Return the complete body of a response; raise ResponseTooLarge over a bound."""
    if (response.content_length or 0) > max_bytes:
        raise ResponseTooLarge(f"{response.content_length} bytes announced")
    body = bytearray()
    while data := await response.content.readany():
        body += data
        if len(body) > max_bytes:
            raise ResponseTooLarge(f"over {max_bytes} bytes")
    return bytes(body)
