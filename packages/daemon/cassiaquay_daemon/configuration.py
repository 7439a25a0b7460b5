"""The configuration in force: read by a few instances, spread to all, never back.

The platform's revision orders all texts; an instance only moves up.
"""

import asyncio
import collections.abc

from cassiaquay_schema import exceptions as schema_exceptions
from cassiaquay_schema import messages
from cassiaquay_schema import settings as settings_schema

from . import exceptions, logs, members, peers, platform, rendezvous, snapshots

WATCHERS = 3
RETRY_SECONDS = 0.3


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
        self._on_accept: list[collections.abc.Callable[[], None]] = []
        links.on(messages.ConfigurationQuery, self._query)
        links.on(messages.ConfigurationText, self._text)

    @property
    def revision(self) -> int:
        """Revision in force, 0 before there is one."""
        return self.current.revision if self.current else 0

    def on_accept(self, call: collections.abc.Callable[[], None]) -> None:
        """Call ``call`` after each newly accepted text."""
        self._on_accept.append(call)

    def accept(self, revision: int, text: str) -> bool:
        """Put a text in force when it is newer and sound; return whether it was."""
        if self.current is not None and revision <= self.current.revision:
            if revision == self.current.revision and text != self.current.text:
                # Two texts under one revision: the platform broke its order. The
                # one in force stays, so that no instance flaps between them.
                logs.trouble("configuration_conflict", revision=revision)
            return False
        if revision in self.rejected:
            return False
        try:
            self.current = snapshots.read(revision, text)
        except schema_exceptions.SchemaError as error:
            self.rejected[revision] = str(error)
            logs.trouble("configuration_rejected", revision=revision, cause=str(error))
            return False
        logs.event("configuration_in_force", revision=revision)
        for call in self._on_accept:
            call()
        return True

    def heard(self, link: peers.Link, member: messages.Member) -> None:
        """Ask a member for its configuration when it is newer."""
        known = max([self.revision, *self.rejected])
        if member.revision > known:
            link.send(messages.ConfigurationQuery(known))

    async def watch(
        self, source: platform.ConfigurationService, membership: members.Membership
    ) -> None:
        """Watch the platform for ever while this instance ranks among the watchers."""
        period = self._settings.platform.watch_seconds
        while True:
            if not self._is_watcher(membership) and self.current is not None:
                await asyncio.sleep(period)
                continue
            known = max([self.revision, *self.rejected])
            try:
                found = await source.watch(known, period)
            except exceptions.PlatformError as error:
                logs.detail("configuration_unreadable", cause=str(error))
                await asyncio.sleep(RETRY_SECONDS)
                continue
            if found is None:
                continue
            if not self.accept(found.revision, found.text):
                await asyncio.sleep(RETRY_SECONDS)

    def _is_watcher(self, membership: members.Membership) -> bool:
        names = [member.instance for member in membership.alive()]
        ranked = rendezvous.rank("configuration watcher", names)
        return self._settings.instance in ranked[:WATCHERS]

    def _query(self, link: peers.Link, query: messages.ConfigurationQuery) -> None:
        if self.current is not None and self.current.revision > query.revision:
            link.send(
                messages.ConfigurationText(self.current.revision, self.current.text)
            )

    def _text(self, link: peers.Link, found: messages.ConfigurationText) -> None:
        self.accept(found.revision, found.text)
