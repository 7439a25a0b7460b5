"""The configuration in force: a few instances read it and distribute it to the others.

Texts are ordered by the operators' number, then by where they were written in the
platform's history, then by digest; an instance never goes back to a lower one.
docs/design/configuration.md explains why.
"""

import asyncio
import collections
import collections.abc

import xxhash

from cassiaquay_schema import exceptions as schema_exceptions
from cassiaquay_schema import messages
from cassiaquay_schema import settings as settings_schema

from .. import clock, exceptions, logs, platform, positions, rendezvous, supervision
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
# Former texts without a number that are recognized when a copy brings them back.
MAX_REMEMBERED_TEXTS = 64
# The operators have written their newest text again this long after the platform's
# return from a copy, or it is lost there.
LOST_TEXT_SECONDS = 10.0


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
        self._newest_version = positions.NO_VERSION
        self._rejected_versions: dict[positions.TextVersion, str] = {}
        # Revision and digest of former texts without a number.
        self._former: collections.OrderedDict[tuple[int, int], None]
        self._former = collections.OrderedDict()
        # Where the platform's text was that this instance read last.
        self._read_position = positions.START
        self._older_since: float | None = None
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
        """Label of the text in force; 0 before the first one."""
        return self.current.label if self.current else 0

    @property
    def newest_version(self) -> positions.TextVersion:
        """Version of the newest valid text, in force or held back."""
        return self._newest_version

    @property
    def version_in_force(self) -> positions.TextVersion:
        """Version of the text in force, as sent in heartbeats."""
        return self._newest_version if self.current else positions.NO_VERSION

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

    def accept(self, published: platform.Published) -> bool:
        """Put a text in force when it is newer and valid; return whether it was."""
        return self._accept(self._version_of(published), published.text)

    async def offer(self, published: platform.Published) -> bool:
        """Do the same as :meth:`accept`, but parse large texts in a thread."""
        return await self._offer(self._version_of(published), published.text)

    def should_fetch(self, version: positions.TextVersion) -> bool:
        """Return whether a text of this version is newer and was not refused."""
        if version <= self._newest_version or version in self._rejected_versions:
            return False
        return bool(version.number) or not self._is_former(version)

    def handle_heartbeat(self, link: peers.Link, beat: messages.Heartbeat) -> None:
        """Request a neighbour's configuration when its heartbeat shows a newer one."""
        version = positions.version_in(beat)
        if not self.should_fetch(version):
            return
        if self._newest is not None and version.has_text_of(self._newest_version):
            # The same text, written again after the platform's return from a copy.
            self._apply_parsed(version, self._newest.text, self._newest)
            return
        if clock.now() - self._requested_at >= REQUEST_TIMEOUT_SECONDS:
            self.send_query(link)

    def send_query(self, link: peers.Link) -> None:
        """Request the configuration of another instance."""
        self._requested_at = clock.now()
        newest = self._newest_version
        link.send(
            messages.ConfigurationQuery(
                newest.revision, newest.digest, newest.number, newest.epoch
            )
        )

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
        began = clock.now()
        try:
            is_accepted = await self.read_once(source, wait)
        except exceptions.PlatformError as error:
            logs.detail("configuration_unreadable", cause=str(error))
            await asyncio.sleep(RETRY_SECONDS)
            return False
        is_early = wait > 0.0 and clock.now() - began < RETRY_SECONDS
        if is_accepted is False or (is_accepted is None and is_early):
            # A service that ends each watch at once is not read without a pause.
            await asyncio.sleep(RETRY_SECONDS)
        return True

    async def read_once(
        self, source: platform.ConfigurationService, wait: float = 0.0
    ) -> bool | None:
        """Read the service once; return whether its text was accepted.

        None when the service has no newer text.
        """
        known = max(self._newest_version.position, self._read_position)
        published = await source.watch(known, wait)
        if published is None:
            self._check_lost()
            return None
        version = self._version_of(published)
        is_accepted = await self._offer(version, published.text)
        self._read_position = max(self._read_position, published.position)
        self._note_published(version)
        return is_accepted

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

    def _version_of(self, published: platform.Published) -> positions.TextVersion:
        number = published.number
        if number is None:
            # If the text is invalid, it is parsed so that its refusal is logged.
            number = self._newest_version.number
        digest = digest_of(published.text)
        return positions.TextVersion(number, *published.position, digest)

    def _accept(self, version: positions.TextVersion, text: str) -> bool:
        if not self._is_newer(version):
            return False
        parsed = self._parse_unless_known(version, text)
        return self._apply_parsed(version, text, parsed)

    async def _offer(self, version: positions.TextVersion, text: str) -> bool:
        if len(text) < MIN_CHARACTERS_FOR_THREAD:
            return self._accept(version, text)
        if not self._is_newer(version):
            return False
        parsed = await asyncio.to_thread(self._parse_unless_known, version, text)
        return self._is_newer(version) and self._apply_parsed(version, text, parsed)

    def _is_former(self, version: positions.TextVersion) -> bool:
        """Return whether a text without a number was in force before, at its place.

        A platform that returns from a copy shows it in a newer epoch. Written anew by
        the operators, it would be at another revision.
        """
        return (version.revision, version.digest) in self._former

    def _note_published(self, version: positions.TextVersion) -> None:
        """Note which text the platform shows, to find one that it has lost."""
        if version >= self._newest_version or version in self._rejected_versions:
            self._older_since = None
            return
        if self._older_since is None:
            self._older_since = clock.now()
        logs.event(
            "configuration_older_published",
            number=version.number,
            epoch=version.epoch,
            revision=version.revision,
            in_force=self.revision,
        )

    def _check_lost(self) -> None:
        """Log once when the platform does not show the text in force again."""
        since = self._older_since
        if since is None or clock.now() - since < LOST_TEXT_SECONDS:
            return
        self._older_since = None
        logs.trouble("configuration_lost", in_force=self.revision)

    def _is_newer(self, version: positions.TextVersion) -> bool:
        newest = self._newest_version
        if newest.revision and version[:-1] == newest[:-1]:
            if version.digest != newest.digest:
                # The platform published two texts under one revision. All instances
                # must converge on one of them, so the greater digest wins.
                logs.trouble("configuration_conflict", revision=version.revision)
        return self.should_fetch(version)

    def _parse_unless_known(
        self, version: positions.TextVersion, text: str
    ) -> snapshots.Snapshot | schema_exceptions.SchemaError:
        if self._newest is not None and version.has_text_of(self._newest_version):
            return self._newest
        return _parse(self._reader, version.revision, text)

    def _apply_parsed(
        self,
        version: positions.TextVersion,
        text: str,
        parsed: snapshots.Snapshot | schema_exceptions.SchemaError,
    ) -> bool:
        if isinstance(parsed, schema_exceptions.SchemaError):
            self._reject(version, parsed)
            return False
        if self._newest is not None and self._newest.text != text:
            self._remember_former(self._newest_version)
            self._previous_text = self._newest.text
        self._newest = parsed._replace(
            revision=version.revision, epoch=version.epoch, number=version.number
        )
        self._newest_version = version
        if not self._is_held:
            self._put_in_force(self._newest)
        return True

    def _remember_former(self, version: positions.TextVersion) -> None:
        if version.number:
            return
        self._former[version.revision, version.digest] = None
        while len(self._former) > MAX_REMEMBERED_TEXTS:
            self._former.popitem(last=False)

    def _reject(
        self, version: positions.TextVersion, error: schema_exceptions.SchemaError
    ) -> None:
        self._rejected_versions[version] = str(error)
        self.rejected[version.number or version.revision] = str(error)
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
        logs.event(
            "configuration_in_force",
            revision=snapshot.revision,
            epoch=snapshot.epoch or None,
            number=snapshot.number or None,
        )
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
        version = self._newest_version
        if newest is None or version <= positions.version_in(query):
            return
        if query.digest and query.digest == digest_of(self._previous_text):
            # Most changes touch a few lines of a text of up to 1 MB: send the diff.
            change = changes.difference(self._previous_text, newest.text)
            link.send(
                messages.ConfigurationChange(
                    version.revision,
                    version.digest,
                    query.digest,
                    *change,
                    text_number=version.number,
                    epoch=version.epoch,
                )
            )
            return
        link.send(
            messages.ConfigurationText(
                version.revision, newest.text, version.number, version.epoch
            )
        )

    def _handle_text(
        self, link: peers.Link, message: messages.ConfigurationText
    ) -> None:
        self._schedule_offer(
            platform.Published(
                message.revision, message.text, message.epoch, message.text_number
            )
        )

    def _handle_change(
        self, link: peers.Link, message: messages.ConfigurationChange
    ) -> None:
        version = positions.version_in(message)
        if not self.should_fetch(version):
            return
        if self._newest is not None and message.base == self._newest_version.digest:
            change = changes.Change(message.start, message.end, message.part)
            text = changes.apply(self._newest.text, change)
            if digest_of(text) == message.digest:
                self._schedule_offer(
                    platform.Published(
                        version.revision, text, version.epoch, version.number
                    )
                )
                return
        # The diff does not apply to the text held here: request the whole text.
        link.send(messages.ConfigurationQuery(0, 0))

    def _schedule_offer(self, published: platform.Published) -> None:
        if len(published.text) < MIN_CHARACTERS_FOR_THREAD:
            self.accept(published)
            return
        task = asyncio.create_task(self.offer(published))
        self._tasks.add(task)
        task.add_done_callback(self._end_offer)

    def _end_offer(self, task: asyncio.Task[bool]) -> None:
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            supervision.log_failure("offered_text", error)


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
