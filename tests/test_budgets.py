"""Fleet-wide retry budgets and quotas, without coordination for each request."""

import asyncio
import math
from unittest import mock

import policy_fakes as fakes
import pytest

from cassiaquay_daemon import exceptions
from cassiaquay_daemon.configured import routing
from cassiaquay_daemon.decisions import budgets
from cassiaquay_daemon.fleet import budget_peers
from cassiaquay_daemon.keepers import quotas
from cassiaquay_schema import messages, settings

GATEWAY = settings.Gateway(
    retry_share=0.2,
    retry_extra=50.0,
    retry_window_seconds=10.0,
    quota_window_seconds=8.0,
    quota_excess=0.25,
    quota_slack=1000.0,
    first_start=True,
)
QUOTA = routing.Quota(100.0, 100.0, True, 10)
TEAM = routing.Team("blue", None, QUOTA)
# Most tokens of the team that the fleet may run in one window.
BOUND = (100.0 * 8.0 + 100.0) * 1.25 + 1000.0


class Facts:
    """Token counts that a request states."""

    def __init__(self, tokens: int):
        self.prompt_tokens = tokens
        self.most_output_tokens = 0
        self.counts_tokens = tokens > 0


class Members(fakes.Membership):
    """Membership of a fleet of nine, of which ``reachable`` instances are reachable."""

    reachable = 9

    def fleet_size(self) -> int:
        """Return nine, also in a partition."""
        return 9

    def alive(self) -> list:
        """Return the reachable instances."""
        return [None] * self.reachable


class Configured(fakes.Configured):
    """A configuration with one team's limit."""

    def __init__(self) -> None:
        super().__init__()
        routes = routing.Routing(
            1, {}, {"k": TEAM}, {"blue": QUOTA}, True, {}, routing.Bounds(0, 0, 0, 0)
        )
        self.current = self.current._replace(routes=routes)


@pytest.fixture(name="time")
def _time():
    with fakes.Time().used() as time:
        yield time


def _settings(**gateway) -> settings.Settings:
    base = fakes.settings("cq-1")
    changed = {name: getattr(GATEWAY, name) for name in GATEWAY.__struct_fields__}
    return settings.Settings(
        instance=base.instance,
        domain=base.domain,
        keys=base.keys,
        platform=base.platform,
        gateway=settings.Gateway(**(changed | gateway)),
    )


def _quotas(members: Members, **gateway) -> quotas.Quotas:
    return quotas.Quotas(_settings(**gateway), fakes.Links(), members, Configured())


async def _spend_window(time, fleet: list[quotas.Quotas], tokens: int) -> int:
    """Spend as much as all instances allow in a window of eight seconds."""
    spent = 0
    # Queries to other instances get no answer here; real timeouts would take minutes.
    with mock.patch.object(quotas, "QUERY_TIMEOUT_SECONDS", 0.0):
        for _ in range(160):
            for instance in fleet:
                spent += await _spend(instance, tokens, 1000)
            time.now += 0.05
    return spent


async def _spend(quota: quotas.Quotas, tokens: int, times: int) -> int:
    spent = 0
    for _ in range(times):
        try:
            await quota.take(TEAM, Facts(tokens))
        except exceptions.LimitReached as error:
            assert error.retry_after_ms >= 200
            break
        spent += tokens
    return spent


def test_repeats_of_all_instances_stay_under_the_fleets_budget(time) -> None:
    """Servers shed for ten seconds, and each of nine instances retries to its limit."""
    budgets_of_nine = [budgets.RetryBudget(_settings(), lambda: 9) for _ in range(9)]
    retries = 0
    for _ in range(100):
        time.now += 0.1
        for budget in budgets_of_nine:
            budget.count("chat")
            while budget.take("chat"):
                retries += 1
    assert 0 < retries <= 0.2 * 900 + 50


def test_a_budget_is_available_again_after_its_window(time) -> None:
    budget = budgets.RetryBudget(_settings(), lambda: 1)
    first = 0
    while budget.take("chat"):
        first += 1
    assert first == 40
    time.now += 10.1
    assert budget.take("chat")


def test_a_restarted_instance_does_not_spend_a_second_budget(time) -> None:
    """All processes are killed at once after they have spent the fixed part.

    Their retries are still in the window, but the new processes have no record of them.
    """
    budget = budgets.RetryBudget(_settings(first_start=False), lambda: 1)
    assert not budget.take("chat")
    time.now += 5.0
    later = 0
    while budget.take("chat"):
        later += 1
    assert 0 < later <= 20


