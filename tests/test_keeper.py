"""Keepers that come, go and wake up; permits that are lost or come too late."""

import asyncio

import policy_fakes as fakes
import pytest

from cassiaquay_daemon.adapters import answers
from cassiaquay_daemon.keepers import demands, keeper
from cassiaquay_dev.lab import virtual_time
from cassiaquay_schema import messages

RENEW = 0.7
RUNS = messages.Outstanding("runs", "", "", 0, "tutor-1", 40, 20)


class Site:
    """One instance's keeper and owner roles, and two other owners."""

    def __init__(self, keeps: bool = True):
        self.links = fakes.Links()
        self.others = [fakes.Owner("cq-2"), fakes.Owner("cq-3")]
        self.members = fakes.Membership("cq-1" if keeps else "cq-2", self.others)
        self.settings = fakes.settings("cq-1")
        self.keeper = keeper.Keeper(
            self.settings, self.links, self.members, fakes.Configured()
        )
        self.demands = demands.Demands(
            self.settings, self.links, self.members, self.keeper
        )

    def shard(self):
        """Return the shard, kept here."""
        return self.keeper.shards[fakes.SHARD]

    def open(self):
        """Let both other owners tell that nothing is out."""
        for owner in self.others:
            self.keeper.renewal(owner, messages.Renewal(fakes.SHARD, []))


@pytest.fixture(name="time")
def _time():
    with fakes.Time().used() as time:
        yield time


def _run(work) -> None:
    async def bounded() -> None:
        await asyncio.wait_for(work(), 5.0)

    asyncio.run(bounded())


async def _turn() -> None:
    for _ in range(5):
        await asyncio.sleep(0)


def test_a_new_keeper_learns_what_is_out_before_it_grants(time) -> None:
    """The keeper before this one has filled an engine and died.

    Demands come first, the owners' renewals later. Nothing is granted until both
    owners have told; then the engine that is full gets nothing.
    """

    async def work() -> None:
        site = Site()
        asker = site.others[0]
        site.keeper.demand(asker, fakes.demand("waits"))
        await _turn()
        assert not asker.permits()
        for owner in site.others:
            assert messages.RenewalQuery(fakes.SHARD) in owner.sent
        full = []
        for number in range(32):
            item = messages.Outstanding(f"r{number}", "", "", 0, "tutor-1", 40, 20)
            full.append(item)
        site.keeper.renewal(site.others[1], messages.Renewal(fakes.SHARD, full))
        await _turn()
        assert not asker.permits()
        site.keeper.renewal(asker, messages.Renewal(fakes.SHARD, []))
        await _turn()
        assert site.shard().count_on("tutor-1") == 32
        assert asker.permits()["waits"] != "tutor-1"

    _run(work)


def test_a_new_keeper_opens_without_an_owner_that_never_answers(time) -> None:
    """One owner is cut off: the keeper waits a renewal period and a half for it."""

    async def work() -> None:
        site = Site()
        asker = site.others[0]
        site.keeper.demand(asker, fakes.demand("waits"))
        site.keeper.renewal(asker, messages.Renewal(fakes.SHARD, []))
        await _turn()
        assert not asker.permits()
        for _ in range(2):
            time.now += RENEW * 0.75
            site.keeper.demand(asker, fakes.demand("waits"))
            await _turn()
        assert "waits" in asker.permits()

    _run(work)


def test_a_keeper_that_is_none_any_more_grants_nothing(time) -> None:
    """The members change while demands wait here.

    Owners tell the new keeper; a grant from here would fill the engines twice. Who
    still asks here is told whom to ask.
    """

    async def work() -> None:
        site = Site()
        asker = site.others[0]
        site.keeper.demand(asker, fakes.demand("waits"))
        site.members.move("cq-2")
        site.open()
        await _turn()
        assert not site.shard().queue
        site.keeper.demand(asker, fakes.demand("waits"))
        await _turn()
        assert not asker.permits()
        assert asker.sent[-1] == messages.NotKeeper("waits", "cq-2")

    _run(work)


