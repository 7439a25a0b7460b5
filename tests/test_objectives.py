"""The policy of objectives: first events in time, or refused at once."""

import objectives_fakes
import policy_fakes as fakes
import pytest

from cassiaquay_daemon.decisions import objectives
from cassiaquay_schema import messages


@pytest.fixture(name="time")
def _time():
    with fakes.Time().used() as time:
        yield time


def test_free_slots_are_used_at_once(time) -> None:
    bench = objectives_fakes.Bench(time, {"a": 2, "b": 2})
    names = [bench.demand() for _ in range(4)]
    bench.serve()
    assert set(bench.owner.permits()) == set(names)
    assert sorted(bench.owner.permits().values()) == ["a", "a", "b", "b"]


def test_a_long_answer_goes_to_the_fast_engine(time) -> None:
    """Engines differ fourfold; on the slow one the answer would miss its deadline."""
    bench = objectives_fakes.Bench(time, {"slow": 8, "fast": 1})
    bench.set_speed("slow", 20_000.0, 0.08)
    bench.set_speed("fast", 75_000.0, 0.018)
    bench.demand(name="long", events=300)
    bench.demand(name="short", events=4)
    bench.serve()
    assert bench.owner.permits() == {"long": "fast", "short": "slow"}


def test_a_long_prompt_does_not_stop_running_streams(time) -> None:
    """A prompt of 9,000 tokens would stop the slow engine's streams for 450 ms.

    Their callers would see a pause over 300 ms in answers that were in time so far.
    """
    bench = objectives_fakes.Bench(time, {"slow": 8})
    bench.set_speed("slow", 20_000.0, 0.08)
    bench.demand(name="runs")
    bench.serve()
    bench.start("runs")
    bench.demand(name="long", prompt=9_000, first_ms=800)
    bench.serve()
    assert "long" not in bench.owner.permits()
    bench.end("runs")
    bench.serve()
    assert bench.owner.permits()["long"] == "slow"


def test_what_cannot_get_a_slot_in_time_is_refused_at_once(time) -> None:
    """All slots are taken for seconds when a request comes.

    It is refused in the same pass, with a time to come back, instead of being held
    until its objective has passed.
    """
    bench = objectives_fakes.Bench(time, {"a": 2})
    for _ in range(2):
        bench.demand(events=400)
    bench.serve()
    waits = bench.demand()
    bench.serve()
    shed = bench.owner.sheds()[waits]
    assert shed.code == "shed_overload"
    assert shed.retry_after_ms >= 200


def test_a_refused_caller_is_back_when_a_burst_is_over(time) -> None:
    """A burst fills all slots for seconds, and callers come back once.

    Told to be back in a third of a second, they are in the same burst and are refused
    for good. They are told a time between two ninths and a third of what they have,
    each another one, so that they do not make a burst of their own.
    """
    bench = objectives_fakes.Bench(time, {"a": 1})
    bench.demand(events=400)
    bench.serve()
    names = [bench.demand(remaining_ms=12_000) for _ in range(20)]
    bench.serve()
    sheds = bench.owner.sheds()
    told = {sheds[name].retry_after_ms for name in names}
    assert min(told) >= 12_000 * 2 // 9
    assert max(told) <= 12_000 // 3
    assert len(told) > 10


def test_what_gets_a_slot_in_time_waits_for_it(time) -> None:
    """The slot comes free in 50 ms, and the objective is 400 ms away."""
    bench = objectives_fakes.Bench(time, {"a": 1})
    bench.set_speed("a", 75_000.0, 0.018)
    bench.demand(name="runs", events=3)
    bench.serve()
    bench.start("runs")
    waits = bench.demand()
    bench.serve()
    assert not bench.owner.sheds()
    time.now += 0.05
    bench.end("runs")
    bench.serve()
    assert waits in bench.owner.permits()


