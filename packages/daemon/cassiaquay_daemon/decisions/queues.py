"""The queue of one shard: by tier, team and size, so that nobody walks through it all.

Between tiers the order is strict. Between the teams of a tier it is by virtual time:
work granted, divided by the team's weight. Within a team small work goes first:
lengths differ a hundredfold, and one history takes what fifty questions need. Work is
in prompt tokens: those not cached, and those that the engine could have read in the
time that it takes to generate the answer.
"""

import collections
import collections.abc
import typing

from . import shards

SIZE_STEP = 2

Measure = collections.abc.Callable[[shards.Waiting], int]


class Place(typing.NamedTuple):
    """Where a demand was put; a repeat of it may carry other estimates."""

    rank: int
    team: str
    size: int
    work: int


class TeamQueue:
    """The waiting demands of one team in one tier."""

    def __init__(self) -> None:
        self.virtual = 0.0
        self.count = 0
        self._classes: dict[int, collections.OrderedDict[str, shards.Waiting]] = {}

    def add(self, size: int, waiting: shards.Waiting) -> None:
        """Add a demand of a size class."""
        members = self._classes.setdefault(size, collections.OrderedDict())
        members[waiting.demand.id] = waiting
        self.count += 1

    def remove(self, size: int, request_id: str) -> None:
        """Remove a demand."""
        if self._classes[size].pop(request_id, None) is not None:
            self.count -= 1

    def ids(self) -> collections.abc.Iterator[str]:
        """Yield the demands, small ones first, then in order of arrival."""
        for size in sorted(self._classes):
            yield from self._classes[size]

    def last(self) -> str:
        """Return the demand that would be served last."""
        for size in sorted(self._classes, reverse=True):
            if self._classes[size]:
                return next(reversed(self._classes[size]))
        raise LookupError("the queue is empty")


class TierQueues:
    """All waiting demands of a shard; an observer of it.

    Parameters
    ----------
    shard : Shard
        Whose demands they are.
    measure : callable
        Returns the work of a demand, in prompt tokens.
    """

    def __init__(self, shard: shards.Shard, measure: Measure):
        self._shard = shard
        self._measure = measure
        self._tiers: dict[int, dict[str, TeamQueue]] = {}
        self._work: collections.Counter[int] = collections.Counter()
        self._smaller: dict[int, collections.Counter[int]] = {}
        self._places: dict[str, Place] = {}

    def __len__(self) -> int:
        return len(self._places)

    def add(self, waiting: shards.Waiting) -> None:
        """Add a demand; a team that was idle gets no credit for that."""
        demand = waiting.demand
        teams = self._tiers.setdefault(demand.rank, {})
        queue = teams.get(demand.team)
        if queue is None:
            queue = teams[demand.team] = TeamQueue()
        if not queue.count:
            active = [item.virtual for item in teams.values() if item.count]
            queue.virtual = virtual_of_newcomer(queue.virtual, active)
        work = self._measure(waiting)
        place = Place(demand.rank, demand.team, size_of(work), work)
        queue.add(place.size, waiting)
        self._places[demand.id] = place
        self._work[place.rank] += place.work
        sizes = self._smaller.setdefault(place.rank, collections.Counter())
        sizes[place.size] += place.work

    def remove(self, waiting: shards.Waiting) -> None:
        """Remove a demand."""
        place = self._places.pop(waiting.demand.id)
        teams = self._tiers[place.rank]
        teams[place.team].remove(place.size, waiting.demand.id)
        self._work[place.rank] -= place.work
        self._smaller[place.rank][place.size] -= place.work

    def ranks(self) -> list[int]:
        """Return the ranks at which somebody waits, the most important first."""
        return [
            rank
            for rank in sorted(self._tiers)
            if any(queue.count for queue in self._tiers[rank].values())
        ]

    def teams(self, rank: int) -> list[str]:
        """Return the waiting teams of a tier, the one that is owed most first."""
        teams = self._tiers.get(rank, {})
        waiting = [name for name in teams if teams[name].count]
        return sorted(waiting, key=lambda name: teams[name].virtual)

    def ids(self, rank: int, team: str) -> collections.abc.Iterator[str]:
        """Yield a team's demands in the order of service."""
        return self._tiers[rank][team].ids()

    def count(self, rank: int, team: str) -> int:
        """Return how many demands of a team wait."""
        return self._tiers[rank][team].count

    def work(self, request_id: str) -> int:
        """Return the work of a waiting demand as it was measured last."""
        return self._places[request_id].work

    def measure_again(self, waiting: shards.Waiting) -> None:
        """Take in that the work of a demand may have changed."""
        place = self._places[waiting.demand.id]
        if size_of(self._measure(waiting)) == place.size:
            return
        self.remove(waiting)
        self.add(waiting)

    def charge(self, rank: int, team: str, work: int) -> None:
        """Count granted work against a team."""
        weight = self._shard.weights.get(team, 1.0)
        self._tiers[rank][team].virtual += work / weight

    def work_before(self, request_id: str) -> int:
        """Return the work that is served before a waiting demand."""
        place = self._places[request_id]
        found = sum(self._work[other] for other in self._work if other < place.rank)
        sizes = self._smaller[place.rank]
        found += sum(sizes[size] for size in sizes if size <= place.size)
        return found - place.work

    def last(self) -> str:
        """Return the demand to give up first: lowest tier, richest team, largest."""
        rank = self.ranks()[-1]
        team = self.teams(rank)[-1]
        return self._tiers[rank][team].last()


def virtual_of_newcomer(virtual: float, active: list[float]) -> float:
    """Return the virtual time of a team that begins to wait beside active ones.

    A team that was idle gets no credit for that: it would be served alone until it had
    caught up with what the others got meanwhile.
    """
    return max(virtual, min(active, default=0.0))


def size_of(work: int) -> int:
    """Return the size class: one more for each doubling of the work."""
    return work.bit_length() // (SIZE_STEP.bit_length() - 1)
