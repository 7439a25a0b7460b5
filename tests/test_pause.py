"""A process that was paused does not act on what it knew before."""

import asyncio

import aiohttp
import fleets

from cassiaquay_daemon import clock, pause
from cassiaquay_daemon.adapters import backends
from cassiaquay_daemon.fleet import configuration, members
from cassiaquay_daemon.keepers import demands, keeper
from cassiaquay_daemon.links import peers
from cassiaquay_daemon.owners import owner, tokens
from cassiaquay_dev.sizing import light
from cassiaquay_schema import messages

SETTINGS = light.settings_of("cq-1")


class Clock:
    """A clock that jumps as the clock of a woken process does."""

    def __init__(self) -> None:
        self.slept = 0.0

    def now(self) -> float:
        return clock.now() + self.slept


class Collector:
    """Stands for the link to an owner."""

    instance = "cq-2"

    def __init__(self) -> None:
        self.messages: list[messages.Message] = []

    def send(self, message: messages.Message) -> bool:
        self.messages.append(message)
        return True


def _keeper(pauses: pause.Pauses) -> keeper.Keeper:
    links = peers.Peers(SETTINGS, "a" * 12)
    configured = configuration.Configuration(SETTINGS, links)
    membership = members.Membership(
        SETTINGS, "a" * 12, links, str, lambda: (0.0, configured.revision)
    )
    configured.accept(1, fleets.text(1))
    return keeper.Keeper(SETTINGS, links, membership, configured, pauses)


def _demand(number: int) -> messages.Demand:
    name = f"cq-2.{'b' * 12}.60000.{'0' * 16}~{number}"
    service = fleets.deployments.BRINDLEY.plain_service
    return messages.Demand(
        name, "plain#0", service, "feedback", 0, 0, 1, 9000, "", [], []
    )


def test_a_woken_keeper_grants_nothing_before_it_is_renewed() -> None:
    """A caller's request is not put on an engine that others have filled meanwhile.

    The keeper sleeps through all leases and wakes up with a demand in its hands. It
    drops that, which its owner has long told elsewhere, and grants what the owner
    tells again only after the renewal and after the owners could tell what is out.
    """

    async def run() -> None:
        watch = Clock()
        pauses = pause.Pauses(pause.shortest_lease(SETTINGS), watch.now)
        kept = _keeper(pauses)
        owning = Collector()
        kept.demand(owning, _demand(1))
        task = asyncio.create_task(kept.tick())
        await light.until(lambda: len(owning.messages) == 1, 10)
        watch.slept = 60.0
        kept.demand(owning, _demand(2))
        await asyncio.sleep(0.3)
        assert len(owning.messages) == 1
        pauses.release()
        assert not kept.shards["plain#0"].is_open
        kept.demand(owning, _demand(2))
        await light.until(lambda: len(owning.messages) == 2, 10)
        task.cancel()

    asyncio.run(run())


class _Fake:
    """A backend server's protocol that notes what is sent."""

    can_stop = False
    sent: list[str] = []

    def __init__(self, http: object):
        pass

    async def run(
        self,
        server: object,
        call: backends.Call,
        answer: object,
        before_sending: backends.BeforeSending,
    ) -> backends.Figures:
        before_sending()
        self.sent.append(call.key)
        return backends.Figures(0, 0, 0)

    async def cancel(self, server: object, key: str) -> None:
        return None


backends.backends.register("noting")(_Fake)


class _Granting(demands.Demands):
    """Gives each demand a permit at once."""

    async def obtain(
        self, demand: messages.Demand, deadline: float
    ) -> demands.Permission:
        await asyncio.sleep(0.01)
        return demands.Permission("bookings-1", clock.now() + 60.0, "bookings#0")


def test_a_woken_owner_sends_nothing_before_it_is_renewed() -> None:
    """A request waits while its owner, woken from a pause, learns what is true.

    The owner holds a permit, sleeps, and wakes up right before the first byte. It
    sends nothing; after the renewal the request runs once.
    """

    async def run() -> None:
        watch = Clock()
        pauses = pause.Pauses(pause.shortest_lease(SETTINGS), watch.now)
        links = peers.Peers(SETTINGS, "a" * 12)
        kept = _keeper(pauses)
        membership = members.Membership(
            SETTINGS, "a" * 12, links, str, lambda: (0.0, 1)
        )
        asked = _Granting(SETTINGS, links, membership, kept)
        async with aiohttp.ClientSession() as http:
            owned = owner.Owner(
                SETTINGS, "a" * 12, http, asked, lambda name: False, str
            )
            owned.heed(pauses)
            configured = configuration.Configuration(SETTINGS, links)
            text = fleets.text(1).replace("plain-http", "noting")
            configured.accept(1, text)
            snapshot = configured.current
            assert snapshot is not None
            token = tokens.mint(light.KEY, "cq-1", "a" * 12, 60.0)
            name = tokens.parse([light.KEY], f"{token}~x")
            service = fleets.deployments.BRINDLEY.plain_service
            body = b'{"service": "%s", "path": "/"}' % service.encode()
            watch.slept = 60.0
            entry = owned.submit(name, "feedback", body, snapshot)
            owned.attach(entry)
            await asyncio.sleep(0.3)
            assert _Fake.sent == []
            assert not entry.ended
            pauses.release()
            await light.until(lambda: entry.ended, 10)
            assert len(_Fake.sent) == 1
            await owned.leave()

    asyncio.run(run())


def test_a_short_gap_is_no_pause() -> None:
    watch = Clock()
    pauses = pause.Pauses(1.0, watch.now)
    watch.slept = 0.5
    assert pauses.is_current
    watch.slept = 1.7
    assert not pauses.is_current
    assert pauses.count == 1


def test_requests_of_a_removed_pool_are_still_served() -> None:
    """A caller whose request waits is served though its pool has just been removed.

    The request was accepted under revision 1. Revision 2 has no such pool. The keeper
    goes on with the servers of revision 1 for what waits.
    """

    async def run() -> None:
        pauses = pause.Pauses(60.0)
        kept = _keeper(pauses)
        owning = Collector()
        kept.demand(owning, _demand(1))
        start = fleets.TEXT.index("[pools.plain]")
        end = fleets.TEXT.index("[services.tutor-assist]")
        text = fleets.TEXT[:start] + fleets.TEXT[end:]
        plain = fleets.deployments.BRINDLEY.plain_service
        text = text.replace(f'depends_on = ["{plain}"]', "")
        assert kept._configured.accept(2, text)
        task = asyncio.create_task(kept.tick())
        await light.until(lambda: len(owning.messages) == 1, 10)
        assert isinstance(owning.messages[0], messages.Permit)
        task.cancel()

    asyncio.run(run())
