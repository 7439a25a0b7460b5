"""A process that was paused must not act on state from before the pause."""

import asyncio
import socket
import time

import aiohttp
import fleets
import gateway_fakes

from cassiaquay_daemon import clock, pause, platform
from cassiaquay_daemon.adapters import backends
from cassiaquay_daemon.fleet import configuration, members
from cassiaquay_daemon.keepers import demands, keeper, permissions
from cassiaquay_daemon.links import peers
from cassiaquay_daemon.owners import owner, tokens
from cassiaquay_dev.sizing import light
from cassiaquay_dev.standins import platform_standins
from cassiaquay_schema import messages

SETTINGS = light.settings_of("cq-1")


class Clock:
    """A clock that can jump ahead, as seen by a process after a pause."""

    def __init__(self) -> None:
        self.paused_seconds = 0.0

    def now(self) -> float:
        return clock.now() + self.paused_seconds


class Collector:
    """Replaces the link to an owner; collects the messages sent."""

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
    configured.accept(platform.Published(1, fleets.text(1)))
    return keeper.Keeper(SETTINGS, links, membership, configured, pauses)


def _demand(number: int) -> messages.Demand:
    request_id = f"cq-2.{'b' * 12}.60000.{'0' * 16}~{number}"
    service = fleets.deployments.BRINDLEY.plain_service
    return messages.Demand(
        request_id, "plain#0", service, "feedback", 0, 0, 1, 9000, "", [], []
    )


def test_a_keeper_grants_nothing_after_a_pause_until_renewed() -> None:
    """A keeper must not grant capacity that another keeper has granted meanwhile.

    The keeper is paused for longer than all leases with a demand in its queue. It drops
    the demand, which the owner has sent to another keeper. It grants a repeated demand
    only after the process is renewed and the owners had time to renew their leases.
    """

    async def run() -> None:
        jumping_clock = Clock()
        pauses = pause.Pauses(pause.shortest_lease(SETTINGS), jumping_clock.now)
        local_keeper = _keeper(pauses)
        owner_link = Collector()
        local_keeper.demand(owner_link, _demand(1))
        task = asyncio.create_task(local_keeper.tick())
        await light.until(lambda: len(owner_link.messages) == 1, 10)
        jumping_clock.paused_seconds = 60.0
        local_keeper.demand(owner_link, _demand(2))
        await asyncio.sleep(0.3)
        assert len(owner_link.messages) == 1
        pauses.release()
        assert not local_keeper.shards["plain#0"].is_open
        local_keeper.demand(owner_link, _demand(2))
        await light.until(lambda: len(owner_link.messages) == 2, 10)
        task.cancel()

    asyncio.run(run())


class _RecordingBackend:
    """A backend protocol that records the dispatched requests."""

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
        on_signals: backends.OnSignals,
    ) -> backends.TokenUsage:
        before_sending()
        self.sent.append(call.key)
        return backends.TokenUsage(0, 0, 0)

    async def cancel(self, server: object, key: str) -> None:
        return None


backends.backends.register("noting")(_RecordingBackend)


class _GrantingDemands(demands.Demands):
    """Grants each demand after 10 ms."""

    async def obtain(
        self, demand: messages.Demand, deadline: float
    ) -> permissions.Permission:
        await asyncio.sleep(0.01)
        return permissions.Permission("bookings-1", clock.now() + 60.0, "bookings#0")


def test_an_owner_sends_nothing_after_a_pause_until_renewed() -> None:
    """After a pause, an owner dispatches only once its process is renewed.

    The owner holds a permit and is paused right before the first byte. It sends nothing
    before the renewal; after it, the request runs once.
    """

    async def run() -> None:
        jumping_clock = Clock()
        pauses = pause.Pauses(pause.shortest_lease(SETTINGS), jumping_clock.now)
        links = peers.Peers(SETTINGS, "a" * 12)
        local_keeper = _keeper(pauses)
        membership = members.Membership(
            SETTINGS, "a" * 12, links, str, lambda: (0.0, 1)
        )
        granting = _GrantingDemands(SETTINGS, links, membership, local_keeper)
        async with aiohttp.ClientSession() as http:
            local_owner = owner.Owner(
                SETTINGS, "a" * 12, http, granting, lambda server: False, str
            )
            local_owner.use_pauses(pauses)
            configured = configuration.Configuration(SETTINGS, links)
            text = fleets.text(1).replace("plain-http", "noting")
            configured.accept(platform.Published(1, text))
            snapshot = configured.current
            assert snapshot is not None
            token = tokens.mint(light.KEY, "cq-1", "a" * 12, 60.0)
            request_id = tokens.parse([light.KEY], f"{token}~x")
            service = fleets.deployments.BRINDLEY.plain_service
            body = b'{"service": "%s", "path": "/"}' % service.encode()
            jumping_clock.paused_seconds = 60.0
            entry = local_owner.submit(request_id, "feedback", body, snapshot)
            local_owner.attach(entry)
            await asyncio.sleep(0.3)
            assert _RecordingBackend.sent == []
            assert not entry.ended
            pauses.release()
            await light.until(lambda: entry.ended, 10)
            assert len(_RecordingBackend.sent) == 1
            await local_owner.leave()

    asyncio.run(run())