def test_first_repeat_long_after_a_restart_finds_the_whole_budget(time) -> None:
    """Guards against refusing the first repeats of a process that has run for long."""
    budget = budgets.RetryBudget(_settings(first_start=False), lambda: 1)
    time.now += 10.1
    assert [budget.take("chat") for _ in range(41)] == [True] * 40 + [False]


@pytest.mark.parametrize("parts", [1, 3, 9])
def test_a_limit_holds_in_any_partition(time, parts: int) -> None:
    """A team overloads nine instances in one, three or nine partitions.

    Each partition has its own keeper of the limit. All instances spend as much as they
    can in one window; the sum stays under the fleet's bound and uses most of it.
    """
    reachable = 9 // parts

    async def run() -> None:
        fleet = []
        for _ in range(parts):
            keeper_members = Members("cq-1", [])
            keeper_members.reachable = reachable
            fleet.append(_quotas(keeper_members))
            # The other instances of the partition spend only their own shares, since
            # the keeper's own requests use up its part.
            for _ in range(reachable - 1):
                fleet.append(_quotas(Members("cq-0", [])))
        spent = await _spend_window(time, fleet, 5)
        assert spent <= BOUND
        assert spent >= 0.8 * BOUND

    asyncio.run(run())


def test_a_restarted_keeper_counts_the_limit_as_spent(time) -> None:
    """All processes restart within one window while a team overloads the fleet.

    If a new process assumed an unused limit, the team could spend it a second time.
    """

    async def run() -> None:
        before = await _spend(_quotas(Members("cq-1", [])), 20, 1000)
        time.now += 1.0
        restarted = _quotas(Members("cq-1", []), first_start=False)
        assert await _spend(restarted, 20, 1000) == 0
        time.now += 1.0
        after = await _spend(restarted, 20, 1000)
        assert 0 < after <= before / 2

    asyncio.run(run())


def test_a_keeper_that_regains_its_role_counts_the_limit_as_spent(time) -> None:
    """The role moves to another instance and back within one window.

    Grants of the other keeper are unknown here, so the limit counts as spent.
    """

    async def run() -> None:
        members = Members("cq-1", [])
        quota = _quotas(members, first_start=False)
        time.now += 20.0
        await _spend(quota, 20, 1000)
        members.move("cq-2")
        members.move("cq-1")
        query = messages.QuotaQuery(1, "blue", 20)
        querying = fakes.Owner("cq-3")
        quota._on_query(querying, query)
        # The rate of the keeper's part, from an empty bucket; 0.35 of the bound is its
        # depth.
        rate = 0.65 * 0.9 * BOUND / 9.0
        wait_ms = math.ceil(1000.0 * 20 / (rate * 0.7))
        assert querying.sent == [messages.QuotaAnswer(1, 0, wait_ms)]
        time.now += 9.5
        quota._on_query(querying, query)
        assert querying.sent[-1] == messages.QuotaAnswer(1, 20)

    asyncio.run(run())


def test_a_silent_keeper_delays_a_request_by_a_bounded_time(time) -> None:
    """The limit's keeper is paused: its link is open, but it sends no answers."""

    async def run() -> None:
        members = Members("cq-2", [fakes.Owner("cq-2")])
        quota = _quotas(members)
        assert await _spend(quota, 20, 1000) > 0
        with pytest.raises(exceptions.LimitReached):
            await quota.take(TEAM, Facts(20))
        assert not quota._pending_queries

    asyncio.run(run())


def test_the_first_query_to_a_keeper_waits_for_its_connection(time) -> None:
    """A request exceeds its instance's own share, and no link to the keeper is open.

    The connection is being opened. If the request were refused now, the caller would
    back off for seconds although the keeper could grant its units.
    """

    class Connecting(Members):
        def link(self, instance: str) -> None:
            """Return None: the connection is still being opened."""

    async def run() -> None:
        quota = _quotas(Connecting("cq-2", []))
        await _spend_own(quota)
        taking = asyncio.create_task(quota.take(TEAM, Facts(20)))
        await asyncio.sleep(0.0)
        keeper = fakes.Owner("cq-2")
        quota._on_link_up(keeper)
        query = keeper.sent[0]
        assert (query.team, query.units) == ("blue", 20)
        quota._on_answer(keeper, messages.QuotaAnswer(query.number, 20))
        await taking

    asyncio.run(run())


