"""The list of backend servers registered with the platform, shared by all instances.

If every instance read it each second, they would exhaust the platform's call quota. One
instance reads it; heartbeats carry the age of the list, and an instance whose list is
too old reads by itself. A reader that fails, pauses or loses the platform is thus
replaced within a fraction of a second, without an election.
"""

import asyncio
import random

from cassiaquay_schema import messages
from cassiaquay_schema import settings as settings_schema

from .. import clock, exceptions, logs, platform, positions, rendezvous
from ..configured import snapshots
from ..links import peers
from . import (
    configuration,
    demanded_reads,
    evacuations,
    freshness,
    members,
    outages,
    replication,
    server_list,
    transit,
)

# Each rank in the order of readers adds this to the age at which an instance reads:
# time for the reader before it to read and for a heartbeat to arrive.
RANK_DELAY_SECONDS = 0.35
# Instances of this rank and beyond read at the same age; together they are still few.
LAST_RANK = 2
# Delay after a failed read, for readers before the last rank and for the others. The
# latter wait longer: during an outage of the platform every list is too old, and
# hundreds of instances would retry all the time.
RETRY_DELAY_SECONDS = 0.15
LAST_RANK_RETRY_DELAY_SECONDS = 1.0
RETRY_JITTER = 0.4
MIN_SLEEP_SECONDS = 0.1
MAX_AGE_SECONDS = 3600.0
# A log line names at most this many servers: after a start all of them are new.
MAX_LOGGED_NAMES = 8
PLATFORM = "platform"
NEVER = float("-inf")


