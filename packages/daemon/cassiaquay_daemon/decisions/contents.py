"""The digest that all attempts of the same request share."""

import collections.abc
import hashlib

DIGEST_BYTES = 8


def digest(texts: collections.abc.Iterable[str], body: bytes) -> str:
    """Return a digest of some texts and a body, in hexadecimal.

    Each attempt of a request has an id of its own, and may come to any instance.
    """
    found = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for text in texts:
        found.update(text.encode() + b"\0")
    found.update(body)
    return found.hexdigest()
