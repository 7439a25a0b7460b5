"""The order of service: strict ranks, and in a rank one demand of each team in turn.

Load pattern: one team floods a tier. The team that had least goes first, and each gives
one demand in turn, so that the flood stands behind the few demands of the others.
Within a team the order is that of arrival, not shortest first: long requests must be
served about as often as short ones.
"""

import collections.abc

from cassiaquay_schema import messages

from . import queues


class _Team:
    """Waiting demands of one team in one rank, in order of arrival."""

    def __init__(self) -> None:
        self.virtual = 0.0
        self.ids: dict[str, None] = {}


class TeamOrder:
    """The waiting demands of one shard."""

    def __init__(self) -> None:
        self._ranks: dict[int, dict[str, _Team]] = {}

    def add(self, demand: messages.Demand) -> None:
        """Add a demand; a team that was idle gets no credit for that."""
        teams = self._ranks.setdefault(demand.rank, {})
        team = teams.get(demand.team)
        if team is None:
            team = teams[demand.team] = _Team()
        if not team.ids:
            active = [item.virtual for item in teams.values() if item.ids]
            team.virtual = queues.virtual_of_newcomer(team.virtual, active)
        team.ids[demand.id] = None

    def remove(self, demand: messages.Demand) -> None:
        """Remove a demand."""
        self._ranks[demand.rank][demand.team].ids.pop(demand.id, None)

    def charge(self, demand: messages.Demand, weight: float) -> None:
        """Count a granted demand against its team."""
        work = demand.prompt_tokens + demand.output_tokens + 1
        self._ranks[demand.rank][demand.team].virtual += work / weight

    def ranks(self) -> list[int]:
        """Return all ranks, the most important first."""
        return sorted(self._ranks)

    def count(self, rank: int) -> int:
        """Return how many demands of a rank wait."""
        return sum(len(team.ids) for team in self._ranks[rank].values())

    def arrived(self, rank: int) -> collections.abc.Iterator[str]:
        """Yield the demands of a rank, team by team; they may leave meanwhile."""
        for team in self._ranks[rank].values():
            yield from list(team.ids)

    def order(self, rank: int) -> list[str]:
        """Return the demands of a rank as they are served."""
        teams = [team for team in self._ranks[rank].values() if team.ids]
        teams.sort(key=_virtual)
        rows = [list(team.ids) for team in teams]
        found: list[str] = []
        depth = 0
        while any(len(row) > depth for row in rows):
            for row in rows:
                if len(row) > depth:
                    found.append(row[depth])
            depth += 1
        return found


def _virtual(team: _Team) -> float:
    return team.virtual
