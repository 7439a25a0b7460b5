"""The queue of one shard: by tier, team and size, so that nobody walks through it all.

Between tiers the order is strict. Between the teams of a tier it is by virtual time:
tokens granted, divided by the team's weight. Within a team small work goes first:
lengths differ a hundredfold, and one history takes what fifty questions need.
"""

import collections
import collections.abc
import typing

from . import shards

SIZE_STEP = 4


class Place(typing.NamedTuple):
    """Where a demand was put; a repeat of it may carry other estimates."""

    rank: int
    team: str
    size: int
    tokens: int


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
        What to follow.
    """

    def __init__(self, shard: shards.Shard):
        self._shard = shard
        self._tiers: dict[int, dict[str, TeamQueue]] = {}
        self._tokens: collections.Counter[int] = collections.Counter()
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
            queue.virtual = max(queue.virtual, min(active, default=0.0))
        place = Place(demand.rank, demand.team, size_of(waiting), tokens_of(waiting))
        queue.add(place.size, waiting)
        self._places[demand.id] = place
        self._tokens[place.rank] += place.tokens
        sizes = self._smaller.setdefault(place.rank, collections.Counter())
        sizes[place.size] += place.tokens

    def remove(self, waiting: shards.Waiting) -> None:
        """Remove a demand."""
        place = self._places.pop(waiting.demand.id)
        teams = self._tiers[place.rank]
        teams[place.team].remove(place.size, waiting.demand.id)
        self._tokens[place.rank] -= place.tokens
        self._smaller[place.rank][place.size] -= place.tokens

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

    def charge(self, rank: int, team: str, tokens: int) -> None:
        """Count granted tokens against a team."""
        weight = self._shard.weights.get(team, 1.0)
        self._tiers[rank][team].virtual += tokens / weight

    def tokens_before(self, waiting: shards.Waiting) -> int:
        """Return the tokens that are served before a demand that arrives now."""
        rank = waiting.demand.rank
        found = sum(self._tokens[other] for other in self._tokens if other < rank)
        own = size_of(waiting)
        sizes = self._smaller.get(rank, collections.Counter())
        return found + sum(sizes[size] for size in sizes if size <= own)

    def last(self) -> str:
        """Return the demand to give up first: lowest tier, richest team, largest."""
        rank = self.ranks()[-1]
        team = self.teams(rank)[-1]
        return self._tiers[rank][team].last()


def tokens_of(waiting: shards.Waiting) -> int:
    """Return the tokens that a demand is for, prompt and answer."""
    return waiting.demand.prompt_tokens + waiting.demand.output_tokens


def size_of(waiting: shards.Waiting) -> int:
    """Return the size class: 0 for up to 4 tokens, one more for each fourfold."""
    size = 0
    tokens = tokens_of(waiting)
    while tokens > SIZE_STEP:
        tokens //= SIZE_STEP
        size += 1
    return size
