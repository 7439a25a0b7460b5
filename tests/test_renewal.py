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
    """The platform's configuration; the first answers are lost."""

    def __init__(self, lost: int):
        self._lost = lost

    async def watch(self, after: int, wait: float) -> platform.Published | None:
        """Return nothing new, or fail after a while."""
        self._lost -= 1
        if self._lost >= 0:
            await asyncio.sleep(0.6)
            raise exceptions.PlatformError("lost")
        await asyncio.sleep(0.01)
        return None


class Running(Members):
    """A fleet that runs: one neighbour."""

    def neighbours(self) -> dict[str, str]:
        """Return it."""
        return {"cq-2": "h:1"}


class Site:
    """An instance that starts.

    Parameters
    ----------
    lost : int
        Answers of the platform that are lost.
    members : Members
        Its fleet.
    up : dict of str to Owner
        Links of neighbours that run.
    """

    def __init__(self, lost: int, members: Members, up: dict[str, fakes.Owner]):
        settings = fakes.settings("cq-1")
        self.links = Links(up)
        links = typing.cast(typing.Any, self.links)
        self.pauses = pause.Pauses(pause.shortest_lease(settings))
        self._renewal = renewal.Renewal(
            settings,
            self.pauses,
            links,
            typing.cast(typing.Any, members),
            configuration.Configuration(settings, links),
            typing.cast(typing.Any, Service(lost)),
            typing.cast(typing.Any, None),
        )

    async def start(self) -> asyncio.Task[None]:
        """Start it."""
        self._renewal.start()
        return asyncio.create_task(self._renewal.run())

    async def until_current(self) -> float:
        """Return how many seconds it takes until it serves."""
        began = clock.now()
        while not self.pauses.current:
            await asyncio.sleep(0.01)
        return clock.now() - began


@pytest.mark.parametrize(
    ("lost", "least", "most"), [(0, 0.0, 0.4), (1, 0.8, 1.1), (100, 1.9, 2.1)]
)
def test_a_fleet_that_starts_does_not_wait_for_all_of_itself(
    lost: int, least: float, most: float
) -> None:
    """All processes were killed and start again at once; the platform answers each.

    Neighbours come up one after the other, and whoever waits for all refuses its
    callers for seconds. What the platform says is as new as what any of them knows. It
    may lose an answer and is asked again; only where it says nothing are neighbours
    waited for.
    """

    async def work() -> float:
        site = Site(lost, Members(), {})
        task = await site.start()
        seconds = await site.until_current()
        task.cancel()
        return seconds

    assert least <= virtual_time.run(work()) <= most


def test_neighbours_that_answer_suffice_while_the_platform_is_down() -> None:
    """An instance starts in a fleet that runs, and the platform is down for long.

    It serves as soon as its neighbours have answered and the platform was asked once.
    """

    async def work() -> float:
        neighbour = fakes.Owner("cq-2")
        site = Site(100, Running(), {"cq-2": neighbour})
        task = await site.start()
        await asyncio.sleep(0.05)
        answer = messages.Refreshed(1, 0, 0, [])
        site.links.handlers[messages.Refreshed](neighbour, answer)
        seconds = await site.until_current()
        task.cancel()
        return seconds

    assert 0.4 <= virtual_time.run(work()) <= 1.0
