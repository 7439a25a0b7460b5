"""Short requests under overload: slots must not idle between two of them."""

import collections

import objectives_fakes
import policy_fakes as fakes
import pytest

SLOTS = 6
WORK_SECONDS = 0.07
# Delay from the end of a request to its keeper, and from a permit to the server.
DELAY_SECONDS = 0.02
STEP_SECONDS = 0.005


@pytest.fixture(name="time")
def _time():
    with fakes.Time().used() as time:
        yield time


class _Server:
    """A plain server that runs requests in order of arrival."""

    def __init__(self, bench: objectives_fakes.Bench):
        self.served = 0
        self._bench = bench
        self._seen: set[str] = set()
        self._arriving: collections.deque[tuple[float, str]] = collections.deque()
        self._queue: collections.deque[str] = collections.deque()
        self._running: dict[str, float] = {}
        self._arrived_at: dict[str, float] = {}
        self._ended: collections.deque[tuple[float, str]] = collections.deque()

    def step(self, now: float) -> None:
        """Start arrived requests, end finished ones and report those with a delay."""
        for name in self._bench.owner.permits():
            if name not in self._seen:
                self._seen.add(name)
                self._arriving.append((now + DELAY_SECONDS, name))
        while self._arriving and self._arriving[0][0] <= now:
            _, name = self._arriving.popleft()
            self._arrived_at[name] = now
            self._queue.append(name)
        for name, until in list(self._running.items()):
            if until <= now:
                del self._running[name]
                self._ended.append((now + DELAY_SECONDS, name))
                self.served += 1
        while self._queue and len(self._running) < SLOTS:
            self._running[self._queue.popleft()] = now + WORK_SECONDS
        while self._ended and self._ended[0][0] <= now:
            at, name = self._ended.popleft()
            release = fakes.release(name, "a")._replace(
                prompt_tokens=0,
                total_ms=(at - DELAY_SECONDS - self._arrived_at[name]) * 1000.0,
            )
            self._bench.policy.learn(release)
            self._bench.shard.drop(name)


def test_a_plain_server_is_kept_busy_by_short_answers(time) -> None:
    """The load is 1.5 times its capacity; each end is reported 20 ms later."""
    bench = objectives_fakes.Bench(time, {"a": SLOTS})
    server = _Server(bench)
    warm_up = int(1.0 / STEP_SECONDS)
    steps = int(3.0 / STEP_SECONDS)
    demands_per_step = 1.5 * SLOTS / WORK_SECONDS * STEP_SECONDS
    due = 0.0
    for number in range(warm_up + steps):
        if number == warm_up:
            server.served = 0
        due += demands_per_step
        while due >= 1.0:
            due -= 1.0
            bench.demand(prompt=0, events=0, pause_ms=0, remaining_ms=800)
        bench.serve()
        server.step(time.now)
        time.now += STEP_SECONDS
    capacity = SLOTS / WORK_SECONDS * steps * STEP_SECONDS
    assert server.served >= 0.9 * capacity


@pytest.mark.parametrize(
    ("seconds", "more"), [(0.07, 5), (0.06, 6), (0.01, 6), (0.2, 0)]
)
def test_permits_beyond_the_slots_depend_on_the_service_time(
    time, seconds, more
) -> None:
    """Permits are granted beyond the slots only while requests are short.

    Long requests gain nothing from that, and the server's own queue ignores ranks.
    """
    bench = objectives_fakes.Bench(time, {"a": SLOTS})
    found = bench.policy._times_of("a")
    found.completed(seconds)
    found.base_seconds = seconds
    for _ in range(30):
        bench.demand(prompt=0, events=0, pause_ms=0, first_ms=5000)
    bench.serve()
    assert len(bench.owner.permits()) == SLOTS + more
