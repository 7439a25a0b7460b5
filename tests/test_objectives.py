"""The policy of objectives: first events in time, or refused at once."""

import policy_fakes as fakes
import pytest

from cassiaquay_daemon.decisions import objectives, pace, shards
from cassiaquay_schema import messages


@pytest.fixture(name="time")
def _time():
    with fakes.Time().used() as time:
        yield time


class Bench:
    """A shard under the policy, and engines that answer as they are told."""

    def __init__(self, time: fakes.Time, slots: dict[str, int], **tokens: int):
        self.time = time
        self.shard: shards.Shard = fakes.shard(slots)
        self.policy = fakes.policy(self.shard, objectives.NAME)
        self.owner = fakes.Owner()
        self.count = 0

    def demand(self, **fields) -> str:
        """Bring a demand; return its id."""
        self.count += 1
        found = fakes.demand(
            fields.pop("name", f"d{self.count}"),
            rank=fields.pop("rank", 0),
            team=fields.pop("team", "questions"),
            prompt_tokens=fields.pop("prompt", 600),
            output_tokens=fields.pop("events", 20),
            remaining_ms=fields.pop("remaining_ms", 15_000),
        )
        found = found._replace(first_ms=400, pause_ms=300)._replace(**fields)
        self.shard.add(found, self.owner)
        return found.id

    def start(self, request_id: str) -> None:
        """Let a request that was granted give its first event."""
        server = self.owner.permits()[request_id]
        steps = [
            messages.Step(request_id, server, False, 0.0),
            messages.Step(request_id, server, True, 0.0),
        ]
        self.shard.progress(messages.Progress(fakes.SHARD, steps[:1]))
        self.shard.progress(messages.Progress(fakes.SHARD, steps[1:]))

    def end(self, request_id: str, outcome: str = "completed") -> None:
        """Let a request that was granted end."""
        server = self.owner.permits()[request_id]
        release = fakes.release(request_id, server)._replace(outcome=outcome)
        self.policy.learn(release)
        self.shard.drop(request_id)

    def know(self, server: str, rate: float, event_seconds: float) -> None:
        """Let the policy know a server's speed."""
        found = self.policy._pace(server)
        found.rate = rate
        found.event_seconds = event_seconds
        found.base_seconds = 0.04

    def serve(self) -> None:
        """Let the policy decide."""
        self.policy.serve()


def test_free_slots_are_used_at_once(time) -> None:
    bench = Bench(time, {"a": 2, "b": 2})
    names = [bench.demand() for _ in range(4)]
    bench.serve()
    assert set(bench.owner.permits()) == set(names)
    assert sorted(bench.owner.permits().values()) == ["a", "a", "b", "b"]


def test_a_long_answer_goes_to_the_fast_engine(time) -> None:
    """Engines differ fourfold; on the slow one the answer would miss its deadline."""
    bench = Bench(time, {"slow": 8, "fast": 1})
    bench.know("slow", 20_000.0, 0.08)
    bench.know("fast", 75_000.0, 0.018)
    bench.demand(name="long", events=300)
    bench.demand(name="short", events=4)
    bench.serve()
    assert bench.owner.permits() == {"long": "fast", "short": "slow"}


def test_a_long_prompt_does_not_stop_running_streams(time) -> None:
    """A prompt of 9,000 tokens would stop the slow engine's streams for 450 ms.

    Their callers would see a pause over 300 ms in answers that were in time so far.
    """
    bench = Bench(time, {"slow": 8})
    bench.know("slow", 20_000.0, 0.08)
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
    bench = Bench(time, {"a": 2})
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
    bench = Bench(time, {"a": 1})
    bench.demand(events=400)
    bench.serve()
    names = [bench.demand(remaining_ms=12_000) for _ in range(20)]
    bench.serve()
    sheds = bench.owner.sheds()
    told = {sheds[name].retry_after_ms for name in names}
    assert min(told) >= 12_000 * 2 // 9
    assert max(told) <= 12_000 // 3
    assert len(told) > 10


def test_an_engine_that_breaks_everything_off_does_not_swallow_a_burst(time) -> None:
    """One of two engines breaks off each run after 20 ms, and a burst fills the other.

    It has free slots all the time. After four of its failures callers are refused, and
    come back, instead of losing their one run there; one request at a time tries it,
    and its first good end opens it again.
    """
    bench = Bench(time, {"good": 1, "broken": 4})
    bench.demand(name="long", events=400)
    bench.serve()
    lost = 0
    for _ in range(30):
        name = bench.demand(avoid=["good"])
        bench.serve()
        if bench.owner.permits().get(name) == "broken":
            lost += 1
            bench.end(name, "cut")
        time.now += 0.02
    assert 4 <= lost <= 5
    time.now += pace.PROBE_SECONDS
    probe = bench.demand(avoid=["good"])
    bench.serve()
    assert bench.owner.permits()[probe] == "broken"
    bench.start(probe)
    bench.end(probe)
    after = bench.demand(avoid=["good"])
    bench.serve()
    assert bench.owner.permits()[after] == "broken"


