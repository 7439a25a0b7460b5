"""Bodies and paths of the calls by which callers find an instance."""

import msgspec

RESOLVE_PATH = "/cassiaquay/resolve"
READY_PATH = "/cassiaquay/ready"
# An answer may name as many.
MAX_ADDRESSES = 64


def encode(addresses: list[str], seconds: float) -> bytes:
    """Return the body that names addresses and how long they may be kept."""
    return msgspec.json.encode({"addrs": addresses, "ttl-s": seconds})
