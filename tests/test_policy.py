"""The tiered policy of one shard: order, fairness, deadlines, placement."""

import collections

import policy_fakes as fakes
import pytest

from cassiaquay_daemon.decisions import affinity, lengths, loads, prefixes, speeds
from cassiaquay_dev.standins import blocks
from cassiaquay_schema import messages

HISTORY = "measure " * 2000


@pytest.fixture(name="time")
def _time():
    with fakes.Time().used() as time:
        yield time


def _report_first_events(shard, owner, time, seconds=0.02) -> None:
    """Report the first events of all prompts granted so far."""
    time.now += seconds
    steps = []
    for request_id, running in list(shard.running.items()):
        steps.append(messages.Step(request_id, running.server, True, 0.0))
    shard.progress(messages.Progress(shard.name, steps))


def test_next_slot_goes_to_the_highest_waiting_tier(time) -> None:
    """Guards against serving in arrival order across tiers.

    A full engine frees one slot. Three background requests arrived first; the urgent
    one, which arrived last, gets it.
    """
    shard = fakes.shard({"a": 1})
    policy = fakes.policy(shard)
    owner = fakes.Owner()
    shard.add(fakes.demand("running"), owner)
    policy.serve()
    for number in range(3):
        shard.add(fakes.demand(f"background-{number}", rank=3), owner)
    shard.add(fakes.demand("urgent", rank=0), owner)
    policy.serve()
    assert list(owner.permits()) == ["running"]
    policy.learn(fakes.release("running", "a"))
    shard.drop("running")
    policy.serve()
    assert list(owner.permits()) == ["running", "urgent"]


def test_lower_tier_gets_an_engine_that_a_higher_one_avoids(time) -> None:
    """Guards against idle engines that only a higher tier's request avoids.

    An urgent request avoids the only free engine, whose connection just failed. A
    background request may use that engine; the full one stays reserved.
    """
    shard = fakes.shard({"a": 1, "b": 1})
    policy = fakes.policy(shard)
    owner = fakes.Owner()
    shard.add(fakes.demand("running")._replace(avoid=["b"]), owner)
    policy.serve()
    time.now += 3.0
    shard.renew("cq-1", [messages.Outstanding("running", "", "", 0, "a", 40, 20)])
    urgent = fakes.demand("urgent")._replace(avoid=["b"])
    shard.add(urgent, owner)
    shard.add(fakes.demand("background", rank=3), owner)
    time.now += 2.1
    shard.add(fakes.demand("background", rank=3), owner)
    policy.serve()
    assert owner.permits() == {"running": "a", "background": "b"}
    assert "urgent" in shard.queue


def test_teams_of_a_tier_share_capacity_by_weight(time) -> None:
    """Both teams have waiting demands at all times; the weights are 3 to 1."""
    shard = fakes.shard({"a": 4})
    shard.weights = {"heavy": 3.0, "light": 1.0}
    policy = fakes.policy(shard)
    owner = fakes.Owner()
    for number in range(200):
        for team in ("heavy", "light"):
            demand = fakes.demand(f"{team}-{number}", team=team, remaining_ms=600_000)
            shard.add(demand, owner)
    while len(owner.permits()) < 120:
        policy.serve()
        _report_first_events(shard, owner, time)
        for request_id, running in list(shard.running.items()):
            policy.learn(fakes.release(request_id, running.server))
            shard.drop(request_id)
    teams = collections.Counter(name.partition("-")[0] for name in owner.permits())
    assert teams["heavy"] / teams["light"] == pytest.approx(3.0, rel=0.1)


def test_demand_that_no_engine_can_finish_is_shed_at_once(time) -> None:
    """Guards against queueing demands that no engine can finish in time.

    An answer of 2000 tokens is due within a second. It is shed in the same pass, with
    a Retry-After of 0 since a retry would not help.
    """
    shard = fakes.shard({"a": 8})
    policy = fakes.policy(shard)
    owner = fakes.Owner()
    shard.add(fakes.demand("late", output_tokens=2000, remaining_ms=1000), owner)
    policy.serve()
    assert owner.sheds()["late"].code == "deadline_infeasible"
    assert owner.sheds()["late"].retry_after_ms == 0
    assert not owner.permits()


def test_demand_is_shed_when_too_little_time_is_left(time) -> None:
    """Guards against granting a demand whose answer would end after its deadline.

    The engine becomes free when less time is left than the answer takes; the demand is
    shed before that.
    """
    shard = fakes.shard({"a": 1})
    policy = fakes.policy(shard)
    owner = fakes.Owner()
    shard.add(fakes.demand("first"), owner)
    policy.serve()
    shard.add(fakes.demand("second", output_tokens=100, remaining_ms=3000), owner)
    policy.serve()
    time.now += 2.0
    policy.serve()
    assert owner.sheds()["second"].code == "deadline_infeasible"
    shard.drop("first")
    policy.serve()
    assert list(owner.permits()) == ["first"]


