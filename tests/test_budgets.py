"""Budgets of the whole fleet that no two instances talk about."""

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
# What the fleet may run of the team in one window: the users' bound.
BOUND = (100.0 * 8.0 + 100.0) * 1.25 + 1000.0


class Facts:
    """What a request says of its tokens."""

    def __init__(self, tokens: int):
        self.prompt_tokens = tokens
        self.most_output_tokens = 0
        self.counts_tokens = tokens > 0


class Members(fakes.Membership):
    """Members of a fleet of nine, of which some can be heard."""

    heard = 9

    def fleet_size(self) -> int:
        """Return nine, whoever is cut off."""
        return 9

    def alive(self) -> list:
        """Return those that can be heard."""
        return [None] * self.heard


class Configured(fakes.Configured):
    """A configuration with one team's limit."""

    def __init__(self) -> None:
        super().__init__()
        found = routing.Routing(
            1, {}, {"k": TEAM}, {"blue": QUOTA}, True, {}, routing.Bounds(0, 0, 0, 0)
        )
        self.current = self.current._replace(routes=found)


@pytest.fixture(name="time")
def _time():
    with fakes.Time().used() as time:
        yield time


def _settings(**gateway) -> settings.Settings:
    found = fakes.settings("cq-1")
    changed = {name: getattr(GATEWAY, name) for name in GATEWAY.__struct_fields__}
    return settings.Settings(
        instance=found.instance,
        domain=found.domain,
        keys=found.keys,
        platform=found.platform,
        gateway=settings.Gateway(**(changed | gateway)),
    )


def _quotas(members: Members, **gateway) -> quotas.Quotas:
    return quotas.Quotas(_settings(**gateway), fakes.Links(), members, Configured())


async def _spend_window(time, fleet: list[quotas.Quotas], tokens: int) -> int:
    """Spend all that instances may in a window of eight seconds."""
    spent = 0
    # Nobody answers those without the role; real waits for that would take minutes.
    with mock.patch.object(quotas, "QUERY_TIMEOUT_SECONDS", 0.0):
        for _ in range(160):
            for one in fleet:
                spent += await _spend(one, tokens, 1000)
            time.now += 0.05
    return spent


async def _spend(found: quotas.Quotas, tokens: int, times: int) -> int:
    spent = 0
    for _ in range(times):
        try:
            await found.take(TEAM, Facts(tokens))
        except exceptions.LimitReached as error:
            assert error.retry_after_ms >= 200
            break
        spent += tokens
    return spent


def test_repeats_of_all_instances_stay_under_the_fleets_budget(time) -> None:
    """Servers shed for ten seconds; each of nine instances repeats all it may."""
    nine = [budgets.RetryBudget(_settings(), lambda: 9) for _ in range(9)]
    repeats = 0
    for _ in range(100):
        time.now += 0.1
        for one in nine:
            one.count("chat")
            while one.take("chat"):
                repeats += 1
    assert 0 < repeats <= 0.2 * 900 + 50


def test_a_budget_comes_back_with_its_window(time) -> None:
    one = budgets.RetryBudget(_settings(), lambda: 1)
    first = 0
    while one.take("chat"):
        first += 1
    assert first == 40
    time.now += 10.1
    assert one.take("chat")


def test_a_restarted_instance_does_not_spend_a_second_budget(time) -> None:
    """All processes are killed at once, after they had spent the fixed part.

    What they spent is still in the window; the new ones know nothing of it.
    """
    one = budgets.RetryBudget(_settings(first_start=False), lambda: 1)
    assert not one.take("chat")
    time.now += 5.0
    again = 0
    while one.take("chat"):
        again += 1
    assert 0 < again <= 20


