"""One accepted configuration, indexed for lookups.

A request uses the snapshot that was in force when it arrived until it ends.
"""

import collections
import collections.abc
import functools
import hashlib
import math
import typing

import msgspec

from cassiaquay_schema import exceptions, registry, texts
from cassiaquay_schema import fleet as fleet_schema

from .. import positions, rendezvous
from ..adapters import backends
from . import routing

# Maximum number of servers per shard. A keeper weighs every server of its shard for
# every request; with this many it uses a few hundredths of a core at the loads of
# docs/CAPACITY.md.
SHARD_SERVERS = 16
# Maximum size of a shard relative to an even split of the servers. The headroom lets
# nearly all servers keep their shard when one is added or removed.
SHARD_SIZE_FACTOR = 1.1


class Snapshot(typing.NamedTuple):
    """An accepted fleet text.

    Attributes
    ----------
    revision : int
        The platform's revision at which it was written.
    text : str
        The fleet text as published.
    fleet : Fleet
        The parsed and checked text.
    teams_by_credential : dict of str to str
        Team names by SHA-256 hex digest of a credential.
    routes : Routing or None
        Routes of callers' plain HTTP requests; None when the configuration has none.
    epoch : int
        Epoch of the platform in which it was written.
    number : int
        The operators' number of the text; 0 if it has none.
    """

    revision: int
    text: str
    fleet: fleet_schema.Fleet
    teams_by_credential: dict[str, str]
    routes: routing.Routing | None = None
    epoch: int = 0
    number: int = 0

    @property
    def label(self) -> int:
        """What operators see: their number of the text, else the revision."""
        return self.number or self.revision

    @property
    def fence(self) -> int:
        """Fencing number of orders under this text; never lower for a newer text."""
        return self.number or self.epoch << positions.REVISION_BITS | self.revision

    def team_of(self, credential: str) -> str | None:
        """Return the team that a credential belongs to."""
        digest = hashlib.sha256(credential.encode()).hexdigest()
        return self.teams_by_credential.get(digest)

    def shard_count(self, pool: str) -> int:
        """Return the number of shards of a pool, a power of two."""
        # A change of the count redistributes requests and servers. Powers of two keep
        # it constant while single servers are added and removed.
        needed = -(-len(self._servers(pool)) // SHARD_SERVERS)
        return 1 << (needed - 1).bit_length() if needed else 0

    def siblings(self, shard: str) -> list[str]:
        """Return the names of the other shards of a shard's pool."""
        pool, _, _ = shard.rpartition("#")
        if pool not in self.fleet.pools:
            return []
        return list(_other_shards(shard, self.shard_count(pool)))

    def shard_servers(self, shard: str) -> list[fleet_schema.Server]:
        """Return the backend servers of a shard such as ``tutor#0``."""
        pool, _, number = shard.rpartition("#")
        if pool not in self.fleet.pools:
            return []
        count = self.shard_count(pool)
        if int(number) >= count:
            return []
        servers = sorted(self.fleet.pools[pool].servers, key=_server_name)
        numbers = _assign_shards(tuple(server.name for server in servers), count)
        shard_servers = []
        for server, chosen in zip(servers, numbers, strict=True):
            if chosen == int(number):
                shard_servers.append(server)
        return shard_servers

    def shard_of(self, pool: str, key: str) -> str:
        """Return the shard of a key; shards get keys in proportion to their servers."""
        count = self.shard_count(pool)
        if count <= 1:
            return f"{pool}#0"
        names = tuple(sorted(server.name for server in self.fleet.pools[pool].servers))
        return f"{pool}#{rendezvous.weighted(key, _shard_weights(names, count))}"

    def server(self, pool: str, name: str) -> fleet_schema.Server | None:
        """Return a backend server by name."""
        for server in self._servers(pool):
            if server.name == name:
                return server
        return None

    @property
    def server_starts(self) -> dict[str, int]:
        """Start times of all pools' backend servers in Unix ms, 0 if unknown."""
        starts: dict[str, int] = {}
        for pool in self.fleet.pools.values():
            for server in pool.servers:
                starts[server.name] = server.started_ms
        return starts

    def is_evacuated(self, server: fleet_schema.Server) -> bool:
        """Return whether a server's failure domain is evacuated, or out of use."""
        return server.domain in self.fleet.evacuated

    @property
    def evacuated_names(self) -> set[str]:
        """Names of the backend servers in evacuated failure domains."""
        names = set()
        for pool in self.fleet.pools.values():
            for server in pool.servers:
                if self.is_evacuated(server):
                    names.add(server.name)
        return names

    def open_server(self, pool: str, name: str) -> fleet_schema.Server | None:
        """Return a backend server by name if it may get new work."""
        server = self.server(pool, name)
        return None if server is None or self.is_evacuated(server) else server

    def open_servers(self, pool: str) -> list[fleet_schema.Server]:
        """Return the backend servers of a pool that may get new work."""
        servers = self._servers(pool)
        return [server for server in servers if not self.is_evacuated(server)]

    def _servers(self, pool: str) -> list[fleet_schema.Server]:
        """Return the backend servers of a pool; none if the pool has been removed."""
        found = self.fleet.pools.get(pool)
        return [] if found is None else found.servers


@functools.lru_cache(maxsize=256)
def _other_shards(shard: str, count: int) -> tuple[str, ...]:
    # Asked for each demand that a keeper might move to another shard.
    pool, _, _ = shard.rpartition("#")
    names = (f"{pool}#{number}" for number in range(count))
    return tuple(name for name in names if name != shard)


Reader = collections.abc.Callable[[int, str], Snapshot]
readers: registry.Registry[Reader] = registry.Registry("text format")


class RegisteredServers(typing.NamedTuple):
    """The platform's published list of backend servers.

    Attributes
    ----------
    pools : dict of str to list of Server
        Servers by pool name.
    evacuated : list of str
        Failure domains that the operator has taken out of use.
    """

    pools: dict[str, list[fleet_schema.Server]]
    evacuated: list[str]


def with_servers(snapshot: Snapshot, registered: RegisteredServers) -> Snapshot:
    """Return a copy of a snapshot whose pools contain the registered servers."""
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
    """Return the snapshot of a fleet text; raise SchemaError when it is invalid."""
    parsed = texts.read_fleet(text)
    _check_adapters(parsed)
    credentials = {}
    for name, team in parsed.teams.items():
        for digest in team.credentials:
            credentials[digest] = name
    return Snapshot(revision, text, parsed, credentials)


@functools.lru_cache(maxsize=64)
def _assign_shards(names: tuple[str, ...], count: int) -> list[int]:
    """Return the shard number of each server.

    A server should keep its shard: the keeper of another shard has no record of the
    requests running on the server and would overload it. So each server goes to the
    shard that ranks highest by rendezvous hashing of its name and is not full.
    """
    shards = [str(number) for number in range(count)]
    max_servers = (
        math.ceil(len(names) / count * SHARD_SIZE_FACTOR) if count > 1 else len(names)
    )
    taken: collections.Counter[str] = collections.Counter()
    shard_numbers = []
    for name in names:
        for shard in rendezvous.rank(name, shards):
            if taken[shard] >= max_servers:
                continue
            taken[shard] += 1
            shard_numbers.append(int(shard))
            break
    return shard_numbers


@functools.lru_cache(maxsize=64)
def _shard_weights(names: tuple[str, ...], count: int) -> dict[str, float]:
    """Return the number of servers of each shard, by shard number."""
    numbers = _assign_shards(names, count)
    return {str(number): float(numbers.count(number)) for number in set(numbers)}


def _server_name(server: fleet_schema.Server) -> str:
    return server.name


def _check_adapters(parsed: fleet_schema.Fleet) -> None:
    # If accepted, such a text would fail each request of the pool at its dispatch.
    adapter_names = backends.backends.names()
    for name, pool in parsed.pools.items():
        if pool.adapter in adapter_names:
            continue
        raise exceptions.NameFault(
            f"no adapter is registered as {pool.adapter!r}",
            f"pools.{name}.adapter",
            f"one of: {', '.join(adapter_names)}",
        )
