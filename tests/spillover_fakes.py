"""Test bench for spill-over: one shard, and the reports of its pool's other shards."""

import policy_fakes as fakes

from cassiaquay_daemon.decisions import objectives, shards
from cassiaquay_daemon.keepers import siblings, spillover
from cassiaquay_schema import messages

HERE, THERE, BUSY = "tutor#0", "tutor#1", "tutor#2"


class Snapshot:
    """Fake snapshot of a pool with three shards."""

    def siblings(self, shard: str) -> list[str]:
        """Return the other shards."""
        return [name for name in (HERE, THERE, BUSY) if name != shard]


class KeeperRole:
    """Fake keeper of one shard; instance cq-2 keeps the others."""

    def __init__(self, shard: shards.Shard):
        self.shards = {HERE: shard}

    def keeper_of(self, shard: str) -> str:
        """Return the instance that keeps a shard."""
        return "cq-1" if shard == HERE else "cq-2"

    def keeps(self, shard: str) -> bool:
        """Return whether this instance keeps a shard."""
        return shard == HERE


class Pool:
    """One shard with its spill-over, and the reports of the other shards' keeper."""

    def __init__(self, **keeper: str) -> None:
        self.shard = fakes.shard({"a": 1}, **keeper)
        self.policy = fakes.policy(self.shard, objectives.NAME)
        self.owner = fakes.Owner()
        self.other = fakes.Owner("cq-2")
        self.links = fakes.Links()
        members = fakes.Membership("cq-1", [self.other])
        role = KeeperRole(self.shard)
        sibling_shards = siblings.Siblings(
            "cq-1", members, role.keeper_of, lambda: Snapshot()
        )
        self.spillover = spillover.SpillOver(self.links, role, sibling_shards)
        self.shard.find_sibling = lambda waiting, limit: self.spillover.move(
            HERE, waiting, limit
        )

    def report_waits(self, shard: str, *waits: tuple[int, float, float]) -> None:
        """Deliver another shard's report of its waits."""
        rank_waits = [messages.RankWait(*wait) for wait in waits]
        self.links.handlers[messages.Waits](
            self.other, messages.Waits(shard, rank_waits)
        )

    def fill(self) -> None:
        """Occupy the only slot with an answer of some seconds."""
        self.policy._times_of("a").event_seconds = 0.05
        self.demand("full", output_tokens=100)
        self.policy.serve()
        assert "full" in self.owner.permits()

    def demand(self, name: str, rank: int = 0, **fields) -> None:
        """Add a demand whose first event is due within 0.4 s."""
        demand = fakes.demand(name, rank=rank)._replace(
            first_ms=400, remaining_ms=12_000, pause_ms=300
        )
        self.shard.add(demand._replace(**fields), self.owner)

    def moved(self) -> dict[str, str]:
        """Return the target shard of each moved demand."""
        moves = [item for item in self.owner.sent if isinstance(item, messages.Moved)]
        return {item.id: item.target for item in moves}
