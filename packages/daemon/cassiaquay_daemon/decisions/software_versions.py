"""Software versions of backend servers, and which servers may go on with a stream.

What two versions write does not fit together, and servers do not check it: a stream
goes on only at servers of the version that began it. Versions have no order, and one
without a name is a version of its own.
"""

import collections
import collections.abc

from cassiaquay_schema import fleet, messages

from .. import clock

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
    names = set(demand.tried)
    for name, server in servers.items():
        if server.software != demand.software:
            names.add(name)
    return frozenset(names)


class History:
    """The software versions that each service has, or had until a short time ago."""

    def __init__(self) -> None:
        # Time at which each version was last listed, by service.
        self._listed_at: dict[str, dict[str, float]] = {}
        self._current: fleet.Fleet | None = None

    def update(self, current: fleet.Fleet) -> None:
        """Record the servers that are listed from now on."""
        self._record()
        self._current = current
        self._record()

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
            listed_at = self._listed_at.setdefault(service, {})
            for server in pool.servers:
                listed_at[server.software] = now
