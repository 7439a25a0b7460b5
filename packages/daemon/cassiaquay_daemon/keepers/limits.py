"""Fleet-wide limits of teams and services: the owner's side.

Rate permits are fetched in chunks and used in order of expiry, an idea from the related
reading on hall passes: most requests find a cached permit, and only some need a round
trip to the limit's keeper.
"""

import asyncio
import collections.abc
import contextlib
import heapq
import random

from cassiaquay_schema import messages
from cassiaquay_schema import settings as settings_schema

from .. import clock, exceptions
from ..decisions import shards
from ..fleet import members
from ..links import peers
from . import limit_keepers

CHUNK_PERMITS = 8
QUERY_TIMEOUT_SECONDS = 0.3
QUERY_ATTEMPTS = 4
RETRY_JITTER = 0.5
MIN_RETRY_MS = 50
# Callers of lower tiers get a longer retry-after time, by this factor per rank.
RETRY_FACTOR_PER_RANK = 0.5


class _PermitCache:
    """Cached permits and waiting requests of one limit."""

    def __init__(self) -> None:
        self.held = 0
        self.queried_at = float("-inf")
        self.waiters: list[asyncio.Future[int]] = []
        # Heap of the expiry times of cached permits; the earliest is used first.
        self._expiries: list[float] = []

    def add(self, count: int, expires_at: float) -> None:
        """Cache permits."""
        for _ in range(count):
            heapq.heappush(self._expiries, expires_at)

    def take(self, now: float) -> bool:
        """Use a cached permit; return whether there was a valid one."""
        while self._expiries:
            if heapq.heappop(self._expiries) > now:
                return True
        return False


class _LocalLink:
    """Replaces the link to the keeper when this instance is the limit's keeper."""

    def __init__(self, instance: str, limits: "Limits"):
        self.instance = instance
        self._limits = limits

    def send(self, message: messages.Message) -> bool:
        loop = asyncio.get_running_loop()
        loop.call_soon(self._limits.answer, self, message)
        return True


class Limits:
    """Obtains permits from the keepers of limits for this instance's requests.

    Parameters
    ----------
    settings : Settings
        Renewal period.
    links : Peers
        Connections to keepers.
    membership : Membership
        The keeper of each limit, and links to live instances.
    local : LimitKeeper
        This instance's own keeper role.
    """

    def __init__(
        self,
        settings: settings_schema.Settings,
        links: peers.Peers,
        membership: members.Membership,
        local: limit_keepers.LimitKeeper,
    ):
        self._settings = settings
        self._membership = membership
        self._keeper = local
        self._local = _LocalLink(settings.instance, self)
        self._caches: dict[str, _PermitCache] = {}
        self._random = random.Random()
        links.on(messages.LimitPermits, self.answer)

    @contextlib.asynccontextmanager
    async def hold(
        self, team: str, service: str, rank: int
    ) -> collections.abc.AsyncIterator[None]:
        """Hold a permit of the team and the service; raise LimitReached without one."""
        held_keys: list[str] = []
        keys = (f"{limit_keepers.TEAM} {team}", f"{limit_keepers.SERVICE} {service}")
        try:
            for key in keys:
                limit = self._keeper.limit(key)
                if limit.rate is None and limit.concurrent is None:
                    continue
                await self._take(key, limit, rank)
                if limit.concurrent is not None:
                    self._caches[key].held += 1
                    held_keys.append(key)
            yield
        finally:
            for key in held_keys:
                cache = self._caches[key]
                cache.held -= 1
                self._send(key, messages.LimitReturn(key, cache.held))

    def answer(self, replier: shards.Replier, message: messages.Message) -> None:
        """Handle permits from a keeper."""
        if not isinstance(message, messages.LimitPermits):
            return
        cache = self._caches.get(message.key)
        if cache is None:
            return
        cache.queried_at = float("-inf")
        limit = self._keeper.limit(message.key)
        expires_at = clock.now() + message.lifetime_ms / 1000.0
        waiters, cache.waiters = cache.waiters, []
        waiting = [waiter for waiter in waiters if not waiter.done()]
        for waiter in waiting[: message.permits]:
            waiter.set_result(0)
        for waiter in waiting[message.permits :]:
            waiter.set_result(max(message.retry_after_ms, MIN_RETRY_MS))
        unused = max(message.permits - len(waiting), 0)
        if limit.concurrent is None:
            cache.add(unused, expires_at)
        elif unused:
            self._send(message.key, messages.LimitReturn(message.key, cache.held))

    async def renew(self) -> None:
        """Renew leases of concurrency limits until cancelled."""
        while True:
            await asyncio.sleep(self._settings.keeper.renew_seconds)
            for key, cache in self._caches.items():
                if cache.held:
                    self._send(key, messages.LimitReturn(key, cache.held))

    async def _take(self, key: str, limit: limit_keepers.Limit, rank: int) -> None:
        cache = self._caches.setdefault(key, _PermitCache())
        if limit.concurrent is None and cache.take(clock.now()):
            return
        waiter: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        cache.waiters.append(waiter)
        for _ in range(QUERY_ATTEMPTS):
            self._query_keeper(key, cache)
            # If the keeper has just failed, the next query goes to its successor.
            done, _pending = await asyncio.wait([waiter], timeout=QUERY_TIMEOUT_SECONDS)
            if done:
                break
        retry_after_ms = (
            waiter.result() if waiter.done() else int(QUERY_TIMEOUT_SECONDS * 1000)
        )
        if not waiter.done():
            waiter.cancel()
        if retry_after_ms:
            raise exceptions.LimitReached(
                f"the limit of {key} is reached",
                retry_after_ms=self._retry_after_ms(retry_after_ms, rank),
            )

    def _query_keeper(self, key: str, cache: _PermitCache) -> None:
        now = clock.now()
        if now - cache.queried_at < QUERY_TIMEOUT_SECONDS:
            # One query at a time; its answer serves all waiting requests.
            return
        cache.queried_at = now
        needed = sum(1 for waiter in cache.waiters if not waiter.done())
        wanted = max(needed, CHUNK_PERMITS)
        self._send(key, messages.LimitQuery(key, needed, wanted, cache.held))

    def _retry_after_ms(self, retry_after_ms: int, rank: int) -> int:
        factor = (
            1.0 + RETRY_FACTOR_PER_RANK * rank + RETRY_JITTER * self._random.random()
        )
        return int(retry_after_ms * factor)

    def _send(
        self, key: str, message: messages.LimitQuery | messages.LimitReturn
    ) -> None:
        name = self._membership.keeper_of(f"limit {key}")
        if name != self._settings.instance:
            link = self._membership.link(name)
            if link is not None:
                link.send(message)
            return
        if isinstance(message, messages.LimitQuery):
            self._keeper.query(self._local, message)
        else:
            self._keeper.give_back(self._local, message)
