"""The backend servers that registered with the platform, known to every instance.

Reading them at every instance each second would use up the platform's calls. One
instance reads; heartbeats tell the others how old the list is, and whoever finds it too
old reads by itself. So a reader that dies, pauses or is cut off from the platform is
replaced within a fraction of a second, without anybody deciding who is next.
"""

import asyncio
import random

from cassiaquay_schema import messages
from cassiaquay_schema import settings as settings_schema

from .. import clock, exceptions, logs, platform, rendezvous
from ..configured import snapshots
from ..links import peers
from . import configuration, freshness, members, outages, server_list, transit

# The reader's place in the order of readers adds this much to the age at which it
# reads: time for the one before it to read and for a heartbeat to arrive.
RANK_SECONDS = 0.35
# Those behind this place read at the same age: all of them together are still few.
LAST_RANK = 2
# Pause after a failed read of the first readers in order. The others ask seldom: while
# the platform is away nobody's list is new, and all of them would ask all the time.
RETRY_SECONDS = 0.15
OTHERS_RETRY_SECONDS = 1.0
RETRY_JITTER = 0.4
TICK_SECONDS = 0.1
MOST_AGE_SECONDS = 3600.0
# A log line names at most so many servers: at a start all of them are new.
MOST_NAMED = 8
PLATFORM = "platform"
NEVER = float("-inf")