@pytest.mark.parametrize("parts", [1, 3, 9])
def test_a_limit_holds_in_any_partition(time, parts: int) -> None:
    """A team floods nine instances that are split into so many parts.

    Each part has a keeper of the limit that cannot know of the others. All instances
    spend what they can in one window; the sum stays under the fleet's bound, and the
    limit itself can be used.
    """
    heard = 9 // parts

    async def run() -> None:
        fleet = []
        for _ in range(parts):
            keeping = Members("cq-1", [])
            keeping.heard = heard
            fleet.append(_quotas(keeping))
            # The other instances of the part: their own shares, and no more, since
            # the keeper gives all of the rest.
            for _ in range(heard - 1):
                fleet.append(_quotas(Members("cq-0", [])))
        spent = await _spend_window(time, fleet, 5)
        assert spent <= BOUND
        assert spent >= 0.8 * BOUND

    asyncio.run(run())


def test_a_keeper_counts_what_it_may_have_spent_before(time) -> None:
    """All processes die and start again within one window of a flooding team.

    Without a memory each would let the team run its whole limit a second time.
    """

    async def run() -> None:
        before = await _spend(_quotas(Members("cq-1", [])), 20, 1000)
        time.now += 1.0
        fresh = _quotas(Members("cq-1", []), first_start=False)
        assert await _spend(fresh, 20, 1000) == 0
        time.now += 1.0
        after = await _spend(fresh, 20, 1000)
        assert 0 < after <= before / 2

    asyncio.run(run())


def test_a_keeper_that_lost_its_role_forgets_what_it_gave(time) -> None:
    """The role goes to another instance and comes back within one window.

    What the other one gave meanwhile is unknown here and counts as given.
    """

    async def run() -> None:
        members = Members("cq-1", [])
        found = _quotas(members, first_start=False)
        time.now += 20.0
        await _spend(found, 20, 1000)
        members.move("cq-2")
        members.move("cq-1")
        query = messages.QuotaQuery(1, "blue", 20)
        asking = fakes.Owner("cq-3")
        found._on_query(asking, query)
        # The keeper's part of the rate, from nothing: 0.35 of the bound is the depth.
        rate = 0.65 * 0.9 * BOUND / 9.0
        wait_ms = math.ceil(1000.0 * 20 / (rate * 0.7))
        assert asking.sent == [messages.QuotaAnswer(1, 0, wait_ms)]
        time.now += 9.5
        found._on_query(asking, query)
        assert asking.sent[-1] == messages.QuotaAnswer(1, 20)

    asyncio.run(run())


def test_a_silent_keeper_costs_a_moment(time) -> None:
    """The limit's keeper is paused: its link is open and nothing comes back."""

    async def run() -> None:
        members = Members("cq-2", [fakes.Owner("cq-2")])
        found = _quotas(members)
        assert await _spend(found, 20, 1000) > 0
        with pytest.raises(exceptions.LimitReached):
            await found.take(TEAM, Facts(20))
        assert not found._pending_queries

    asyncio.run(run())


def test_the_first_question_to_a_keeper_waits_for_its_connection(time) -> None:
    """A request is beyond its instance's own share; nobody has asked this keeper yet.

    The connection is being dialled. Refused now, the caller would be away for seconds
    though the keeper has all of its rest to give.
    """

    class Dialling(Members):
        def link(self, instance: str) -> None:
            """Have no connection yet."""

    async def run() -> None:
        found = _quotas(Dialling("cq-2", []))
        await _spend_own(found)
        asked = asyncio.create_task(found.take(TEAM, Facts(20)))
        await asyncio.sleep(0.0)
        keeper = fakes.Owner("cq-2")
        found._on_link_up(keeper)
        query = keeper.sent[0]
        assert (query.team, query.units) == ("blue", 20)
        found._on_answer(keeper, messages.QuotaAnswer(query.number, 20))
        await asked

    asyncio.run(run())


async def _spend_own(found: quotas.Quotas) -> None:
    """Spend an instance's own share."""
    flow = found._flow(QUOTA).part(quotas.OWN_SHARE / 9)
    await found.take(TEAM, Facts(int(flow.depth)))


