"""The objectives policy: first events in time, or an immediate refusal."""

import msgspec
import objectives_fakes
import policy_fakes as fakes
import pytest

from cassiaquay_daemon.decisions import objectives
from cassiaquay_schema import messages


@pytest.fixture(name="time")
def _time():
    with fakes.Time().used() as time:
        yield time


def test_free_slots_are_granted_in_the_same_pass(time) -> None:
    bench = objectives_fakes.Bench(time, {"a": 2, "b": 2})
    names = [bench.demand() for _ in range(4)]
    bench.serve()
    assert set(bench.owner.permits()) == set(names)
    assert sorted(bench.owner.permits().values()) == ["a", "a", "b", "b"]


def test_long_answer_is_placed_on_the_fast_engine(time) -> None:
    """Guards against a long answer on a slow engine, where it misses its deadline."""
    bench = objectives_fakes.Bench(time, {"slow": 8, "fast": 1})
    bench.set_speed("slow", 20_000.0, 0.08)
    bench.set_speed("fast", 75_000.0, 0.018)
    bench.demand(name="long", events=300)
    bench.demand(name="short", events=4)
    bench.serve()
    assert bench.owner.permits() == {"long": "fast", "short": "slow"}


def test_long_prompt_is_not_placed_where_it_pauses_streams(time) -> None:
    """Guards against a prefill that pauses running streams beyond their limit.

    A prompt of 9,000 tokens would pause the slow engine's streams for 450 ms, and their
    objective allows 300 ms.
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


def test_demand_without_a_slot_in_time_is_shed_at_once(time) -> None:
    """Guards against a refusal only after the objective has passed.

    All slots are taken for seconds when the request arrives; it is refused with a
    Retry-After in the same pass.
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


def test_retry_after_outlasts_a_burst_and_is_jittered(time) -> None:
    """Guards against a Retry-After that ends within the same burst.

    Callers retry once. The Retry-After is between two ninths and a third of the time
    that the caller has left, with jitter so that the retries are not a burst again.
    """
    bench = objectives_fakes.Bench(time, {"a": 1})
    bench.demand(events=400)
    bench.serve()
    names = [bench.demand(remaining_ms=12_000) for _ in range(20)]
    bench.serve()
    sheds = bench.owner.sheds()
    delays_ms = {sheds[name].retry_after_ms for name in names}
    assert min(delays_ms) >= 12_000 * 2 // 9
    assert max(delays_ms) <= 12_000 // 3
    assert len(delays_ms) > 10


def test_demand_waits_for_a_slot_that_frees_in_time(time) -> None:
    """The slot becomes free in 50 ms, and the objective is 400 ms away."""
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
    """Ten requests of each of three tiers arrive at once, and four slots are free."""
    bench = objectives_fakes.Bench(time, {"a": 4})
    for rank in (2, 1, 0):
        for number in range(10):
            bench.demand(name=f"r{rank}-{number}", rank=rank, events=400)
    bench.serve()
    granted = bench.owner.permits()
    assert len(granted) == 4
    assert all(name.startswith("r0") for name in granted)
    # Once a tier is shed, no tier below it gets a slot for a short time.
    bench.end(next(iter(granted)))
    bench.demand(name="low", rank=2, events=4)
    bench.serve()
    assert "low" not in bench.owner.permits()


def test_flood_of_one_team_does_not_delay_another_team(time) -> None:
    """One team sends twenty requests, then another team sends one."""
    bench = objectives_fakes.Bench(time, {"a": 4})
    for number in range(20):
        bench.demand(name=f"flood{number}", team="questions")
    bench.demand(name="few", team="parents")
    bench.serve()
    assert "few" in bench.owner.permits()


def test_prompt_too_long_for_its_objective_is_served_late(time) -> None:
    """Guards against prompts that are too long for any engine and are always refused.

    The prefill of 50,000 tokens exceeds the objective on every engine, so the request
    is served late.
    """
    bench = objectives_fakes.Bench(time, {"a": 4})
    bench.set_speed("a", 75_000.0, 0.018)
    bench.demand(name="giant", prompt=50_000, first_ms=600)
    bench.serve()
    assert bench.owner.permits() == {"giant": "a"}


def test_prompt_too_long_for_its_objective_waits_for_a_slot(time) -> None:
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


def test_demand_is_shed_after_its_caller_abandons_it(time) -> None:
    bench = objectives_fakes.Bench(time, {"a": 1})
    bench.demand(name="runs", events=400)
    bench.serve()
    bench.demand(name="giant", prompt=50_000, first_ms=600)
    bench.serve()
    time.now += objectives.ABANDON_SECONDS + 0.1
    bench.serve()
    assert "giant" in bench.owner.sheds()


def test_explain_estimates_every_open_server(time) -> None:
    bench = objectives_fakes.Bench(time, {"a": 1, "b": 1})
    estimates = bench.policy.explain(fakes.demand("x"))
    assert {item.server for item in estimates} == {"a", "b"}