class Servers:
    """The list of backend servers, as new as any instance in reach has it.

    Parameters
    ----------
    settings : Settings
        Age at which the list is read.
    links : Peers
        Connections to the other instances.
    membership : Membership
        Who they are.
    configured : Configuration
        Gets the servers of each pool.
    store : ServerStore
        Where they register.
    texts : ConfigurationService
        Read with it, so that the age of the list is that of the configuration too.
    """

    def __init__(
        self,
        settings: settings_schema.Settings,
        links: peers.Peers,
        membership: members.Membership,
        configured: configuration.Configuration,
        store: platform.ServerStore,
        texts: platform.ConfigurationService,
    ):
        self.evacuated = platform.NOTHING_EVACUATED
        self._settings = settings
        self._links = links
        self._membership = membership
        self._configured = configured
        self._store = store
        self._texts = texts
        self._revision = 0
        self._digest = 0
        self._outages = outages.Outages()
        self._read_at = NEVER
        self._ranked: list[messages.Member] | None = None
        self._rank = LAST_RANK
        self._transit = transit.Transit()
        self._registered = server_list.ServerList()
        self._added: list[str] = []
        self._failing = False
        links.on(messages.ServerListQuery, self._query)
        links.on(messages.ServerList, self._list)
        membership.on_heartbeat(self._heard)

    @property
    def revision(self) -> int:
        """Revision of the list, 0 before there is one."""
        return self._revision

    @property
    def count(self) -> int:
        """Number of servers that are known here."""
        return self._registered.size

    @property
    def age(self) -> float:
        """Seconds since the platform confirmed the list and the configuration here."""
        return clock.now() - self._outages.confirmed_at

    @property
    def age_ms(self) -> int:
        """The same in milliseconds, bounded."""
        return _milliseconds(self.age)

    @property
    def is_behind(self) -> bool:
        """Whether a change that must be in force may not have been heard here."""
        return self.age > self._settings.gateway.apply_seconds

    @property
    def state(self) -> freshness.Freshness:
        """What heartbeats say of the list."""
        steady = clock.now() - self._outages.steady_since if self._revision else 0.0
        return freshness.Freshness(
            self._revision, self.age_ms, self._digest, _milliseconds(steady)
        )

    async def read(self) -> None:
        """Read the list whenever nobody else has lately, for ever."""
        while True:
            left = self._due_at() - clock.now()
            if left > 0.0:
                await asyncio.sleep(max(left, TICK_SECONDS))
                continue
            if not await self.read_once():
                await asyncio.sleep(self._retry_seconds())

    async def read_once(self) -> bool:
        """Read the list now; return whether the platform answered."""
        began = clock.now()
        try:
            found = await self._store.read()
            await self._configured.read_once(self._texts)
        except exceptions.PlatformError as error:
            if not self._failing:
                logs.event("servers_unreadable", cause=str(error), age_ms=self.age_ms)
            self._failing = True
            self._outages.note_failure(began)
            return False
        if self._failing:
            logs.event("servers_readable", age_ms=self.age_ms)
        self._failing = False
        is_changed = self._take(found.revision, found.entries, began)
        if self._evacuate(self._texts.evacuated) or is_changed:
            self._publish(PLATFORM)
            self._notify()
        self._confirm(found.revision, began)
        return True

    def _retry_seconds(self) -> float:
        if self._rank < LAST_RANK:
            return RETRY_SECONDS
        return OTHERS_RETRY_SECONDS * (1.0 + RETRY_JITTER * random.random())

    def _due_at(self) -> float:
        """Return when the list is to be read here; seconds on this clock."""
        due_at = self._outages.confirmed_at + self._patience()
        if not self._registered.retained:
            return due_at
        # A retained server that has left gets requests until a list of then lacks it.
        retained_until = self._outages.retained_until + self._rank * RANK_SECONDS
        return min(due_at, retained_until)

    def _patience(self) -> float:
        serving = self._membership.serving()
        if serving is not self._ranked:
            self._ranked = serving
            self._rank = self._rank_among(serving)
        return self._settings.platform.servers_seconds + self._rank * RANK_SECONDS

    def _rank_among(self, serving: list[messages.Member]) -> int:
        names = [member.instance for member in serving]
        ranked = rendezvous.rank("server list reader", names)
        own = self._settings.instance
        if own not in ranked:
            return LAST_RANK
        return min(ranked.index(own), LAST_RANK)

    def _take(
        self, revision: int, entries: list[messages.ServerEntry], read_at: float
    ) -> bool:
        """Take in a list; return whether what may be used has changed."""
        if revision < self._revision:
            # Read before what another instance has sent meanwhile.
            return False
        self._outages.note_read(read_at)
        self._revision = revision
        self._read_at = max(self._read_at, read_at)
        return self._merge(entries, revision, read_at)

    def _evacuate(self, found: platform.Evacuated) -> bool:
        """Take in what is evacuated; return whether that has changed."""
        if found.revision < self.evacuated.revision:
            return False
        before = self.evacuated.domains
        self.evacuated = found
        if found.domains == before:
            return False
        logs.event(
            "domains_evacuated",
            domains=",".join(found.domains),
            before=",".join(before),
            revision=found.revision,
        )
        self._digest = self._digest_now()
        return True

    def _digest_now(self) -> int:
        return self._registered.digest(self.evacuated.domains)

    def _confirm(self, revision: int, read_at: float) -> None:
        if revision < self._revision:
            return
        self._revision = revision
        self._outages.confirm(read_at)
        self._read_at = max(self._read_at, read_at)
        self._drop_retained()

    def _merge(
        self, entries: list[messages.ServerEntry], revision: int, read_at: float
    ) -> bool:
        """Take in a full list; return whether what may be used has changed."""
        # Right after the platform's return a missing entry may only have run out:
        # dropped at once, a fleet that lives would be left without a server.
        left = self._outages.retained_until - read_at
        change = self._registered.take(revision, entries, left > 0.0)
        for name in change.retained:
            logs.event(
                "server_retained",
                server=name,
                revision=revision,
                left_ms=round(left * 1000),
            )
        self._log_gone(change.gone)
        self._added.extend(change.added)
        before = self._digest
        self._digest = self._digest_now()
        return self._digest != before or bool(change.gone)

    def _drop_retained(self) -> None:
        """Drop what is kept once a list read late enough still lacks it."""
        if not self._registered.retained:
            return
        if self._outages.confirmed_at < self._outages.retained_until:
            return
        self._log_gone(self._registered.drop_retained())
        self._publish(PLATFORM)

    def _log_gone(self, names: list[str]) -> None:
        for name in names:
            logs.event("server_gone", server=name)

    def _publish(self, source: str) -> None:
        pools = self._registered.pools()
        logs.event(
            "servers_in_force",
            revision=self._revision,
            source=source,
            usable=sum(len(servers) for servers in pools.values()),
            known=self.count,
            added=",".join(sorted(self._added)[:MOST_NAMED]) or None,
            added_count=len(self._added) or None,
        )
        self._added.clear()
        self._configured.set_registered_servers(
            snapshots.Registered(pools, self.evacuated.domains)
        )

    def _notify(self) -> None:
        # A server that leaves must get no new work within seconds: those who hear of
        # it send the list to their neighbours at once, each list once.
        message = self._message()
        for instance, address in self._membership.neighbours().items():
            link = self._links.link(instance, address)
            if link is not None:
                link.send(message)

    def _message(self) -> messages.ServerList:
        # Not the age of the confirmation, which says more: that the configuration, too,
        # was current. A receiver works out from this whether the platform was away.
        return messages.ServerList(
            self._revision,
            _milliseconds(clock.now() - self._read_at),
            self._registered.listed,
            self.evacuated.domains,
            self.evacuated.revision,
        )

    def _heard(self, link: peers.Link, beat: messages.Heartbeat) -> None:
        delay = self._transit.seconds(link, beat.sent_ms)
        age = beat.servers_age_ms / 1000.0 + delay
        if beat.servers_steady_ms:
            now = clock.now()
            steady_since = now - beat.servers_steady_ms / 1000.0
            self._outages.note_peer_interval(steady_since, now - age)
            self._drop_retained()
        if not beat.servers_revision or beat.servers_revision < self._revision:
            return
        if beat.servers_digest != self._digest:
            link.send(messages.ServerListQuery(self._revision))
            return
        # A neighbour whose configuration is newer confirms nothing here: until its
        # text has come, requests would be answered by the older one, and a key that
        # was taken away would be served for as long as that text is on its way.
        position = configuration.TextVersion(beat.revision, beat.digest)
        if self._configured.should_fetch(position):
            return
        # The same servers, confirmed later: nothing needs to be sent. The age was true
        # when the heartbeat was sent, so what it has spent on the way is added.
        self._confirm(beat.servers_revision, clock.now() - age)

    def _query(self, link: peers.Link, query: messages.ServerListQuery) -> None:
        if self._revision > query.revision:
            link.send(self._message())

    def _list(self, link: peers.Link, found: messages.ServerList) -> None:
        is_changed = False
        if found.revision > self._revision:
            read_at = clock.now() - found.age_ms / 1000.0
            is_changed = self._take(found.revision, found.entries, read_at)
        evacuated = platform.Evacuated(found.evacuated_revision, found.evacuated)
        if self._evacuate(evacuated) or is_changed:
            self._publish(link.instance)
            self._notify()


def _milliseconds(seconds: float) -> int:
    return int(min(seconds, MOST_AGE_SECONDS) * 1000)
