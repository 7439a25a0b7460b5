"""Fleet-wide limits of teams and services: the keeper's side.

Rendezvous hashing of its key assigns each limit to one keeper. Owners fetch permits
from it: rate permits in chunks that expire, concurrency permits one by one as leases.
In a partition each part has its own keeper that grants the whole limit, so the fleet
uses at most the limit times the number of parts; docs/design/limits.md has figures.
"""

import typing

from cassiaquay_schema import messages
from cassiaquay_schema import settings as settings_schema

from .. import clock, pause
from ..decisions import shards
from ..fleet import configuration, members
from ..links import peers

TEAM = "team"
SERVICE = "service"
# Beyond what it needs, an owner gets at most one in so many of the available permits;
# the others stay available to other owners.
CHUNK_DIVISOR = 4
CHUNK_LIFETIME_SECONDS = 1.0
BURST_SECONDS = 1.0


class Limit(typing.NamedTuple):
    """The limits of one team or service; None means unlimited."""

    rate: float | None
    concurrent: int | None


class Lease(typing.NamedTuple):
    """Number of requests that one owner runs under a limit, and the lease's expiry."""

    held: int
    expires_at: float


class Bucket:
    """Token bucket and concurrency leases of one limit at its keeper."""

    def __init__(self, now: float):
        # Start with one permit instead of a full second's: a keeper that takes over
        # has no record of what the previous keeper has just granted.
        self._permits = 1.0
        self._filled_at = now
        self._leases: dict[str, Lease] = {}

    def renew(self, owner: str, held: int, expires_at: float) -> None:
        """Record how many requests an owner runs, and extend its lease."""
        if held:
            self._leases[owner] = Lease(held, expires_at)
        else:
            self._leases.pop(owner, None)

    def take(
        self, limit: Limit, query: messages.LimitQuery, now: float
    ) -> tuple[int, float]:
        """Return the permits granted, and the seconds until the next is available."""
        count = query.needed
        wait = 0.0
        if limit.rate is not None:
            count, wait = self._take_rate(limit.rate, query, now)
        if limit.concurrent is not None:
            running = self._running(now)
            free = max(limit.concurrent - running, 0)
            if free < count or (not free and query.needed):
                wait = max(wait, self._concurrency_retry_seconds())
            count = min(count, free, query.needed)
        if limit.rate is not None:
            self._permits -= count
        return count, wait

    def _take_rate(
        self, rate: float, query: messages.LimitQuery, now: float
    ) -> tuple[int, float]:
        max_permits = max(rate * BURST_SECONDS, 1.0)
        filled = self._permits + (now - self._filled_at) * rate
        self._permits = min(filled, max_permits)
        self._filled_at = now
        available = int(self._permits)
        allowed = max(query.needed, available // CHUNK_DIVISOR)
        count = min(query.wanted, available, allowed)
        deficit = max(query.needed - self._permits, 1.0)
        return count, deficit / rate

    def _running(self, now: float) -> int:
        # An owner that has crashed or is partitioned stops renewing: its requests count
        # as ended when its lease expires.
        for owner in list(self._leases):
            if self._leases[owner].expires_at < now:
                del self._leases[owner]
        return sum(lease.held for lease in self._leases.values())

    def _concurrency_retry_seconds(self) -> float:
        return 0.5


class LimitKeeper:
    """Keeper of all limits that rendezvous hashing assigns to this instance.

    Parameters
    ----------
    settings : Settings
        Lease lifetime and renewal period.
    links : Peers
        Connections from owners.
    membership : Membership
        Reports membership changes, which may change the keeper of a limit.
    configured : Configuration
        The limits.
    pauses : Pauses, optional
        Reports pauses of this process, in which others may have granted in its place.
    """

    def __init__(
        self,
        settings: settings_schema.Settings,
        links: peers.Peers,
        membership: members.Membership,
        configured: configuration.Configuration,
        pauses: pause.Pauses | None = None,
    ):
        self._settings = settings
        self._configured = configured
        self._buckets: dict[str, Bucket] = {}
        self._members_changed_at = clock.now()
        links.on(messages.LimitQuery, self.query)
        links.on(messages.LimitReturn, self.give_back)
        membership.on_change(self._on_members_changed)
        self._pauses = pauses
        if pauses is not None:
            pauses.on_resume(self._on_pause)

    def query(self, replier: shards.Replier, query: messages.LimitQuery) -> None:
        """Answer an owner's query with permits."""
        if self._pauses is not None:
            self._pauses.check()
        limit = self.limit(query.key)
        now = clock.now()
        bucket = self._bucket(query.key, now)
        bucket.renew(replier.instance, query.held, self._expiry(now))
        if limit.concurrent is not None and now < self._opens_at:
            # After a membership change this keeper may be new: it waits until owners
            # have renewed what they run, or the limit would be granted a second time.
            count, wait = 0, self._opens_at - now
        else:
            count, wait = bucket.take(limit, query, now)
            if limit.concurrent is not None:
                held = query.held + count
                bucket.renew(replier.instance, held, self._expiry(now))
        lifetime_ms = int(CHUNK_LIFETIME_SECONDS * 1000)
        replier.send(
            messages.LimitPermits(query.key, count, lifetime_ms, int(wait * 1000))
        )

    def give_back(self, replier: shards.Replier, message: messages.LimitReturn) -> None:
        """Handle an owner's report of how many requests it still runs."""
        now = clock.now()
        bucket = self._bucket(message.key, now)
        bucket.renew(replier.instance, message.held, self._expiry(now))

    def limit(self, key: str) -> Limit:
        """Return the limits that the fleet text, the configuration, sets for a key."""
        snapshot = self._configured.current
        kind, _, name = key.partition(" ")
        if snapshot is None:
            return Limit(None, None)
        if kind == TEAM:
            team = snapshot.fleet.teams.get(name)
            if team is not None:
                return Limit(team.requests_per_second, team.concurrent)
        else:
            service = snapshot.fleet.services.get(name)
            if service is not None:
                return Limit(service.requests_per_second, service.concurrent)
        return Limit(None, None)

    @property
    def _opens_at(self) -> float:
        return self._members_changed_at + self._settings.keeper.renew_seconds * 1.5

    def _expiry(self, now: float) -> float:
        return now + self._settings.keeper.lease_seconds

    def _bucket(self, key: str, now: float) -> Bucket:
        if key not in self._buckets:
            self._buckets[key] = Bucket(now)
        return self._buckets[key]

    def _on_members_changed(self) -> None:
        self._members_changed_at = clock.now()

    def _on_pause(self) -> None:
        # Leases have ended unheard, and another keeper has granted permits meanwhile:
        # this one begins anew.
        self._buckets.clear()
        self._members_changed_at = clock.now()
