"""Read-only client of the platform's metadata store, and the adapters that use it.

The store numbers its changes with one counter, its revision. A read by key or prefix is
linearizable. A watch waits for changes after a revision; if the store has already
compacted them, it answers 410 and the client reads the key again. When the store
returns from a copy, revisions go back and its epoch, sent with each answer, rises.
"""

import base64
import binascii
import contextlib
import typing

import aiohttp
import msgspec

from cassiaquay_schema import messages

from .. import bounded_http, exceptions, platform, positions
from . import documents, entries, epochs, numbers

# The operator's keys: the configuration, and one key for each evacuated zone. One read
# by this prefix returns both.
OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
EVACUATED_PREFIX = "op/evacuate/"
SERVERS_PREFIX = "servers/"
ITEM_PATH = "/cassiaquay/kv-key"
RANGE_PATH = "/cassiaquay/kv-range"
WATCH_PATH = "/cassiaquay/kv-watch"
# Longer than a slow store takes to answer. After this time the answer is taken for lost
# and its connection for broken.
ANSWER_TIMEOUT_SECONDS = 0.6
# Enough for thousands of servers; bounds the read of a listing that never ends.
MAX_PAGES = 200
# A page has at most 1 MB of values or one more value of 1 MiB, longer in base64.
MAX_ANSWER_BYTES = 4 * 1024 * 1024
# Of all pages of a listing.
MAX_LISTING_BYTES = 16 * 1024 * 1024
# Enough to find where the history begins among a million revisions.
MAX_HISTORY_CALLS = 32


class _Item(msgspec.Struct):
    key: str
    value: str = ""
    revision: numbers.Count = 0


class _ItemBody(msgspec.Struct):
    key: str
    value: str
    revision: numbers.Count


class _RangeBody(msgspec.Struct):
    items: list[_Item]
    truncated: bool = False
    current: numbers.Count = msgspec.field(name="current-rev", default=0)


class _Event(msgspec.Struct):
    key: str
    # The item as it was written; a removed one has no value.
    value: str | None = None
    revision: numbers.Count = 0
    created: numbers.Count = 0


class _WatchBody(msgspec.Struct):
    events: list[_Event]
    current: numbers.Count = msgspec.field(name="current-rev", default=0)


class Item(typing.NamedTuple):
    """A key of the store with its value and the revision of its last change."""

    key: str
    value: bytes
    revision: int


class Change(typing.NamedTuple):
    """A change of a key: its value as written, None if it was removed."""

    key: str
    value: bytes | None
    revision: int
    is_creation: bool = False


class History(typing.NamedTuple):
    """The changes that the store still has, and whether it has all of them."""

    changes: list[Change]
    is_whole: bool


class Items(typing.NamedTuple):
    """All keys under a prefix, and the store's position when the read began."""

    position: positions.Position
    items: list[Item]


class _Answer(typing.NamedTuple):
    status: int
    body: bytes
    epoch: int


