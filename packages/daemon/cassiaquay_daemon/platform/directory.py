"""Paths and bodies of the address discovery and readiness endpoints."""

import msgspec

RESOLVE_PATH = "/cassiaquay/resolve"
READY_PATH = "/cassiaquay/ready"
# Maximum number of addresses in an answer.
MAX_ADDRESSES = 64


def encode(addresses: list[str], seconds: float) -> bytes:
    """Return the body with the addresses and the seconds they may be cached."""
    return msgspec.json.encode({"addrs": addresses, "ttl-s": seconds})
