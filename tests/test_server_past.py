"""The changes of servers that an instance has not seen, as the platform shows them."""

import asyncio

import policy_fakes as fakes

from cassiaquay_daemon import exceptions, platform
from cassiaquay_daemon.fleet import server_past
from cassiaquay_schema import messages


class Listed:
    """A list of servers whose changes a platform remembers.

    Parameters
    ----------
    time : Time
        The clock.
    """

    def __init__(self, time: fakes.Time):
        self.time = time
        self.steady_since = self.confirmed_at = time.now
        self.past: platform.ServersPast | None = platform.ServersPast([], [])
        self.read_count = 0

    @property
    def age(self) -> float:
        """Seconds since the list was confirmed."""
        return self.time.now - self.confirmed_at

    def confirm(self, after_seconds: float = 0.0) -> None:
        """Confirm the list, after a gap if any."""
        self.time.now += after_seconds
        self.confirmed_at = self.time.now
        if after_seconds:
            self.steady_since = self.time.now

    def entries(self) -> list[messages.ServerEntry]:
        """Return no entries."""
        return []

    async def read_past(self) -> platform.ServersPast:
        """Return the changes; raise PlatformError if the platform is not reached."""
        self.read_count += 1
        if self.past is None:
            raise exceptions.PlatformError("unreadable")
        return self.past


def test_changes_that_a_gap_hid_are_read_again() -> None:
    """Guards against a version taken for the only one since another came in a gap."""

    async def run() -> None:
        listed = Listed(time)
        past = server_past.ServerPast(listed)
        evidence = await past.evidence("chat")
        assert evidence is not None and not evidence.removed
        listed.past = platform.ServersPast([], ["of the other version"])
        listed.confirm(10.0)
        evidence = await past.evidence("chat")
        assert evidence is not None
        assert evidence.removed == ["of the other version"]

    with fakes.Time().used() as time:
        asyncio.run(run())


def test_changes_of_a_gap_that_lasts_are_not_known() -> None:
    """Guards against a version taken for the only one while the store is not heard."""

    async def run() -> None:
        listed = Listed(time)
        past = server_past.ServerPast(listed)
        assert await past.read() is not None
        listed.past = None
        time.now += 1.0
        assert await past.read() is not None
        time.now += 2.0
        assert await past.read() is None

    with fakes.Time().used() as time:
        asyncio.run(run())


def test_changes_are_read_once_while_the_list_is_confirmed() -> None:
    """Guards against reads of the history for each stream that is taken up."""

    async def run() -> None:
        listed = Listed(time)
        past = server_past.ServerPast(listed)
        for _ in range(20):
            time.now += 1.0
            listed.confirm()
            assert await past.read() is not None
        assert listed.read_count == 1

    with fakes.Time().used() as time:
        asyncio.run(run())