def test_held_back_demand_is_shed_when_it_cannot_be_in_time(time) -> None:
    """Guards against held-back requests that wait until their callers give up.

    Another shard sheds an urgent tier for seconds, so the lower tier gets no slot here
    although some are free. Its requests are shed once they cannot be in time.
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


def test_shedding_held_back_demands_does_not_extend_the_hold(time) -> None:
    """Guards against a hold that the sheds of held-back requests keep renewing."""
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


def test_demand_is_shed_at_once_during_a_long_hold(time) -> None:
    """Guards against late refusals during a hold that outlasts the requests.

    The urgent tier has been shed for longer than a request can wait. A new request is
    refused at once, so that its caller can retry while there is time left.
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


def test_answer_too_long_for_its_deadline_is_granted_at_once(time) -> None:
    """Guards against holding back the longest answers while slots are free.

    By the estimate, an answer of 400 events takes eight of its ten seconds on the
    fastest server and would be cut off anywhere. If it waited until its first event is
    nearly late, a burst could have taken all slots, and it would be refused late.
    """
    bench = objectives_fakes.Bench(time, {"a": 2, "b": 2})
    for name in ("a", "b"):
        bench.set_speed(name, 75_000.0, 0.022)
    bench.demand(name="longest", events=400, remaining_ms=10_000)
    bench.serve()
    assert "longest" in bench.owner.permits()


def test_overrunning_answer_is_not_forecast_to_end_at_once(time) -> None:
    """Guards against counting an overrunning answer as a slot about to become free.

    Half of all answers exceed their estimates. A request would wait for such a slot
    until it is nearly late and be refused only then; it must be refused on arrival.
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


def test_long_prompt_waits_for_a_late_slot_instead_of_being_shed(time) -> None:
    """Guards against refusing long prompts whenever slots are scarce.

    The prefill takes 0.4 s of the 0.6 s objective, and the only slot becomes free in
    0.5 s. A short prompt is refused at once; the long one is served late.
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


def test_next_demand_of_a_tier_stays_queued_when_the_forecast_worsens(time) -> None:
    """Guards against shedding the next request of a tier when a forecast worsens.

    Its slot was expected in 50 ms, but the answer there takes longer than estimated.
    If it were shed, the next free slot would go to a lower tier.
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


def _set_versions(bench: objectives_fakes.Bench, **versions: str) -> None:
    servers = bench.shard.servers
    for name, version in versions.items():
        servers[name] = msgspec.structs.replace(servers[name], software=version)


def test_resumed_stream_gets_the_slot_that_a_new_one_could_have_elsewhere(time) -> None:
    """Guards against streams that end since new ones fill the servers of their version.

    The resumed one can use one server only, and arrives last.
    """
    bench = objectives_fakes.Bench(time, {"a": 1, "b": 1})
    _set_versions(bench, a="v1", b="v2")
    running = [bench.demand(events=2) for _ in range(2)]
    bench.serve()
    for request_id in running:
        bench.start(request_id)
    on_a = next(i for i in running if bench.owner.permits()[i] == "a")
    bench.demand(name="new")
    bench.demand(name="resumed", team="feedback", software="v1", first_ms=1500)
    bench.end(on_a)
    bench.serve()
    assert "new" not in bench.owner.permits()
    assert bench.owner.permits()["resumed"] == "a"


def test_resumed_stream_is_never_placed_at_another_version(time) -> None:
    """Guards against a permit that its owner can only return."""
    bench = objectives_fakes.Bench(time, {"a": 1, "b": 4})
    _set_versions(bench, a="v1", b="v2")
    for number in range(3):
        bench.demand(name=f"r{number}", software="v1", first_ms=1500)
    bench.serve()
    assert set(bench.owner.permits().values()) == {"a"}
    assert len(bench.owner.permits()) == 1


def test_shed_of_a_resumed_stream_takes_no_slot_from_others(time) -> None:
    """Guards against idle servers kept for a stream that they can't go on with.

    No server of its version is in the shard; a less important request arrives.
    """
    bench = objectives_fakes.Bench(time, {"b": 1})
    _set_versions(bench, b="v2")
    bench.demand(name="resumed", rank=0, software="v1", first_ms=1500)
    bench.serve()
    assert "resumed" in bench.owner.sheds()
    bench.demand(name="new", rank=5)
    bench.serve()
    assert bench.owner.permits() == {"new": "b"}


def test_new_streams_begin_where_they_could_go_on(time) -> None:
    """Guards against streams that end with the only server of their version.

    The lone server is the less loaded one; when the others are full, it is used.
    """
    bench = objectives_fakes.Bench(time, {"a": 2, "b": 2, "lone": 8})
    _set_versions(bench, a="v1", b="v1", lone="v2")
    names = [bench.demand() for _ in range(5)]
    bench.serve()
    permits = bench.owner.permits()
    assert sorted(permits[name] for name in names) == ["a", "a", "b", "b", "lone"]
