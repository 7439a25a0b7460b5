"""Strict order of ranks in one shard, also while demands are refused as too late."""

import hypothesis
import policy_fakes as fakes
import pytest
from hypothesis import strategies

from cassiaquay_daemon.decisions import objectives, shards, tiered
from cassiaquay_schema import messages

LOADED_TOKEN_SECONDS = 0.1
IDLE_TOKEN_SECONDS = 0.02


@pytest.fixture(name="time")
def _time():
    with fakes.Time().used() as time:
        yield time


def _set_speed(policy: tiered.Tiered, server: str, token_seconds: float) -> None:
    """Let an engine take this long for a token; its idle time stays the shortest."""
    if server not in policy._engines:
        return
    speed = policy._engines[server].speed
    speed.generated(100, 100 * IDLE_TOKEN_SECONDS)
    speed.token_seconds = token_seconds


def _set_event_seconds(
    policy: objectives.Objectives, server: str, event_seconds: float
) -> None:
    policy._times_of(server).event_seconds = event_seconds


SET_SPEED = {tiered.NAME: _set_speed, objectives.NAME: _set_event_seconds}


def _queue_late_demand() -> tuple[shards.Shard, tiered.Tiered, fakes.Owner]:
    """Queue a demand of rank 2 that is late on a loaded engine with free slots."""
    shard = fakes.shard({"a": 4})
    policy = fakes.policy(shard)
    owner = fakes.Owner()
    shard.add(fakes.demand("running"), owner)
    policy.serve()
    _set_speed(policy, "a", LOADED_TOKEN_SECONDS)
    shard.add(fakes.demand("late", rank=2, remaining_ms=1_500), owner)
    return shard, policy, owner


def test_lower_rank_gets_no_slot_before_a_late_demand_is_refused(time) -> None:
    """Guards against grants to a lower rank while a late demand of a higher one waits.

    The rank-2 demand is late on the loaded engine and feasible on an idle one, so it
    was neither granted nor refused, and nothing kept the free slot from rank 3.
    """
    shard, policy, owner = _queue_late_demand()
    shard.add(fakes.demand("lower", rank=3), owner)
    policy.serve()
    decided = [
        (type(item), item.id)
        for item in owner.sent
        if isinstance(item, messages.Permit | messages.Shed)
    ]
    assert decided == [
        (messages.Permit, "running"),
        (messages.Shed, "late"),
        (messages.Permit, "lower"),
    ]


def test_late_demand_waits_for_an_idle_engine_while_no_lower_rank_does(time) -> None:
    """Guards against refusing a late demand that delays no other work."""
    shard, policy, owner = _queue_late_demand()
    policy.serve()
    assert "late" in shard.queue
    _set_speed(policy, "a", IDLE_TOKEN_SECONDS)
    policy.serve()
    assert "late" in owner.permits()


def test_lower_rank_waits_for_the_other_shards_before_a_late_one_is_refused(
    time,
) -> None:
    """Guards against grants to a lower rank while the other shards are asked."""
    shard, policy, owner = _queue_late_demand()
    shard.may_shed = lambda rank: False
    shard.add(fakes.demand("lower", rank=3), owner)
    policy.serve()
    assert list(owner.permits()) == ["running"]
    shard.may_shed = lambda rank: True
    policy.serve()
    assert "late" in owner.sheds()
    assert "lower" in owner.permits()


ARRIVALS = strategies.tuples(
    strategies.just("arrive"),
    strategies.integers(0, 3),
    strategies.integers(1, 60),
    strategies.integers(200, 6_000),
)
PAUSES = strategies.tuples(strategies.just("pause"), strategies.floats(0.001, 1.2))
SPEEDS = strategies.tuples(strategies.just("speed"), strategies.floats(0.005, 0.3))
ENDS = strategies.tuples(strategies.just("end"), strategies.integers(0, 20))
SCHEDULES = strategies.lists(
    strategies.one_of(ARRIVALS, ARRIVALS, PAUSES, SPEEDS, ENDS),
    min_size=5,
    max_size=60,
)


@pytest.mark.parametrize("name", [tiered.NAME, objectives.NAME])
@hypothesis.settings(max_examples=150, deadline=None, derandomize=True)
@hypothesis.given(schedule=SCHEDULES)
def test_no_rank_is_granted_past_a_waiting_higher_one(name, schedule) -> None:
    """Guards against any order of arrivals, pauses and speeds that inverts ranks."""
    with fakes.Time().used() as time:
        shard = fakes.shard({"a": 3})
        policy = fakes.policy(shard, name)
        owner = fakes.Owner()
        ranks = {}
        for number, (kind, *values) in enumerate(schedule):
            if kind == "arrive":
                rank, tokens, remaining_ms = values
                demand = fakes.demand(
                    f"r{number}",
                    rank=rank,
                    output_tokens=tokens,
                    remaining_ms=remaining_ms,
                )
                ranks[demand.id] = rank
                shard.add(demand._replace(first_ms=remaining_ms // 2), owner)
            elif kind == "pause":
                time.now += values[0]
            elif kind == "speed":
                SET_SPEED[name](policy, "a", values[0])
            elif kind == "end" and shard.running:
                ended = sorted(shard.running)[values[0] % len(shard.running)]
                shard.drop(ended)
            known = set(owner.permits())
            policy.serve()
            for granted in set(owner.permits()) - known:
                higher = [name for name in shard.queue if ranks[name] < ranks[granted]]
                assert higher == [], (granted, higher)
