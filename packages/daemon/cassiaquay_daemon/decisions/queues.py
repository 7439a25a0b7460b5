"""The queue of one shard, indexed by tier, team and size to avoid scanning it.

Between tiers the order is strict. Between the teams of a tier it is by virtual time:
granted work divided by the team's weight. Within a team small demands go first: lengths
differ a hundredfold, and one long chat history takes the work of fifty short questions.
Work is in prompt tokens: the uncached ones, plus those that the engine could read in
the time in which it generates the answer.
"""

import collections
import collections.abc
import typing

from . import shards

SIZE_CLASS_FACTOR = 2

Measure = collections.abc.Callable[[shards.Waiting], int]


class QueueEntry(typing.NamedTuple):
    """The index entry of a demand; a renewal of it may carry other estimates."""

    rank: int
    team: str
    size: int
    work: int


class TeamQueue:
    """The waiting demands of one team in one tier."""

    def __init__(self) -> None:
        self.virtual_time = 0.0
        self.count = 0
        self._size_classes: dict[int, collections.OrderedDict[str, shards.Waiting]] = {}

    def add(self, size: int, waiting: shards.Waiting) -> None:
        """Add a demand of a size class."""
        members = self._size_classes.setdefault(size, collections.OrderedDict())
        members[waiting.demand.id] = waiting
        self.count += 1

    def remove(self, size: int, request_id: str) -> None:
        """Remove a demand."""
        if self._size_classes[size].pop(request_id, None) is not None:
            self.count -= 1

    def ids(self) -> collections.abc.Iterator[str]:
        """Yield the demands, small ones first, then in order of arrival."""
        for size in sorted(self._size_classes):
            yield from self._size_classes[size]

    def last(self) -> str:
        """Return the demand that would be served last."""
        for size in sorted(self._size_classes, reverse=True):
            if self._size_classes[size]:
                return next(reversed(self._size_classes[size]))
        raise LookupError("the queue is empty")


class TierQueues:
    """All waiting demands of a shard, kept up to date as an observer of the shard.

    Parameters
    ----------
    shard : Shard
        The shard.
    measure : callable
        Returns the work of a demand, in prompt tokens.
    """

    def __init__(self, shard: shards.Shard, measure: Measure):
        self._shard = shard
        self._measure = measure
        self._tiers: dict[int, dict[str, TeamQueue]] = {}
        self._work_by_rank: collections.Counter[int] = collections.Counter()
        self._work_by_size: dict[int, collections.Counter[int]] = {}
        self._entries: dict[str, QueueEntry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, waiting: shards.Waiting) -> None:
        """Add a demand; its team gets no credit for time without demands."""
        demand = waiting.demand
        teams = self._tiers.setdefault(demand.rank, {})
        queue = teams.get(demand.team)
        if queue is None:
            queue = teams[demand.team] = TeamQueue()
        if not queue.count:
            active = [item.virtual_time for item in teams.values() if item.count]
            queue.virtual_time = initial_virtual_time(queue.virtual_time, active)
        work = self._measure(waiting)
        entry = QueueEntry(demand.rank, demand.team, size_class(work), work)
        queue.add(entry.size, waiting)
        self._entries[demand.id] = entry
        self._work_by_rank[entry.rank] += entry.work
        sizes = self._work_by_size.setdefault(entry.rank, collections.Counter())
        sizes[entry.size] += entry.work

    def remove(self, waiting: shards.Waiting) -> None:
        """Remove a demand."""
        entry = self._entries.pop(waiting.demand.id)
        teams = self._tiers[entry.rank]
        teams[entry.team].remove(entry.size, waiting.demand.id)
        self._work_by_rank[entry.rank] -= entry.work
        self._work_by_size[entry.rank][entry.size] -= entry.work

    def ranks(self) -> list[int]:
        """Return the ranks that have waiting demands, the most important first."""
        return [
            rank
            for rank in sorted(self._tiers)
            if any(queue.count for queue in self._tiers[rank].values())
        ]

    def teams(self, rank: int) -> list[str]:
        """Return the waiting teams of a tier in ascending order of virtual time."""
        teams = self._tiers.get(rank, {})
        waiting = [name for name in teams if teams[name].count]
        return sorted(waiting, key=lambda name: teams[name].virtual_time)

    def ids(self, rank: int, team: str) -> collections.abc.Iterator[str]:
        """Yield a team's demands in the order of service."""
        return self._tiers[rank][team].ids()

    def count(self, rank: int, team: str) -> int:
        """Return how many demands of a team wait."""
        return self._tiers[rank][team].count

    def work(self, request_id: str) -> int:
        """Return the work of a waiting demand as last measured."""
        return self._entries[request_id].work

    def remeasure(self, waiting: shards.Waiting) -> None:
        """Measure a demand's work again and move it if its size class changed."""
        entry = self._entries[waiting.demand.id]
        if size_class(self._measure(waiting)) == entry.size:
            return
        self.remove(waiting)
        self.add(waiting)

    def charge(self, rank: int, team: str, work: int) -> None:
        """Add granted work to a team's virtual time."""
        weight = self._shard.weights.get(team, 1.0)
        self._tiers[rank][team].virtual_time += work / weight

    def work_before(self, request_id: str) -> int:
        """Return the work that is served before a waiting demand."""
        entry = self._entries[request_id]
        total_work = sum(
            self._work_by_rank[other]
            for other in self._work_by_rank
            if other < entry.rank
        )
        sizes = self._work_by_size[entry.rank]
        total_work += sum(sizes[size] for size in sizes if size <= entry.size)
        return total_work - entry.work

    def last(self) -> str:
        """Return the demand to shed first: lowest tier, team served most, largest."""
        rank = self.ranks()[-1]
        team = self.teams(rank)[-1]
        return self._tiers[rank][team].last()


def initial_virtual_time(virtual_time: float, active: list[float]) -> float:
    """Return the virtual time of a team that had no demands, beside active ones.

    Idle time gives no credit: otherwise the team would be served alone until it had
    caught up with the work granted to the others in the meantime.
    """
    return max(virtual_time, min(active, default=0.0))


def size_class(work: int) -> int:
    """Return the size class: one more for each doubling of the work."""
    return work.bit_length() // (SIZE_CLASS_FACTOR.bit_length() - 1)