async def _spend_own(quota: quotas.Quotas) -> None:
    """Spend an instance's whole own share."""
    flow = quota._flow(QUOTA).scaled(quotas.OWN_SHARE / 9)
    await quota.take(TEAM, Facts(int(flow.depth)))


def test_a_large_fleet_can_use_most_of_a_limit(time) -> None:
    """Ninety instances, and requests larger than a ninetieth of the limit.

    With equal shares no instance could spend its share, and the team would get less
    than half of its limit. The keeper must grant most of it.
    """

    class LargeFleet(Members):
        reachable = 90

        def fleet_size(self) -> int:
            return 90

    async def run() -> None:
        start = time.now
        spent = await _spend_window(time, [_quotas(LargeFleet("cq-1", []))], 100)
        assert spent >= 0.7 * BOUND
        time.now = start
        spent += 89 * await _spend_window(time, [_quotas(LargeFleet("cq-0", []))], 100)
        assert spent <= BOUND

    asyncio.run(run())


def test_requests_take_units_by_their_tokens(time) -> None:
    assert quotas.units_of(QUOTA, Facts(50)) == 50
    assert quotas.units_of(QUOTA, Facts(0)) == 10
    assert quotas.units_of(QUOTA._replace(counts_tokens=False), Facts(50)) == 1


def test_unreachable_instances_count_as_sharers_for_a_while(time) -> None:
    """Half of the fleet becomes unreachable and may still spend its part."""
    peers = budget_peers.BudgetPeers()
    assert peers.count(8) == 8
    time.now += 30.0
    assert peers.count(4) == 8
    time.now += 31.0
    assert peers.count(4) == 4


def test_requests_shed_for_lack_of_a_slot_do_not_use_up_a_limit(time) -> None:
    """All slots are taken for a second, and every request of a team is shed.

    The team stays below its limit, and its callers retry when slots are free. If shed
    requests counted although they never ran, they would have used up the limit.
    """

    async def run() -> None:
        quota = _quotas(Members("cq-1", []))
        for _ in range(400):
            taken = await quota.take(TEAM, Facts(20))
            assert taken is not None
            quota.give_back(taken)
        unused_limit = await _spend(_quotas(Members("cq-1", [])), 20, 1000)
        assert await _spend(quota, 20, 1000) == unused_limit > 0

    asyncio.run(run())


def test_the_keeper_of_a_limit_accepts_the_return_of_a_grant_once(time) -> None:
    """An instance returns the units of a grant, and the message arrives twice.

    Units that were never granted would let the team exceed its limit. So the keeper
    ignores the duplicate, a return by another instance and one for an unknown query.
    """

    async def run() -> None:
        quota = _quotas(Members("cq-1", []))
        querying = fakes.Owner("cq-3")
        for number in range(1, 1000):
            quota._on_query(querying, messages.QuotaQuery(number, "blue", 20))
            if not querying.sent[-1].units:
                break
        last = querying.sent[-2].number
        quota._on_return(fakes.Owner("cq-4"), messages.QuotaReturn(last))
        quota._on_return(querying, messages.QuotaReturn(5000))
        quota._on_query(querying, messages.QuotaQuery(1001, "blue", 20))
        assert not querying.sent[-1].units
        for _ in range(2):
            quota._on_return(querying, messages.QuotaReturn(last))
        quota._on_query(querying, messages.QuotaQuery(1002, "blue", 20))
        assert querying.sent[-1].units == 20
        quota._on_query(querying, messages.QuotaQuery(1003, "blue", 20))
        assert not querying.sent[-1].units

    asyncio.run(run())


def test_an_instance_returns_units_to_the_keeper_that_granted_them(time) -> None:
    class Linked(Members):
        def link(self, instance: str) -> fakes.Owner:
            """Return the keeper's link."""
            return keeper

    keeper = fakes.Owner("cq-2")

    async def run() -> None:
        quota = _quotas(Linked("cq-2", []))
        await _spend_own(quota)
        keeper.sent.clear()
        taking = asyncio.create_task(quota.take(TEAM, Facts(20)))
        await asyncio.sleep(0.0)
        number = keeper.sent[0].number
        quota._on_answer(keeper, messages.QuotaAnswer(number, 20))
        taken = await taking
        quota.give_back(taken)
        assert keeper.sent[-1] == messages.QuotaReturn(number)

    asyncio.run(run())