class Store:
    """Client of the platform's store.

    Parameters
    ----------
    http : ClientSession
        Client session for the store.
    address : str
        Address as host:port.
    """

    def __init__(self, http: aiohttp.ClientSession, address: str):
        self._http = http
        self._base = f"http://{address}"
        self._epochs = epochs.Epochs()

    async def item(self, key: str) -> Item | None:
        """Return the item of ``key``, or None if there is no such key."""
        answer = await self._get(ITEM_PATH, {"key": key}, ANSWER_TIMEOUT_SECONDS)
        if answer.status == 404:
            return None
        _check_status(answer.status)
        found = _parse(answer.body, _ItemBody)
        if found.key != key:
            raise exceptions.PlatformError(f"{key}: answered with another key")
        return _decode_item(found)

    async def items(self, prefix: str) -> Items:
        """Return all keys under a prefix.

        The pages are not one snapshot. The result has the revision of the first page,
        so a key that changes during the read has a higher revision than the result.

        Raises
        ------
        PlatformError
            When the store cannot be read, or returns from a copy between two pages.
        """
        items: list[Item] = []
        position: positions.Position | None = None
        after = ""
        size = 0
        for _ in range(MAX_PAGES):
            query = {"path-prefix": prefix}
            if after:
                query["after"] = after
            answer = await self._get(RANGE_PATH, query, ANSWER_TIMEOUT_SECONDS)
            _check_status(answer.status)
            size += len(answer.body)
            if size > MAX_LISTING_BYTES:
                raise exceptions.PlatformError(
                    f"{prefix}: over {MAX_LISTING_BYTES} bytes"
                )
            page = _parse(answer.body, _RangeBody)
            if position is None:
                position = positions.Position(answer.epoch, page.current)
            if position.epoch != answer.epoch:
                raise exceptions.PlatformError(f"{prefix}: pages of two epochs")
            for item in page.items:
                _check_prefix(item.key, prefix)
                items.append(_decode_item(item))
            if not page.truncated or not page.items:
                return Items(position, items)
            after = page.items[-1].key
        raise exceptions.PlatformError(f"{prefix}: more than {MAX_PAGES} pages")

    async def wait_for_change(
        self, prefix: str, after: positions.Position, wait: float
    ) -> positions.Position | None:
        """Wait for a change after a position; return the one to watch from next.

        Returns None if the store does not have the changes after that position.
        """
        query = {
            "path-prefix": prefix,
            "after": str(after.revision),
            "wait-ms": str(int(wait * 1000)),
        }
        answer = await self._get(WATCH_PATH, query, wait + ANSWER_TIMEOUT_SECONDS)
        if answer.status == 410 or answer.epoch != after.epoch:
            return None
        _check_status(answer.status)
        watched = _parse(answer.body, _WatchBody)
        if watched.events:
            return positions.Position(answer.epoch, watched.current)
        return after

    async def history(self, prefix: str, current: int) -> list[Change]:
        """Return the changes under a prefix that the store still has, oldest first."""
        return (await self.whole_history(prefix, current)).changes

    async def whole_history(self, prefix: str, current: int) -> History:
        """Return the changes under a prefix, and whether none was discarded.

        Parameters
        ----------
        prefix : str
            The prefix.
        current : int
            A recent revision of the store.

        Raises
        ------
        PlatformError
            When the store cannot be read.
        """
        changes: list[Change] = []
        # The history begins after the first and not after the second revision.
        expired, available = -1, current
        distance = 1
        for _ in range(MAX_HISTORY_CALLS):
            if available - expired <= 1:
                return History(changes, False)
            after = max(current - distance, 0)
            if expired >= 0 or after >= available:
                after = (expired + available) // 2
            distance *= 4
            found = await self._changes(prefix, after)
            if found is None:
                expired = after
                continue
            changes, available = found, after
            if not after:
                return History(changes, True)
        raise exceptions.PlatformError(f"{prefix}: the history has no beginning")

    async def _changes(self, prefix: str, after: int) -> list[Change] | None:
        """Return the changes after a revision, None if the store has them no more."""
        query = {"path-prefix": prefix, "after": str(after), "wait-ms": "1"}
        answer = await self._get(WATCH_PATH, query, ANSWER_TIMEOUT_SECONDS)
        if answer.status == 410:
            return None
        _check_status(answer.status)
        changes = []
        for event in _parse(answer.body, _WatchBody).events:
            _check_prefix(event.key, prefix)
            value = None if event.value is None else _decode_value(event.value)
            is_creation = 0 < event.created == event.revision
            changes.append(Change(event.key, value, event.revision, is_creation))
        return changes

    async def _get(self, path: str, query: dict[str, str], seconds: float) -> _Answer:
        timeout = aiohttp.ClientTimeout(total=seconds)
        try:
            async with self._http.get(
                self._base + path, params=query, timeout=timeout
            ) as response:
                body = await bounded_http.read_body(response, MAX_ANSWER_BYTES)
                epoch = self._epochs.read(response.headers)
                return _Answer(response.status, body, epoch)
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise exceptions.PlatformError(repr(error)) from error


