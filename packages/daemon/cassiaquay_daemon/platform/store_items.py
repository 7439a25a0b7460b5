"""Items of the platform's store, as its answers show them."""

import base64
import binascii
import typing

import msgspec

from .. import decoding, exceptions
from . import numbers

# Value of the event of a removed key.
REMOVED = msgspec.Raw(b"null")


class ListedItem(msgspec.Struct):
    """An item of a listing."""

    # Decoded one by one: an unreadable value must not hide the other items.
    key: str
    value: msgspec.Raw = msgspec.Raw(b'""')
    revision: msgspec.Raw = msgspec.Raw(b"0")


class ItemBody(msgspec.Struct):
    """Answer to a call for one key."""

    key: str
    value: msgspec.Raw
    revision: msgspec.Raw


class RangeBody(msgspec.Struct):
    """One page of a listing."""

    items: list[ListedItem]
    truncated: bool = False
    current: numbers.Count = msgspec.field(name="current-rev", default=0)


class Event(msgspec.Struct):
    """A change that a watch shows."""

    key: str
    # The item as it was written; a removed one has no value.
    value: msgspec.Raw = msgspec.Raw(b"null")
    revision: msgspec.Raw = msgspec.Raw(b"0")
    created: msgspec.Raw = msgspec.Raw(b"0")


class WatchBody(msgspec.Struct):
    """Answer to a watch."""

    events: list[Event]
    current: numbers.Count = msgspec.field(name="current-rev", default=0)


class Item(typing.NamedTuple):
    """A key of the store with its value and the revision of its last change.

    Where either cannot be read, the value is empty and the revision 0.
    """

    key: str
    value: bytes
    revision: int


class Change(typing.NamedTuple):
    """A change of a key: its item as written, without a value if it was removed."""

    key: str
    value: bytes | None
    revision: int
    is_creation: bool = False


def decode_change(event: Event) -> Change:
    """Return the change that an event shows."""
    if event.value == REMOVED:
        return Change(event.key, None, _decode_count(event.revision, numbers.MAX_COUNT))
    item = decode_item(event)
    is_creation = 0 < _decode_count(event.created, 0) == item.revision
    return Change(*item, is_creation)


def _decode_count(text: msgspec.Raw, default: int) -> int:
    try:
        count: int = decoding.decode_json(text, numbers.Count)
    except exceptions.UndecodableText:
        return default
    return count


def decode_item(item: ListedItem | ItemBody | Event) -> Item:
    """Return the item that a part of an answer shows."""
    try:
        text: str = decoding.decode_json(item.value, str)
        value = base64.b64decode(text, validate=True)
        revision: int = decoding.decode_json(item.revision, numbers.Count)
    except (exceptions.UndecodableText, binascii.Error, ValueError):
        # Another program wrote an invalid item; the other keys are still read.
        return Item(item.key, b"", 0)
    return Item(item.key, value, revision)
