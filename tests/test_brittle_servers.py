"""Servers that fall over when they have to reject many requests in a second."""

import asyncio
import bisect

import gateway_fakes as fakes_gateway
import multidict
import policy_fakes as fakes
import pytest
import test_admission

from cassiaquay_daemon import clock, exceptions
from cassiaquay_daemon.adapters import signals
from cassiaquay_daemon.decisions import brittle_servers, objectives, tiered
from cassiaquay_daemon.platform import headers
from cassiaquay_dev.standins import platform_standins as standins
from cassiaquay_dev.standins import raw_servers

# Rejections in one second that a server bears.
BEARS = 2
SLOTS = 4
# Short enough that keepers would let requests wait inside the server.
ANSWER_SECONDS = 0.06
# Time from a server's first answer that calls it brittle until it has no queue.
PROPAGATION_SECONDS = 1.0
SECONDS = 3.0
# More than both servers can do: 133 a second.
PER_SECOND = 200.0


@pytest.fixture(name="time")
def _time():
    with fakes.Time().used() as time:
        yield time


class BrittleServer:
    """A server without a queue whose answers say that it is brittle."""

    def __init__(self, engine: standins.Engine):
        self.engine = engine
        self.rejected_at: list[float] = []
        self.has_queue = True
        self._active = 0
        engine.responder = self._respond

    async def _respond(
        self, request: raw_servers.Request, writer: raw_servers.Writer
    ) -> None:
        headers = standins.seal_headers(request) | {"Server-Brittle": str(BEARS)}
        if self._active >= SLOTS and not self.has_queue:
            self.rejected_at.append(clock.now())
            headers["Cassiaquay-Not-Executed"] = "1"
            await raw_servers.send(writer, 503, b"", headers)
            return
        self._active += 1
        try:
            await asyncio.sleep(ANSWER_SECONDS)
            await raw_servers.send(writer, 200, b"b", headers)
        finally:
            self._active -= 1

    @property
    def max_rejections(self) -> int:
        """Most rejections in one second."""
        most = 0
        for first, start in enumerate(self.rejected_at):
            most = max(most, bisect.bisect(self.rejected_at, start + 1.0) - first)
        return most


async def _send_for(site: fakes_gateway.Site, seconds: float) -> list[int]:
    """Send requests to all daemons in turn; return the statuses."""
    tasks = []
    for number in range(int(seconds * PER_SECOND)):
        at = number % len(site.daemons)
        tasks.append(asyncio.create_task(site.ask("/safe/x", "GET", b"", at)))
        await asyncio.sleep(1.0 / PER_SECOND)
    return [got.status for got in await asyncio.gather(*tasks)]


@pytest.mark.parametrize("count", [1, 3])
def test_brittle_servers_are_not_overfilled(count: int) -> None:
    """Guards against servers that fall over since keepers let requests wait there."""

    async def work(site: fakes_gateway.Site) -> None:
        brittle = [BrittleServer(engine) for engine in site.engines]
        await _send_for(site, PROPAGATION_SECONDS)
        for server in brittle:
            server.has_queue = False
        statuses = await _send_for(site, SECONDS)
        assert statuses.count(200) > SECONDS * PER_SECOND / 4, "they are in use"
        assert max(server.max_rejections for server in brittle) <= BEARS

    fakes_gateway.run(work, count)


def _rooms() -> tuple[brittle_servers.Rooms, brittle_servers.BrittleServers]:
    brittle = brittle_servers.BrittleServers()
    brittle.answered("a", 0, 6.0)
    return brittle_servers.Rooms(brittle), brittle


def test_rejections_stop_a_server_well_before_it_falls_over(time) -> None:
    rooms, _ = _rooms()
    for _ in range(3):
        assert rooms.capacity("a", 8)
        rooms.rejected("a", 8)
    assert rooms.capacity("a", 8) == 0
    time.now += brittle_servers.WINDOW_SECONDS + 0.1
    assert rooms.capacity("a", 8) == 8


