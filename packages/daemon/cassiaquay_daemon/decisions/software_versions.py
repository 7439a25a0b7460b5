"""Software versions of backend servers, and which servers may go on with a stream.

What two versions write does not fit together, and servers do not check it: a stream
goes on only at servers of the version that began it. Versions have no order, and one
without a name is a version of its own.
"""

import collections.abc

from cassiaquay_schema import fleet, messages


def matching(servers: list[fleet.Server], software: str | None) -> list[fleet.Server]:
    """Return the servers of a software version; all of them for None."""
    if software is None:
        return servers
    return [server for server in servers if server.software == software]


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