@platform.configuration_services.register("store")
class ConfigurationStore:
    """Reads the configuration from one key of the store."""

    def __init__(self, http: aiohttp.ClientSession, address: str):
        self.evacuated = platform.NOTHING_EVACUATED
        self._store = Store(http, address)
        self._read_position = positions.START

    async def watch(
        self, after: positions.Position, wait: float
    ) -> platform.Published | None:
        """Return a text written after a position, or None after ``wait`` seconds."""
        # The watch only triggers a read of the key, which returns the current value: a
        # watch with truncated or compacted events costs one read and misses no change.
        if after.revision and wait:
            watched = max(self._read_position, after)
            next_position = await self._store.wait_for_change(
                CONFIGURATION_KEY, watched, wait
            )
            if next_position == watched:
                return None
        item = await self._read()
        if item is None:
            return None
        epoch = self._read_position.epoch
        if positions.Position(epoch, item.revision) <= after:
            return None
        try:
            text = item.value.decode()
        except UnicodeDecodeError as error:
            raise exceptions.PlatformError(f"configuration: {error}") from error
        number = documents.number_of(text)
        return platform.Published(item.revision, text, epoch, number)

    async def _read(self) -> Item | None:
        """Return the configuration's item; update the evacuated domains."""
        operator_keys = await self._store.items(OPERATOR_PREFIX)
        self._read_position = operator_keys.position
        domains = []
        configuration = None
        for item in operator_keys.items:
            if item.key == CONFIGURATION_KEY:
                configuration = item
            elif item.key.startswith(EVACUATED_PREFIX):
                domains.append(item.key.removeprefix(EVACUATED_PREFIX))
        self.evacuated = platform.Evacuated(operator_keys.position, sorted(domains))
        return configuration


@platform.server_stores.register("store")
class ServersStore:
    """Reads backend servers' registrations from keys of the store."""

    def __init__(self, http: aiohttp.ClientSession, address: str):
        self._store = Store(http, address)
        self._skipped = entries.Skipped()

    async def read(self) -> platform.ServersRead:
        """Return all servers with a valid entry."""
        registered = await self._store.items(SERVERS_PREFIX)
        servers: list[messages.ServerEntry] = []
        for item in registered.items:
            name = item.key.removeprefix(SERVERS_PREFIX)
            try:
                servers.append(entries.decode(name, item.value, item.revision))
            except entries.InvalidEntry as error:
                self._skipped.note(name, item.revision, error)
        self._skipped.end_listing()
        return platform.ServersRead(registered.position, servers)

    async def read_past(self) -> platform.ServersPast:
        """Return the changes of registrations that the store still has."""
        # The shortest listing that gives the revision.
        operator_keys = await self._store.items(EVACUATED_PREFIX)
        current = operator_keys.position.revision
        found = await self._store.whole_history(SERVERS_PREFIX, current)
        removed_at: dict[str, int] = {}
        created_at: dict[str, int] = {}
        past = platform.ServersPast([], [], removed_at, created_at, found.is_whole)
        for change in found.changes:
            name = change.key.removeprefix(SERVERS_PREFIX)
            if change.value is None:
                past.removed.append(name)
                removed_at[name] = change.revision
                continue
            if change.is_creation:
                created_at[name] = change.revision
            # It was logged if it was in a listing.
            with contextlib.suppress(entries.InvalidEntry):
                past.written.append(entries.decode(name, change.value, change.revision))
        return past


@platform.instance_lists.register("none")
class NoInstances:
    """Empty list for a platform that lists no instances; seeds and gossip find them."""

    def __init__(self, http: aiohttp.ClientSession, address: str):
        pass

    async def read(self) -> list[platform.ListedInstance]:
        """Return no entries."""
        return []


def _check_status(status: int) -> None:
    if status != 200:
        raise exceptions.PlatformError(f"store: status {status}")


def _check_prefix(key: str, prefix: str) -> None:
    """Raise if a key shows that an answer is that to another call.

    The list of servers would be empty by the answer to a call for other keys.
    """
    if not key.startswith(prefix):
        raise exceptions.PlatformError(f"{prefix}: answered with other keys")


Body = typing.TypeVar("Body")


def _parse(body: bytes, kind: type[Body]) -> Body:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.DecodeError as error:
        raise exceptions.PlatformError(str(error)) from error


def _decode_item(item: _Item | _ItemBody) -> Item:
    return Item(item.key, _decode_value(item.value), item.revision)


def _decode_value(text: str) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError):
        # Another program wrote an invalid value; the other keys are still read.
        return b""