def test_a_large_fleet_strands_little_of_a_limit(time) -> None:
    """Ninety instances, and requests that are each larger than a ninetieth.

    Split evenly, no instance could spend its share and the team would get less than
    half of what it may; the keeper gives it most of it.
    """

    class Many(Members):
        heard = 90

        def fleet_size(self) -> int:
            return 90

    async def run() -> None:
        start = time.now
        spent = await _spend_window(time, [_quotas(Many("cq-1", []))], 100)
        assert spent >= 0.7 * BOUND
        time.now = start
        spent += 89 * await _spend_window(time, [_quotas(Many("cq-0", []))], 100)
        assert spent <= BOUND

    asyncio.run(run())


def test_requests_count_their_tokens(time) -> None:
    assert quotas.units_of(QUOTA, Facts(50)) == 50
    assert quotas.units_of(QUOTA, Facts(0)) == 10
    assert quotas.units_of(QUOTA._replace(counts_tokens=False), Facts(50)) == 1


def test_the_silent_count_as_sharers_for_a_while(time) -> None:
    """Half of the fleet falls silent: cut off, it may go on spending its part."""
    found = budget_peers.BudgetPeers()
    assert found.count(8) == 8
    time.now += 30.0
    assert found.count(4) == 8
    time.now += 31.0
    assert found.count(4) == 4


def test_what_was_refused_for_want_of_a_slot_does_not_use_up_a_limit(time) -> None:
    """All slots are taken for a second, and every request of a team is refused.

    The team stays below its limit, and its callers come back when there are slots.
    Counted though they never ran, the refused ones would have used the limit up.
    """

    async def run() -> None:
        found = _quotas(Members("cq-1", []))
        for _ in range(400):
            taken = await found.take(TEAM, Facts(20))
            assert taken is not None
            found.give_back(taken)
        untouched = await _spend(_quotas(Members("cq-1", [])), 20, 1000)
        assert await _spend(found, 20, 1000) == untouched > 0

    asyncio.run(run())


def test_the_keeper_of_a_limit_takes_back_what_it_gave_once(time) -> None:
    """An instance returns what the keeper gave, and the message comes twice.

    Room that nobody gave would let the team pass its limit, so the second one, one of
    another instance and one for a question that was never answered count for nothing.
    """

    async def run() -> None:
        found = _quotas(Members("cq-1", []))
        asking = fakes.Owner("cq-3")
        for number in range(1, 1000):
            found._on_query(asking, messages.QuotaQuery(number, "blue", 20))
            if not asking.sent[-1].units:
                break
        last = asking.sent[-2].number
        found._on_return(fakes.Owner("cq-4"), messages.QuotaReturn(last))
        found._on_return(asking, messages.QuotaReturn(5000))
        found._on_query(asking, messages.QuotaQuery(1001, "blue", 20))
        assert not asking.sent[-1].units
        for _ in range(2):
            found._on_return(asking, messages.QuotaReturn(last))
        found._on_query(asking, messages.QuotaQuery(1002, "blue", 20))
        assert asking.sent[-1].units == 20
        found._on_query(asking, messages.QuotaQuery(1003, "blue", 20))
        assert not asking.sent[-1].units

    asyncio.run(run())


def test_an_instance_returns_what_a_keeper_gave_it(time) -> None:
    class Linked(Members):
        def link(self, instance: str) -> fakes.Owner:
            """Return the keeper's link."""
            return keeper

    keeper = fakes.Owner("cq-2")

    async def run() -> None:
        found = _quotas(Linked("cq-2", []))
        await _spend_own(found)
        keeper.sent.clear()
        asked = asyncio.create_task(found.take(TEAM, Facts(20)))
        await asyncio.sleep(0.0)
        number = keeper.sent[0].number
        found._on_answer(keeper, messages.QuotaAnswer(number, 20))
        taken = await asked
        found.give_back(taken)
        assert keeper.sent[-1] == messages.QuotaReturn(number)

    asyncio.run(run())
