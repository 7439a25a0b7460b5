"""A team that floods all shards of a pool, replayed without a network."""

import random

import objectives_fakes
import policy_fakes as fakes
import pytest

from cassiaquay_daemon.decisions import pool_shares

SHARDS = 3
TEAMS = [f"team-{number}" for number in range(16)]
WEIGHTS = [0.8**number for number in range(16)]
# One floods all shards, one uses a single shard, one has prompts ten times as long.
FLOODING, SINGLE, LONG = "team-0", "team-1", "team-3"
FLOOD_FACTORS = {FLOODING: 6.0, SINGLE: 3.0}
FLOOD_AT, SECONDS, STEP_SECONDS = 3.0, 9.0, 0.01
# Of all teams before the flood: about 0.8 of what the engines serve.
PER_SECOND = 50.0
RATE, EVENTS, EVENT_SECONDS = 20_000.0, 30, 0.02
# A team counts as served for this long after a grant.
SERVED_SECONDS = 0.1


class Replay:
    """Three shards of simulated engines whose keepers exchange granted work."""

    def __init__(self, time: fakes.Time, seed: int, team_shares: str):
        # Demands that were shed although their teams were below their fair share.
        self.violations: list[str] = []
        self.shed: list[str] = []
        self._time = time
        self._rng = random.Random(seed)
        # Recent work by team, counted here and not by the code under test.
        self._work = dict.fromkeys(TEAMS, 0.0)
        self._demands: dict[str, tuple[str, int]] = {}
        self._ends: dict[str, float] = {}
        self._benches = []
        self._above_served_at = [0.0] * SHARDS
        for _ in range(SHARDS):
            slots = {"a": 6, "b": 6}
            bench = objectives_fakes.Bench(time, slots, team_shares=team_shares)
            for server in slots:
                bench.set_speed(server, RATE, EVENT_SECONDS)
            self._benches.append(bench)

    def play(self) -> None:
        """Play the whole load."""
        decay = 0.5 ** (STEP_SECONDS / pool_shares.HALF_LIFE_SECONDS)
        for step in range(int(SECONDS / STEP_SECONDS)):
            self._time.now += STEP_SECONDS
            self._work = {team: work * decay for team, work in self._work.items()}
            self._arrive(step * STEP_SECONDS >= FLOOD_AT)
            for number, bench in enumerate(self._benches):
                if step % 10 == 0:
                    report = bench.shard.shares.report()
                    for other in self._benches[:number] + self._benches[number + 1 :]:
                        other.shard.shares.receive(str(number), report)
                self._serve(number, bench)

    def _arrive(self, is_flood: bool) -> None:
        for team, weight in zip(TEAMS, WEIGHTS, strict=True):
            rate = PER_SECOND * weight / sum(WEIGHTS)
            rate *= FLOOD_FACTORS.get(team, 1.0) if is_flood else 1.0
            if self._rng.random() >= rate * STEP_SECONDS:
                continue
            prompt = self._rng.randint(200, 1000) * (10 if team == LONG else 1)
            name = f"{team}/{len(self._demands)}"
            self._demands[name] = (team, prompt + EVENTS)
            bench = self._benches[0 if team == SINGLE else self._rng.randrange(SHARDS)]
            fields = {"events": EVENTS, "first_ms": 1200, "pause_ms": 1200}
            bench.demand(name=name, team=team, prompt=prompt, **fields)

    def _serve(self, number: int, bench: objectives_fakes.Bench) -> None:
        """End finished requests, run a pass, and compare what it grants and sheds."""
        for name in [name for name, at in self._ends.items() if at <= self._time.now]:
            if name in bench.shard.running:
                bench.shard.drop(name)
                del self._ends[name]
        bench.owner.sent.clear()
        bench.serve()
        active = sum(work > 1.0 for work in self._work.values())
        fair = sum(self._work.values()) / max(active, 1)
        permits = bench.owner.permits()
        if any(self._work[self._demands[name][0]] > fair for name in permits):
            self._above_served_at[number] = self._time.now
        since_served = self._time.now - self._above_served_at[number]
        for name in bench.owner.sheds():
            self.shed.append(name)
            is_below = self._work[self._demands[name][0]] < fair
            if is_below and since_served < SERVED_SECONDS:
                self.violations.append(name)
        for name in permits:
            team, work = self._demands[name]
            self._work[team] += work
            bench.start(name)
            self._ends[name] = self._time.now + work / RATE + EVENTS * EVENT_SECONDS


@pytest.fixture(name="time")
def _time():
    with fakes.Time().used() as time:
        yield time


@pytest.mark.parametrize("seed", [1, 2, 3, 5])
def test_no_team_below_its_share_is_shed_while_one_above_is_served(time, seed) -> None:
    """Guards against a flood that takes slots which teams below their share need."""
    replay = Replay(time, seed, "pool")
    replay.play()
    assert not replay.violations
    assert sum(name.startswith(f"{FLOODING}/") for name in replay.shed) > 100


def test_check_of_the_flood_detects_shares_by_shard(time) -> None:
    """Guards against a check that passes whatever the order of the teams.

    Ordered by the work of one shard, the team that uses a single one gets a third of
    what the flooding team gets.
    """
    replay = Replay(time, 5, "shard")
    replay.play()
    assert any(name.startswith(f"{SINGLE}/") for name in replay.violations)
