"""Backend servers' registrations as they lie in the store."""

import typing

import msgspec

from cassiaquay_schema import messages

from .. import logs

READY = "ready"
DRAINING = "draining"
MAX_SLOTS = 100_000


class _Entry(msgspec.Struct):
    service: str
    # Where the server listens, host:port.
    addr: str
    state: str
    zone: str = ""
    slots: int = 1
    # Unix milliseconds of the start of this process under its id.
    born: int = 0
    # How much longer it bears only a few requests after its start.
    cold_left_ms: float = msgspec.field(name="cold-left-ms", default=0.0)


def decode(name: str, value: bytes, revision: int) -> messages.ServerEntry | None:
    """Return the server that an entry describes, or None when it names none.

    Entries may come from other writers. One with a missing field, a field of another
    type, an unknown state or bytes that cannot be read names no server to use; the
    others are as good as before.
    """
    try:
        entry = msgspec.json.decode(value, type=_Entry)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        logs.detail("server_entry_unreadable", server=name, cause=str(error))
        return None
    if entry.state not in (READY, DRAINING) or not _is_address(entry.addr):
        logs.detail("server_entry_unusable", server=name, state=entry.state)
        return None
    if not name or not entry.service or not 0 < entry.slots <= MAX_SLOTS:
        return None
    return messages.ServerEntry(
        name,
        entry.service,
        entry.addr,
        entry.zone,
        entry.slots,
        entry.state == DRAINING,
        entry.born,
        revision,
        max(int(entry.cold_left_ms), 0),
    )


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    parts = host.split(".")
    if len(parts) != 4 or not all(_is_below(part, 256) for part in parts):
        return False
    return _is_below(port, 65536)


def _is_below(text: typing.Any, bound: int) -> bool:
    return text.isdecimal() and len(text) <= 5 and int(text) < bound
