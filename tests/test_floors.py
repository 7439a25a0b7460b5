"""Floors between the shards of a pool: no lower tier is served while one sheds.

A pool of two shards, each with its own keeper.
"""

import asyncio
import typing

import policy_fakes as fakes
import pytest

from cassiaquay_daemon.configured import snapshots
from cassiaquay_daemon.keepers import floors, keeper
from cassiaquay_schema import messages

SERVERS = 18
FIRST, SECOND = "engines#0", "engines#1"


def _snapshot() -> snapshots.Snapshot:
    lines = ["[tiers.urgent]", "rank = 0", "[tiers.background]", "rank = 1"]
    lines += ["[teams.questions]", f'credentials = ["{"0" * 64}"]']
    lines += ['tiers = ["urgent"]', "[models.tutor-7b]", "[pools.engines]"]
    for number in range(SERVERS):
        lines += ["[[pools.engines.servers]]", f'name = "e{number:02}"']
        lines += [f'address = "h:{number + 1}"', 'model = "tutor-7b"', "slots = 1"]
    lines += ["[services.tutor-assist]", 'pool = "engines"', 'model = "tutor-7b"']
    return snapshots.read(1, "\n".join(lines))


class Wire:
    """A link from one keeper to another, which a test can interrupt."""

    def __init__(self, instance: str):
        self.instance = instance
        self.handlers: dict[type, typing.Any] = {}
        self.reverse: Wire | None = None
        self.is_interrupted = False

    def send(self, message: messages.Message) -> bool:
        if not self.is_interrupted and type(message) in self.handlers:
            self.handlers[type(message)](self.reverse, message)
        return not self.is_interrupted


class Members(fakes.Membership):
    """Fake membership in which each shard has its own keeper."""

    def keeper_of(self, key: str) -> str:
        return "cq-1" if key == FIRST else "cq-2"


class KeeperPair:
    """Two keepers connected by wires, and the owner of all requests."""

    def __init__(self) -> None:
        self.owner = fakes.Owner("cq-9")
        self.wires = {name: Wire(name) for name in ("cq-1", "cq-2")}
        self.wires["cq-1"].reverse = self.wires["cq-2"]
        self.wires["cq-2"].reverse = self.wires["cq-1"]
        self.keepers = {name: self._keeper(name) for name in self.wires}

    def _keeper(self, name: str) -> keeper.Keeper:
        links, configured = fakes.Links(), fakes.Configured()
        configured.current = _snapshot()
        members = Members(name, [self.owner])
        other = "cq-2" if name == "cq-1" else "cq-1"
        members.owners[other] = self.wires[other]  # type: ignore[assignment]
        members.alive = lambda: [self.owner]  # type: ignore[method-assign]
        created = keeper.Keeper(
            fakes.settings(name, max_queue=1),
            links,  # type: ignore[arg-type]
            members,  # type: ignore[arg-type]
            configured,  # type: ignore[arg-type]
        )
        self.wires[name].handlers = links.handlers
        return created

    def open(self) -> None:
        """Report to both keepers that the owner has no outstanding requests."""
        for name, shard in (("cq-1", FIRST), ("cq-2", SECOND)):
            self.keepers[name].renewal(self.owner, messages.Renewal(shard, []))

    def send_demand(self, name: str, shard: str, request_id: str, rank: int) -> None:
        """Send a demand."""
        demand = fakes.demand(request_id, rank)._replace(shard=shard)
        self.keepers[name].demand(self.owner, demand)

    async def fill(self) -> None:
        """Occupy every slot of the first shard, one by one since its queue is short."""
        count = len(_snapshot().shard_servers(FIRST))
        for number in range(count):
            self.send_demand("cq-1", FIRST, f"fill{number}", 0)
            await _run_pending_tasks()
        assert len(self.owner.permits()) == count


@pytest.fixture(name="time")
def _time():
    with fakes.Time().used() as time:
        yield time


async def _run_pending_tasks() -> None:
    for _ in range(8):
        await asyncio.sleep(0)


def test_no_shard_grants_a_lower_tier_once_another_has_shed_a_higher_one(time) -> None:
    """Guards against shedding an urgent demand while background work is served.

    The first shard is full and its queue too long; the second one has free servers.
    The second shard must hold its background demands back before the first one
    sheds, and serve them when the overload is over.
    """

    async def work() -> None:
        pair = KeeperPair()
        pair.open()
        await pair.fill()
        for number in range(2):
            pair.send_demand("cq-1", FIRST, f"urgent{number}", 0)
        await _run_pending_tasks()
        assert list(pair.owner.sheds()) == ["urgent1"]
        pair.send_demand("cq-2", SECOND, "urgent2", 0)
        await _run_pending_tasks()
        assert "urgent2" in pair.owner.permits()
        pair.send_demand("cq-2", SECOND, "background", 1)
        await _run_pending_tasks()
        assert "background" not in pair.owner.permits()
        assert "background" not in pair.owner.sheds()
        time.now += floors.HOLD_SECONDS + 0.1
        pair.send_demand("cq-2", SECOND, "background", 1)
        await _run_pending_tasks()
        assert "background" in pair.owner.permits()

    asyncio.run(work())


def test_unreachable_shard_delays_a_shed_by_a_bounded_time(time) -> None:
    """Guards against a refusal that waits indefinitely for an unreachable keeper.

    A partition separates the keepers of a pool. The shed is delayed by at most
    `floors.ANSWER_TIMEOUT_SECONDS`, as the other keeper may serve lower tiers.
    """

    async def work() -> None:
        pair = KeeperPair()
        for wire in pair.wires.values():
            wire.is_interrupted = True
        pair.open()
        await pair.fill()
        for number in range(2):
            pair.send_demand("cq-1", FIRST, f"urgent{number}", 0)
        await _run_pending_tasks()
        assert not pair.owner.sheds()
        time.now += floors.ANSWER_TIMEOUT_SECONDS + 0.01
        pair.send_demand("cq-1", FIRST, "urgent0", 0)
        await _run_pending_tasks()
        assert list(pair.owner.sheds()) == ["urgent1"]

    asyncio.run(work())


def test_hold_for_a_less_important_tier_is_not_sufficient(time) -> None:
    """Guards against relying on the hold for a less important tier.

    An urgent demand is to be shed soon after a background one. The other shard holds
    back only tiers below background, so it must be asked again before the urgent
    demand is shed.
    """

    async def work() -> None:
        pair = KeeperPair()
        pair.open()
        await pair.fill()
        pair.send_demand("cq-1", FIRST, "background0", 1)
        pair.send_demand("cq-1", FIRST, "background1", 1)
        await _run_pending_tasks()
        assert list(pair.owner.sheds()) == ["background1"]
        pair.send_demand("cq-1", FIRST, "urgent0", 0)
        pair.send_demand("cq-1", FIRST, "urgent1", 0)
        await _run_pending_tasks()
        assert "urgent1" in pair.owner.sheds()
        pair.send_demand("cq-2", SECOND, "background2", 1)
        await _run_pending_tasks()
        assert "background2" not in pair.owner.permits()

    asyncio.run(work())
