"""Read-only client of the platform's metadata store, and the adapters that use it.

The store numbers its changes with one counter, its revision. A read by key or prefix is
linearizable. A watch waits for changes after a revision; if the store has already
compacted them, it answers 410 and the client reads the key again.
"""

import base64
import binascii
import typing

import aiohttp
import msgspec

from cassiaquay_schema import messages

from .. import exceptions, logs, platform
from . import entries

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
# Answer header: number of times that the store has been restored from a copy.
EPOCH_HEADER = "Store-Era"
# Enough for thousands of servers; bounds the read of a listing that never ends.
MAX_PAGES = 200


class _Item(msgspec.Struct):
    key: str
    value: str = ""
    revision: int = 0


class _ItemBody(msgspec.Struct):
    key: str
    value: str
    revision: int


class _RangeBody(msgspec.Struct):
    items: list[_Item]
    truncated: bool = False
    current: int = msgspec.field(name="current-rev", default=0)


class _WatchBody(msgspec.Struct):
    events: list[_Item]
    current: int = msgspec.field(name="current-rev", default=0)


class Item(typing.NamedTuple):
    """A key of the store with its value and the revision of its last change."""

    key: str
    value: bytes
    revision: int


class Items(typing.NamedTuple):
    """All keys under a prefix, and the store's revision when the read began."""

    revision: int
    items: list[Item]


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
        self._epoch = ""

    async def item(self, key: str) -> Item | None:
        """Return the item of ``key``, or None if there is no such key."""
        status, body = await self._get(ITEM_PATH, {"key": key}, ANSWER_TIMEOUT_SECONDS)
        if status == 404:
            return None
        _check_status(status)
        return _decode_item(_parse(body, _ItemBody))

    async def items(self, prefix: str) -> Items:
        """Return all keys under a prefix.

        The pages are not one snapshot. The result has the revision of the first page,
        so a key that changes during the read has a higher revision than the result.
        """
        items: list[Item] = []
        revision = 0
        after = ""
        for _ in range(MAX_PAGES):
            query = {"path-prefix": prefix}
            if after:
                query["after"] = after
            status, body = await self._get(RANGE_PATH, query, ANSWER_TIMEOUT_SECONDS)
            _check_status(status)
            page = _parse(body, _RangeBody)
            revision = revision or page.current
            for item in page.items:
                items.append(_decode_item(item))
            if not page.truncated or not page.items:
                return Items(revision, items)
            after = page.items[-1].key
        raise exceptions.PlatformError(f"{prefix}: more than {MAX_PAGES} pages")

    async def wait_for_change(self, prefix: str, after: int, wait: float) -> int | None:
        """Wait for a change after a revision; return the revision to watch from next.

        Returns None if the store no longer has the changes after that revision.
        """
        query = {
            "path-prefix": prefix,
            "after": str(after),
            "wait-ms": str(int(wait * 1000)),
        }
        status, body = await self._get(WATCH_PATH, query, wait + ANSWER_TIMEOUT_SECONDS)
        if status == 410:
            return None
        _check_status(status)
        watched = _parse(body, _WatchBody)
        if watched.events:
            return watched.current
        return after

    async def _get(
        self, path: str, query: dict[str, str], seconds: float
    ) -> tuple[int, bytes]:
        timeout = aiohttp.ClientTimeout(total=seconds)
        try:
            async with self._http.get(
                self._base + path, params=query, timeout=timeout
            ) as response:
                epoch = response.headers.get(EPOCH_HEADER, "")
                if epoch != self._epoch:
                    logs.event("store_epoch", epoch=epoch, before=self._epoch)
                self._epoch = epoch
                return response.status, await response.read()
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise exceptions.PlatformError(repr(error)) from error


@platform.configuration_services.register("store")
class ConfigurationStore:
    """Reads the configuration from one key of the store."""

    def __init__(self, http: aiohttp.ClientSession, address: str):
        self.evacuated = platform.NOTHING_EVACUATED
        self._store = Store(http, address)
        self._after = 0
        self._discarded = 0

    async def watch(self, after: int, wait: float) -> platform.Published | None:
        """Return a revision newer than ``after``, or None after ``wait`` seconds."""
        # The watch only triggers a read of the key, which returns the current value: a
        # watch with truncated or compacted events costs one read and misses no change.
        if after and wait:
            revision = max(self._after, after)
            next_revision = await self._store.wait_for_change(
                CONFIGURATION_KEY, revision, wait
            )
            if next_revision == revision:
                return None
        item = await self._read()
        if item is None:
            return None
        if item.revision < self._after and item.revision != self._discarded:
            self._discarded = item.revision
            logs.event(
                "configuration_discarded", revision=item.revision, known=self._after
            )
        self._after = max(self._after, item.revision)
        if item.revision <= after:
            return None
        try:
            return platform.Published(item.revision, item.value.decode())
        except UnicodeDecodeError as error:
            raise exceptions.PlatformError(f"configuration: {error}") from error

    async def _read(self) -> Item | None:
        """Return the configuration's item; update the evacuated domains."""
        operator_keys = await self._store.items(OPERATOR_PREFIX)
        domains = []
        configuration = None
        for item in operator_keys.items:
            if item.key == CONFIGURATION_KEY:
                configuration = item
            elif item.key.startswith(EVACUATED_PREFIX):
                domains.append(item.key.removeprefix(EVACUATED_PREFIX))
        self.evacuated = platform.Evacuated(operator_keys.revision, sorted(domains))
        return configuration


@platform.server_stores.register("store")
class ServersStore:
    """Reads backend servers' registrations from keys of the store."""

    def __init__(self, http: aiohttp.ClientSession, address: str):
        self._store = Store(http, address)

    async def read(self) -> platform.ServersRead:
        """Return all servers with a valid entry."""
        registered = await self._store.items(SERVERS_PREFIX)
        servers: list[messages.ServerEntry] = []
        for item in registered.items:
            name = item.key.removeprefix(SERVERS_PREFIX)
            entry = entries.decode(name, item.value, item.revision)
            if entry is not None:
                servers.append(entry)
        return platform.ServersRead(registered.revision, servers)


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


Body = typing.TypeVar("Body")


def _parse(body: bytes, kind: type[Body]) -> Body:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.DecodeError as error:
        raise exceptions.PlatformError(str(error)) from error


def _decode_item(item: _Item | _ItemBody) -> Item:
    try:
        value = base64.b64decode(item.value, validate=True)
    except (binascii.Error, ValueError):
        # Another program wrote an invalid value; the other keys are still read.
        value = b""
    return Item(item.key, value, item.revision)
