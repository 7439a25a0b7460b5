"""Keeper roles that move because an instance is slow, and views that differ meanwhile.

A keeper gets 6.5 times less of its processor for some seconds. It informs the others,
and its shards move to instances that are not slow; later they return.
"""

import asyncio

import fleets
import mesh_fakes
import msgspec
import policy_fakes as fakes
import pytest

from cassiaquay_daemon.decisions import instance_load
from cassiaquay_daemon.keepers import demands, keeper
from cassiaquay_dev.sizing import light
from cassiaquay_schema import messages
from cassiaquay_schema import settings as settings_schema

BY_CAPACITY = settings_schema.Membership(placement="capacity")
LATE_SECONDS = 0.2
STEP_SECONDS = 0.5
SHARDS = [f"pool-{number}#0" for number in range(40)]


def _settings(name: str) -> settings_schema.Settings:
    return msgspec.structs.replace(fakes.settings(name), membership=BY_CAPACITY)


class Site:
    """Three instances with all roles, whose views of the keeper a test sets."""

    def __init__(self) -> None:
        self.mesh = mesh_fakes.Mesh()
        self.keepers: dict[str, keeper.Keeper] = {}
        self.demands: dict[str, demands.Demands] = {}
        for name, members in self.mesh.members.items():
            members.link = lambda to, own=name: self.mesh.end(own, to)
            members.instance_load = instance_load.InstanceLoad()
            wire, settings = self.mesh.wires[name], _settings(name)
            kept = keeper.Keeper(settings, wire, members, fakes.Configured())
            self.keepers[name] = kept
            self.demands[name] = demands.Demands(settings, wire, members, kept)

    def view(self, keeper_name: str, *names: str) -> None:
        """Let these instances, or all, take another one for the keeper."""
        for name in names or mesh_fakes.NAMES:
            self.mesh.members[name].move(keeper_name)

    async def deliver(self, *lost: type) -> list[tuple[str, str, messages.Message]]:
        """Deliver messages but ``lost`` ones; return them; fail if they never end."""
        delivered = []
        for _ in range(200):
            await asyncio.sleep(0)
            if not self.mesh.queue:
                return delivered
            sender, receiver, message = self.mesh.queue.popleft()
            if isinstance(message, lost):
                continue
            delivered.append((sender, receiver, message))
            handler = self.mesh.wires[receiver].handlers[type(message)]
            handler(self.mesh.end(receiver, sender), message)
        raise AssertionError(delivered[-6:])

    def pass_time(self, time: fakes.Time, seconds: float) -> None:
        """Let time pass, in steps that no keeper takes for a pause."""
        for _ in range(int(seconds / STEP_SECONDS)):
            time.now += STEP_SECONDS
            for kept in self.keepers.values():
                assert kept._pauses.is_current
                kept.tick_once()

    async def demand(self, name: str) -> asyncio.Task:
        """Let an instance demand capacity, and return the task of its permission."""
        deadline = fakes.clock.now() + 20.0
        work = self.demands[name].obtain(fakes.demand(f"of-{name}"), deadline)
        task = asyncio.create_task(work)
        await asyncio.sleep(0)
        return task


@pytest.fixture(name="time")
def _time():
    with fakes.Time().used() as time:
        yield time


def _run(work) -> None:
    asyncio.run(asyncio.wait_for(work(), 30.0))


def test_a_slow_keeper_passes_waiting_demands_on_at_once(time) -> None:
    """Owners don't know yet that the role has moved; the new keeper does.

    Guards against demands that wait for their owner's next renewal.
    """

    async def work() -> None:
        site = Site()
        site.view("cq-1")
        task = await site.demand("cq-3")
        await site.deliver(messages.RenewalQuery)
        assert "of-cq-3" in site.keepers["cq-1"].shards[fakes.SHARD].queue
        site.view("cq-2", "cq-1", "cq-2")
        await site.deliver(messages.RenewalQuery)
        assert not site.keepers["cq-1"].shards[fakes.SHARD].queue
        assert "of-cq-3" in site.keepers["cq-2"].shards[fakes.SHARD].queue
        assert site.keepers["cq-1"].hand_overs.counts == {"placement": 1}
        task.cancel()

    _run(work)


