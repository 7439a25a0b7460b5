"""A fleet of light instances for tests, with short periods."""

import asyncio
import collections.abc
import contextlib

from cassiaquay_dev import deployments
from cassiaquay_dev.sizing import light

SECONDS = 15.0
QUICK = {
    "period": 0.05,
    "suspect_after": 0.4,
    "forget_after": 0.8,
    "refresh_seconds": 0.6,
}
SERVERS = [*deployments.BRINDLEY.engines, *deployments.BRINDLEY.plains]
ADDRESSES = {server.name: f"10.0.0.{i}:9000" for i, server in enumerate(SERVERS)}
TEXT = deployments.fleet_text(deployments.BRINDLEY, ADDRESSES)


def text(number: int) -> str:
    """Return a sound text, another for each number."""
    return f"{TEXT}# change {number}\n"


def unsound() -> str:
    """Return a text in which two tiers have one rank."""
    return TEXT.replace("rank = 1", "rank = 0")


class Fleet:
    """Light instances with one platform."""

    def __init__(self) -> None:
        self.published = light.Published()
        self.listing = light.Listing()
        self.lives: dict[str, light.Light] = {}

    async def add(
        self,
        name: str,
        enlist: bool = True,
        domain: str = "east",
        seeds: list[str] | None = None,
        keys: list[str] | None = None,
        published: light.Published | None = None,
        **membership: float,
    ) -> light.Light:
        """Start an instance."""
        settings = light.settings_of(name, domain, seeds, keys, **(QUICK | membership))
        one = light.Light(settings, published or self.published, self.listing)
        self.lives[name] = one
        await one.start()
        if enlist:
            one.enlist()
        return one

    async def add_many(self, count: int, **membership: float) -> list[light.Light]:
        """Start several instances in one failure domain."""
        names = [f"cq-{number}" for number in range(1, count + 1)]
        return [await self.add(name, **membership) for name in names]

    async def kill(self, name: str) -> None:
        """End an instance without a farewell."""
        await self.lives.pop(name).stop()

    async def agree(self, names: collections.abc.Iterable[str] | None = None) -> None:
        """Wait until all see just ``names``, or all of them."""
        wanted = set(self.lives if names is None else names)
        lives = self.lives.values()
        await light.until(lambda: all(one.view == wanted for one in lives), SECONDS)

    async def reach(self, revision: int) -> None:
        """Wait until a revision is in force everywhere."""
        lives = self.lives.values()
        await light.until(
            lambda: all(one.configuration.revision == revision for one in lives),
            SECONDS,
        )


@contextlib.asynccontextmanager
async def fleet() -> collections.abc.AsyncIterator[Fleet]:
    """Give a fleet without instances, whose platform shows revision 1."""
    made = Fleet()
    made.published.publish(1, text(1))
    try:
        yield made
    finally:
        await asyncio.gather(*(one.stop() for one in made.lives.values()))
