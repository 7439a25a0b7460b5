"""The configuration in force: read by a few instances, spread to all, never back.

The platform's revision, and under one revision the digest of the text, order all
texts; an instance only moves up. docs/design/configuration.md tells why.
"""

import asyncio
import collections.abc
import typing

import xxhash

from cassiaquay_schema import exceptions as schema_exceptions
from cassiaquay_schema import messages
from cassiaquay_schema import settings as settings_schema

from .. import clock, exceptions, logs, platform, rendezvous
from ..configured import changes, snapshots
from ..links import peers
from . import members

# This many instances of the fleet, and one of each failure domain, wait for news at
# the service. The others look now and then, all together at most so often a second,
# in case that the service cannot be reached from where the watchers are.
WATCHERS = 3
OTHER_READS_PER_SECOND = 5.0
RETRY_SECONDS = 0.3
# A text is asked of one neighbour at a time, the next one after this long.
ASK_SECONDS = 0.7
# Reading a larger text takes so long that heartbeats and answers must go on meanwhile.
THREAD_CHARACTERS = 32_768
REMEMBERED_REJECTIONS = 16


class TextVersion(typing.NamedTuple):
    """Place of a text in the order of all texts."""

    revision: int
    digest: int


NO_VERSION = TextVersion(0, 0)


def digest_of(text: str) -> int:
    """Return the xxh3-64 of a text."""
    return xxhash.xxh3_64_intdigest(text.encode())


