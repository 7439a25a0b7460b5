"""Baseline policies that benchmarks compare against; not for production fleets.

They model common load balancers: none distinguishes tiers or teams, each sheds a
request only at its deadline, and all but ``first-come-local`` dispatch at once, so that
requests wait in the engines' own queues.
"""

import asyncio
import typing

import aiohttp

from cassiaquay_schema import fleet, messages

from .. import bounded_http, clock, decoding, exceptions, logs, rendezvous
from ..decisions import policies, shards, software_versions

# Under this policy each owner is the keeper of every shard for its own requests.
LOCAL = "first-come-local"
POLL_SECONDS = 0.5
MAX_LOAD_BYTES = 64 * 1024


class _Immediate:
    """Grants each request as soon as it arrives, regardless of free slots."""

    def __init__(self, shard: shards.Shard):
        self._shard = shard

    def serve(self) -> None:
        """Grant all queued demands in order of arrival."""
        shard = self._shard
        for waiting in list(shard.queue.values()):
            excluded = software_versions.excluded_now(waiting.demand, shard)
            avoid = excluded.union(waiting.demand.avoid)
            servers = [
                server for server in shard.open_servers() if server.name not in avoid
            ]
            if not servers:
                continue
            shard.grant(waiting, self._choose(waiting.demand, servers).name)

    def learn(self, release: messages.Release) -> None:
        """Do nothing: this policy keeps no statistics."""

    def _choose(
        self, demand: messages.Demand, servers: list[fleet.Server]
    ) -> fleet.Server:
        raise NotImplementedError


@policies.policies.register("round-robin")
class RoundRobin(_Immediate):
    """Selects the servers in turn."""

    def __init__(self, shard: shards.Shard):
        super().__init__(shard)
        self._next_index = 0

    def _choose(
        self, demand: messages.Demand, servers: list[fleet.Server]
    ) -> fleet.Server:
        self._next_index += 1
        return servers[self._next_index % len(servers)]


@policies.policies.register("prefix-sticky")
class PrefixSticky(_Immediate):
    """Selects a server by rendezvous hashing of the session or the first block."""

    def _choose(
        self, demand: messages.Demand, servers: list[fleet.Server]
    ) -> fleet.Server:
        key = demand.session or str(demand.blocks[:1] or demand.id)
        name = rendezvous.first(key, [server.name for server in servers])
        return next(server for server in servers if server.name == name)


class _Load(typing.TypedDict):
    tokens_in_flight: int


@policies.policies.register("least-reported")
class LeastReported(_Immediate):
    """Selects the server with the lowest reported load per slot."""

    def __init__(self, shard: shards.Shard):
        super().__init__(shard)
        self._reports: dict[str, int] = {}
        self._polled_at = 0.0
        self._poll_task: asyncio.Task[None] | None = None

    def serve(self) -> None:
        """Grant all queued demands in order of arrival; poll loads periodically."""
        due = clock.now() - self._polled_at >= POLL_SECONDS
        if due and (self._poll_task is None or self._poll_task.done()):
            self._polled_at = clock.now()
            self._poll_task = asyncio.create_task(
                self._poll_loads(self._shard.open_servers())
            )
        super().serve()

    def _choose(
        self, demand: messages.Demand, servers: list[fleet.Server]
    ) -> fleet.Server:
        return min(servers, key=self._load_per_slot)

    def _load_per_slot(self, server: fleet.Server) -> float:
        return self._reports.get(server.name, 0) / server.slots

    async def _poll_loads(self, servers: list[fleet.Server]) -> None:
        timeout = aiohttp.ClientTimeout(total=POLL_SECONDS)
        connector = bounded_http.create_connector()
        async with bounded_http.create_session(connector, timeout=timeout) as http:
            for server in servers:
                url = f"http://{server.address}/v1/load"
                try:
                    async with http.get(url) as response:
                        body = await bounded_http.read_body(response, MAX_LOAD_BYTES)
                    load: _Load = decoding.decode_json(body, _Load)
                except (
                    TimeoutError,
                    aiohttp.ClientError,
                    exceptions.UndecodableText,
                ) as error:
                    # Plain services report no load, and an engine may be down.
                    logs.detail(
                        "load_unreadable", server=server.name, cause=repr(error)
                    )
                    continue
                self._reports[server.name] = load["tokens_in_flight"]


@policies.policies.register(LOCAL)
class FirstComeLocal:
    """First come, first served within each owner.

    Owners don't coordinate: each one may fill all slots of a server.
    """

    def __init__(self, shard: shards.Shard):
        self._shard = shard

    def serve(self) -> None:
        """Grant in order of arrival; a demand without a free slot blocks the rest."""
        shard = self._shard
        for waiting in list(shard.queue.values()):
            server = self._least_loaded_server(waiting.demand)
            if server is None:
                return
            shard.grant(waiting, server.name)

    def learn(self, release: messages.Release) -> None:
        """Do nothing: this policy keeps no statistics."""

    def _least_loaded_server(self, demand: messages.Demand) -> fleet.Server | None:
        shard = self._shard
        free = []
        avoid = software_versions.excluded_now(demand, shard).union(demand.avoid)
        for server in shard.open_servers():
            if server.name in avoid:
                continue
            if shard.count_on(server.name) < server.slots:
                free.append(server)
        if not free:
            return None
        return min(free, key=lambda server: shard.count_on(server.name) / server.slots)
