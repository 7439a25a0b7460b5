"""What an instance waits for before it serves: the platform, neighbours a moment."""

import asyncio
import typing

import policy_fakes as fakes
import pytest

from cassiaquay_daemon import clock, exceptions, pause, platform
from cassiaquay_daemon.fleet import configuration, renewal
from cassiaquay_dev.lab import virtual_time
from cassiaquay_schema import messages


class Links(fakes.Links):
    """Links to neighbours of which some are still being dialled."""

    def __init__(self, up: dict[str, fakes.Owner]):
        super().__init__()
        self.up = up

    def link(self, instance: str, address: str) -> fakes.Owner | None:
        """Return the link of a neighbour that has started."""
        return self.up.get(instance)

    def failed_since(self, instance: str, at: float) -> bool:
        """Say that no connection has failed: a starting instance queues them."""
        return False


class Members(fakes.Membership):
    """A fleet that starts: with each look there is another neighbour."""

    def __init__(self) -> None:
        super().__init__("cq-1", [])
        self.looks = 0
        self.learned: list[messages.Member] = []

    def neighbours(self) -> dict[str, str]:
        """Return one neighbour, never the same."""
        self.looks += 1
        return {f"cq-{self.looks + 1}": "h:1"}

    async def read_list_once(self, source: object) -> None:
        """Read nothing."""

    def update(self) -> None:
        """Do nothing."""


class Service:
    """The platform's configuration."""

    def __init__(self, is_down: bool):
        self._is_down = is_down

    async def watch(self, after: int, wait: float) -> platform.Published | None:
        """Return nothing new, or fail after a while."""
        if self._is_down:
            await asyncio.sleep(1.0)
            raise exceptions.PlatformError("down")
        await asyncio.sleep(0.01)
        return None


@pytest.mark.parametrize(
    ("is_down", "least", "most"), [(False, 0.0, 0.4), (True, 1, 3)]
)
def test_a_fleet_that_starts_does_not_wait_for_all_of_itself(
    is_down: bool, least: float, most: float
) -> None:
    """All processes were killed and start again at once; the platform answers each.

    Neighbours come up one after the other, and whoever waits for all refuses its
    callers for seconds. What the platform says is as new as what any of them knows;
    where it does not answer they are waited for.
    """

    async def work() -> float:
        settings = fakes.settings("cq-1")
        links = Links({})
        pauses = pause.Pauses(pause.shortest_lease(settings))
        configured = configuration.Configuration(
            settings, typing.cast(typing.Any, links)
        )
        found = renewal.Renewal(
            settings,
            pauses,
            typing.cast(typing.Any, links),
            typing.cast(typing.Any, Members()),
            configured,
            typing.cast(typing.Any, Service(is_down)),
            typing.cast(typing.Any, None),
        )
        began = clock.now()
        found.start()
        task = asyncio.create_task(found.run())
        while not pauses.current:
            await asyncio.sleep(0.01)
        task.cancel()
        return clock.now() - began

    assert least <= virtual_time.run(work()) <= most
