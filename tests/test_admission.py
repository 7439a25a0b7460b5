"""Capacity for the gateway's requests while keepers die, sleep and are cut off."""

import asyncio
from unittest import mock

import policy_fakes as fakes
import pytest

from cassiaquay_daemon import exceptions
from cassiaquay_daemon.configured import routing, snapshots
from cassiaquay_daemon.gateway import admission, calls, progress, serving
from cassiaquay_daemon.keepers import demands, keeper
from cassiaquay_daemon.platform import headers
from cassiaquay_schema import fleet, messages

KIND = routing.Kind.IDEMPOTENT
ROUTE = routing.Route(
    "r", "h", "/", KIND, (routing.Share("chat", 1),), 5.0, 0.4, 0.0, 0, 2, True, False
)
ROUTES = routing.Routing(
    1, {"h": [ROUTE]}, {}, {}, False, {"chat": 5}, routing.Bounds(0, 0, 0, 0)
)


class Members(fakes.Membership):
    """Three instances that serve."""

    def serving(self) -> list:
        """Return three."""
        return [None] * 3


class Configured(fakes.Configured):
    """Two servers of three slots each."""

    def __init__(self) -> None:
        servers = []
        for name in ("i-1", "i-2"):
            servers.append(fleet.Server(name=name, address="h:1", slots=3))
        pools = {"chat": fleet.Pool(servers=servers)}
        found = fleet.Fleet(
            tiers={"t": fleet.Tier(rank=0)},
            teams={},
            pools=pools,
            services={"chat": fleet.Service(pool="chat")},
        )
        self.current = snapshots.Snapshot(1, "", found, {}, ROUTES)


class Site:
    """One owner whose keeper is another instance."""

    def __init__(self) -> None:
        self.links = fakes.Links()
        self.keeper = fakes.Owner("cq-2")
        self.members = Members("cq-2", [self.keeper])
        settings = fakes.settings("cq-1")
        self.configured = Configured()
        local = keeper.Keeper(settings, self.links, self.members, self.configured)
        self.demands = demands.Demands(settings, self.links, self.members, local)
        self.admission = admission.Admission(self.demands, self.members, local.cold)
        # Renewals run all the time in a daemon; without them every permit is late.
        self.renewing: asyncio.Task[None] | None = None

    def call(self, number: int) -> calls.Call:
        """Return a request."""
        now = demands.clock.now()
        pairs = [(b"cassiaquay-attempt-id", b"a%d" % number)]
        parsed = headers.read([*pairs, (b"cassiaquay-token-counts", b"100,20")])
        snapshot = self.configured.current
        return calls.Call(
            "GET",
            "/",
            pairs,
            parsed,
            b"",
            ROUTE,
            "chat",
            None,
            snapshot,
            now,
            now + 4.0,
        )

    def obtain(self, number: int, **lists) -> "asyncio.Task[admission.Ticket]":
        """Ask for capacity."""
        refused = lists.get("refused", [])
        work = self.admission.obtain(
            self.call(number), 1, refused, lists.get("tried", [])
        )
        return asyncio.create_task(work)


def _run(work) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(8.0):
            await work(Site())

    asyncio.run(bounded())


def test_a_keepers_permit_is_used() -> None:
    async def work(site: Site) -> None:
        asking = site.obtain(1)
        await asyncio.sleep(0.01)
        [demand] = site.keeper.sent
        assert isinstance(demand, messages.Demand)
        assert (demand.id, demand.acknowledge) == ("a1", True)
        # Twenty tokens of an answer are four events.
        assert (demand.prompt_tokens, demand.output_tokens) == (100, 4)
        permit = messages.Permit("a1", "i-2", 1500, demand.shard)
        site.demands.answer(site.keeper, permit)
        ticket = await asking
        assert (ticket.server.name, ticket.is_without_keeper) == ("i-2", False)

    _run(work)


def test_a_silent_keeper_is_not_waited_for() -> None:
    """The keeper was paused: its connection is open and no answer comes.

    The request goes to a server all the same, well within its objective of 400 ms,
    and the keeper is told that its permit is not needed any more.
    """

    async def work(site: Site) -> None:
        ticket = await site.obtain(1)
        assert ticket.is_without_keeper
        assert isinstance(site.keeper.sent[-1], messages.Withdraw)
        late = messages.Permit("a1", "i-1", 1500, ticket.demand.shard)
        site.demands.answer(site.keeper, late)
        assert isinstance(site.keeper.sent[-1], messages.Withdraw)

    _run(work)


def test_alone_an_instance_uses_its_own_part_of_each_server() -> None:
    """Three instances decide alone before two servers of three slots each.

    Each may have one request out at each server; all of them together fill the
    servers and do not overfill them. More is refused, with a time to come back.
    """

    async def work(site: Site) -> None:
        tickets = []
        for number in range(2):
            ticket = await site.obtain(number)
            site.admission.report_dispatched(ticket)
            tickets.append(ticket)
        assert {ticket.server.name for ticket in tickets} == {"i-1", "i-2"}
        with pytest.raises(exceptions.Shed) as refused:
            await site.obtain(3)
        assert refused.value.retry_after_ms > 0
        site.admission.report_ended(tickets[0], demands.clock.now(), "completed")
        again = await site.obtain(4)
        assert again.server.name == tickets[0].server.name

    _run(work)