def test_full_queue_sheds_the_lowest_tier_first(time) -> None:
    """More demands arrive than the queue may hold; urgent ones displace background."""
    shard = fakes.shard({"a": 1}, max_queue=10)
    policy = fakes.policy(shard)
    owner = fakes.Owner()
    shard.add(fakes.demand("running"), owner)
    policy.serve()
    for number in range(10):
        shard.add(fakes.demand(f"background-{number}", rank=3), owner)
    for number in range(10):
        shard.add(fakes.demand(f"urgent-{number}", rank=0), owner)
    policy.serve()
    shed = owner.sheds()
    assert {name.partition("-")[0] for name in shed} == {"background"}
    assert len(shed) == 10
    assert all(item.retry_after_ms >= 200 for item in shed.values())


def test_no_lower_tier_is_granted_right_after_a_higher_one_was_shed(time) -> None:
    """Guards against serving a lower tier right after a higher one was shed.

    A slot becomes free shortly after the shed. Background demands get nothing until
    the floor has expired.
    """
    shard = fakes.shard({"a": 4})
    policy = fakes.policy(shard)
    owner = fakes.Owner()
    shard.cutoffs.raise_floor(1, time.now + 0.5, 1000)
    shard.add(fakes.demand("background", rank=3), owner)
    shard.add(fakes.demand("same", rank=1), owner)
    policy.serve()
    assert list(owner.permits()) == ["same"]
    time.now += 0.6
    policy.serve()
    assert list(owner.permits()) == ["same", "background"]


def test_session_returns_to_the_engine_that_caches_its_prefix(time) -> None:
    """Two engines are idle; one of them caches the session's history."""
    shard = fakes.shard({"a": 8, "b": 8})
    policy = fakes.policy(shard)
    owner = fakes.Owner()
    shard.add(fakes.demand("one", prompt=HISTORY, session="s"), owner)
    policy.serve()
    _report_first_events(shard, owner, time, 0.4)
    server = owner.permits()["one"]
    for number in range(4):
        prompt = f"{HISTORY} question {number}"
        shard.add(fakes.demand(f"more-{number}", prompt=prompt, session="s"), owner)
        policy.serve()
        _report_first_events(shard, owner, time)
    assert set(owner.permits().values()) == {server}


def test_plain_calls_spread_over_servers_except_a_slow_one(time) -> None:
    """Three plain servers, one of them ten times slower."""
    shard = fakes.shard({"a": 8, "b": 8, "slow": 8})
    policy = fakes.policy(shard)
    owner = fakes.Owner()
    seconds = {"a": 0.02, "b": 0.02, "slow": 0.2}
    for number in range(300):
        call = fakes.demand(f"{number}", prompt_tokens=0, output_tokens=1)
        shard.add(call, owner)
        policy.serve()
        time.now += 0.005
        if number < 4:
            continue
        request_id, running = next(iter(shard.running.items()))
        total_ms = seconds[running.server] * 1000.0
        release = fakes.release(request_id, running.server)
        release = release._replace(prompt_tokens=0, output_tokens=1, total_ms=total_ms)
        policy.learn(release)
        shard.drop(request_id)
    servers = collections.Counter(owner.permits().values())
    assert min(servers["a"], servers["b"]) > 80
    assert servers["slow"] < 40


def test_demand_waits_for_a_pending_prefill_of_its_prefix(time) -> None:
    """Guards against two concurrent prefills of the same session history.

    Engines look up their cache at admission, so a second request that is granted
    during the first prefill would repeat it. It waits for the first event of the first
    request, then goes to the same engine.
    """
    shard = fakes.shard({"a": 8, "b": 8})
    policy = fakes.policy(shard)
    owner = fakes.Owner()
    for name in ("one", "two"):
        shard.add(fakes.demand(name, prompt=HISTORY, session="s"), owner)
    policy.serve()
    assert list(owner.permits()) == ["one"]
    _report_first_events(shard, owner, time, 0.4)
    policy.serve()
    assert owner.permits()["two"] == owner.permits()["one"]


def test_unresponsive_engine_gets_no_more_demands(time) -> None:
    """Guards against sending more work to an engine that has stopped responding.

    Its prefill does not end, so there are no completions to learn from; the age of the
    unfinished prefill must suffice to place the next requests elsewhere.
    """
    shard = fakes.shard({"a": 8, "b": 8})
    policy = fakes.policy(shard)
    owner = fakes.Owner()
    shard.add(fakes.demand("stuck", prompt=HISTORY), owner)
    policy.serve()
    stuck = owner.permits()["stuck"]
    time.now += 3.0
    shard.renew("cq-1", [messages.Outstanding("stuck", "", "", 0, stuck, 4000, 20)])
    for number in range(5):
        shard.add(fakes.demand(f"next-{number}"), owner)
        policy.serve()
        time.now += 0.01
    servers = [owner.permits()[f"next-{number}"] for number in range(5)]
    assert stuck not in servers


