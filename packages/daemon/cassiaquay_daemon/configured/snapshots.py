"""One accepted configuration, indexed for use. Requests keep the one they came with."""

import collections
import collections.abc
import functools
import hashlib
import math
import typing

import msgspec

from cassiaquay_schema import exceptions, registry, texts
from cassiaquay_schema import fleet as fleet_schema

from .. import rendezvous
from ..adapters import backends
from . import routing

# A keeper weighs every server of its shard for every request; this many keep it within
# a few hundredths of a core at the loads of docs/CAPACITY.md.
SHARD_SERVERS = 16
# A shard takes at most this much more than its even part of the servers: enough that
# a server which comes or goes moves hardly any other one.
SHARD_ROOM = 1.1


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
        """Return the number of shards of a pool, a power of two."""
        # Requests and servers are spread anew when it changes; doubling keeps it the
        # same while servers come and go.
        needed = -(-len(self.fleet.pools[pool].servers) // SHARD_SERVERS)
        return 1 << (needed - 1).bit_length() if needed else 0

    def siblings(self, shard: str) -> list[str]:
        """Return the names of the other shards of a shard's pool."""
        pool, _, _ = shard.rpartition("#")
        if pool not in self.fleet.pools:
            return []
        names = [f"{pool}#{number}" for number in range(self.shard_count(pool))]
        return [name for name in names if name != shard]

    def shard_servers(self, shard: str) -> list[fleet_schema.Server]:
        """Return the backend servers of a shard such as ``tutor#0``."""
        pool, _, number = shard.rpartition("#")
        if pool not in self.fleet.pools:
            return []
        count = self.shard_count(pool)
        if int(number) >= count:
            return []
        servers = sorted(self.fleet.pools[pool].servers, key=_name)
        numbers = _assign(tuple(server.name for server in servers), count)
        found = []
        for server, chosen in zip(servers, numbers, strict=True):
            if chosen == int(number):
                found.append(server)
        return found

    def shard_of(self, pool: str, key: str) -> str:
        """Return the shard that serves a key, each as often as it has servers."""
        count = self.shard_count(pool)
        if count <= 1:
            return f"{pool}#0"
        names = tuple(sorted(server.name for server in self.fleet.pools[pool].servers))
        return f"{pool}#{rendezvous.weighted(key, _weights(names, count))}"

    def server(self, pool: str, name: str) -> fleet_schema.Server | None:
        """Return a backend server by name."""
        for server in self.fleet.pools[pool].servers:
            if server.name == name:
                return server
        return None

    def is_evacuated(self, server: fleet_schema.Server) -> bool:
        """Tell whether a server's failure domain was taken out of use."""
        return server.domain in self.fleet.evacuated

    @property
    def evacuated_names(self) -> set[str]:
        """Names of the backend servers in evacuated failure domains."""
        found = set()
        for pool in self.fleet.pools.values():
            for server in pool.servers:
                if self.is_evacuated(server):
                    found.add(server.name)
        return found

    def open_server(self, pool: str, name: str) -> fleet_schema.Server | None:
        """Return a backend server by name if it may get new work."""
        found = self.server(pool, name)
        return None if found is None or self.is_evacuated(found) else found

    def open_servers(self, pool: str) -> list[fleet_schema.Server]:
        """Return the backend servers of a pool that may get new work."""
        servers = self.fleet.pools[pool].servers
        return [server for server in servers if not self.is_evacuated(server)]


Reader = collections.abc.Callable[[int, str], Snapshot]
readers: registry.Registry[Reader] = registry.Registry("text format")


class RegisteredServers(typing.NamedTuple):
    """What the platform publishes of backend servers.

    Attributes
    ----------
    pools : dict of str to list of Server
        Servers by name of the pool.
    evacuated : list of str
        Failure domains that the operator took out of use.
    """

    pools: dict[str, list[fleet_schema.Server]]
    evacuated: list[str]


def with_servers(snapshot: Snapshot, registered: RegisteredServers) -> Snapshot:
    """Return a snapshot whose pools have the servers that registered."""
    pools = {}
    for name, pool in snapshot.fleet.pools.items():
        pools[name] = msgspec.structs.replace(
            pool, servers=registered.pools.get(name, [])
        )
    evacuated = sorted({*snapshot.fleet.evacuated, *registered.evacuated})
    fleet = msgspec.structs.replace(snapshot.fleet, pools=pools, evacuated=evacuated)
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


@functools.lru_cache(maxsize=64)
def _assign(names: tuple[str, ...], count: int) -> list[int]:
    """Return the number of the shard of each server.

    A server that moved to another shard would meet a keeper that knows nothing of what
    runs on it, and get more than its share. So each goes to the shard that its own name
    favours, as long as that one has room.
    """
    shards = [str(number) for number in range(count)]
    most = math.ceil(len(names) / count * SHARD_ROOM) if count > 1 else len(names)
    taken: collections.Counter[str] = collections.Counter()
    found = []
    for name in names:
        for shard in rendezvous.rank(name, shards):
            if taken[shard] >= most:
                continue
            taken[shard] += 1
            found.append(int(shard))
            break
    return found


@functools.lru_cache(maxsize=64)
def _weights(names: tuple[str, ...], count: int) -> dict[str, float]:
    """Return the number of servers of each shard, by its number."""
    numbers = _assign(names, count)
    return {str(number): float(numbers.count(number)) for number in set(numbers)}


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
