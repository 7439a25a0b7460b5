"""The configuration in force: a few instances read it and distribute it to the others.

Texts are ordered by the platform's revision, then by the digest of the text; an
instance never goes back to a lower one. docs/design/configuration.md explains why.
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

# This many instances of the fleet, and one of each failure domain, long-poll the
# configuration service. The others poll it at the total rate given here, in case the
# watchers cannot reach it.
WATCHER_COUNT = 3
OTHER_READS_PER_SECOND = 5.0
RETRY_SECONDS = 0.3
# A text is requested from one neighbour at a time, from the next one after this time.
REQUEST_TIMEOUT_SECONDS = 0.7
# Larger texts are parsed in a thread: parsing one on the event loop would delay
# heartbeats and responses.
MIN_CHARACTERS_FOR_THREAD = 32_768
MAX_REMEMBERED_REJECTIONS = 16


class TextVersion(typing.NamedTuple):
    """Version of a configuration text; versions compare by revision, then digest."""

    revision: int
    digest: int


NO_VERSION = TextVersion(0, 0)


def digest_of(text: str) -> int:
    """Return the xxh3-64 of a text."""
    return xxhash.xxh3_64_intdigest(text.encode())


class Configuration:
    """Holds the accepted text and fetches newer ones from the service and from peers.

    Parameters
    ----------
    settings : Settings
        Address and polling periods of the platform.
    links : Peers
        Connections over which texts are exchanged.
    """

    def __init__(self, settings: settings_schema.Settings, links: peers.Peers):
        self.current: snapshots.Snapshot | None = None
        self.rejected: dict[int, str] = {}
        self._settings = settings
        self._reader = snapshots.readers.get(settings.platform.text_format)
        self._newest: snapshots.Snapshot | None = None
        # The snapshot in force without registered servers, and those servers.
        self._in_force: snapshots.Snapshot | None = None
        self._servers: snapshots.RegisteredServers | None = None
        self._newest_version = NO_VERSION
        self._rejected_versions: dict[TextVersion, str] = {}
        self._previous_text = ""
        self._is_held = False
        self._requested_at = 0.0
        self._on_accept: list[collections.abc.Callable[[], object]] = []
        self._tasks: set[asyncio.Task[bool]] = set()
        links.on(messages.ConfigurationQuery, self._handle_query)
        links.on(messages.ConfigurationText, self._handle_text)
        links.on(messages.ConfigurationChange, self._handle_change)

    @property
    def revision(self) -> int:
        """Revision in force; 0 before the first one."""
        return self.current.revision if self.current else 0

    @property
    def newest_version(self) -> TextVersion:
        """Version of the newest valid text, in force or held back."""
        return self._newest_version

    @property
    def digest(self) -> int:
        """Digest of the newest valid text."""
        return self._newest_version.digest

    def on_accept(self, call: collections.abc.Callable[[], object]) -> None:
        """Call ``call`` after each newly accepted text."""
        self._on_accept.append(call)

    def hold(self) -> None:
        """Put no text in force until :meth:`release`.

        While the service is stale, a restarted instance that applied the first text it
        received could serve by an older one than it did before the restart.
        """
        self._is_held = True

    def release(self) -> None:
        """End :meth:`hold` and put the newest text received in force."""
        self._is_held = False
        if self._newest is not None and self._newest is not self._in_force:
            self._put_in_force(self._newest)

    def set_registered_servers(self, registered: snapshots.RegisteredServers) -> None:
        """Replace the servers of each pool by the registered ones."""
        self._servers = registered
        if self._in_force is not None:
            self._publish(self._in_force)

    def accept(self, revision: int, text: str) -> bool:
        """Put a text in force when it is newer and valid; return whether it was."""
        version = TextVersion(revision, digest_of(text))
        if not self._is_newer(version):
            return False
        return self._apply_parsed(version, text, _parse(self._reader, revision, text))

    async def offer(self, revision: int, text: str) -> bool:
        """Do the same as :meth:`accept`, but parse large texts in a thread."""
        if len(text) < MIN_CHARACTERS_FOR_THREAD:
            return self.accept(revision, text)
        version = TextVersion(revision, digest_of(text))
        if not self._is_newer(version):
            return False
        parsed = await asyncio.to_thread(_parse, self._reader, revision, text)
        return self._is_newer(version) and self._apply_parsed(version, text, parsed)

    def should_fetch(self, version: TextVersion) -> bool:
        """Return whether a text of this version is newer and not yet rejected."""
        return version > self._newest_version and version not in self._rejected_versions

    def handle_heartbeat(self, link: peers.Link, beat: messages.Heartbeat) -> None:
        """Request a neighbour's configuration when its heartbeat shows a newer one."""
        if not self.should_fetch(TextVersion(beat.revision, beat.digest)):
            return
        if clock.now() - self._requested_at >= REQUEST_TIMEOUT_SECONDS:
            self.send_query(link)

    def send_query(self, link: peers.Link) -> None:
        """Request the configuration of another instance."""
        self._requested_at = clock.now()
        link.send(messages.ConfigurationQuery(*self._newest_version))

    async def watch(
        self, source: platform.ConfigurationService, membership: members.Membership
    ) -> None:
        """Read the service until cancelled: long-poll as a watcher, else poll."""
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
        """Read the service once; return whether it answered."""
        try:
            is_accepted = await self.read_once(source, wait)
        except exceptions.PlatformError as error:
            logs.detail("configuration_unreadable", cause=str(error))
            await asyncio.sleep(RETRY_SECONDS)
            return False
        if is_accepted is False:
            await asyncio.sleep(RETRY_SECONDS)
        return True

    async def read_once(
        self, source: platform.ConfigurationService, wait: float = 0.0
    ) -> bool | None:
        """Read the service once; return whether its text was accepted.

        None when the service has no newer text.
        """
        known = max([self._newest_version.revision, *self.rejected])
        published = await source.watch(known, wait)
        if published is None:
            return None
        return await self.offer(published.revision, published.text)

    def is_watcher(self, membership: members.Membership) -> bool:
        """Return whether this instance long-polls the service."""
        domain = self._settings.domain
        names = []
        same_domain = []
        for member in membership.alive():
            names.append(member.instance)
            if member.domain == domain:
                same_domain.append(member.instance)
        ranked = rendezvous.rank("configuration watcher", names)
        first_of_domain = rendezvous.first("configuration watcher", same_domain)
        name = self._settings.instance
        return name in ranked[:WATCHER_COUNT] or name == first_of_domain

    def _is_newer(self, version: TextVersion) -> bool:
        if version.revision == self._newest_version.revision != 0:
            if version.digest != self._newest_version.digest:
                # The platform published two texts under one revision. All instances
                # must converge on one of them, so the greater digest wins.
                logs.trouble("configuration_conflict", revision=version.revision)
        return self.should_fetch(version)

    def _apply_parsed(
        self,
        version: TextVersion,
        text: str,
        parsed: snapshots.Snapshot | schema_exceptions.SchemaError,
    ) -> bool:
        if isinstance(parsed, schema_exceptions.SchemaError):
            self._reject(version, parsed)
            return False
        self._previous_text = self._newest.text if self._newest else ""
        self._newest = parsed
        self._newest_version = version
        if not self._is_held:
            self._put_in_force(parsed)
        return True

    def _reject(
        self, version: TextVersion, error: schema_exceptions.SchemaError
    ) -> None:
        self._rejected_versions[version] = str(error)
        self.rejected[version.revision] = str(error)
        while len(self._rejected_versions) > MAX_REMEMBERED_REJECTIONS:
            del self._rejected_versions[min(self._rejected_versions)]
        while len(self.rejected) > MAX_REMEMBERED_REJECTIONS:
            del self.rejected[min(self.rejected)]
        logs.trouble(
            "configuration_rejected",
            revision=version.revision,
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

    def _handle_query(
        self, link: peers.Link, query: messages.ConfigurationQuery
    ) -> None:
        newest = self._newest
        if newest is None or self._newest_version <= TextVersion(*query):
            return
        if query.digest and query.digest == digest_of(self._previous_text):
            # Most changes touch a few lines of a text of up to 1 MB: send the diff.
            change = changes.difference(self._previous_text, newest.text)
            link.send(
                messages.ConfigurationChange(
                    newest.revision, self._newest_version.digest, query.digest, *change
                )
            )
            return
        link.send(messages.ConfigurationText(newest.revision, newest.text))

    def _handle_text(
        self, link: peers.Link, message: messages.ConfigurationText
    ) -> None:
        self._schedule_offer(message.revision, message.text)

    def _handle_change(
        self, link: peers.Link, message: messages.ConfigurationChange
    ) -> None:
        if not self.should_fetch(TextVersion(message.revision, message.digest)):
            return
        if self._newest is not None and message.base == self._newest_version.digest:
            change = changes.Change(message.start, message.end, message.part)
            text = changes.apply(self._newest.text, change)
            if digest_of(text) == message.digest:
                self._schedule_offer(message.revision, text)
                return
        # The diff does not apply to the text held here: request the whole text.
        link.send(messages.ConfigurationQuery(0, 0))

    def _schedule_offer(self, revision: int, text: str) -> None:
        if len(text) < MIN_CHARACTERS_FOR_THREAD:
            self.accept(revision, text)
            return
        task = asyncio.create_task(self.offer(revision, text))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _parse(
    reader: snapshots.Reader, revision: int, text: str
) -> snapshots.Snapshot | schema_exceptions.SchemaError:
    try:
        return reader(revision, text)
    except schema_exceptions.SchemaError as error:
        return error
    except Exception as error:
        # A text that crashes the parser must only be rejected: otherwise every daemon
        # would exit, restart and crash on the same text again.
        return schema_exceptions.SchemaError(f"the text cannot be read: {error!r}")
