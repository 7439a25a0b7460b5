"""Address look-up: ranked lists kept for a while, and a choice among the best."""

import asyncio
import collections.abc
import random
import urllib.parse

from . import adapters, exceptions, ids, models

BEST = 3
"""How many of the ranked addresses the choice is spread over."""
SUSPECT_SECONDS = 2.0
"""How long an address that failed is taken only when no other is left."""
MIN_REFRESH_SECONDS = 0.2
"""Least time between two look-ups, however often the list is doubted."""
STALE_KEEPS = 4.0
"""Times ``keep_seconds`` for which a list that can't be renewed gives new ids."""
MAX_OWNERS = 256
"""Tokens of earlier lists of which the address is remembered."""

Send = collections.abc.Callable[
    [adapters.Call], collections.abc.Awaitable[adapters.Reply]
]


class AddressBook:
    """The addresses that a session knows.

    Parameters
    ----------
    settings : models.Settings
        Seeds, domain and time limits.
    send : callable
        Sends one call by the adapter for its URL.
    """

    def __init__(self, settings: models.Settings, send: Send) -> None:
        self._settings = settings
        self._send = send
        self._addresses: list[models.Address] = []
        self._expiry = 0.0
        self._stale = 0.0
        self._fetched = float("-inf")
        self._suspects: dict[str, float] = {}
        self._owners: dict[str, models.Address] = {}
        self._lock = asyncio.Lock()

    async def choose(
        self, *, hint: str = "", avoid: str = "", fresh: bool = False
    ) -> models.Address:
        """Return the address to send to.

        Parameters
        ----------
        hint : str
            Taken when the list has it and it did not fail just now.
        avoid : str
            Not taken while there is another.
        fresh : bool
            The token is for a new id, so a list kept for long will not do.

        Raises
        ------
        NoAddress
            When no instance gave a list and none, or too old a one, was kept.
        """
        await self._refresh()
        # An expired token gets ``outcome_unknown`` for a request that nobody saw;
        # not sending it says the truth, "not run".
        now = asyncio.get_running_loop().time()
        if not self._addresses or (fresh and now > self._stale):
            raise exceptions.NoAddress("no instance gave any address")
        good = [one for one in self._addresses if not self._is_suspect(one.address)]
        for one in good:
            if one.address == hint:
                return one
        # All failed just now: one of them is still a better try than none.
        ranked = good or self._addresses
        others = [one for one in ranked if one.address != avoid]
        if not others:
            others = [one for one in self._addresses if one.address != avoid]
        return _choose_weighted((others or ranked)[:BEST])

    async def find_owner(self, request_id: str) -> models.Address | None:
        """Return the address whose token formed ``request_id``, if known."""
        await self._refresh()
        return self._owners.get(ids.find_token(request_id))

    def report_failure(self, address: str) -> None:
        """Move on from an address that broke off, and doubt the list."""
        now = asyncio.get_running_loop().time()
        self._suspects[address] = now + SUSPECT_SECONDS
        self.invalidate()

    def report_success(self, address: str) -> None:
        """Trust an address again."""
        self._suspects.pop(address, None)

    def invalidate(self) -> None:
        """Ask for the list again before the next choice."""
        self._expiry = 0.0

    def _is_suspect(self, address: str) -> bool:
        until = self._suspects.get(address, 0.0)
        return until > asyncio.get_running_loop().time()

    def _is_fresh(self) -> bool:
        now = asyncio.get_running_loop().time()
        if not self._addresses:
            return False
        return now < self._expiry or now < self._fetched + MIN_REFRESH_SECONDS

    async def _refresh(self) -> None:
        if self._is_fresh():
            return
        async with self._lock:
            if self._is_fresh():
                return
            await self._look_up()

    async def _look_up(self) -> None:
        loop = asyncio.get_running_loop()
        for place in self._order_places():
            found = await self._ask(place)
            if found is None or not found.addresses:
                continue
            self._fetched = loop.time()
            self._expiry = self._fetched + found.keep_seconds
            keep = max(found.keep_seconds, MIN_REFRESH_SECONDS)
            self._stale = self._fetched + keep * STALE_KEEPS
            self._addresses = found.addresses
            self._remember_owners()
            now = loop.time()
            self._suspects = {
                one: until for one, until in self._suspects.items() if until > now
            }
            return
        # Nobody answers: the list kept is the best there is, for a short while.
        self._fetched = loop.time()

    def _remember_owners(self) -> None:
        # Each list brings new tokens. Without the old ones, nobody would ask the owner
        # itself about a request that another instance calls unknown.
        for one in self._addresses:
            self._owners[one.token] = one
        for token in list(self._owners)[:-MAX_OWNERS]:
            del self._owners[token]

    def _order_places(self) -> list[str]:
        known = [one.address for one in self._addresses]
        seeds = list(self._settings.seeds)
        random.shuffle(seeds)
        places = list(dict.fromkeys([*known[:BEST], *seeds, *known]))
        places.sort(key=self._is_suspect)
        return places

    async def _ask(self, place: str) -> models.AddressList | None:
        domain = urllib.parse.quote(self._settings.domain, safe="")
        url = f"http://{place}/v1/addresses?domain={domain}"
        try:
            async with asyncio.timeout(self._settings.connect_timeout):
                reply = await self._send(adapters.Call("GET", url, {}))
                try:
                    raw = await reply.read_all()
                finally:
                    reply.close()
        except (TimeoutError, exceptions.AttemptFailed):
            return None
        return models.parse_addresses(raw) if reply.status == 200 else None


def _choose_weighted(ranked: list[models.Address]) -> models.Address:
    weights = [1.0 / (rank + 1) for rank in range(len(ranked))]
    return random.choices(ranked, weights)[0]