def test_rejection_shows_that_a_server_takes_fewer_than_its_slots(time) -> None:
    """Guards against a slot that is counted as free and rejects each next request."""
    rooms, _ = _rooms()
    rooms.rejected("a", 5)
    assert rooms.capacity("a", 8) == 4
    time.now += brittle_servers.GROWTH_SECONDS
    assert rooms.capacity("a", 8) == 5
    time.now += 10.0 * brittle_servers.GROWTH_SECONDS
    assert rooms.capacity("a", 8) == 8


def test_keepers_of_both_sides_of_a_partition_share_a_brittle_server(time) -> None:
    rooms, _ = _rooms()
    capacities = []
    for share in (1.0 / 3.0, 2.0 / 3.0):
        rooms.reachable_share = lambda share=share: share
        capacities.append(rooms.capacity("a", 8))
    assert sum(capacities) <= 8
    assert min(capacities) >= 1


def test_server_that_is_brittle_no_more_is_filled_as_before(time) -> None:
    rooms, brittle = _rooms()
    rooms.rejected("a", 2)
    brittle.answered("a", 1, None)
    assert rooms.capacity("a", 8) is None
    brittle.answered("a", 2, 6.0)
    assert rooms.capacity("a", 8) == 8, "it starts anew"


@pytest.mark.parametrize("policy", [objectives.NAME, tiered.NAME])
def test_no_policy_lets_requests_wait_in_a_brittle_server(time, policy: str) -> None:
    """Guards against a policy that fills a server beyond its slots."""
    shard = fakes.shard({"a": 4})
    made = fakes.policy(shard, policy)
    owner = fakes.Owner()
    for number in range(4):
        shard.add(fakes.demand(f"old{number}"), owner)
    made.serve()
    for request_id in owner.permits():
        made.learn(fakes.release(request_id, "a")._replace(total_ms=10.0))
        shard.drop(request_id)
    shard.states.brittle.answered("a", 0, 3.0)
    for number in range(20):
        demand = fakes.demand(f"new{number}", prompt_tokens=1, output_tokens=1)
        shard.add(demand, owner)
    made.serve()
    assert 1 <= shard.count_on("a") <= 4


def test_instances_send_nothing_to_brittle_servers_without_a_keeper() -> None:
    """Guards against instances that together fill servers while a keeper is silent."""

    async def work(site: test_admission.Site) -> None:
        states = site.demands._keeper.states
        states.brittle.answered("i-1", 0, 3.0)
        ticket = await site.obtain(1)
        assert (ticket.server.name, ticket.is_without_keeper) == ("i-2", True)
        states.brittle.answered("i-2", 0, 3.0)
        with pytest.raises(exceptions.Shed) as refused:
            await site.obtain(2)
        assert refused.value.retry_after_ms > 0

    test_admission._run(work)


@pytest.mark.parametrize("text", ["many", "-1", "inf"])
def test_unreadable_number_changes_nothing(text: str) -> None:
    found = signals.read(
        headers.SIGNALS, 200, multidict.CIMultiDict({"Server-Brittle": text})
    )
    assert (found.brittle, found.is_brittle_readable) == (None, False)
    assert "Server-Brittle" in found.unreadable


def test_all_instances_know_a_brittle_server_and_its_end() -> None:
    """Guards against an instance that becomes the keeper and fills the server."""

    async def work(site: fakes_gateway.Site) -> None:
        number = "2"

        async def respond(
            request: raw_servers.Request, writer: raw_servers.Writer
        ) -> None:
            pairs = standins.seal_headers(request)
            if number:
                pairs["Server-Brittle"] = number
            await asyncio.sleep(ANSWER_SECONDS)
            await raw_servers.send(writer, 200, b"b", pairs)

        for engine in site.engines:
            engine.responder = respond

        async def until(is_known: bool) -> None:
            while True:
                # More than one server has slots for, so that both answer.
                burst = [site.ask("/safe/x", "GET", b"") for _ in range(SLOTS + 2)]
                for answer in await asyncio.gather(*burst):
                    assert answer.status == 200
                known = [
                    made._server_states.brittle.holds(name)
                    for made in site.daemons
                    for name in ("i-1-plain", "i-2-plain")
                ]
                if all(item is is_known for item in known):
                    return
                await asyncio.sleep(0.01)

        await until(True)
        number = ""
        await until(False)

    fakes_gateway.run(work, 3)
