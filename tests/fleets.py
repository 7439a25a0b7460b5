"""A fleet of in-process instances with short periods, for tests."""

import asyncio
import collections.abc
import contextlib

from cassiaquay_dev import deployments
from cassiaquay_dev.sizing import light

TIMEOUT_SECONDS = 15.0
SHORT_PERIODS = {
    "period": 0.05,
    "suspect_after": 0.4,
    "forget_after": 0.8,
    "refresh_seconds": 0.6,
}
SERVERS = [*deployments.BRINDLEY.engines, *deployments.BRINDLEY.plains]
ADDRESSES = {server.name: f"10.0.0.{i}:9000" for i, server in enumerate(SERVERS)}
TEXT = deployments.fleet_text(deployments.BRINDLEY, ADDRESSES)


def text(number: int) -> str:
    """Return a valid fleet text that differs for each number."""
    return f"{TEXT}# change {number}\n"


def invalid_text() -> str:
    """Return an invalid fleet text, in which two tiers have the same rank."""
    return TEXT.replace("rank = 1", "rank = 0")


class Fleet:
    """In-process instances that share one simulated platform."""

    def __init__(self) -> None:
        self.published = light.Published()
        self.listing = light.Listing()
        self.instances: dict[str, light.Light] = {}

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
        """Start an instance and, with ``enlist``, add it to the platform's list."""
        settings = light.settings_of(
            name, domain, seeds, keys, **(SHORT_PERIODS | membership)
        )
        instance = light.Light(settings, published or self.published, self.listing)
        self.instances[name] = instance
        await instance.start()
        if enlist:
            instance.enlist()
        return instance

    async def add_many(self, count: int, **membership: float) -> list[light.Light]:
        """Start several instances in one failure domain."""
        names = [f"cq-{number}" for number in range(1, count + 1)]
        return [await self.add(name, **membership) for name in names]

    async def kill(self, name: str) -> None:
        """Stop an instance without a graceful shutdown."""
        await self.instances.pop(name).stop()

    async def wait_for_members(
        self, names: collections.abc.Iterable[str] | None = None
    ) -> None:
        """Wait until all member lists equal ``names``, by default all instances."""
        expected = set(self.instances if names is None else names)
        instances = self.instances.values()
        await light.until(
            lambda: all(instance.view == expected for instance in instances),
            TIMEOUT_SECONDS,
        )

    async def wait_for_revision(self, revision: int) -> None:
        """Wait until a configuration revision is in force at all instances."""
        instances = self.instances.values()
        await light.until(
            lambda: all(
                instance.configuration.revision == revision for instance in instances
            ),
            TIMEOUT_SECONDS,
        )


@contextlib.asynccontextmanager
async def fleet() -> collections.abc.AsyncIterator[Fleet]:
    """Yield a fleet without instances, whose platform has revision 1; stop it after."""
    created = Fleet()
    created.published.publish(1, text(1))
    try:
        yield created
    finally:
        await asyncio.gather(
            *(instance.stop() for instance in created.instances.values())
        )
