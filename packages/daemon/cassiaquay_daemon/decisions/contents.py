"""Content digest that identifies a request across retries."""

import collections.abc
import hashlib

DIGEST_BYTES = 8


def digest(texts: collections.abc.Iterable[str], body: bytes) -> str:
    """Return a digest of some texts and a body, in hexadecimal.

    All attempts of one request have this digest in common: each attempt has its own
    request id and may arrive at any instance.
    """
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for text in texts:
        hasher.update(text.encode() + b"\0")
    hasher.update(body)
    return hasher.hexdigest()
