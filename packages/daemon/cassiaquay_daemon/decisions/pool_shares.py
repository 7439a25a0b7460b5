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
import math
import typing

from cassiaquay_schema import messages
from cassiaquay_schema import settings as settings_schema

from .. import clock

POOL = "pool"
HALF_LIFE_SECONDS = 3.0
# Interval at which counts decay and the teams of reports are chosen. Between two decays
# all counts of a shard are up to 12% too high. With 2,000 teams a decay takes 4 ms.
DECAY_PERIOD_SECONDS = 0.5
# Interval of looking for shards that fell silent.
REFRESH_PERIOD_SECONDS = 0.1
# Work below which a team is forgotten: less than that of the shortest request.
MIN_TOKENS = 16.0
# Teams named in a report; bounds its size in a fleet of thousands of teams.
MAX_REPORTED_TEAMS = 16
# Counts go out with every third of the reports that keepers send every 0.1 s: in a pool
# of 19 shards, counts in each would cost a keeper up to 1.9% of a core.
REPORT_PERIOD_SECONDS = 0.25
# After three missing reports the keeper may be paused or partitioned, and its counts
# are ignored; likewise when it goes on to report without counts.
SILENCE_SECONDS = 0.3
REPORT_LIFETIME_SECONDS = 1.0

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
    work: Work
    at: float
    heard_at: float


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
        self._granted_sums: dict[int, float] = {}
        # Teams that are named in reports: those with the most work at the last decay.
        self._named: set[str] = set()
        self._decayed_at = self._refreshed_at = clock.now()
        self._reported_at = -math.inf
        self._reports: dict[str, _Report] = {}
        # Sum of all reports; whole numbers, so that it stays exact.
        self._elsewhere: Work = {}
        # Sums over all teams of a rank as of the last refresh.
        self._totals: dict[int, _Totals] = {}

    def grant(self, rank: int, team: str, tokens: int) -> None:
        """Count granted work."""
        self.refresh()
        teams = self._granted.setdefault(rank, {})
        teams[team] = teams.get(team, 0.0) + tokens
        self._granted_sums[rank] = self._granted_sums.get(rank, 0.0) + tokens
        if len(self._named) < MAX_REPORTED_TEAMS:
            self._named.add(team)

    def work(self, rank: int, team: str) -> float:
        """Return the recent work of a team in the pool, in tokens."""
        tokens = self._granted.get(rank, {}).get(team, 0.0)
        if rank in self._elsewhere:
            tokens += self._elsewhere[rank].get(team, 0)
        return tokens

    def share(
        self, rank: int, team: str, weights: collections.abc.Mapping[str, float]
    ) -> TeamShare | None:
        """Return a team's share of a rank's recent work; None if no team got any."""
        if rank not in self._totals:
            granted = self._granted.get(rank, {})
            elsewhere = self._elsewhere.get(rank, {})
            self._totals[rank] = _Totals(
                self._granted_sums.get(rank, 0.0) + sum(elsewhere.values()),
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
        if now - self._refreshed_at < REFRESH_PERIOD_SECONDS:
            return
        self._refreshed_at = now
        self._totals.clear()
        for shard, report in list(self._reports.items()):
            is_silent = now - report.heard_at > SILENCE_SECONDS
            if is_silent or now - report.at > REPORT_LIFETIME_SECONDS:
                self._forget(shard)
        if now - self._decayed_at >= DECAY_PERIOD_SECONDS:
            self._decay(now)

    def report(self) -> list[messages.TeamWork]:
        """Return the counts of this shard for the keepers of the pool's other shards.

        The teams with the most work are named; the last entry is the sum of all others.
        Empty most of the time: see `REPORT_PERIOD_SECONDS`.
        """
        now = clock.now()
        if not self.is_pooled or now - self._reported_at < REPORT_PERIOD_SECONDS:
            return []
        self._reported_at = now
        self.refresh()
        rest = dict(self._granted_sums)
        entries = []
        for team in sorted(self._named):
            by_rank = {}
            for rank, teams in self._granted.items():
                tokens = int(teams.get(team, 0.0))
                if tokens:
                    by_rank[rank] = tokens
                    rest[rank] -= tokens
            entries.append((team, by_rank))
        entries.append(("", {rank: int(rest[rank]) for rank in rest}))
        return [
            messages.TeamWork(team, list(by_rank), list(by_rank.values()))
            for team, by_rank in entries
            if sum(by_rank.values()) >= MIN_TOKENS
        ]

    def receive(self, shard: str, reported: list[messages.TeamWork]) -> None:
        """Replace the counts of another shard of the pool, if it reports any."""
        if not self.is_pooled:
            return
        now = clock.now()
        if not reported:
            if shard in self._reports:
                self._reports[shard] = self._reports[shard]._replace(heard_at=now)
            return
        self._forget(shard)
        work: Work = {}
        for item in reported:
            for rank, tokens in zip(item.ranks, item.tokens, strict=False):
                work.setdefault(rank, {})[item.team] = tokens
        for rank, teams in work.items():
            elsewhere = self._elsewhere.setdefault(rank, {})
            for team, tokens in teams.items():
                elsewhere[team] = elsewhere.get(team, 0) + tokens
        self._reports[shard] = _Report(work, now, now)

    def _forget(self, shard: str) -> None:
        report = self._reports.pop(shard, None)
        if report is None:
            return
        for rank, teams in report.work.items():
            # Teams whose sum was 0 have been dropped.
            elsewhere = self._elsewhere.setdefault(rank, {})
            for team, tokens in teams.items():
                elsewhere[team] = elsewhere.get(team, 0) - tokens

    def _decay(self, now: float) -> None:
        factor = 0.5 ** ((now - self._decayed_at) / HALF_LIFE_SECONDS)
        self._decayed_at = now
        totals: collections.Counter[str] = collections.Counter()
        for rank, teams in self._granted.items():
            kept = {}
            for team, tokens in teams.items():
                if tokens * factor >= MIN_TOKENS:
                    kept[team] = tokens * factor
                    totals[team] += int(tokens)
            self._granted[rank] = kept
            self._granted_sums[rank] = sum(kept.values())
        heaviest = heapq.nlargest(
            MAX_REPORTED_TEAMS, totals, key=lambda team: totals[team]
        )
        self._named = set(heaviest)
        for rank, by_team in self._elsewhere.items():
            self._elsewhere[rank] = {
                team: tokens for team, tokens in by_team.items() if tokens
            }