def test_a_higher_tier_goes_first_and_is_not_shed_for_a_lower_one(time) -> None:
    """Ten requests of each of three tiers come together, and four slots are free."""
    bench = objectives_fakes.Bench(time, {"a": 4})
    for rank in (2, 1, 0):
        for number in range(10):
            bench.demand(name=f"r{rank}-{number}", rank=rank, events=400)
    bench.serve()
    granted = bench.owner.permits()
    assert len(granted) == 4
    assert all(name.startswith("r0") for name in granted)
    # Once a tier is shed, none below it gets a slot for a moment.
    bench.end(next(iter(granted)))
    bench.demand(name="low", rank=2, events=4)
    bench.serve()
    assert "low" not in bench.owner.permits()


def test_a_flood_of_one_team_stands_behind_the_few_of_another(time) -> None:
    """One team sends twenty requests, then another one sends one."""
    bench = objectives_fakes.Bench(time, {"a": 4})
    for number in range(20):
        bench.demand(name=f"flood{number}", team="questions")
    bench.demand(name="few", team="parents")
    bench.serve()
    assert "few" in bench.owner.permits()


def test_the_longest_prompts_are_served_though_late(time) -> None:
    """A prompt of 50,000 tokens cannot be read within its objective anywhere.

    Refused each time it came, its caller would never be served at all.
    """
    bench = objectives_fakes.Bench(time, {"a": 4})
    bench.set_speed("a", 75_000.0, 0.018)
    bench.demand(name="giant", prompt=50_000, first_ms=600)
    bench.serve()
    assert bench.owner.permits() == {"giant": "a"}


def test_a_giant_waits_for_a_slot_without_being_refused(time) -> None:
    bench = objectives_fakes.Bench(time, {"a": 1})
    bench.set_speed("a", 75_000.0, 0.018)
    bench.demand(name="runs", events=60)
    bench.serve()
    bench.start("runs")
    bench.demand(name="giant", prompt=50_000, first_ms=600)
    bench.serve()
    assert not bench.owner.sheds()
    time.now += 0.9
    bench.end("runs")
    bench.serve()
    assert bench.owner.permits()["giant"] == "a"


def test_what_nobody_waits_for_any_more_is_given_up(time) -> None:
    bench = objectives_fakes.Bench(time, {"a": 1})
    bench.demand(name="runs", events=400)
    bench.serve()
    bench.demand(name="giant", prompt=50_000, first_ms=600)
    bench.serve()
    time.now += objectives.ABANDON_SECONDS + 0.1
    bench.serve()
    assert "giant" in bench.owner.sheds()


def test_operators_see_how_a_demand_is_weighed(time) -> None:
    bench = objectives_fakes.Bench(time, {"a": 1, "b": 1})
    found = bench.policy.explain(fakes.demand("x"))
    assert {item.server for item in found} == {"a", "b"}


def test_a_tier_that_is_held_back_is_told_when_its_time_has_passed(time) -> None:
    """Another shard sheds an urgent tier for seconds; this one has free slots.

    The lower tier gets none of them meanwhile. A caller of it that waits until it
    leaves has waited for nothing: it is told to come back once it cannot be in time.
    """
    bench = objectives_fakes.Bench(time, {"a": 4})
    bench.shard.cutoffs.hold_back(0, time.now + 5.0)
    name = bench.demand(rank=1)
    bench.serve()
    assert name not in bench.owner.sheds()
    time.now += 0.45
    bench.serve()
    assert name in bench.owner.sheds()
    assert not bench.owner.permits()


def test_whoever_is_held_back_does_not_make_the_hold_longer(time) -> None:
    """The hold of the urgent tier ends; the lower tier gets slots at once."""
    bench = objectives_fakes.Bench(time, {"a": 4})
    bench.shard.cutoffs.hold_back(0, time.now + 1.0)
    bench.demand(rank=1)
    time.now += 0.9
    bench.serve()
    assert bench.owner.sheds()
    time.now += 0.15
    name = bench.demand(rank=1)
    bench.serve()
    assert name in bench.owner.permits()


