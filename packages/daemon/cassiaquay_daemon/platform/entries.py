"""Decodes the registrations of backend servers in the platform's store."""

import typing

import msgspec
import xxhash

from cassiaquay_schema import messages

from .. import logs
from . import numbers

READY = "ready"
DRAINING = "draining"
MAX_SLOTS = 100_000
# Longer versions are replaced by a digest, which also tells them apart.
MAX_SOFTWARE_CHARACTERS = 64
# All instances keep each entry and send it on.
MAX_NAME_CHARACTERS = 256

Name = typing.Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS)]


class _Entry(msgspec.Struct):
    service: Name
    # Listen address as host:port.
    addr: str
    state: str
    zone: Name = ""
    slots: int = 1
    # Start time of the server process, Unix milliseconds.
    born: numbers.Count = 0
    # Time for which it stays cold, that is, takes only a limited request rate.
    cold_left_ms: numbers.Milliseconds = msgspec.field(name="cold-left-ms", default=0.0)
    # Count of its reports when the entry was written.
    seq: numbers.Count = 0
    # Version of the server's software. It is only compared, so it may have any type.
    version: typing.Any = ""


def decode(name: str, value: bytes, revision: int) -> messages.ServerEntry | None:
    """Return the server that an entry describes, or None if the entry is invalid.

    Other programs may write entries, too. An entry with a missing field, a field of the
    wrong type or size, an unknown state or undecodable bytes is skipped and does not
    affect the other entries.
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
        _software(entry.version),
        entry.seq,
    )


def _software(version: typing.Any) -> str:
    """Return a version as text; empty for none."""
    if version is None:
        return ""
    text = version if isinstance(version, str) else repr(version)
    if len(text) <= MAX_SOFTWARE_CHARACTERS:
        return text
    return xxhash.xxh3_64_hexdigest(text.encode())


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    parts = host.split(".")
    if len(parts) != 4 or not all(_is_decimal_below(part, 256) for part in parts):
        return False
    return _is_decimal_below(port, 65536)


def _is_decimal_below(text: typing.Any, bound: int) -> bool:
    return text.isdecimal() and len(text) <= 5 and int(text) < bound