def test_pass_weighs_no_demands_while_all_engines_are_full(time) -> None:
    """Guards against passes that grow with the queue.

    4000 demands wait for full engines; a pass weighs none of them.
    """
    shard = fakes.shard({f"e{number}": 1 for number in range(16)}, max_queue=5000)
    policy = fakes.policy(shard)
    owner = fakes.Owner()
    for number in range(4000):
        demand = fakes.demand(f"{number}", rank=number % 4, team=f"t{number % 5}")
        shard.add(demand._replace(remaining_ms=600_000), owner)
    policy.serve()
    calls = []
    serve_team = policy._serve_team
    policy._serve_team = lambda *args: calls.append(args) or serve_team(*args)
    policy.serve()
    assert len(owner.permits()) == 16
    assert not calls


def test_server_totals_equal_the_sums_over_running_requests(time) -> None:
    """The running totals after grants, renewals, expiry and drops equal the sums."""
    shard = fakes.shard({"a": 8, "b": 8})
    policy = fakes.policy(shard)
    owner = fakes.Owner()
    for number in range(12):
        shard.add(fakes.demand(f"{number}", prompt_tokens=40 + number), owner)
    policy.serve()
    out = list(shard.running.items())
    shard.renew(
        "cq-1",
        [messages.Outstanding(i, "", "", 0, r.server, 40, 20) for i, r in out[:4]],
    )
    shard.drop(out[5][0])
    time.now += 2.0
    shard.expire()
    for server in ("a", "b"):
        mine = [r for r in shard.running.values() if r.server == server]
        assert shard.count_on(server) == len(mine)
        assert shard.tokens_on(server) == sum(r.tokens for r in mine)
    assert len(shard.running) == 4


def test_sampled_block_hashes_equal_those_of_the_engines() -> None:
    prompt = "lace " * 6000
    hashes = blocks.block_hashes(prompt)
    count = prefixes.block_count(prompt)
    wanted = [hashes[number - 1] for number in prefixes.sampled_numbers(count)]
    assert prefixes.blocks(prompt) == wanted
    assert len(wanted) < 40


def test_prefix_index_shrinks_when_the_engine_evicts_early() -> None:
    index = affinity.PrefixIndex()
    for number in range(1000):
        index.add([number])
    for _ in range(50):
        index.correct([5000], 640, 0)
    assert len(index) < 200
    assert index.cached_tokens([5000], 1) == 64


def test_token_limit_grows_exponentially_and_shrinks_when_late() -> None:
    speed = speeds.Speed(8000, None)
    speed.prefilled(4000, 0.4)
    for _ in range(60):
        speed.started(0.2, 0.2, int(speed.limit), 0.0)
    grown = speed.limit
    assert grown > 64_000
    speed.started(0.2, 2.0, int(grown), 1.0)
    speed.started(0.2, 2.0, int(grown), 1.1)
    assert speed.limit == pytest.approx(int(grown) * 0.8)


def test_slow_estimate_of_an_idle_engine_recovers() -> None:
    """Guards against an engine that is never used again after one slow sample.

    It once took a second per token and then got no more work. Its estimate must recover
    while it is idle, since there are no samples that could show its recovery.
    """
    speed = speeds.Speed(8000, None)
    speed.record_sample_time(0.0)
    speed.generated(10, 10.0)
    assert speed.estimate(0.5, True).token_seconds == pytest.approx(1.0)
    assert speed.estimate(30.0, False).token_seconds == pytest.approx(1.0)
    assert speed.estimate(30.0, True).token_seconds < 0.01


def test_backlog_counts_a_prompt_until_its_first_event() -> None:
    load = loads.Load()
    load.add_prefill("one", 1000, 0.0, 0.1)
    assert load.backlog_seconds(10_000.0, 0.05) == pytest.approx(0.05)
    assert load.backlog_seconds(10_000.0, 9.0) == pytest.approx(0.01)
    prefill = load.finish_prefill("one", 0.2)
    assert prefill is not None
    assert prefill.head_seconds == pytest.approx(0.2)
    assert load.backlog_seconds(10_000.0, 0.2) == 0.0


def test_lengths_are_learned_by_service_and_team() -> None:
    estimates = lengths.Lengths()
    assert estimates.output_tokens("s", "t", 100) == 100
    for _ in range(20):
        estimates.learn_answer("s", "short", 100, 10)
        estimates.learn_answer("s", "long", 100, 80)
        estimates.learn_prompt("s", 100, 150)
    assert estimates.output_tokens("s", "short", 200) == 20
    assert estimates.output_tokens("s", "long", 200) == 160
    assert 20 < estimates.output_tokens("s", "new", 200) < 160
    assert estimates.prompt_tokens("s", 40) == 60


def test_margin_of_a_tier_limits_which_demands_are_granted(time) -> None:
    """The remaining time hardly exceeds the estimated duration of the answer.

    With the default margin the demand is not granted. With a small margin it is, at the
    risk that the prefill is wasted.
    """
    for margin, granted in ((1.3, False), (0.9, True)):
        shard = fakes.shard({"a": 4})
        shard.margins = {0: margin}
        policy = fakes.policy(shard)
        owner = fakes.Owner()
        shard.add(fakes.demand("short", remaining_ms=500), owner)
        policy.serve()
        assert ("short" in owner.permits()) is granted
        assert not owner.sheds()