def test_what_gets_a_slot_in_time_waits_for_it(time) -> None:
    """The slot comes free in 50 ms, and the objective is 400 ms away."""
    bench = Bench(time, {"a": 1})
    bench.know("a", 75_000.0, 0.018)
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
    bench = Bench(time, {"a": 4})
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
    bench = Bench(time, {"a": 4})
    for number in range(20):
        bench.demand(name=f"flood{number}", team="questions")
    bench.demand(name="few", team="parents")
    bench.serve()
    assert "few" in bench.owner.permits()


def test_the_longest_prompts_are_served_though_late(time) -> None:
    """A prompt of 50,000 tokens cannot be read within its objective anywhere.

    Refused each time it came, its caller would never be served at all.
    """
    bench = Bench(time, {"a": 4})
    bench.know("a", 75_000.0, 0.018)
    bench.demand(name="giant", prompt=50_000, first_ms=600)
    bench.serve()
    assert bench.owner.permits() == {"giant": "a"}


def test_a_giant_waits_for_a_slot_without_being_refused(time) -> None:
    bench = Bench(time, {"a": 1})
    bench.know("a", 75_000.0, 0.018)
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
    bench = Bench(time, {"a": 1})
    bench.demand(name="runs", events=400)
    bench.serve()
    bench.demand(name="giant", prompt=50_000, first_ms=600)
    bench.serve()
    time.now += objectives.PATIENCE_SECONDS + 0.1
    bench.serve()
    assert "giant" in bench.owner.sheds()


def test_a_silent_engine_gets_one_request_at_a_time(time) -> None:
    """An engine stops answering; its health check and its connections are good.

    The first request's event is overdue. What comes then goes elsewhere; after a
    moment one request tries it, and its first sign of life brings all back.
    """
    bench = Bench(time, {"mute": 9, "b": 9})
    bench.know("mute", 75_000.0, 0.01)
    bench.know("b", 75_000.0, 0.02)
    first = bench.demand()
    bench.serve()
    assert bench.owner.permits()[first] == "mute"
    time.now += 0.7
    later = [bench.demand() for _ in range(3)]
    bench.serve()
    assert {bench.owner.permits()[name] for name in later} == {"b"}
    time.now += pace.STALL_SECONDS + 0.01
    tries = [bench.demand() for _ in range(3)]
    bench.serve()
    servers = [bench.owner.permits()[name] for name in tries]
    assert sorted(servers) == ["b", "b", "mute"]
    bench.start(tries[servers.index("mute")])
    back = bench.demand()
    bench.serve()
    assert bench.owner.permits()[back] == "mute"


def test_one_long_call_does_not_make_a_plain_service_silent(time) -> None:
    """One booking takes a second by its nature; the others take 50 ms as ever."""
    bench = Bench(time, {"a": 6})
    plain = {"prompt": 0, "events": 0, "pause_ms": 0}
    bench.demand(name="long", **plain)
    bench.serve()
    time.now += 1.0
    bench.demand(name="next", **plain)
    bench.serve()
    assert bench.owner.permits() == {"long": "a", "next": "a"}


def test_a_server_that_fails_quietly_is_the_last_choice(time) -> None:
    """Its health check is good and it answers half of its requests with an error."""
    bench = Bench(time, {"grey": 9, "b": 9})
    bench.know("grey", 75_000.0, 0.01)
    bench.know("b", 75_000.0, 0.02)
    name = bench.demand()
    bench.serve()
    assert bench.owner.permits()[name] == "grey"
    bench.end(name, "failed")
    names = [bench.demand() for _ in range(3)]
    bench.serve()
    assert {bench.owner.permits()[name] for name in names} == {"b"}
    for name in names:
        bench.end(name)
    # It is forgotten after a while: the server may be well again.
    time.now += 20.0
    name = bench.demand()
    bench.serve()
    assert bench.owner.permits()[name] == "grey"


def test_a_server_that_had_the_request_is_left_out(time) -> None:
    """One answered with an error; to the others' requests it is as good as before."""
    bench = Bench(time, {"a": 9, "b": 9})
    bench.know("a", 75_000.0, 0.01)
    bench.know("b", 75_000.0, 0.02)
    bench.demand(name="again", tried=["a"])
    bench.demand(name="other")
    bench.serve()
    assert bench.owner.permits() == {"again": "b", "other": "a"}


def test_a_server_started_again_is_another_one(time) -> None:
    """It has the same name, and nothing of what was learned of it holds."""
    bench = Bench(time, {"a": 9})
    bench.know("a", 1_000.0, 1.0)
    old = bench.shard.servers["a"]
    bench.shard.servers["a"] = type(old)(
        name="a", address=old.address, slots=9, started_ms=5
    )
    assert bench.policy._pace("a").rate == pace.START_RATE


