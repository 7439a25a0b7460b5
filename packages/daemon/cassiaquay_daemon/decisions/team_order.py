"""The order of service: strict ranks; within a rank, teams take turns by demand.

Load pattern: one team floods a tier. The team that has received the least goes first,
and the teams take turns, so that the flood queues behind the few demands of the others.
Within a team the order is that of arrival, not shortest first: long requests must be
served about as often as short ones.

By the setting ``team_shares``, that is the work of this shard since the team had no
waiting demand, or the recent work of the whole pool (`pool_shares`).

Streams that are resumed go before the new ones of their rank: only the servers of one
software version can take them, and their callers have a part of the answer.
"""

import collections.abc
import itertools
import operator

from cassiaquay_schema import messages, registry

from . import pool_shares, queues, shards

orders: registry.Registry[type["TeamOrder"]] = registry.Registry("team order")


class _Team:
    """Waiting demands of one team in one rank, in order of arrival."""

    def __init__(self) -> None:
        self.virtual_time = 0.0
        # Work of each demand, in tokens.
        self.ids: dict[str, int] = {}


@orders.register("shard")
class TeamOrder:
    """The waiting demands of one shard, whose teams take turns demand by demand.

    Parameters
    ----------
    shard : Shard
        The shard, with the weights of teams.
    """

    def __init__(self, shard: shards.Shard):
        self._shard = shard
        self._ranks: dict[int, dict[str, _Team]] = {}
        self._resumed: set[str] = set()

    def add(self, demand: messages.Demand) -> None:
        """Add a demand; its team gets no credit for time without demands."""
        teams = self._ranks.setdefault(demand.rank, {})
        team = teams.get(demand.team)
        if team is None:
            team = teams[demand.team] = _Team()
        if not team.ids:
            active = [item.virtual_time for item in teams.values() if item.ids]
            team.virtual_time = queues.initial_virtual_time(team.virtual_time, active)
        team.ids[demand.id] = _work(demand)
        if demand.software is not None:
            self._resumed.add(demand.id)

    def remove(self, demand: messages.Demand) -> None:
        """Remove a demand."""
        self._resumed.discard(demand.id)
        self._ranks[demand.rank][demand.team].ids.pop(demand.id, None)

    def charge(self, demand: messages.Demand) -> None:
        """Add a granted demand's work to its team's virtual time."""
        work = _work(demand)
        weight = self._shard.weights.get(demand.team, 1.0)
        self._shard.shares.grant(demand.rank, demand.team, work)
        self._ranks[demand.rank][demand.team].virtual_time += work / weight

    def ranks(self) -> list[int]:
        """Return all ranks, the most important first."""
        return sorted(self._ranks)

    def count(self, rank: int) -> int:
        """Return the number of waiting demands of a rank."""
        return sum(len(team.ids) for team in self._ranks[rank].values())

    def waiting_ids(self, rank: int) -> collections.abc.Iterator[str]:
        """Yield the demands of a rank, team by team.

        Demands may be removed during the iteration.
        """
        for team in self._ranks[rank].values():
            yield from list(team.ids)

    def order(self, rank: int) -> list[str]:
        """Return the demands of a rank in the order of service."""
        request_ids = self._order_teams(rank)
        if self._resumed:
            request_ids.sort(key=self._is_new)
        return request_ids

    def _order_teams(self, rank: int) -> list[str]:
        teams = [team for team in self._ranks[rank].values() if team.ids]
        teams.sort(key=_virtual_time)
        rows = [list(team.ids) for team in teams]
        request_ids: list[str] = []
        for turn in itertools.zip_longest(*rows):
            request_ids += [request_id for request_id in turn if request_id is not None]
        return request_ids

    def _is_new(self, request_id: str) -> bool:
        return request_id not in self._resumed


@orders.register(pool_shares.POOL)
class PoolOrder(TeamOrder):
    """The waiting demands of one shard, ordered by their teams' work in the pool.

    A demand goes after all demands whose team got less work by then: recent grants in
    all shards, and the demands of the team that wait here before it. All by weight. A
    team that got less than its fair share is therefore served, and not shed, before
    one that got more, and a long prompt counts as much as many short ones.
    """

    def _order_teams(self, rank: int) -> list[str]:
        self._shard.shares.refresh()
        entries: list[tuple[float, str]] = []
        for name, team in self._ranks[rank].items():
            if not team.ids:
                continue
            weight = self._shard.weights.get(name, 1.0)
            served = self._shard.shares.work(rank, name) / weight
            for request_id, work in team.ids.items():
                entries.append((served, request_id))
                served += work / weight
        entries.sort(key=operator.itemgetter(0))
        return [request_id for _, request_id in entries]


def _work(demand: messages.Demand) -> int:
    return demand.prompt_tokens + demand.output_tokens + 1


def _virtual_time(team: _Team) -> float:
    return team.virtual_time
