"""Polls engines for cache events and load reports, which may be late or incomplete.

Admission stays correct without either. Cache events show a new keeper (the instance
that admits requests to a shard) which prefixes an engine caches, and show any keeper
which it has evicted. Load reports show work that this keeper did not grant, such as
that of a second keeper on the other side of a network partition.
"""

import asyncio
import typing

import aiohttp
import msgspec

from cassiaquay_schema import fleet, registry

from .. import bounded_http, clock, decoding, exceptions, logs
from ..decisions import policies, shards
from ..fleet import configuration
from ..keepers import keeper

PERIOD_SECONDS = 0.5
TIMEOUT_SECONDS = 1.0
# Cache events name each block that was stored or removed.
MAX_EVENTS_BYTES = 4 * 1024 * 1024
MAX_LOAD_BYTES = 64 * 1024


class CacheEvent(msgspec.Struct):
    """Blocks that an engine has stored in its prefix cache or removed from it."""

    sequence: int
    kind: str
    blocks: list[int]


class CacheEvents(msgspec.Struct):
    """Events after the requested sequence number, and the last number published."""

    sequence: int
    events: list[CacheEvent]


class LoadReport(msgspec.Struct):
    """Numbers of requests on an engine, sampled ``age_ms`` milliseconds ago."""

    age_ms: float
    running: int
    waiting: int


class Reader(typing.Protocol):
    """Reads reports from backend servers by one protocol."""

    def __init__(self, http: aiohttp.ClientSession): ...

    async def read_events(self, server: fleet.Server, after: int) -> CacheEvents:
        """Return the cache events after a sequence number."""

    async def read_load(self, server: fleet.Server) -> LoadReport:
        """Return the latest load report."""


readers: registry.Registry[type[Reader]] = registry.Registry("report reader")


@readers.register("engine-http")
class EngineHttp:
    """Reads the reports of model engines over HTTP."""

    def __init__(self, http: aiohttp.ClientSession):
        self._http = http

    async def read_events(self, server: fleet.Server, after: int) -> CacheEvents:
        """Return the cache events after a sequence number."""
        path = f"/v1/kv/events?after={after}"
        body = await self._get(server, path, MAX_EVENTS_BYTES)
        try:
            return decoding.decode_json(body, CacheEvents)
        except exceptions.UndecodableText as error:
            raise exceptions.BackendError(str(error)) from error

    async def read_load(self, server: fleet.Server) -> LoadReport:
        """Return the latest load report."""
        body = await self._get(server, "/v1/load", MAX_LOAD_BYTES)
        try:
            return decoding.decode_json(body, LoadReport)
        except exceptions.UndecodableText as error:
            raise exceptions.BackendError(str(error)) from error

    async def _get(self, server: fleet.Server, path: str, max_bytes: int) -> bytes:
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_SECONDS)
        url = f"http://{server.address}{path}"
        try:
            async with self._http.get(url, timeout=timeout) as response:
                return await bounded_http.read_body(response, max_bytes)
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise exceptions.BackendError(repr(error)) from error


class EngineReports:
    """Polls all engines of the shards whose keeper is this instance.

    Parameters
    ----------
    http : ClientSession
        Connections to backend servers.
    kept : Keeper
        The shards and placement policies that the reports update.
    configured : Configuration
        Names the adapter, and so the protocol, of each pool.
    """

    def __init__(
        self,
        http: aiohttp.ClientSession,
        kept: keeper.Keeper,
        configured: configuration.Configuration,
    ):
        self._keeper = kept
        self._configured = configured
        self._sequences: dict[str, int] = {}
        self._readers: dict[str, Reader] = {}
        for name in readers.names():
            self._readers[name] = readers.get(name)(http)

    async def poll(self) -> None:
        """Poll all engines every ``PERIOD_SECONDS`` until cancelled."""
        while True:
            await asyncio.sleep(PERIOD_SECONDS)
            for shard in list(self._keeper.shards.values()):
                if self._keeper.keeps(shard.name):
                    await self._read_shard(shard)

    async def _read_shard(self, shard: shards.Shard) -> None:
        snapshot = self._configured.current
        pool = shard.name.rpartition("#")[0]
        if snapshot is None or pool not in snapshot.fleet.pools:
            return
        reader = self._readers.get(snapshot.fleet.pools[pool].adapter)
        if reader is None:
            return
        reads = [
            self.read_engine(shard, reader, server) for server in shard.open_servers()
        ]
        await asyncio.gather(*reads)

    async def read_engine(
        self, shard: shards.Shard, reader: Reader, server: fleet.Server
    ) -> None:
        """Apply one engine's load report and cache events to its shard's state."""
        try:
            report = await reader.read_load(server)
            requests = report.running + report.waiting
            shard.load(server.name).report(requests, report.age_ms / 1000, clock.now())
            policy = self._keeper.policy(shard.name)
            if not isinstance(policy, policies.CacheAwarePolicy):
                return
            after = self._sequences.get(server.name, 0)
            cache_events = await reader.read_events(server, after)
        except exceptions.BackendError as error:
            # The keeper's own counts stay in use until the next report.
            logs.detail("report_unreadable", server=server.name, cause=str(error))
            return
        if cache_events.sequence < after:
            # Sequence numbers went back: the engine restarted with an empty cache.
            policy.cache_lost(server.name)
            cache_events.events = []
        for event in cache_events.events:
            policy.cache_changed(server.name, event.kind == "stored", event.blocks)
        self._sequences[server.name] = (
            cache_events.sequence if cache_events.sequence >= after else 0
        )
