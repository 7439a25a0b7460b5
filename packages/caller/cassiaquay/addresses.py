"""Look-up of instance addresses: caches ranked lists and chooses among the best.

Each address comes with a token, which forms the first part of request ids and names
the instance that owns them.
"""

import asyncio
import collections.abc
import random
import urllib.parse

from . import adapters, exceptions, ids, models

MAX_CANDIDATES = 3
"""Number of top-ranked addresses that requests are distributed over."""
SUSPECT_SECONDS = 2.0
"""Time after a failure for which an address is used only when no other is left."""
MIN_REFRESH_SECONDS = 0.2
"""Minimum time between two look-ups, however often the list is invalidated."""
STALE_FACTOR = 4.0
"""Multiple of ``keep_seconds`` after which an unrefreshed list forms no new ids."""
MAX_OWNERS = 256
"""Maximum number of tokens, also of earlier lists, whose address is remembered."""

Send = collections.abc.Callable[
    [adapters.Call], collections.abc.Awaitable[adapters.Reply]
]


class AddressBook:
    """The cached instance addresses of a session.

    Parameters
    ----------
    settings : models.Settings
        Seeds, failure domain and timeouts.
    send : callable
        Sends one call by the adapter mounted for its URL.
    """

    def __init__(self, settings: models.Settings, send: Send) -> None:
        self._settings = settings
        self._send = send
        self._addresses: list[models.Address] = []
        self._expires_at = 0.0
        self._stale_at = 0.0
        self._fetched_at = float("-inf")
        self._suspect_until: dict[str, float] = {}
        self._owners: dict[str, models.Address] = {}
        self._lock = asyncio.Lock()

    async def choose(
        self, *, hint: str = "", avoid: str = "", fresh: bool = False
    ) -> models.Address:
        """Return the address to send to.

        Parameters
        ----------
        hint : str
            Returned when the list contains it and it has not failed recently.
        avoid : str
            Returned only when the list has no other address.
        fresh : bool
            The token will form a new id, so a list past its stale time is refused.

        Raises
        ------
        NoAddress
            When no instance returned a list and none is cached, or when ``fresh`` is
            set and the cached list is stale.
        """
        await self._refresh()
        # Instances answer ``outcome_unknown`` for an id with an expired token, although
        # the request never ran. Not sending it lets the caller report "not run".
        now = asyncio.get_running_loop().time()
        if not self._addresses or (fresh and now > self._stale_at):
            raise exceptions.NoAddress("no instance gave any address")
        good = [
            entry for entry in self._addresses if not self._is_suspect(entry.address)
        ]
        for entry in good:
            if entry.address == hint:
                return entry
        # When all addresses have failed recently, one of them is tried anyway.
        ranked = good or self._addresses
        others = [entry for entry in ranked if entry.address != avoid]
        if not others:
            others = [entry for entry in self._addresses if entry.address != avoid]
        return _choose_weighted((others or ranked)[:MAX_CANDIDATES])

    async def find_owner(self, request_id: str) -> models.Address | None:
        """Return the address whose token formed ``request_id``, or None."""
        await self._refresh()
        return self._owners.get(ids.find_token(request_id))

    def report_failure(self, address: str) -> None:
        """Mark an address as suspect after a failure and invalidate the list."""
        now = asyncio.get_running_loop().time()
        self._suspect_until[address] = now + SUSPECT_SECONDS
        self.invalidate()

    def report_success(self, address: str) -> None:
        """Clear the suspicion of an address."""
        self._suspect_until.pop(address, None)

    def invalidate(self) -> None:
        """Fetch the list again before the next choice."""
        self._expires_at = 0.0

    def _is_suspect(self, address: str) -> bool:
        until = self._suspect_until.get(address, 0.0)
        return until > asyncio.get_running_loop().time()

    def _is_fresh(self) -> bool:
        now = asyncio.get_running_loop().time()
        if not self._addresses:
            return False
        return now < self._expires_at or now < self._fetched_at + MIN_REFRESH_SECONDS

    async def _refresh(self) -> None:
        if self._is_fresh():
            return
        async with self._lock:
            if self._is_fresh():
                return
            await self._look_up()

    async def _look_up(self) -> None:
        loop = asyncio.get_running_loop()
        for source in self._order_sources():
            found = await self._fetch_list(source)
            if found is None or not found.addresses:
                continue
            self._fetched_at = loop.time()
            self._expires_at = self._fetched_at + found.keep_seconds
            lifetime = max(found.keep_seconds, MIN_REFRESH_SECONDS)
            self._stale_at = self._fetched_at + lifetime * STALE_FACTOR
            self._addresses = found.addresses
            self._remember_owners()
            now = loop.time()
            self._suspect_until = {
                address: until
                for address, until in self._suspect_until.items()
                if until > now
            }
            return
        # No source answered: use the cached list and wait MIN_REFRESH_SECONDS before
        # the next look-up.
        self._fetched_at = loop.time()

    def _remember_owners(self) -> None:
        # Each list has new tokens. The old ones are kept so that a request under an
        # earlier token can still be looked up at its owner: other instances answer
        # "unknown" for it.
        for entry in self._addresses:
            self._owners[entry.token] = entry
        for token in list(self._owners)[:-MAX_OWNERS]:
            del self._owners[token]

    def _order_sources(self) -> list[str]:
        """Return the addresses to fetch the list from, suspect ones last."""
        known = [entry.address for entry in self._addresses]
        seeds = list(self._settings.seeds)
        random.shuffle(seeds)
        sources = list(dict.fromkeys([*known[:MAX_CANDIDATES], *seeds, *known]))
        sources.sort(key=self._is_suspect)
        return sources

    async def _fetch_list(self, source: str) -> models.AddressList | None:
        domain = urllib.parse.quote(self._settings.domain, safe="")
        url = f"http://{source}/v1/addresses?domain={domain}"
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
