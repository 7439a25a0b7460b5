"""One accepted configuration, indexed for use. Requests keep the one they came with."""

import collections.abc
import hashlib
import typing

import msgspec

from cassiaquay_schema import exceptions, registry, texts
from cassiaquay_schema import fleet as fleet_schema

from . import backends, routing

SHARD_SERVERS = 16


class Snapshot(typing.NamedTuple):
    """An accepted fleet text.

    Attributes
    ----------
    revision : int
        Its place in the platform's order.
    text : str
        As published.
    fleet : Fleet
        Parsed and checked.
    teams_by_credential : dict of str to str
        Team names by SHA-256 hex digest of a credential.
    routes : Routing or None
        Routes of callers' plain HTTP, where the configuration has any.
    """

    revision: int
    text: str
    fleet: fleet_schema.Fleet
    teams_by_credential: dict[str, str]
    routes: routing.Routing | None = None

    def team_of(self, credential: str) -> str | None:
        """Return the team that a credential belongs to."""
        digest = hashlib.sha256(credential.encode()).hexdigest()
        return self.teams_by_credential.get(digest)

    def shard_count(self, pool: str) -> int:
        """Return the number of shards of a pool."""
        return -(-len(self.fleet.pools[pool].servers) // SHARD_SERVERS)

    def shard_servers(self, shard: str) -> list[fleet_schema.Server]:
        """Return the backend servers of a shard such as ``tutor#0``."""
        pool, _, number = shard.rpartition("#")
        if pool not in self.fleet.pools:
            return []
        count = self.shard_count(pool)
        if int(number) >= count:
            return []
        servers = sorted(self.fleet.pools[pool].servers, key=_name)
        return servers[int(number) :: count]

    def server(self, pool: str, name: str) -> fleet_schema.Server | None:
        """Return a backend server by name."""
        for server in self.fleet.pools[pool].servers:
            if server.name == name:
                return server
        return None


Reader = collections.abc.Callable[[int, str], Snapshot]
readers: registry.Registry[Reader] = registry.Registry("text format")


def with_servers(
    snapshot: Snapshot, servers: dict[str, list[fleet_schema.Server]]
) -> Snapshot:
    """Return a snapshot whose pools have these servers, by name of the pool."""
    pools = {}
    for name, pool in snapshot.fleet.pools.items():
        pools[name] = msgspec.structs.replace(pool, servers=servers.get(name, []))
    fleet = msgspec.structs.replace(snapshot.fleet, pools=pools)
    return snapshot._replace(fleet=fleet)


@readers.register("fleet")
def read(revision: int, text: str) -> Snapshot:
    """Return the snapshot of a text; raise SchemaError when it is not accepted."""
    found = texts.read_fleet(text)
    _check_adapters(found)
    credentials = {}
    for name, team in found.teams.items():
        for digest in team.credentials:
            credentials[digest] = name
    return Snapshot(revision, text, found, credentials)


def _name(server: fleet_schema.Server) -> str:
    return server.name


def _check_adapters(found: fleet_schema.Fleet) -> None:
    # In force, such a text would fail each request of the pool at its dispatch.
    known = backends.backends.names()
    for name, pool in found.pools.items():
        if pool.adapter in known:
            continue
        raise exceptions.NameFault(
            f"no adapter is registered as {pool.adapter!r}",
            f"pools.{name}.adapter",
            f"one of: {', '.join(known)}",
        )