def test_a_server_that_slows_down_is_noticed_by_its_events(time) -> None:
    found = pace.Pace("a")
    for _ in range(20):
        found.advanced(10, 0.2)
    assert found.event_seconds == pytest.approx(0.02)
    for _ in range(4):
        found.advanced(10, 1.0)
    assert found.event_seconds > 0.08
    found.read(6000, 0.5, 0.5)
    assert found.rate < 15_000


def test_operators_see_how_a_demand_is_weighed(time) -> None:
    bench = Bench(time, {"a": 1, "b": 1})
    found = bench.policy.explain(fakes.demand("x"))
    assert {item.server for item in found} == {"a", "b"}


def test_a_tier_that_is_held_back_is_told_when_its_time_has_passed(time) -> None:
    """Another shard sheds an urgent tier for seconds; this one has free slots.

    The lower tier gets none of them meanwhile. A caller of it that waits until it
    leaves has waited for nothing: it is told to come back once it cannot be in time.
    """
    bench = Bench(time, {"a": 4})
    bench.shard.held.hold_back(0, time.now + 5.0)
    name = bench.demand(rank=1)
    bench.serve()
    assert name not in bench.owner.sheds()
    time.now += 0.45
    bench.serve()
    assert name in bench.owner.sheds()
    assert not bench.owner.permits()


def test_whoever_is_held_back_does_not_make_the_hold_longer(time) -> None:
    """The hold of the urgent tier ends; the lower tier gets slots at once."""
    bench = Bench(time, {"a": 4})
    bench.shard.held.hold_back(0, time.now + 1.0)
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
    bench = Bench(time, {"a": 4})
    bench.shard.held.hold_back(0, time.now + 5.0)
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
    bench = Bench(time, {"a": 2, "b": 2})
    for name in ("a", "b"):
        bench.know(name, 75_000.0, 0.022)
    bench.demand(name="longest", events=400, remaining_ms=10_000)
    bench.serve()
    assert "longest" in bench.owner.permits()


def test_an_answer_longer_than_its_caller_said_is_not_about_to_end(time) -> None:
    """All slots run answers that have passed their estimates, as half of all do.

    Each counted as a slot that comes free at once, a request would be held for it until
    its time has nearly passed, and be refused then. It is refused when it comes.
    """
    bench = Bench(time, {"a": 1})
    bench.know("a", 75_000.0, 0.05)
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
    bench = Bench(time, {"a": 1})
    bench.know("a", 75_000.0, 0.025)
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
    bench = Bench(time, {"a": 1})
    bench.know("a", 75_000.0, 0.025)
    bench.demand(name="runs", events=20)
    bench.serve()
    bench.start("runs")
    time.now += 0.45
    name = bench.demand()
    bench.serve()
    time.now += 0.1
    grown = messages.Outstanding("runs", "", "", 0, "a", 600, 20, 60)
    bench.shard.renew("cq-1", [grown])
    bench.know("a", 75_000.0, 0.025)
    bench.serve()
    assert name not in bench.owner.sheds()
    time.now += 0.1
    bench.end("runs")
    bench.demand(name="lower", rank=1)
    bench.serve()
    assert name in bench.owner.permits()
    assert "lower" not in bench.owner.permits()


def test_nobody_is_refused_because_all_servers_fail_alike(time) -> None:
    """Each of four plain servers fails three in four, several in a row at times.

    Each then counts as broken, and there is no sound one to send callers to. Refused,
    they get nothing while nearly all slots are free; sent on, some are served, and of
    those that may be repeated more.
    """
    bench = Bench(time, {"a": 6, "b": 6, "c": 6, "d": 6})
    plain = {"prompt": 0, "events": 0, "pause_ms": 0}
    for number in range(80):
        name = bench.demand(**plain)
        bench.serve()
        assert name not in bench.owner.sheds()
        bench.end(name, "failed" if number % 8 < 6 else "completed")
        time.now += 0.01


def test_a_server_that_alone_breaks_everything_off_is_left_to_its_probes(time) -> None:
    """One of four servers fails everything; the others fail as ever, one in eight."""
    bench = Bench(time, {"a": 6, "b": 6, "c": 6, "broken": 6})
    plain = {"prompt": 0, "events": 0, "pause_ms": 0}
    lost = 0
    for number in range(200):
        name = bench.demand(**plain)
        bench.serve()
        server = bench.owner.permits()[name]
        lost += server == "broken"
        fails = server == "broken" or number % 8 == 0
        bench.end(name, "failed" if fails else "completed")
        time.now += 0.01
    assert lost <= 4 + 200 * 0.01 / pace.PROBE_SECONDS + 1