def test_a_keeper_that_was_paused_drops_its_stale_queue(time) -> None:
    """The process sleeps for ten seconds with demands in its queue.

    Their owners have turned to another keeper meanwhile. On waking it grants none of
    them and learns anew what is out.
    """

    async def work() -> None:
        site = Site()
        asker = site.others[0]
        site.keeper.renewal(asker, messages.Renewal(fakes.SHARD, []))
        site.keeper.demand(asker, fakes.demand("stale", remaining_ms=60_000))
        time.now += 10.0
        ticking = asyncio.create_task(site.keeper.tick())
        await _turn()
        ticking.cancel()
        assert not asker.permits()
        assert not site.shard().queue
        assert not site.shard().is_open

    _run(work)


def test_a_demand_that_its_owner_does_not_repeat_is_forgotten(time) -> None:
    """An owner dies without closing its connection: no engine is kept for it."""
    shard = fakes.shard({"a": 1})
    owner = fakes.Owner()
    shard.add(fakes.demand("gone"), owner)
    time.now += 2.0
    shard.add(fakes.demand("alive"), owner)
    time.now += 1.0
    shard.expire()
    assert list(shard.queue) == ["alive"]


def test_a_permit_that_is_never_used_frees_its_capacity_after_its_end(time) -> None:
    """An owner gets a permit and dies. The engine is held for the permit's life.

    It is not held for the lease of a running request on top, since nobody has told of
    a dispatch.
    """
    shard = fakes.shard({"a": 1})
    policy = fakes.policy(shard)
    owner = fakes.Owner()
    shard.add(fakes.demand("unused"), owner)
    policy.serve()
    time.now += 1.4
    shard.expire()
    assert shard.count_on("a") == 1
    time.now += 0.6
    shard.expire()
    assert shard.count_on("a") == 0


def test_a_permit_lost_with_its_connection_is_sent_again(time) -> None:
    """The owner asks again: it has no permit. It gets the same one, not another."""
    shard = fakes.shard({"a": 8, "b": 8})
    policy = fakes.policy(shard)
    lost, again = fakes.Owner(), fakes.Owner()
    shard.add(fakes.demand("one"), lost)
    policy.serve()
    time.now += RENEW
    shard.add(fakes.demand("one"), again)
    policy.serve()
    assert again.permits() == lost.permits()
    assert len(shard.running) == 1


def test_a_request_that_ended_unheard_is_dropped_by_the_next_renewal(time) -> None:
    """The news of an end is lost: the owner's next renewal does not name it."""
    shard = fakes.shard({"a": 1})
    out = messages.Outstanding("one", "", "", 0, "a", 40, 20)
    shard.renew("cq-1", [out])
    shard.renew("cq-2", [])
    assert shard.count_on("a") == 1
    shard.renew("cq-1", [])
    assert shard.count_on("a") == 0


def test_a_cancelled_request_leaves_the_queue_at_once(time) -> None:
    """The caller gives up while its request waits; the keeper forgets it."""

    async def work() -> None:
        site = Site()
        demand = fakes.demand("given-up")
        asking = asyncio.create_task(site.demands.obtain(demand, time.now + 5.0))
        await _turn()
        assert "given-up" in site.shard().queue
        asking.cancel()
        await asyncio.gather(asking, return_exceptions=True)
        assert not site.shard().queue

    _run(work)


def test_a_permit_that_comes_after_the_end_is_given_back(time) -> None:
    """The caller cancels while a permit is on its way, or a second keeper grants too.

    Nobody waits for it any more; without giving it back an engine would be held.
    """

    async def work() -> None:
        site = Site(keeps=False)
        late = fakes.Owner("cq-2")
        permit = messages.Permit("ended", "tutor-1", 1500, fakes.SHARD)
        site.demands.answer(late, permit)
        assert late.sent == [messages.Withdraw("ended", fakes.SHARD)]

    _run(work)