def test_a_gap_below_the_limit_is_not_a_pause() -> None:
    jumping_clock = Clock()
    pauses = pause.Pauses(1.0, jumping_clock.now)
    jumping_clock.paused_seconds = 0.5
    assert pauses.is_current
    jumping_clock.paused_seconds = 1.7
    assert not pauses.is_current
    assert pauses.count == 1


def test_requests_of_a_removed_pool_are_still_served() -> None:
    """A waiting request is served although its pool has just been removed.

    The request was accepted under revision 1; revision 2 has no such pool. The keeper
    serves waiting requests with the servers of revision 1.
    """

    async def run() -> None:
        pauses = pause.Pauses(60.0)
        local_keeper = _keeper(pauses)
        owner_link = Collector()
        local_keeper.demand(owner_link, _demand(1))
        start = fleets.TEXT.index("[pools.plain]")
        end = fleets.TEXT.index("[services.tutor-assist]")
        text = fleets.TEXT[:start] + fleets.TEXT[end:]
        plain = fleets.deployments.BRINDLEY.plain_service
        text = text.replace(f'depends_on = ["{plain}"]', "")
        assert local_keeper._configured.accept(platform.Published(2, text))
        task = asyncio.create_task(local_keeper.tick())
        await light.until(lambda: len(owner_link.messages) == 1, 10)
        assert isinstance(owner_link.messages[0], messages.Permit)
        task.cancel()

    asyncio.run(run())


def test_request_that_waited_for_a_busy_process_counts_as_that_old() -> None:
    """Guards against time that is handed on though the caller no longer has it.

    The event loop stands still for 0.5 s; a request that it reads then may have arrived
    at any time since. The next one is counted from when it is read.
    """
    time_now = 100.0

    async def work() -> None:
        nonlocal time_now
        pauses = pause.Pauses(5.0, lambda: time_now)
        checking = asyncio.create_task(pauses.check_periodically())
        await asyncio.sleep(0)
        time_now = 100.1
        assert pauses.earliest_arrival() == 100.1
        time_now = 100.5
        assert pauses.earliest_arrival() == 100.0
        async with asyncio.timeout(10.0):
            while pauses.earliest_arrival() == 100.0:
                await asyncio.sleep(0)
        assert pauses.earliest_arrival() == 100.5
        checking.cancel()

    asyncio.run(work())


def test_server_gets_no_time_that_passed_while_the_daemon_did_not_run() -> None:
    """Guards against counting a caller's time from when a late process reads it."""

    async def work(site: gateway_fakes.Site) -> None:
        host, _, port = site.settings[0].gateway.front.rpartition(":")
        head = [
            "POST /book/x HTTP/1.1",
            f"Host: {platform_standins.HOST}",
            "Content-Length: 0",
            "Cassiaquay-Attempt-Id: waits",
            "Cassiaquay-Deadline-Ms: 4000",
            "Api-Key: key",
        ]
        with socket.create_connection((host, int(port))) as caller:
            caller.sendall("\r\n".join([*head, "", ""]).encode())
            _stand_still(0.5)
            while not site.engines_of("waits"):
                await asyncio.sleep(0.01)
        [engine] = site.engines_of("waits")
        [request] = engine.requests
        assert int(request.headers["cassiaquay-deadline-ms"]) < 3500

    gateway_fakes.run(work)


def _stand_still(seconds: float) -> None:
    """Let no other task of this process run."""
    time.sleep(seconds)


def test_each_check_tells_by_how_much_the_event_loop_was_late() -> None:
    """Guards against a slow instance that does not notice it: one late check."""

    async def run() -> list[float]:
        lags: list[float] = []
        jumping = Clock()
        pauses = pause.Pauses(10.0, jumping.now)
        pauses.on_check(lags.append)
        task = asyncio.create_task(pauses.check_periodically())
        await light.until(lambda: bool(lags), 5.0)
        seen = len(lags)
        jumping.paused_seconds += 0.3
        await light.until(lambda: len(lags) > seen, 5.0)
        task.cancel()
        return lags[seen:]

    assert asyncio.run(run())[0] >= 0.25


def test_pauses_follow_a_clock_that_is_replaced_later() -> None:
    """Guards against a default argument that keeps the clock of the import.

    A simulated daemon would then look for pauses on the machine's clock.
    """
    before = clock.use(lambda: 5.0)
    try:
        pauses = pause.Pauses(1.0)
        clock.use(lambda: 50.0)
        assert not pauses.is_current
    finally:
        clock.use(before)
