"""Limits of teams and services over the whole fleet: the owner's side.

Fetching permits of a rate in chunks and using the one that ends first is the idea of
the related reading on hall passes: a request mostly finds a permit here, and asks the
limit's keeper only now and then.
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

CHUNK = 8
ASK_SECONDS = 0.3
ASK_TRIES = 4
JITTER = 0.5
LEAST_RETRY_MS = 50
# Callers of less important tiers are told to stay away longer.
RANK_FACTOR = 0.5


class _Stash:
    """Permits and waiting requests of one limit."""

    def __init__(self) -> None:
        self.held = 0
        self.asked_at = float("-inf")
        self.waiters: list[asyncio.Future[int]] = []
        # Ends of the permits here, the one that ends first is used first.
        self._ends: list[float] = []

    def add(self, count: int, end: float) -> None:
        """Put permits in."""
        for _ in range(count):
            heapq.heappush(self._ends, end)

    def take(self, now: float) -> bool:
        """Use a permit; return whether there was one."""
        while self._ends:
            if heapq.heappop(self._ends) > now:
                return True
        return False


class _Local:
    """Stands for the link when this instance is the limit's keeper itself."""

    def __init__(self, instance: str, limits: "Limits"):
        self.instance = instance
        self._limits = limits

    def send(self, message: messages.Message) -> bool:
        loop = asyncio.get_running_loop()
        loop.call_soon(self._limits.answer, self, message)
        return True


class Limits:
    """Everything that this instance asks of the keepers of limits.

    Parameters
    ----------
    settings : Settings
        Periods.
    links : Peers
        Connections to keepers.
    membership : Membership
        Who keeps which limit.
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
        self._local = _Local(settings.instance, self)
        self._stashes: dict[str, _Stash] = {}
        self._random = random.Random()
        links.on(messages.LimitPermits, self.answer)

    @contextlib.asynccontextmanager
    async def hold(
        self, team: str, service: str, rank: int
    ) -> collections.abc.AsyncIterator[None]:
        """Run under the limits of a team and a service; raise LimitReached."""
        held: list[str] = []
        keys = (f"{limit_keepers.TEAM} {team}", f"{limit_keepers.SERVICE} {service}")
        try:
            for key in keys:
                limit = self._keeper.limit(key)
                if limit.rate is None and limit.concurrent is None:
                    continue
                await self._take(key, limit, rank)
                if limit.concurrent is not None:
                    self._stashes[key].held += 1
                    held.append(key)
            yield
        finally:
            for key in held:
                stash = self._stashes[key]
                stash.held -= 1
                self._notify(key, messages.LimitReturn(key, stash.held))

    def answer(self, replier: shards.Replier, message: messages.Message) -> None:
        """Take permits from a keeper."""
        if not isinstance(message, messages.LimitPermits):
            return
        stash = self._stashes.get(message.key)
        if stash is None:
            return
        stash.asked_at = float("-inf")
        limit = self._keeper.limit(message.key)
        end = clock.now() + message.lifetime_ms / 1000.0
        waiters, stash.waiters = stash.waiters, []
        waiting = [waiter for waiter in waiters if not waiter.done()]
        for waiter in waiting[: message.permits]:
            waiter.set_result(0)
        for waiter in waiting[message.permits :]:
            waiter.set_result(max(message.retry_after_ms, LEAST_RETRY_MS))
        left = max(message.permits - len(waiting), 0)
        if limit.concurrent is None:
            stash.add(left, end)
        elif left:
            self._notify(message.key, messages.LimitReturn(message.key, stash.held))

    async def renew(self) -> None:
        """Renew what runs under limits of concurrency, for ever."""
        while True:
            await asyncio.sleep(self._settings.keeper.renew_seconds)
            for key, stash in self._stashes.items():
                if stash.held:
                    self._notify(key, messages.LimitReturn(key, stash.held))

    async def _take(self, key: str, limit: limit_keepers.Limit, rank: int) -> None:
        stash = self._stashes.setdefault(key, _Stash())
        if limit.concurrent is None and stash.take(clock.now()):
            return
        waiter: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        stash.waiters.append(waiter)
        for _ in range(ASK_TRIES):
            self._ask(key, stash)
            # The keeper may just have died: the next one is asked then.
            done, _pending = await asyncio.wait([waiter], timeout=ASK_SECONDS)
            if done:
                break
        retry_after_ms = waiter.result() if waiter.done() else int(ASK_SECONDS * 1000)
        if not waiter.done():
            waiter.cancel()
        if retry_after_ms:
            raise exceptions.LimitReached(
                f"the limit of {key} is reached",
                retry_after_ms=self._spread(retry_after_ms, rank),
            )

    def _ask(self, key: str, stash: _Stash) -> None:
        now = clock.now()
        if now - stash.asked_at < ASK_SECONDS:
            # One question at a time; its answer serves all who wait.
            return
        stash.asked_at = now
        needed = sum(1 for waiter in stash.waiters if not waiter.done())
        wanted = max(needed, CHUNK)
        self._notify(key, messages.LimitQuery(key, needed, wanted, stash.held))

    def _spread(self, retry_after_ms: int, rank: int) -> int:
        factor = 1.0 + RANK_FACTOR * rank + JITTER * self._random.random()
        return int(retry_after_ms * factor)

    def _notify(
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