def test_alone_a_server_that_failed_the_request_is_left_out() -> None:
    async def work(site: Site) -> None:
        ticket = await site.obtain(1, refused=["i-1"])
        assert ticket.server.name == "i-2"
        ticket = await site.obtain(2, tried=["i-2"])
        assert ticket.server.name == "i-1"

    _run(work)


def test_a_keeper_that_has_the_demand_is_waited_for() -> None:
    """All slots are taken; the keeper lives and says so each time it is asked.

    Going alone would put a request on engines that are full.
    """

    async def work(site: Site) -> None:
        asking = site.obtain(1)
        for _ in range(14):
            await asyncio.sleep(0.05)
            shard = site.keeper.sent[0].shard
            site.demands.answer(site.keeper, messages.Queued("a1", shard))
        assert not asking.done()
        asked = [item for item in site.keeper.sent if isinstance(item, messages.Demand)]
        assert len(asked) >= 2, "it is asked whether it still lives"
        shed = messages.Shed("a1", "shed_overload", 700)
        site.demands.answer(site.keeper, shed)
        with pytest.raises(exceptions.Shed) as refused:
            await asking
        assert refused.value.retry_after_ms == 700

    _run(work)


def test_a_keeper_that_dies_while_a_request_waits_is_noticed() -> None:
    async def work(site: Site) -> None:
        asking = site.obtain(1)
        await asyncio.sleep(0.02)
        shard = site.keeper.sent[0].shard
        site.demands.answer(site.keeper, messages.Queued("a1", shard))
        ticket = await asking
        assert ticket.is_without_keeper

    _run(work)


def test_without_a_keeper_no_cold_server_gets_work() -> None:
    """Each instance would send to it by itself, and all of them together too much."""

    async def work(site: Site) -> None:
        site.admission._cold = mock.Mock(is_cold=lambda name: name == "i-1")
        tickets = [await site.obtain(number) for number in (1, 2, 3, 4)]
        assert {ticket.server.name for ticket in tickets} == {"i-2"}
        site.admission._cold.is_cold = lambda name: True
        with pytest.raises(exceptions.Shed):
            await site.obtain(5)

    _run(work)


def test_instances_that_lose_their_keeper_do_not_all_send_to_one_server() -> None:
    """Hundreds of instances lose it at the same moment and know the same servers."""

    async def work(site: Site) -> None:
        used = set()
        for _ in range(3):
            other = Site()
            asking = [other.obtain(number) for number in range(6)]
            for ticket in await asyncio.gather(*asking):
                used.add(ticket.server.name)
        assert used == {"i-1", "i-2"}

    _run(work)


def test_a_service_without_servers_is_refused_at_once() -> None:
    async def work(site: Site) -> None:
        empty = snapshots.with_servers(
            site.configured.current, snapshots.RegisteredServers({}, [])
        )
        site.configured.current = empty
        with pytest.raises(exceptions.NoServers) as refused:
            await site.obtain(1)
        assert refused.value.retry_after_ms > 0
        assert not site.keeper.sent

    _run(work)


def test_a_keeper_tells_those_who_ask_that_they_wait() -> None:
    """A keeper that has just begun grants nothing until it knows what is out.

    An owner that would go its own way without a sign gets one; the others, which wait
    in any case, are sent nothing that they do not need.
    """

    async def work(site: Site) -> None:
        site.members.keeper = "cq-1"
        asking, plain = fakes.Owner("cq-2"), fakes.Owner("cq-3")
        local = site.demands._keeper
        demand = fakes.demand("a1")._replace(shard="chat#0", acknowledge=True)
        local.demand(asking, demand)
        local.demand(plain, demand._replace(id="a2", acknowledge=False))
        await asyncio.sleep(0.01)
        told = [item for item in asking.sent if isinstance(item, messages.Queued)]
        assert told == [messages.Queued("a1", "chat#0")]
        assert not [item for item in plain.sent if isinstance(item, messages.Queued)]

    _run(work)


def _refuses(call, tries, refused, tried) -> None:
    raise exceptions.Shed(retry_after_ms=300)


def _breaks_off(call, tries, refused, tried) -> None:
    raise exceptions.AnswerLost()


@pytest.mark.parametrize(("ends", "returned"), [(_refuses, 1), (_breaks_off, 0)])
def test_a_refused_request_returns_its_part_of_the_limit(ends, returned) -> None:
    """A request has its part of the team's limit and gets no slot; its caller returns.

    What never ran is given back. What a server may have run stays counted: the limit
    is on what engines run.
    """

    async def work(site: Site) -> None:
        parts = mock.Mock()
        parts.limited.take = mock.AsyncMock(return_value="part")
        parts.reply.refuse = mock.AsyncMock()
        state = progress.RequestState(site.call(1))

        async def obtain(*asked) -> None:
            state.runs = 0 if returned else 1
            ends(*asked)

        parts.admitted.obtain = obtain
        parts.crashes.holds.return_value = False
        await serving.RequestHandler(parts).serve(state, mock.AsyncMock())
        assert parts.limited.give_back.call_count == returned
        assert parts.reply.refuse.await_count == 1

    _run(work)
