"""Baseline policies, for comparison by the bench only; no fleet should use them.

They stand for what is commonly put in front of engines: none knows tiers or teams, none
sheds but at the deadline, and all but ``first-come-local`` send on at once, so that
requests wait in the engines' own queues.
"""

import asyncio
import typing

import aiohttp
import msgspec

from cassiaquay_schema import fleet, messages

from .. import clock, rendezvous
from ..decisions import policies, shards

# Under this policy each owner keeps its own shards: there are no keepers.
LOCAL = "first-come-local"
POLL_SECONDS = 0.5


class _Immediate:
    """Sends each request on as soon as it comes."""

    def __init__(self, shard: shards.Shard):
        self._shard = shard

    def serve(self) -> None:
        """Grant everything in order of arrival."""
        shard = self._shard
        for waiting in list(shard.queue.values()):
            avoid = waiting.demand.avoid
            servers = [s for s in shard.open_servers() if s.name not in avoid]
            if not servers:
                continue
            shard.grant(waiting, self._choose(waiting.demand, servers).name)

    def learn(self, release: messages.Release) -> None:
        """Learn nothing."""

    def _choose(
        self, demand: messages.Demand, servers: list[fleet.Server]
    ) -> fleet.Server:
        raise NotImplementedError


@policies.policies.register("round-robin")
class RoundRobin(_Immediate):
    """Each server in turn."""

    def __init__(self, shard: shards.Shard):
        super().__init__(shard)
        self._turn = 0

    def _choose(
        self, demand: messages.Demand, servers: list[fleet.Server]
    ) -> fleet.Server:
        self._turn += 1
        return servers[self._turn % len(servers)]


@policies.policies.register("prefix-sticky")
class PrefixSticky(_Immediate):
    """The server that rendezvous hashing gives the session or the first block."""

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
    """The server whose last load report was the lowest for its slots."""

    def __init__(self, shard: shards.Shard):
        super().__init__(shard)
        self._reports: dict[str, int] = {}
        self._polled_at = 0.0
        self._poll: asyncio.Task[None] | None = None

    def serve(self) -> None:
        """Grant everything in order of arrival; read the reports now and then."""
        due = clock.now() - self._polled_at >= POLL_SECONDS
        if due and (self._poll is None or self._poll.done()):
            self._polled_at = clock.now()
            self._poll = asyncio.create_task(self._read(self._shard.open_servers()))
        super().serve()

    def _choose(
        self, demand: messages.Demand, servers: list[fleet.Server]
    ) -> fleet.Server:
        return min(servers, key=self._reported)

    def _reported(self, server: fleet.Server) -> float:
        return self._reports.get(server.name, 0) / server.slots

    async def _read(self, servers: list[fleet.Server]) -> None:
        timeout = aiohttp.ClientTimeout(total=POLL_SECONDS)
        async with aiohttp.ClientSession(timeout=timeout) as http:
            for server in servers:
                url = f"http://{server.address}/v1/load"
                try:
                    async with http.get(url) as response:
                        body = await response.read()
                    found = msgspec.json.decode(body, type=_Load)
                except (TimeoutError, aiohttp.ClientError, msgspec.DecodeError):
                    # Plain services report nothing, and an engine may be gone.
                    continue
                self._reports[server.name] = found["tokens_in_flight"]


@policies.policies.register(LOCAL)
class FirstComeLocal:
    """Order of arrival at each owner by itself; a server's slots bound each owner."""

    def __init__(self, shard: shards.Shard):
        self._shard = shard

    def serve(self) -> None:
        """Grant in order of arrival; the first that must wait holds the others."""
        shard = self._shard
        for waiting in list(shard.queue.values()):
            server = self._place(waiting.demand)
            if server is None:
                return
            shard.grant(waiting, server.name)

    def learn(self, release: messages.Release) -> None:
        """Learn nothing."""

    def _place(self, demand: messages.Demand) -> fleet.Server | None:
        shard = self._shard
        free = []
        for server in shard.open_servers():
            if server.name in demand.avoid:
                continue
            if shard.count_on(server.name) < server.slots:
                free.append(server)
        if not free:
            return None
        return min(free, key=lambda s: shard.count_on(s.name) / s.slots)