class Servers:
    """The list of backend servers, as recent as on any reachable instance.

    Parameters
    ----------
    settings : Settings
        Age at which the list is read.
    links : Peers
        Connections to the other instances.
    membership : Membership
        Supplies the neighbours and their heartbeats.
    configured : Configuration
        Receives the servers of each pool.
    store : ServerStore
        The platform's store in which servers register.
    texts : ConfigurationService
        Read together with the store, so that both have the same age.
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
        self._settings = settings
        self._links = links
        self._membership = membership
        self._configured = configured
        self._store = store
        self._texts = texts
        self._position = positions.START
        self._digest = 0
        self._outages = outages.Outages()
        self._read_at = NEVER
        self._reads = demanded_reads.DemandedReads(self._read_once)
        self._ranked: list[messages.Member] | None = None
        self._rank = LAST_RANK
        self._transit = transit.Transit()
        self._registered = server_list.ServerList()
        self._evacuations = evacuations.Evacuations()
        self._evacuated = self._evacuations.in_force
        self._added: list[str] = []
        self._is_failing = False
        self._is_discarding = False
        links.on(messages.ServerListQuery, self._handle_query)
        links.on(messages.ServerList, self._handle_list)
        links.on(messages.ServerWithdrawals, self._handle_withdrawals)
        membership.on_heartbeat(self._handle_heartbeat)

    @property
    def position(self) -> positions.Position:
        """Position of the platform at the last read of the list."""
        return self._position

    @property
    def count(self) -> int:
        """Number of known servers, listed and retained."""
        return self._registered.size

    @property
    def age(self) -> float:
        """Seconds since the list and the configuration were confirmed current."""
        return clock.now() - self._outages.confirmed_at

    @property
    def age_ms(self) -> int:
        """The age in milliseconds, at most ``MAX_AGE_SECONDS``."""
        return _milliseconds(self.age)

    @property
    def steady_since(self) -> float:
        """Since when the list has been confirmed without a gap, on this clock."""
        return self._outages.steady_since

    @property
    def steady_ms(self) -> int:
        """Milliseconds since then, at most ``MAX_AGE_SECONDS``."""
        return _milliseconds(clock.now() - self.steady_since)

    @property
    def is_behind(self) -> bool:
        """Whether a change that must already be in force may be missing here."""
        return self.age > self._settings.gateway.apply_seconds

    @property
    def state(self) -> freshness.Freshness:
        """Position, age and digest of the list, as sent in heartbeats."""
        steady_ms = self.steady_ms if self._position.revision else 0
        return freshness.Freshness(self._position, self.age_ms, self._digest, steady_ms)

    def entries(self) -> list[messages.ServerEntry]:
        """Return the entries of all known servers, those that leave, too."""
        return self._registered.entries()

    def close(self) -> None:
        """End what was begun on demand."""
        self._reads.close()

    async def read_past(self) -> platform.ServersPast:
        """Return the changes of registrations that the platform still has."""
        return await self._store.read_past()

    async def read(self) -> None:
        """Read the list whenever no other instance has recently, until cancelled."""
        while True:
            wait_s = self._next_read_at() - clock.now()
            if wait_s > 0.0:
                await asyncio.sleep(max(wait_s, MIN_SLEEP_SECONDS))
                continue
            if not await self.read_once():
                await asyncio.sleep(self._retry_delay())

    async def read_since(self, since: float, seconds: float) -> bool:
        """Return whether a read that began after a time shows what is current."""
        return await self._reads.wait(since, seconds)

    async def read_once(self) -> bool:
        """Read the list now; return whether the platform answered."""
        return await self._reads.run()

    async def _read_once(self, began: float) -> demanded_reads.Result:
        known = self._position
        try:
            # The configuration must not wait for entries that anyone may write.
            await self._configured.read_once(self._texts)
            registered = await self._store.read()
        except exceptions.PlatformError as error:
            if not self._is_failing:
                logs.event("servers_unreadable", cause=str(error), age_ms=self.age_ms)
            self._is_failing = True
            self._outages.note_failure(began)
            return demanded_reads.Result(False, False)
        if self._is_failing:
            logs.event("servers_readable", age_ms=self.age_ms)
        self._is_failing = False
        is_changed = self._apply(registered.position, registered.entries, began)
        self._evacuations.apply(self._texts.evacuated)
        if self._note_domains() or is_changed:
            self._publish(PLATFORM)
            self._send_to_neighbours()
        self._confirm(registered.position, began)
        return demanded_reads.Result(True, registered.position >= known)

    def _retry_delay(self) -> float:
        if self._rank < LAST_RANK:
            return RETRY_DELAY_SECONDS
        return LAST_RANK_RETRY_DELAY_SECONDS * (1.0 + RETRY_JITTER * random.random())

    def _next_read_at(self) -> float:
        """Return when to read the list next, in seconds on the local clock."""
        due_at = self._outages.confirmed_at + self._max_age()
        if not self._registered.retained:
            return due_at
        # A retained server that has left gets requests until a list that was read at
        # this time lacks it.
        retained_until = self._outages.retained_until + self._rank * RANK_DELAY_SECONDS
        return min(due_at, retained_until)

    def _max_age(self) -> float:
        serving = self._membership.serving()
        if serving is not self._ranked:
            self._ranked = serving
            self._rank = self._rank_among(serving)
        return self._settings.platform.servers_seconds + self._rank * RANK_DELAY_SECONDS

    def _rank_among(self, serving: list[messages.Member]) -> int:
        names = [member.instance for member in serving]
        ranked = rendezvous.rank("server list reader", names)
        own = self._settings.instance
        if own not in ranked:
            return LAST_RANK
        return min(ranked.index(own), LAST_RANK)

    def _apply(
        self,
        position: positions.Position,
        entries: list[messages.ServerEntry],
        read_at: float,
    ) -> bool:
        """Apply a list; return whether the usable servers have changed."""
        if position < self._position:
            # It is older than a list that another instance has sent meanwhile.
            if not self._is_discarding:
                logs.event(
                    "server_list_discarded",
                    revision=position.revision,
                    epoch=position.epoch or None,
                    known=self._position.revision,
                    known_epoch=self._position.epoch or None,
                )
            self._is_discarding = True
            return False
        self._is_discarding = False
        self._outages.note_read(read_at)
        if position.epoch > self._position.epoch and self._position.revision:
            logs.event(
                "servers_restored",
                revision=position.revision,
                epoch=position.epoch,
                known=self._position.revision,
            )
            self._outages.note_restored(read_at)
        self._position = position
        self._read_at = max(self._read_at, read_at)
        return self._merge(entries, read_at)

    def _note_domains(self) -> bool:
        """Return whether the domains out of use have changed; log the change."""
        before = self._evacuated
        self._evacuated = self._evacuations.in_force
        if self._evacuated == before:
            return False
        logs.event(
            "domains_evacuated",
            domains=",".join(self._evacuated.domains),
            before=",".join(before.domains),
            retained=",".join(self._evacuated.retained) or None,
            revision=self._evacuations.listed.position.revision,
        )
        self._digest = self._compute_digest()
        return True

    def _update_digest(self) -> None:
        """Put in force what has changed without a list: withdrawals end by time."""
        before = self._digest
        self._digest = self._compute_digest()
        if self._note_domains() or self._digest != before:
            self._publish(PLATFORM)

    def _compute_digest(self) -> int:
        return self._registered.digest(self._evacuated)

    def _confirm(self, position: positions.Position, read_at: float) -> None:
        if position < self._position:
            return
        self._position = position
        self._outages.confirm(read_at)
        self._read_at = max(self._read_at, read_at)
        self._drop_retained()

    def _merge(self, entries: list[messages.ServerEntry], read_at: float) -> bool:
        """Merge a full list; return whether the usable servers have changed."""
        # Right after an outage of the platform a missing entry may only have expired.
        # Dropping such entries at once could leave a working fleet without servers.
        retention_s = self._outages.retained_until - read_at
        change = self._registered.replace_entries(
            self._position, entries, retention_s > 0.0
        )
        for name in change.retained:
            logs.event(
                "server_retained",
                server=name,
                revision=self._position.revision,
                left_ms=round(retention_s * 1000),
            )
        self._log_gone(change.gone)
        self._added.extend(change.added)
        before = self._digest
        self._digest = self._compute_digest()
        return self._digest != before or bool(change.gone)

    def _drop_retained(self) -> None:
        """Drop what is retained and what a list read late enough still lacks."""
        is_changed = self._note_domains()
        is_late = self._outages.confirmed_at >= self._outages.retained_until
        if is_late and self._registered.retained:
            self._log_gone(self._registered.drop_retained())
            is_changed = True
        if is_changed:
            self._publish(PLATFORM)

    def _log_gone(self, names: list[str]) -> None:
        for name in names:
            logs.event("server_gone", server=name)

    def _publish(self, source: str) -> None:
        pools = self._registered.pools()
        logs.event(
            "servers_in_force",
            revision=self._position.revision,
            epoch=self._position.epoch or None,
            source=source,
            usable=sum(len(servers) for servers in pools.values()),
            known=self.count,
            added=",".join(sorted(self._added)[:MAX_LOGGED_NAMES]) or None,
            added_count=len(self._added) or None,
            software=server_list.count_software(pools) or None,
        )
        self._added.clear()
        self._configured.set_registered_servers(
            snapshots.RegisteredServers(pools, self._evacuated.domains)
        )

    def _send_to_neighbours(self) -> None:
        # A leaving server must get no new requests within seconds, so each instance
        # forwards a changed list to its neighbours at once, each list once.
        for message in self._messages():
            replication.send_to_neighbours(self._links, self._membership, message)

    def _messages(self) -> list[messages.Message]:
        """Return the list for sending, after what corrects it."""
        withdrawn = self._withdrawals()
        listed = self._message()
        return [listed] if withdrawn is None else [withdrawn, listed]

    def _message(self) -> messages.ServerList:
        # This is the age of the read, not of the confirmation, which also covers the
        # configuration. The receiver derives platform outages from it.
        listed = self._evacuations.listed
        return messages.ServerList(
            self._position.revision,
            _milliseconds(clock.now() - self._read_at),
            self._registered.listed,
            listed.domains,
            listed.position.revision,
            epoch=self._position.epoch,
            evacuated_epoch=listed.position.epoch,
        )

    def _withdrawals(self) -> messages.ServerWithdrawals | None:
        """Return what corrects a restored platform's list; None for nothing."""
        epoch = self._position.epoch
        servers = self._registered.withdrawals.to_send(epoch)
        retained = self._evacuations.retained
        if not servers and not retained:
            return None
        left_ms = _milliseconds(min(retained.values(), default=0.0))
        return messages.ServerWithdrawals(servers, list(retained), left_ms)

    def _handle_heartbeat(self, link: peers.Link, beat: messages.Heartbeat) -> None:
        delay = self._transit.seconds(link, beat.sent_ms)
        age = beat.servers_age_ms / 1000.0 + delay
        position = positions.Position(beat.servers_epoch, beat.servers_revision)
        if beat.servers_steady_ms and position.epoch == self._position.epoch:
            now = clock.now()
            steady_since = now - beat.servers_steady_ms / 1000.0
            self._outages.note_peer_interval(steady_since, now - age)
            self._drop_retained()
        if not position.revision or position < self._position:
            return
        if beat.servers_digest != self._digest:
            self._update_digest()
        is_restored = position.epoch > self._position.epoch
        if is_restored or beat.servers_digest != self._digest:
            link.send(
                messages.ServerListQuery(
                    self._position.revision, self._position.epoch, self._digest
                )
            )
            return
        # A neighbour with a newer configuration does not confirm this list: until its
        # text arrives, requests are served by the older text, and a revoked key would
        # be accepted all that time.
        if self._configured.should_fetch(positions.version_in(beat)):
            return
        # The lists are equal, so only the later confirmation counts. Its age was
        # correct when the heartbeat was sent; the transit time is added.
        self._confirm(position, clock.now() - age)

    def _handle_query(self, link: peers.Link, query: messages.ServerListQuery) -> None:
        position = positions.Position(query.epoch, query.revision)
        if position < self._position:
            for message in self._messages():
                link.send(message)
            return
        # Lists of one position differ by what the instances know to be wrong in them.
        withdrawn = self._withdrawals()
        is_equal = position == self._position and query.digest == self._digest
        if withdrawn is not None and not is_equal:
            link.send(withdrawn)

    def _handle_withdrawals(
        self, link: peers.Link, message: messages.ServerWithdrawals
    ) -> None:
        for withdrawal in message.servers:
            self._registered.withdrawals.learn(withdrawal)
        self._evacuations.learn(message.evacuated, message.evacuated_ms / 1000.0)
        self._update_digest()

    def _handle_list(self, link: peers.Link, message: messages.ServerList) -> None:
        position = positions.Position(message.epoch, message.revision)
        is_changed = False
        if position > self._position:
            read_at = clock.now() - message.age_ms / 1000.0
            entries = server_list.reachable(message.entries)
            is_changed = self._apply(position, entries, read_at)
        evacuated_at = positions.Position(
            message.evacuated_epoch, message.evacuated_revision
        )
        self._evacuations.apply(platform.Evacuated(evacuated_at, message.evacuated))
        if self._note_domains() or is_changed:
            self._publish(link.instance)
            self._send_to_neighbours()


def _milliseconds(seconds: float) -> int:
    return int(min(seconds, MAX_AGE_SECONDS) * 1000)
