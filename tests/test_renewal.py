"""What a starting instance waits for: the platform, and for neighbours only briefly."""

import asyncio
import typing

import policy_fakes as fakes
import pytest

from cassiaquay_daemon import clock, exceptions, pause, platform
from cassiaquay_daemon.fleet import configuration, renewal
from cassiaquay_dev.lab import virtual_time
from cassiaquay_schema import messages


class Links(fakes.Links):
    """Fake links to neighbours, some of which are not yet connected."""

    def __init__(self, up: dict[str, fakes.Owner]):
        super().__init__()
        self.up = up

    def link(self, instance: str, address: str) -> fakes.Owner | None:
        """Return the link to a neighbour that has started."""
        return self.up.get(instance)

    def failed_since(self, instance: str, at: float) -> bool:
        """Return False: connections to a starting instance wait in its backlog."""
        return False


class Members(fakes.Membership):
    """A starting fleet, in which each call returns another neighbour."""

    def __init__(self) -> None:
        super().__init__("cq-1", [])
        self.calls = 0
        self.learned: list[messages.Member] = []

    def neighbours(self) -> dict[str, str]:
        """Return one neighbour, a different one with each call."""
        self.calls += 1
        return {f"cq-{self.calls + 1}": "h:1"}

    async def read_list_once(self, source: object) -> None:
        """Do nothing."""

    def update(self) -> None:
        """Do nothing."""


class Service:
    """A configuration service whose first responses are lost."""

    def __init__(self, lost: int):
        self._lost = lost

    async def watch(self, after: int, wait: float) -> platform.Published | None:
        """Return None, or fail after a delay."""
        self._lost -= 1
        if self._lost >= 0:
            await asyncio.sleep(0.6)
            raise exceptions.PlatformError("lost")
        await asyncio.sleep(0.01)
        return None


class Running(Members):
    """A running fleet with one neighbour."""

    def neighbours(self) -> dict[str, str]:
        """Return the neighbour."""
        return {"cq-2": "h:1"}


class Site:
    """A starting instance with its fakes.

    Parameters
    ----------
    lost : int
        Number of platform responses that are lost.
    members : Members
        Membership of its fleet.
    up : dict of str to Owner
        Links to running neighbours.
    server_list : ServerList, optional
        The list of backend servers.
    """

    def __init__(
        self,
        lost: int,
        members: Members,
        up: dict[str, fakes.Owner],
        server_list: "ServerList | None" = None,
    ):
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
            typing.cast(typing.Any, server_list),
        )

    async def start(self) -> asyncio.Task[None]:
        """Start the instance."""
        self._renewal.start()
        return asyncio.create_task(self._renewal.run())

    async def until_current(self) -> float:
        """Return the seconds until the instance serves."""
        began = clock.now()
        while not self.pauses.is_current:
            await asyncio.sleep(0.01)
        return clock.now() - began


class ServerList:
    """A list that was confirmed a minute ago, and is confirmed again later.

    Parameters
    ----------
    confirmed_in : float
        Seconds from now.
    """

    def __init__(self, confirmed_in: float):
        self._confirmed_at = clock.now() + confirmed_in

    @property
    def age(self) -> float:
        """Seconds since the list was confirmed."""
        since = clock.now() - self._confirmed_at
        return since if since >= 0.0 else 60.0

    @property
    def age_ms(self) -> int:
        """The age in milliseconds."""
        return round(self.age * 1000.0)


@pytest.mark.parametrize(
    ("confirmed_in", "least", "most"),
    [(-0.1, 0.0, 0.1), (0.2, 0.2, 0.3), (9.0, 0.3, 0.4)],
)
def test_instance_serves_once_its_list_of_servers_is_confirmed(
    confirmed_in: float, least: float, most: float
) -> None:
    """Guards against serving by a list of servers of before a pause.

    The platform's text comes at once. While the platform does not confirm the list, the
    instance waits only briefly.
    """

    async def work() -> float:
        neighbour = fakes.Owner("cq-2")
        server_list = ServerList(confirmed_in)
        site = Site(0, Running(), {"cq-2": neighbour}, server_list)
        task = await site.start()
        await asyncio.sleep(0.0)
        while not neighbour.sent:
            await asyncio.sleep(0.001)
        answer = messages.Refreshed(1, 0, 0, [])
        site.links.handlers[messages.Refreshed](neighbour, answer)
        seconds = await site.until_current()
        task.cancel()
        return seconds

    assert least <= virtual_time.run(work()) <= most


@pytest.mark.parametrize(
    ("lost", "least", "most"), [(0, 0.0, 0.4), (1, 0.8, 1.1), (100, 1.9, 2.1)]
)
def test_a_starting_fleet_does_not_wait_for_all_neighbours(
    lost: int, least: float, most: float
) -> None:
    """Guards against refusing callers for seconds while a whole fleet restarts.

    Neighbours start one after the other, but the platform's text is as new as theirs. A
    lost response is requested again; neighbours are awaited only if there is none.
    """

    async def work() -> float:
        site = Site(lost, Members(), {})
        task = await site.start()
        seconds = await site.until_current()
        task.cancel()
        return seconds

    assert least <= virtual_time.run(work()) <= most


def test_neighbours_answers_suffice_while_the_platform_is_down() -> None:
    """An instance joins a running fleet during an outage of the platform.

    It serves once its neighbours have answered and one platform query has failed.
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
