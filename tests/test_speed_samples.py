"""Samples of an engine's speed that reach the keeper late, in bursts or with gaps."""

import policy_fakes as fakes
import pytest

from cassiaquay_daemon.decisions import service_times, shards, speeds
from cassiaquay_schema import messages

TOKEN_SECONDS = 0.01


@pytest.fixture(name="time")
def _time():
    with fakes.Time().used() as time:
        yield time


class _Samples:
    """Observer of a shard that records the growth of answers."""

    def __init__(self) -> None:
        self.seconds_per_token: list[float] = []

    def advanced(self, server: str, tokens: int, seconds: float) -> None:
        """Record one sample."""
        self.seconds_per_token.append(seconds / tokens)

    def __getattr__(self, name: str):
        return lambda *args: None


def _renew(shard: shards.Shard, seconds: float) -> None:
    """Report an answer that has grown for ``seconds`` on its owner's clock."""
    produced = 1 + round(seconds / TOKEN_SECONDS)
    item = messages.Outstanding(
        "runs", "", "", 0, "a", 40, 20, produced, seconds * 1000.0
    )
    shard.renew("cq-1", [item])


def test_paused_keeper_measures_the_speed_of_engines_as_it_was(time) -> None:
    """Guards against engines that seem slow, then fast, after a pause of the keeper.

    Two reports of the owner wait in the socket while the keeper does not run; it reads
    both at the same moment.
    """
    shard = fakes.shard({"a": 1})
    samples = _Samples()
    shard.observe(samples)
    owner = fakes.Owner()
    fakes.policy(shard).serve()
    shard.add(fakes.demand("runs"), owner)
    shard.grant(shard.queue["runs"], "a")
    step = messages.Step("runs", "a", True, 0.0)
    shard.progress(messages.Progress(shard.name, [step]))
    time.now += 0.9
    _renew(shard, 0.1)
    _renew(shard, 0.8)
    assert samples.seconds_per_token == pytest.approx([TOKEN_SECONDS] * 2)


def test_two_tokens_read_at_once_do_not_make_an_engine_infinitely_fast() -> None:
    """Guards against a first sample of one token that sets the shortest time for good.

    An owner that is late reads two tokens at once. Demands would then never be refused
    as too late, and hold engines until their deadlines.
    """
    speed = speeds.Speed(8000, None)
    speed.generated(1, 0.0002)
    for _ in range(3):
        speed.generated(16, 16 * TOKEN_SECONDS)
    estimate = speed.estimate(0.0, False)
    assert estimate.floor_seconds > TOKEN_SECONDS / 2
    assert estimate.token_seconds == pytest.approx(TOKEN_SECONDS, rel=0.2)
    times = service_times.ServiceTimes("a")
    times.advanced(1, 0.0002)
    assert times.event_seconds > service_times.START_EVENT_SECONDS / 2


def test_stalled_engine_is_as_fast_as_before_once_it_generates_again() -> None:
    """Guards against refusals for seconds after a gap in the reports of one stream.

    A stall is all that is known while it lasts; the next tokens show that it is over.
    """
    speed = speeds.Speed(8000, None)
    for _ in range(3):
        speed.generated(16, 16 * TOKEN_SECONDS)
    speed.stalled(0.8)
    assert speed.estimate(0.0, False).token_seconds >= 0.8
    speed.generated(16, 16 * TOKEN_SECONDS)
    estimate = speed.estimate(0.0, False)
    assert estimate.token_seconds == pytest.approx(TOKEN_SECONDS, rel=0.2)


def test_silence_of_a_server_is_not_learned_as_its_speed(time) -> None:
    """Guards against requests that are refused for seconds after a mere pause."""
    times = service_times.ServiceTimes("a")
    for _ in range(5):
        times.prefilled(100, 0.05, 0.05)
        times.served(0.05)
    before = times.expect(100.0).first_seconds
    time.now += 1.6
    times.mark_silent(time.now, 1.6)
    for _ in range(8):
        time.now += 0.001
        times.prefilled(100, 1.6, 1.6)
        times.prefilled(2000, 1.6, 1.6)
        times.served(1.6)
    assert times.expect(100.0).first_seconds == pytest.approx(before)
    time.now += 0.5
    times.prefilled(100, 0.4, 0.4)
    assert times.expect(100.0).first_seconds > before


def test_completed_stream_ends_the_silence_of_its_server(time) -> None:
    """Guards against servers of short streams that stay silent for good."""
    times = service_times.ServiceTimes("a")
    times.mark_silent(time.now, 1.6)
    times.completed(1.6)
    assert not times.is_silent(time.now)
    times.granted(time.now)
    assert not times.is_silent(time.now)