def test_views_that_differ_never_bounce_a_demand_for_ever(time) -> None:
    """Two instances take each other for the keeper.

    Guards against a demand that travels between them until views agree: it is sent
    twice, waits, and is granted after the next renewal.
    """

    async def work() -> None:
        site = Site()
        site.view("cq-1", "cq-2", "cq-3")
        site.view("cq-2", "cq-1")
        task = await site.demand("cq-3")
        sent = [type(message) for _, _, message in await site.deliver()]
        assert sent == [messages.Demand, messages.NotKeeper] * 2
        site.view("cq-2")
        await site.deliver()
        for _ in range(3):
            site.pass_time(time, STEP_SECONDS)
            await site.deliver()
        assert (await task).server

    _run(work)


def test_a_keeper_that_recovers_grants_only_after_owners_have_renewed(time) -> None:
    """While it was slow, another keeper filled an engine.

    Guards against a second filling from state that is as old as the hand-over.
    """

    async def work() -> None:
        site = Site()
        site.view("cq-1")
        kept = site.keepers["cq-1"]
        site.pass_time(time, 2.0)
        shard = kept.shards[fakes.SHARD]
        assert shard.is_open
        site.view("cq-2")
        site.pass_time(time, 4.0)
        site.view("cq-1")
        assert not shard.is_open
        await site.deliver()
        assert shard.is_open

    _run(work)


async def _load(instance: light.Light, lag: float) -> None:
    membership = instance.membership

    def is_noted() -> bool:
        membership.note_lag(lag)
        return membership.instance_load.is_slow == bool(lag)

    await light.until(is_noted, 10.0)


def _slow_in_all_views(fleet: fleets.Fleet) -> list[set[str]]:
    views = []
    for one in fleet.instances.values():
        serving = one.membership.serving()
        views.append({member.instance for member in serving if member.slow})
    return views


async def _start(fleet: fleets.Fleet, count: int) -> list[light.Light]:
    started = []
    for number in range(1, count + 1):
        domain = "east" if number % 2 else "west"
        name = f"cq-{number}"
        started.append(await fleet.add(name, domain=domain, placement="capacity"))
    await fleet.wait_for_members()
    return started


def _keepers(fleet: fleets.Fleet) -> list[list[str]]:
    views = []
    for one in fleet.instances.values():
        views.append([one.membership.keeper_of(shard) for shard in SHARDS])
    return views


def test_a_slow_instance_loses_its_roles_in_all_views_and_gets_them_back() -> None:
    """Guards against views that differ for good after slowness begins or ends."""

    async def work() -> None:
        async with fleets.fleet() as fleet:
            first, *_ = await _start(fleet, 6)
            before = _keepers(fleet)
            assert before == [before[0]] * 6 and first.name in before[0]
            await _load(first, LATE_SECONDS)
            await light.until(lambda: _slow_in_all_views(fleet) == [{"cq-1"}] * 6, 5.0)
            during = _keepers(fleet)
            assert during == [during[0]] * 6 and first.name not in during[0]
            await _load(first, 0.0)
            await light.until(lambda: _keepers(fleet) == before, 5.0)

    _run(work)


def test_a_lost_update_about_a_slow_instance_is_repaired() -> None:
    """Its connections break while it becomes slow, so that no instance learns of it.

    Guards against a keeper that others use for as long as it runs.
    """

    async def work() -> None:
        async with fleets.fleet() as fleet:
            first, *others = await _start(fleet, 6)
            for other in others:
                light.separate(first, other)
            await _load(first, LATE_SECONDS)
            assert _slow_in_all_views(fleet)[1:] == [set()] * 5
            for other in others:
                light.join(first, other)
            await light.until(lambda: _slow_in_all_views(fleet) == [{"cq-1"}] * 6, 10.0)

    _run(work)


def test_a_fleet_that_is_slow_as_a_whole_keeps_all_its_keepers() -> None:
    """Guards against a fleet without keepers, or with all at the last fast instance."""

    async def work() -> None:
        async with fleets.fleet() as fleet:
            started = await _start(fleet, 5)
            before = _keepers(fleet)
            for one in started:
                await _load(one, LATE_SECONDS)
            names = set(fleet.instances)
            await light.until(lambda: _slow_in_all_views(fleet) == [names] * 5, 5.0)
            assert _keepers(fleet) == before

    _run(work)
