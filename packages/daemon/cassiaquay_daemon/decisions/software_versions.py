"""Software versions of backend servers, and which servers may go on with a stream.

What two versions write does not fit together, and servers do not check it: a stream
goes on only at servers of the version that began it. Versions have no order, and one
without a name is a version of its own.
"""

import collections
import collections.abc
import typing

from cassiaquay_schema import fleet, messages

from .. import clock
from . import shards

# Streams that a server began before it left are taken up again within this time.
RETENTION_SECONDS = 60.0


def matching(servers: list[fleet.Server], software: str | None) -> list[fleet.Server]:
    """Return the servers of a software version; all of them for None."""
    if software is None:
        return servers
    return [server for server in servers if server.software == software]


def lone(servers: list[fleet.Server]) -> set[str]:
    """Return the versions of one server only, if other versions have more servers."""
    counts = collections.Counter(server.software for server in servers)
    if len(counts) <= 1 or max(counts.values()) == 1:
        return set()
    return {software for software, count in counts.items() if count == 1}


def excluded(
    demand: messages.Demand, servers: collections.abc.Mapping[str, fleet.Server]
) -> frozenset[str]:
    """Return the servers that a demand must not be sent to, besides `avoid`.

    They had the request, want none of its owner, or are of another version than the one
    that its stream began at.
    """
    if demand.software is None:
        return frozenset(demand.tried)
    return _without(demand, servers, demand.software)


def excluded_now(demand: messages.Demand, shard: shards.Shard) -> frozenset[str]:
    """Return the servers that a demand must not be sent to now, besides `avoid`.

    These are also the servers of other versions than the one that a new stream begins
    at. Its wait is estimated with the slots of all of them: new streams are spread over
    the versions by slots, so each demand has those of its version before it.
    """
    if demand.begins_at is None or demand.software is not None:
        return excluded(demand, shard.servers)
    if not _is_usable(demand, shard):
        return excluded(demand, shard.servers)
    return _without(demand, shard.servers, demand.begins_at)


def _without(
    demand: messages.Demand,
    servers: collections.abc.Mapping[str, fleet.Server],
    software: str,
) -> frozenset[str]:
    """Return the servers that had a request and those of other versions."""
    names = set(demand.tried)
    for name, server in servers.items():
        if server.software != software:
            names.add(name)
    return frozenset(names)


def _is_usable(demand: messages.Demand, shard: shards.Shard) -> bool:
    """Return whether any server of the version of a new stream can be used.

    Servers that the request was sent to count, and those that are full: they may still
    be there when the stream is taken up, and do not show that it began elsewhere.
    """
    if demand.has_others:
        return True
    for server in shard.open_servers():
        if server.software != demand.begins_at:
            continue
        if not shard.exclusions.is_excluded(server.name):
            return True
    return False


class Evidence(typing.NamedTuple):
    """What is known of a service's servers before this instance observed them.

    Attributes
    ----------
    listed : list of ServerEntry
        Its servers that are listed now; those that leave, too.
    written : list of ServerEntry
        Entries of all services that were written a short time ago.
    removed : collection of str
        Names of servers whose entries were removed in that time.
    is_whole : bool
        Whether these are all entries that the platform has ever had.
    """

    listed: list[messages.ServerEntry]
    written: list[messages.ServerEntry]
    removed: collections.abc.Collection[str]
    is_whole: bool = False


def sole_version(
    service: str, evidence: Evidence, window_seconds: float, now_ms: float
) -> str | None:
    """Return the one version that a service has had; None if there may be others.

    After a kill of all instances none remembers the servers that have left since, and
    the version that is left may not be the one that began a stream. A server that began
    within the window may have replaced another one; one that was removed and of which
    nothing else is known may have been of any service and version.
    """
    versions = set()
    known_names = set()
    for entry in [*evidence.listed, *evidence.written]:
        known_names.add(entry.name)
        if entry.service == service:
            versions.add(entry.software)
    if len(versions) != 1 or not known_names.issuperset(evidence.removed):
        return None
    if evidence.is_whole:
        return versions.pop()
    youngest_ms = now_ms - window_seconds * 1000.0
    for entry in evidence.listed:
        if not 0 < entry.started_ms <= youngest_ms:
            return None
    return versions.pop()


class History:
    """The software versions that each service has, or had until a short time ago."""

    def __init__(self) -> None:
        # Time since which each service is observed.
        self._observed_since: dict[str, float] = {}
        # Time at which each version was last listed, by service.
        self._listed_at: dict[str, dict[str, float]] = {}
        self._current: fleet.Fleet | None = None

    def update(self, current: fleet.Fleet) -> None:
        """Record the servers that are listed from now on."""
        self._record()
        self._current = current
        self._record()

    def note(self, service: str, software: str) -> None:
        """Record a version that is listed now, if only at servers that leave."""
        self._listed_at.setdefault(service, {})[software] = clock.now()

    def covers(self, service: str, seconds: float) -> bool:
        """Return whether a service has been observed for some time."""
        now = clock.now()
        return self._observed_since.get(service, now) <= now - seconds

    def recent(self, service: str) -> set[str]:
        """Return the versions that a service has had within the retention time."""
        self._record()
        horizon = clock.now() - RETENTION_SECONDS
        listed_at = self._listed_at.get(service, {})
        for software in [item for item, at in listed_at.items() if at < horizon]:
            del listed_at[software]
        return set(listed_at)

    def _record(self) -> None:
        if self._current is None:
            return
        now = clock.now()
        for service, pool in self._current.pools.items():
            self._observed_since.setdefault(service, now)
            listed_at = self._listed_at.setdefault(service, {})
            for server in pool.servers:
                listed_at[server.software] = now
