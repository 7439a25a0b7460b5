"""Address tokens and request ids.

A token names one incarnation of an instance, which is one run of its process, and an
expiry on that incarnation's own clock. Only the owner checks the expiry, so clocks of
different instances are never compared. A request id is ``token~unique``. The MAC
prevents callers from forging ids with a later expiry.
"""

import hashlib
import hmac
import re
import secrets
import typing

from .. import exceptions

UNIQUE = re.compile(r"^[A-Za-z0-9_-]{1,64}$")
TOKEN = re.compile(
    r"^(?P<instance>[A-Za-z0-9-]{1,40})\.(?P<incarnation>[0-9a-f]{12})"
    r"\.(?P<expiry>[0-9]{1,15})\.(?P<mac>[0-9a-f]{16})$"
)


class RequestId(typing.NamedTuple):
    """A parsed request id.

    Attributes
    ----------
    text : str
        The id as the caller wrote it.
    instance : str
        Name of the owner.
    incarnation : str
        Random name of one run of the owner's process.
    expiry : float
        Seconds on the owner's clock since its start.
    """

    text: str
    instance: str
    incarnation: str
    expiry: float


def new_incarnation() -> str:
    """Return a random name for this run of the process."""
    return secrets.token_hex(6)


def mint(key: str, instance: str, incarnation: str, expiry: float) -> str:
    """Return a token that expires at ``expiry`` seconds of the owner's uptime."""
    signed_part = f"{instance}.{incarnation}.{int(expiry * 1000)}"
    return f"{signed_part}.{_mac(key, signed_part)}"


def parse(keys: list[str], text: str) -> RequestId:
    """Return the parts of a request id.

    Raises
    ------
    BadId
        If it is malformed or its MAC matches none of ``keys``.
    """
    token, _, unique = text.partition("~")
    match = TOKEN.match(token)
    if match is None or UNIQUE.match(unique) is None:
        raise exceptions.BadId()
    signed_part = token.rpartition(".")[0]
    for key in keys:
        if not hmac.compare_digest(_mac(key, signed_part), match["mac"]):
            continue
        return RequestId(
            text, match["instance"], match["incarnation"], int(match["expiry"]) / 1000
        )
    raise exceptions.BadId()


def _mac(key: str, signed_part: str) -> str:
    return hmac.new(key.encode(), signed_part.encode(), hashlib.sha256).hexdigest()[:16]