class Configuration:
    """The accepted text and where newer ones come from.

    Parameters
    ----------
    settings : Settings
        The platform's address and periods.
    links : Peers
        Connections over which texts spread.
    """

    def __init__(self, settings: settings_schema.Settings, links: peers.Peers):
        self.current: snapshots.Snapshot | None = None
        self.rejected: dict[int, str] = {}
        self._settings = settings
        self._reader = snapshots.readers.get(settings.platform.text_format)
        self._newest: snapshots.Snapshot | None = None
        # The text in force as it was read, and the servers that registered since.
        self._in_force: snapshots.Snapshot | None = None
        self._servers: snapshots.Registered | None = None
        self._position = NO_VERSION
        self._refused: dict[TextVersion, str] = {}
        self._before = ""
        self._held = False
        self._asked_at = 0.0
        self._on_accept: list[collections.abc.Callable[[], object]] = []
        self._tasks: set[asyncio.Task[bool]] = set()
        links.on(messages.ConfigurationQuery, self._query)
        links.on(messages.ConfigurationText, self._text)
        links.on(messages.ConfigurationChange, self._change)

    @property
    def revision(self) -> int:
        """Revision in force, 0 before there is one."""
        return self.current.revision if self.current else 0

    @property
    def position(self) -> TextVersion:
        """Place of the newest sound text, in force or held back."""
        return self._position

    @property
    def digest(self) -> int:
        """Digest of the newest sound text."""
        return self._position.digest

    def on_accept(self, call: collections.abc.Callable[[], object]) -> None:
        """Call ``call`` after each newly accepted text."""
        self._on_accept.append(call)

    def hold(self) -> None:
        """Put nothing in force until :meth:`settle`.

        A starting instance that took the first text that it got would serve by an old
        one when the service is stale, after its earlier life had served by a newer.
        """
        self._held = True

    def settle(self) -> None:
        """Put the newest text that was found in force."""
        self._held = False
        if self._newest is not None and self._newest is not self._in_force:
            self._put_in_force(self._newest)

    def set_registered_servers(self, registered: snapshots.Registered) -> None:
        """Take the servers of each pool from their registrations."""
        self._servers = registered
        if self._in_force is not None:
            self._publish(self._in_force)

    def accept(self, revision: int, text: str) -> bool:
        """Put a text in force when it is newer and sound; return whether it was."""
        position = TextVersion(revision, digest_of(text))
        if not self._is_news(position):
            return False
        return self._judge(position, text, _try_to_read(self._reader, revision, text))

    async def offer(self, revision: int, text: str) -> bool:
        """Do as :meth:`accept`, and let the process work on meanwhile."""
        if len(text) < THREAD_CHARACTERS:
            return self.accept(revision, text)
        position = TextVersion(revision, digest_of(text))
        if not self._is_news(position):
            return False
        found = await asyncio.to_thread(_try_to_read, self._reader, revision, text)
        return self._is_news(position) and self._judge(position, text, found)

    def wants(self, position: TextVersion) -> bool:
        """Tell whether a text at this place would be news."""
        return position > self._position and position not in self._refused

    def heard(self, link: peers.Link, beat: messages.Heartbeat) -> None:
        """Ask a neighbour for its configuration when it is newer."""
        if not self.wants(TextVersion(beat.revision, beat.digest)):
            return
        if clock.now() - self._asked_at >= ASK_SECONDS:
            self.ask(link)

    def ask(self, link: peers.Link) -> None:
        """Ask an instance for its configuration."""
        self._asked_at = clock.now()
        link.send(messages.ConfigurationQuery(*self._position))

    async def watch(
        self, source: platform.ConfigurationService, membership: members.Membership
    ) -> None:
        """Read the platform for ever, waiting there when among the watchers."""
        while True:
            if self.is_watcher(membership) or self._newest is None:
                await self.watch_once(source, self._settings.platform.watch_seconds)
                continue
            count = len(membership.alive())
            await asyncio.sleep(
                max(
                    self._settings.platform.watch_seconds,
                    count / OTHER_READS_PER_SECOND,
                )
            )
            await self.watch_once(source, 0.0)

    async def watch_once(
        self, source: platform.ConfigurationService, wait: float
    ) -> bool:
        """Ask the service once; return whether it answered."""
        try:
            news = await self.read_once(source, wait)
        except exceptions.PlatformError as error:
            logs.detail("configuration_unreadable", cause=str(error))
            await asyncio.sleep(RETRY_SECONDS)
            return False
        if news is False:
            await asyncio.sleep(RETRY_SECONDS)
        return True

    async def read_once(
        self, source: platform.ConfigurationService, wait: float = 0.0
    ) -> bool | None:
        """Ask the service once; return whether what it had was taken, None for none."""
        known = max([self._position.revision, *self.rejected])
        found = await source.watch(known, wait)
        if found is None:
            return None
        return await self.offer(found.revision, found.text)

    def is_watcher(self, membership: members.Membership) -> bool:
        """Tell whether this instance waits for news at the service."""
        domain = self._settings.domain
        names = []
        near = []
        for member in membership.alive():
            names.append(member.instance)
            if member.domain == domain:
                near.append(member.instance)
        ranked = rendezvous.rank("configuration watcher", names)
        first_near = rendezvous.first("configuration watcher", near)
        name = self._settings.instance
        return name in ranked[:WATCHERS] or name == first_near

    def _is_news(self, position: TextVersion) -> bool:
        if position.revision == self._position.revision != 0:
            if position.digest != self._position.digest:
                # Two texts under one revision: the platform broke its order. All
                # instances must end with the same one; neither is the older, so the
                # greater digest wins everywhere.
                logs.trouble("configuration_conflict", revision=position.revision)
        return self.wants(position)

    def _judge(
        self,
        position: TextVersion,
        text: str,
        found: snapshots.Snapshot | schema_exceptions.SchemaError,
    ) -> bool:
        if isinstance(found, schema_exceptions.SchemaError):
            self._reject(position, found)
            return False
        self._before = self._newest.text if self._newest else ""
        self._newest = found
        self._position = position
        if not self._held:
            self._put_in_force(found)
        return True

    def _reject(
        self, position: TextVersion, error: schema_exceptions.SchemaError
    ) -> None:
        self._refused[position] = str(error)
        self.rejected[position.revision] = str(error)
        while len(self._refused) > REMEMBERED_REJECTIONS:
            del self._refused[min(self._refused)]
        while len(self.rejected) > REMEMBERED_REJECTIONS:
            del self.rejected[min(self.rejected)]
        logs.trouble(
            "configuration_rejected",
            revision=position.revision,
            place=error.place,
            cause=str(error),
        )

    def _put_in_force(self, snapshot: snapshots.Snapshot) -> None:
        self._in_force = snapshot
        logs.event("configuration_in_force", revision=snapshot.revision)
        self._publish(snapshot)

    def _publish(self, snapshot: snapshots.Snapshot) -> None:
        if self._servers is not None:
            snapshot = snapshots.with_servers(snapshot, self._servers)
        self.current = snapshot
        for call in self._on_accept:
            call()

    def _query(self, link: peers.Link, query: messages.ConfigurationQuery) -> None:
        newest = self._newest
        if newest is None or self._position <= TextVersion(*query):
            return
        if query.digest and query.digest == digest_of(self._before):
            # Most changes touch a few lines of a text of up to a megabyte.
            change = changes.difference(self._before, newest.text)
            link.send(
                messages.ConfigurationChange(
                    newest.revision, self._position.digest, query.digest, *change
                )
            )
            return
        link.send(messages.ConfigurationText(newest.revision, newest.text))

    def _text(self, link: peers.Link, found: messages.ConfigurationText) -> None:
        self._offer_soon(found.revision, found.text)

    def _change(self, link: peers.Link, found: messages.ConfigurationChange) -> None:
        if not self.wants(TextVersion(found.revision, found.digest)):
            return
        if self._newest is not None and found.base == self._position.digest:
            change = changes.Change(found.start, found.end, found.part)
            text = changes.apply(self._newest.text, change)
            if digest_of(text) == found.digest:
                self._offer_soon(found.revision, text)
                return
        # The text has moved on meanwhile: ask for the whole.
        link.send(messages.ConfigurationQuery(0, 0))

    def _offer_soon(self, revision: int, text: str) -> None:
        if len(text) < THREAD_CHARACTERS:
            self.accept(revision, text)
            return
        task = asyncio.create_task(self.offer(revision, text))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _try_to_read(
    reader: snapshots.Reader, revision: int, text: str
) -> snapshots.Snapshot | schema_exceptions.SchemaError:
    try:
        return reader(revision, text)
    except schema_exceptions.SchemaError as error:
        return error
    except Exception as error:
        # Whatever a text does to the reader, it may only be refused: a daemon that
        # died of it would be started again and read it again, as would all others.
        return schema_exceptions.SchemaError(f"the text cannot be read: {error!r}")
