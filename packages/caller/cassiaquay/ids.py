"""Request ids: the token of an address, a tilde and a unique part."""

import uuid

SEPARATOR = "~"


def form_id(token: str) -> str:
    """Return a new unique id, owned by the instance that issued ``token``.

    >>> form_id("cq-1.9f3c")  # doctest: +SKIP
    'cq-1.9f3c~0b9e...'
    """
    return f"{token}{SEPARATOR}{uuid.uuid4().hex}"


def find_token(request_id: str) -> str:
    """Return the token part of a request id."""
    return request_id.rpartition(SEPARATOR)[0]
