"""Work that the teams of a rank got of late, in one shard and in its whole pool.

Load pattern: one team floods all shards of a pool at once. Each keeper alone sees a
part of that work. A team that uses a single shard would be ordered like the flooding
one, although it gets a fraction of the work.

Work is counted in prompt and output tokens, so that long prompts count by their length.
The counts decay: a burst of a minute ago does not count against a team. Each keeper
reports its counts to the keepers of the pool's other shards (`messages.Waits`); a
report replaces the previous one of the same shard.
"""

import collections
import collections.abc
import heapq
import operator
import typing

from cassiaquay_schema import messages
from cassiaquay_schema import settings as settings_schema

from .. import clock

POOL = "pool"
HALF_LIFE_SECONDS = 3.0
# Interval at which counts decay; between two decays they are at most 2% too high.
DECAY_PERIOD_SECONDS = 0.1
# Work below which a team is forgotten: less than that of the shortest request.
MIN_TOKENS = 8.0
# Teams named in a report; bounds its size in a fleet of thousands of teams.
MAX_REPORTED_TEAMS = 16
# Keepers report every 0.1 s. After three missing reports the keeper may be paused or
# partitioned, and its counts are ignored.
REPORT_LIFETIME_SECONDS = 0.3

Work = dict[int, dict[str, int]]


class TeamShare(typing.NamedTuple):
    """The share of a rank's recent work that a team got.

    Attributes
    ----------
    share : float
        Of the work of all teams.
    fair_share : float
        The team's weight as a share of the weights of all teams that got work.
    is_pooled : bool
        Whether the work of the pool's other shards is included.
    """

    share: float
    fair_share: float
    is_pooled: bool

    @property
    def is_above(self) -> bool:
        """Whether the team got more than its fair share."""
        return self.share > self.fair_share


class _Report(typing.NamedTuple):
    at: float
    work: Work


class _Totals(typing.NamedTuple):
    tokens: float
    weight: float


class PoolShares:
    """Work granted to each team and rank, as the keeper of one shard knows it.

    Parameters
    ----------
    settings : Settings
        Whether the counts of the pool's shards are exchanged.
    """

    def __init__(self, settings: settings_schema.Settings):
        self.is_pooled = settings.keeper.team_shares == POOL
        # Numbers of shed demands, by whether their team was above its fair share.
        self.shed_counts: collections.Counter[bool] = collections.Counter()
        self._granted: dict[int, dict[str, float]] = {}
        self._decayed_at = clock.now()
        self._reports: dict[str, _Report] = {}
        # Sum of all reports; whole numbers, so that it stays exact.
        self._elsewhere: dict[int, collections.Counter[str]] = {}
        # Sums over all teams of a rank as of the last decay.
        self._totals: dict[int, _Totals] = {}

    def grant(self, rank: int, team: str, tokens: int) -> None:
        """Count granted work."""
        teams = self._granted.setdefault(rank, {})
        teams[team] = teams.get(team, 0.0) + tokens

    def work(self, rank: int, team: str) -> float:
        """Return the recent work of a team in the pool, in tokens."""
        tokens = self._granted.get(rank, {}).get(team, 0.0)
        if rank in self._elsewhere:
            tokens += self._elsewhere[rank][team]
        return tokens

    def share(
        self, rank: int, team: str, weights: collections.abc.Mapping[str, float]
    ) -> TeamShare | None:
        """Return a team's share of a rank's recent work; None if no team got any."""
        if rank not in self._totals:
            granted = self._granted.get(rank, {})
            elsewhere = self._elsewhere.get(rank, collections.Counter[str]())
            self._totals[rank] = _Totals(
                sum(granted.values()) + sum(elsewhere.values()),
                sum(weights.get(name, 1.0) for name in {*granted, *elsewhere} - {""}),
            )
        totals = self._totals[rank]
        if not totals.tokens:
            return None
        work = self.work(rank, team)
        weight = weights.get(team, 1.0)
        total_weight = totals.weight if work else totals.weight + weight
        return TeamShare(
            min(work / totals.tokens, 1.0),
            min(weight / max(total_weight, weight), 1.0),
            self.is_pooled,
        )

    def count_shed(
        self, rank: int, team: str, weights: collections.abc.Mapping[str, float]
    ) -> TeamShare | None:
        """Count a shed demand, and return the share of its team."""
        found = self.share(rank, team, weights)
        if found is not None:
            self.shed_counts[found.is_above] += 1
        return found

    def refresh(self) -> None:
        """Let counts decay, and forget the reports of shards that fell silent."""
        now = clock.now()
        if now - self._decayed_at < DECAY_PERIOD_SECONDS:
            return
        factor = 0.5 ** ((now - self._decayed_at) / HALF_LIFE_SECONDS)
        self._decayed_at = now
        self._totals.clear()
        for rank, teams in self._granted.items():
            self._granted[rank] = {
                team: tokens * factor
                for team, tokens in teams.items()
                if tokens * factor >= MIN_TOKENS
            }
        for shard, report in list(self._reports.items()):
            if now - report.at > REPORT_LIFETIME_SECONDS:
                self._forget(shard)

    def report(self) -> list[messages.TeamWork]:
        """Return the counts of this shard for the keepers of the pool's other shards.

        The teams with the most work are named; the last entry is the sum of all others.
        """
        if not self.is_pooled:
            return []
        self.refresh()
        totals: collections.Counter[str] = collections.Counter()
        for teams in self._granted.values():
            for team, tokens in teams.items():
                totals[team] += int(tokens)
        heaviest = heapq.nlargest(
            MAX_REPORTED_TEAMS, totals.items(), key=operator.itemgetter(1)
        )
        named = {team for team, _ in heaviest}
        entries: dict[str, dict[int, int]] = {team: {} for team in named}
        for rank, teams in self._granted.items():
            for team, tokens in teams.items():
                entry = entries.setdefault(team if team in named else "", {})
                entry[rank] = entry.get(rank, 0) + int(tokens)
        return [
            messages.TeamWork(team, list(by_rank), list(by_rank.values()))
            for team, by_rank in entries.items()
        ]

    def receive(self, shard: str, reported: list[messages.TeamWork]) -> None:
        """Replace the counts of another shard of the pool."""
        if not self.is_pooled:
            return
        self._forget(shard)
        work: Work = {}
        for item in reported:
            for rank, tokens in zip(item.ranks, item.tokens, strict=False):
                work.setdefault(rank, {})[item.team] = max(tokens, 0)
        for rank, teams in work.items():
            self._elsewhere.setdefault(rank, collections.Counter()).update(teams)
        if work:
            self._reports[shard] = _Report(clock.now(), work)

    def _forget(self, shard: str) -> None:
        report = self._reports.pop(shard, None)
        if report is None:
            return
        for rank, teams in report.work.items():
            elsewhere = self._elsewhere[rank]
            for team, tokens in teams.items():
                elsewhere[team] -= tokens
                if elsewhere[team] <= 0:
                    del elsewhere[team]
