"""Decides what marks the end of a server's answer, for all HTTP clients of the daemon.

An answer without such a mark ends with its connection, and so does the answer of a
process that ends in the middle of it: its kernel closes the connection in order.
"""

import aiohttp

CHUNKED = "chunked"
STATUSES_WITHOUT_BODY = (204, 304)


def has_no_body(response: aiohttp.ClientResponse) -> bool:
    """Return whether a response has no body, whatever its head says of one."""
    return response.method == "HEAD" or response.status in STATUSES_WITHOUT_BODY


def is_framed(response: aiohttp.ClientResponse) -> bool:
    """Return whether a length or a last chunk marks the end of a response's body.

    As the client library reads it: Transfer-Encoding goes before Content-Length, and
    only ``chunked`` as the last of its codings marks an end.
    """
    if has_no_body(response):
        return True
    codings = response.headers.getall(aiohttp.hdrs.TRANSFER_ENCODING, [])
    if codings:
        return codings[-1].rpartition(",")[2].strip().lower() == CHUNKED
    return aiohttp.hdrs.CONTENT_LENGTH in response.headers


def marks_itself(text: bytes) -> bool:
    """Return whether a JSON text shows its own end: no part of it is a JSON text.

    A number does not, unless white space follows it.
    """
    return not text[-1:].isdigit()
