"""Decodes the registrations of backend servers in the platform's store."""

import ipaddress
import typing

import msgspec
import xxhash

from cassiaquay_schema import messages

from .. import decoding, exceptions, logs, sockets
from . import numbers

READY = "ready"
DRAINING = "draining"
MAX_SLOTS = 100_000
# Longer versions are replaced by a digest, which also tells them apart.
MAX_SOFTWARE_CHARACTERS = 64
# All instances keep each entry and send it on.
MAX_NAME_CHARACTERS = 256
MAX_CAUSE_CHARACTERS = 200

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
    # Decoded, a long one would hold the event loop at each read.
    version: msgspec.Raw = msgspec.Raw(b"null")


class InvalidEntry(exceptions.PlatformError):
    """An entry describes no server."""

    code = "platform_entry"


class SkippedEntry(typing.NamedTuple):
    """An entry of a listing that describes no server."""

    name: str
    revision: int
    cause: str


class Skipped:
    """Logs entries that describe no server, once for each change of one."""

    def __init__(self) -> None:
        # Revision of each one in the last complete listing.
        self._logged: dict[str, int] = {}

    def note(self, listed: list[SkippedEntry]) -> None:
        """Log the entries of a complete listing that were not logged before."""
        logged, self._logged = self._logged, {}
        for entry in listed:
            self._logged[entry.name] = entry.revision
            if logged.get(entry.name) == entry.revision:
                continue
            logs.trouble(
                "server_entry_skipped",
                server=entry.name[:MAX_NAME_CHARACTERS],
                revision=entry.revision,
                cause=entry.cause[:MAX_CAUSE_CHARACTERS],
            )


def decode(name: str, value: bytes, revision: int) -> messages.ServerEntry:
    """Return the server that an entry describes.

    Other programs may write entries, too. An entry with a missing field, a field of the
    wrong type or size, an unknown state or undecodable bytes is skipped and does not
    affect the other entries.

    Raises
    ------
    InvalidEntry
        When it describes none.
    """
    try:
        entry: _Entry = decoding.decode_json(value, _Entry)
        software = _software(entry.version)
    except exceptions.UndecodableText as error:
        raise InvalidEntry(str(error)) from error
    if not name or not entry.service:
        raise InvalidEntry("it names no service or no server")
    is_whole = name.isprintable() and decoding.REPLACEMENT not in name
    if len(name) > MAX_NAME_CHARACTERS or not is_whole:
        # Requests name their server in a header.
        raise InvalidEntry("its name is invalid")
    if entry.state not in (READY, DRAINING):
        raise InvalidEntry("its state is unknown")
    if not _is_address(entry.addr):
        raise InvalidEntry("its address is invalid")
    if not 0 < entry.slots <= MAX_SLOTS:
        raise InvalidEntry(f"{entry.slots} slots")
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
        software,
        entry.seq,
    )


def _software(version: msgspec.Raw) -> str:
    """Return a version as text; empty for none."""
    text = bytes(version).decode(errors="backslashreplace")
    if text == "null":
        return ""
    if text.startswith('"'):
        text = decoding.decode_json(version, str)
    if len(text) <= MAX_SOFTWARE_CHARACTERS:
        return text
    return xxhash.xxh3_64_hexdigest(text.encode())


def _is_address(text: str) -> bool:
    try:
        host, _ = sockets.split_address(text)
        address = ipaddress.IPv4Address(host)
    except ValueError:
        return False
    # Connections to the unspecified address go to the host of this instance.
    return not (address.is_unspecified or address.is_multicast or address.is_reserved)
