"""Read-only client of the platform's metadata store, and the adapters that use it.

The store numbers its changes with one counter, its revision. A read by key or prefix is
linearizable. A watch waits for changes after a revision; if the store has already
compacted them, it answers 410 and the client reads the key again. When the store
returns from a copy, revisions go back and its epoch, sent with each answer, rises.
"""

import collections.abc
import contextlib
import typing

import aiohttp

from cassiaquay_schema import messages

from .. import bounded_http, decoding, exceptions, platform, positions
from . import documents, entries, epochs, store_items

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
# Enough to find where the history begins among a million revisions.
MAX_HISTORY_CALLS = 32


class History(typing.NamedTuple):
    """The changes that the store still has, and whether it has all of them."""

    changes: list[store_items.Change]
    is_whole: bool


class Items(typing.NamedTuple):
    """Keys under a prefix, and the store's position when the read began."""

    position: positions.Position
    items: list[store_items.Item]


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

    async def item(self, key: str) -> store_items.Item | None:
        """Return the item of ``key``, or None if there is no such key."""
        answer = await self._get(ITEM_PATH, {"key": key}, ANSWER_TIMEOUT_SECONDS)
        if answer.status == 404:
            return None
        _check_status(answer.status)
        found = _parse(answer.body, store_items.ItemBody)
        if found.key != key:
            raise exceptions.PlatformError(f"{key}: answered with another key")
        return store_items.decode_item(found)

    async def items(self, prefix: str) -> Items:
        """Return all keys under a prefix; see :meth:`pages`."""
        position = positions.START
        items: list[store_items.Item] = []
        async for page in self.pages(prefix):
            position = page.position
            items += page.items
        return Items(position, items)

    async def pages(self, prefix: str) -> collections.abc.AsyncIterator[Items]:
        """Yield the keys under a prefix, page by page.

        Values may be large; a reader that keeps a part of each needs memory for one
        page. The pages are not one snapshot. Each has the revision of the first page,
        so a key that changes during the read has a higher revision.

        Raises
        ------
        PlatformError
            When the store cannot be read, or returns from a copy between two pages.
        """
        position: positions.Position | None = None
        after = ""
        for _ in range(MAX_PAGES):
            query = {"path-prefix": prefix}
            if after:
                query["after"] = after
            answer = await self._get(RANGE_PATH, query, ANSWER_TIMEOUT_SECONDS)
            _check_status(answer.status)
            page = _parse(answer.body, store_items.RangeBody)
            if position is None:
                position = positions.Position(answer.epoch, page.current)
            if position.epoch != answer.epoch:
                raise exceptions.PlatformError(f"{prefix}: pages of two epochs")
            items = []
            for item in page.items:
                _check_prefix(item.key, prefix)
                items.append(store_items.decode_item(item))
            yield Items(position, items)
            if not page.truncated or not page.items:
                return
            if page.items[-1].key == after:
                raise exceptions.PlatformError(f"{prefix}: the same page again")
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
        watched = _parse(answer.body, store_items.WatchBody)
        if watched.events:
            return positions.Position(answer.epoch, watched.current)
        return after

    async def history(
        self, prefix: str, current: positions.Position
    ) -> list[store_items.Change]:
        """Return the changes under a prefix that the store still has, oldest first."""
        return (await self.whole_history(prefix, current)).changes

    async def whole_history(self, prefix: str, current: positions.Position) -> History:
        """Return the changes under a prefix, and whether none was discarded.

        Parameters
        ----------
        prefix : str
            The prefix.
        current : Position
            A recent position of the store.

        Raises
        ------
        PlatformError
            When the store cannot be read, or has returned from a copy: it has no
            history then, as if there had been no changes.
        """
        changes: list[store_items.Change] = []
        # The history begins after the first and not after the second revision.
        expired, available = -1, current.revision
        distance = 1
        for _ in range(MAX_HISTORY_CALLS):
            if available - expired <= 1:
                return History(changes, False)
            after = max(current.revision - distance, 0)
            if expired >= 0 or after >= available:
                after = (expired + available) // 2
            distance *= 4
            found = await self._changes(
                prefix, positions.Position(current.epoch, after)
            )
            if found is None:
                expired = after
                continue
            changes, available = found, after
            if not after:
                return History(changes, True)
        raise exceptions.PlatformError(f"{prefix}: the history has no beginning")

    async def _changes(
        self, prefix: str, after: positions.Position
    ) -> list[store_items.Change] | None:
        """Return the changes after a position, None if the store has them no more."""
        query = {"path-prefix": prefix, "after": str(after.revision), "wait-ms": "1"}
        answer = await self._get(WATCH_PATH, query, ANSWER_TIMEOUT_SECONDS)
        if answer.epoch != after.epoch:
            raise exceptions.PlatformError(f"{prefix}: a history of two epochs")
        if answer.status == 410:
            return None
        _check_status(answer.status)
        changes = []
        for event in _parse(answer.body, store_items.WatchBody).events:
            _check_prefix(event.key, prefix)
            changes.append(store_items.decode_change(event))
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
        except UnicodeDecodeError:
            # It is refused as any other invalid text; as a failed read, it would keep
            # from being read what is read with it.
            text = ""
        number = documents.number_of(text)
        return platform.Published(item.revision, text, epoch, number)

    async def _read(self) -> store_items.Item | None:
        """Return the configuration's item; update the evacuated domains."""
        position = positions.START
        domains = []
        configuration = None
        async for page in self._store.pages(OPERATOR_PREFIX):
            position = page.position
            for item in page.items:
                if item.key == CONFIGURATION_KEY:
                    configuration = item
                    continue
                domain = item.key.removeprefix(EVACUATED_PREFIX)
                # The empty one is not that of servers which name none.
                if item.key.startswith(EVACUATED_PREFIX) and domain:
                    domains.append(domain)
        self._read_position = position
        self.evacuated = platform.Evacuated(position, sorted(domains))
        return configuration


@platform.server_stores.register("store")
class ServersStore:
    """Reads backend servers' registrations from keys of the store."""

    def __init__(self, http: aiohttp.ClientSession, address: str):
        self._store = Store(http, address)
        self._skipped = entries.Skipped()

    async def read(self) -> platform.ServersRead:
        """Return all servers with a valid entry."""
        position = positions.START
        servers: list[messages.ServerEntry] = []
        skipped = []
        async for page in self._store.pages(SERVERS_PREFIX):
            position = page.position
            for item in page.items:
                name = item.key.removeprefix(SERVERS_PREFIX)
                try:
                    servers.append(entries.decode(name, item.value, item.revision))
                except entries.InvalidEntry as error:
                    # The error would keep the value.
                    cause = str(error)
                    skipped.append(entries.SkippedEntry(name, item.revision, cause))
        self._skipped.note(skipped)
        return platform.ServersRead(position, servers)

    async def read_past(self) -> platform.ServersPast:
        """Return the changes of registrations that the store still has."""
        # The shortest listing that gives the revision.
        operator_keys = await self._store.items(EVACUATED_PREFIX)
        current = operator_keys.position
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
        with contextlib.suppress(exceptions.UndecodableText):
            return decoding.decode_json(body, kind)
        # A key may hold any bytes.
        return decoding.decode_json(decoding.replace_lone_surrogates(body), kind)
    except exceptions.UndecodableText as error:
        raise exceptions.PlatformError(str(error)) from error