def test_a_repeated_permit_of_a_running_request_is_left_alone(time) -> None:
    """A keeper sends a permit twice; the request already runs by the first.

    Giving the second one back would free an engine that is busy.
    """

    async def work() -> None:
        site = Site(keeps=False)
        late = fakes.Owner("cq-2")
        site.demands.dispatched(fakes.SHARD, RUNS, answers.Answer())
        permit = messages.Permit("runs", "tutor-1", 1500, fakes.SHARD)
        site.demands.answer(late, permit)
        assert late.sent == []

    _run(work)


def test_an_owner_asks_the_keeper_that_it_is_pointed_to(time) -> None:
    """The owner's view of the members is behind: the keeper that it asks says so."""

    async def work() -> None:
        site = Site(keeps=False)
        old, new = site.others
        demand = fakes.demand("asks")
        asking = asyncio.create_task(site.demands.obtain(demand, time.now + 5.0))
        await _turn()
        site.demands.answer(old, messages.NotKeeper("asks", "cq-3"))
        assert [type(item) for item in new.sent] == [messages.Demand]
        permit = messages.Permit("asks", "tutor-2", 1500, fakes.SHARD)
        site.demands.answer(new, permit)
        assert (await asking).server == "tutor-2"

    _run(work)


def test_news_of_dispatch_and_first_event_is_sent_once(time) -> None:
    async def work() -> None:
        site = Site(keeps=False)
        answer = answers.Answer()
        site.demands.dispatched(fakes.SHARD, RUNS, answer)
        reporting = asyncio.create_task(site.demands.report())
        await asyncio.sleep(0.07)
        answer.append(b"{}")
        while len(site.others[0].sent) < 2:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.07)
        reporting.cancel()
        steps = [step for item in site.others[0].sent for step in item.steps]
        assert [step.started for step in steps] == [False, True]

    _run(work)


def test_a_keeper_is_open_before_the_first_request_comes(time) -> None:
    """A large fleet starts, and its first request comes seconds later.

    A keeper of a large fleet waits for a second for what owners have out. That second
    begins when the role is known: begun with the first request, all callers of the
    shard's first second would get late answers.
    """

    async def work() -> None:
        site = Site()
        many = [
            fakes.Owner(f"cq-{number}")
            for number in range(keeper.MAX_QUERIED_OWNERS + 8)
        ]
        site.members.owners = {owner.instance: owner for owner in many}
        for _ in range(20):
            time.now += keeper.TICK_SECONDS
            site.keeper.tick_once()
        site.keeper.demand(many[0], fakes.demand("first"))
        await _turn()
        assert "first" in many[0].permits()

    _run(work)


def test_a_keeper_takes_up_nothing_while_the_members_change(time) -> None:
    """An instance that has just started knows few others, and more each moment."""

    async def work() -> None:
        site = Site()
        for _ in range(10):
            time.now += keeper.TICK_SECONDS
            site.members.move("cq-1")
            site.keeper.tick_once()
        assert not site.keeper.shards

    _run(work)


def test_passes_over_a_long_queue_leave_time_for_the_rest(monkeypatch) -> None:
    """Hundreds of owners send news to a keeper whose queue is long.

    Each message asks for a pass, and each pass takes 10 ms of this keeper's processor.
    At most half of its time goes into passes; the messages are taken in meanwhile.
    """
    passes = []

    async def work() -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        spent = 0.0
        before = keeper.clock.use(lambda: loop.time() + spent)
        site = Site()
        site.keeper.demand(site.others[0], fakes.demand("first"))
        site.open()

        def serve() -> None:
            nonlocal spent
            passes.append(keeper.clock.now())
            spent += 0.01

        monkeypatch.setattr(site.keeper._policies[fakes.SHARD], "serve", serve)
        while loop.time() + spent < began + 1.0:
            site.keeper.serve_soon(fakes.SHARD)
            await asyncio.sleep(0.001)
        keeper.clock.use(before)
        assert spent <= 0.55

    virtual_time.run(work())
    assert 40 <= len(passes) <= 55