def test_a_hold_that_lasts_is_told_at_once(time) -> None:
    """The urgent tier has been shed for longer than a request can wait.

    Who comes now would be told the same when its time has passed; told at once, its
    caller can come back while there is time left.
    """
    bench = objectives_fakes.Bench(time, {"a": 4})
    bench.shard.cutoffs.hold_back(0, time.now + 5.0)
    bench.demand(rank=1)
    bench.serve()
    time.now += 0.5
    name = bench.demand(rank=1)
    bench.serve()
    assert name in bench.owner.sheds()
    time.now += 5.0
    name = bench.demand(rank=1)
    bench.serve()
    assert name in bench.owner.permits()


def test_the_longest_answers_do_not_wait_for_what_will_not_come(time) -> None:
    """An answer of 400 events takes eight of its ten seconds at the fastest server.

    By its estimate it would be cut off anywhere. Held back while slots are free, until
    its first event is nearly late, it gets what is free at that moment, in a burst
    nothing; its caller, who waits for the largest of all answers, is refused late.
    """
    bench = objectives_fakes.Bench(time, {"a": 2, "b": 2})
    for name in ("a", "b"):
        bench.set_speed(name, 75_000.0, 0.022)
    bench.demand(name="longest", events=400, remaining_ms=10_000)
    bench.serve()
    assert "longest" in bench.owner.permits()


def test_an_answer_longer_than_its_caller_said_is_not_about_to_end(time) -> None:
    """All slots run answers that have passed their estimates, as half of all do.

    Each counted as a slot that comes free at once, a request would be held for it until
    its time has nearly passed, and be refused then. It is refused when it comes.
    """
    bench = objectives_fakes.Bench(time, {"a": 1})
    bench.set_speed("a", 75_000.0, 0.05)
    bench.demand(name="runs", events=20)
    bench.serve()
    bench.start("runs")
    time.now += 2.0
    grown = messages.Outstanding("runs", "", "", 0, "a", 600, 20, 40)
    bench.shard.renew("cq-1", [grown])
    late = bench.demand()
    bench.serve()
    assert late in bench.owner.sheds()


def test_a_long_prompt_waits_for_a_late_slot_in_place_of_being_refused(time) -> None:
    """A prompt takes 0.4 s of its 0.6 s, and the only slot comes free in 0.5 s.

    Refused at once as a short one is, it would be refused whenever slots are short. It
    is served late.
    """
    bench = objectives_fakes.Bench(time, {"a": 1})
    bench.set_speed("a", 75_000.0, 0.025)
    bench.demand(name="runs", events=20)
    bench.serve()
    bench.start("runs")
    bench.demand(name="long", prompt=27_000, first_ms=600)
    short = bench.demand(name="short", first_ms=300)
    bench.serve()
    assert list(bench.owner.sheds()) == [short]
    time.now += 0.5
    bench.end("runs")
    bench.serve()
    assert "long" in bench.owner.permits()


def test_the_next_of_a_tier_keeps_its_place_when_a_reckoning_gets_worse(time) -> None:
    """It was to get a slot in 50 ms; the answer there goes on for longer than reckoned.

    The next slot that comes free is its own, whichever that is. Refused for the new
    reckoning, it would leave that slot to a lower tier.
    """
    bench = objectives_fakes.Bench(time, {"a": 1})
    bench.set_speed("a", 75_000.0, 0.025)
    bench.demand(name="runs", events=20)
    bench.serve()
    bench.start("runs")
    time.now += 0.45
    name = bench.demand()
    bench.serve()
    time.now += 0.1
    grown = messages.Outstanding("runs", "", "", 0, "a", 600, 20, 60)
    bench.shard.renew("cq-1", [grown])
    bench.set_speed("a", 75_000.0, 0.025)
    bench.serve()
    assert name not in bench.owner.sheds()
    time.now += 0.1
    bench.end("runs")
    bench.demand(name="lower", rank=1)
    bench.serve()
    assert name in bench.owner.permits()
    assert "lower" not in bench.owner.permits()
