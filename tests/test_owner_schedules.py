"""Generated schedules of faults against one owner, with replayable seeds.

Hypothesis chooses what callers, keepers, servers and the clock do next; after each
step the promises are checked. The choice is fixed, so the verdict is the same in every
run; a failing schedule is printed as a program that can be run again.
"""

import asyncio

import hypothesis
import owner_fakes
import pytest
from hypothesis import stateful, strategies

from cassiaquay_daemon import clock, exceptions
from cassiaquay_daemon.owners import dispatching, entries, table, tombstones

TIERS = strategies.sampled_from(["urgent", "standard", "background"])
SERVICES = strategies.sampled_from(["tutor", "finishing", "bookings"])
ENDS = strategies.sampled_from(["complete", "cut", "rejected", "declined"])
# Shorter than the grace time, longer than it, longer than the token and all that is
# kept after it; each also stands for a pause of the process.
PAUSES = strategies.sampled_from([0.5, 3.0, 30.0, 70.0, 200.0])
MOST_WAITING = 3


class Schedule(stateful.RuleBasedStateMachine):
    """One owner under an arbitrary order of events."""

    def __init__(self) -> None:
        super().__init__()
        self.real = clock.now
        self.offset = 0.0
        clock.now = lambda: self.real() + self.offset
        self.loop = asyncio.new_event_loop()
        self.run(self._start())

    def run(self, work):
        return self.loop.run_until_complete(self._settled(work))

    async def _settled(self, work):
        found = await work
        for _ in range(30):
            await asyncio.sleep(0)
        return found

    async def _start(self) -> None:
        self.bench = owner_fakes.Bench(max_waiting=MOST_WAITING, max_closed=6)
        self.bench.servers.script = [self._serve]
        self.names = []
        self.bodies = {}
        self.read = []
        self.gates = []
        self.unwanted: list[str] = []
        self.not_run: set[str] = set()

    async def _serve(self, answer) -> None:
        gate = self.loop.create_future()
        key = self.bench.servers.seen[-1]
        self.gates.append(gate)
        entry = self.bench.owner.table[key.rpartition("~")[0]]
        if not entry.readers or clock.now() >= entry.deadline:
            self.unwanted.append(key)
        try:
            end = await gate
        finally:
            if gate in self.gates:
                self.gates.remove(gate)
        if end == "declined":
            # A server that declines does not run the request.
            self.bench.servers.seen.remove(key)
            raise exceptions.Declined(key)
        answer.append(key.encode())
        if end == "cut":
            raise exceptions.StreamCut(key)
        if end == "rejected":
            raise exceptions.Rejected(key)

    async def _submit(self, name) -> None:
        try:
            entry = self.bench.submit(name, **self.bodies[name])
            self.read.append(entry)
        except exceptions.Refusal as refusal:
            self._told(name, refusal.outcome)

    def _told(self, name, outcome: str) -> None:
        if outcome == "not_run":
            self.not_run.add(name.text)

    @stateful.rule(tier=TIERS, service=SERVICES)
    def send(self, tier, service) -> None:
        name = self.bench.new_id()
        self.names.append(name)
        self.bodies[name] = {"tier": tier, "service": service}
        self.run(self._submit(name))

    @stateful.rule()
    def hold_back(self) -> None:
        name = self.bench.new_id()
        self.names.append(name)
        self.bodies[name] = {}

    @stateful.precondition(lambda self: self.names)
    @stateful.rule(data=strategies.data())
    def copy(self, data) -> None:
        self.run(self._submit(data.draw(strategies.sampled_from(self.names))))

    @stateful.precondition(lambda self: self.names)
    @stateful.rule(data=strategies.data())
    def cancel(self, data) -> None:
        name = data.draw(strategies.sampled_from(self.names))

        async def work() -> None:
            try:
                told = await self.bench.owner.cancel(name, "questions")
            except exceptions.Refusal as refusal:
                self._told(name, refusal.outcome)
            else:
                self._told(name, told.outcome)

        self.run(work())

    @stateful.precondition(lambda self: self.names)
    @stateful.rule(data=strategies.data())
    def acknowledge(self, data) -> None:
        name = data.draw(strategies.sampled_from(self.names))

        async def work() -> None:
            try:
                self.bench.owner.acknowledge(name, "questions")
            except exceptions.Refusal as refusal:
                self._told(name, refusal.outcome)

        self.run(work())

    @stateful.precondition(lambda self: self.read)
    @stateful.rule(data=strategies.data(), delivered=strategies.booleans())
    def hang_up(self, data, delivered) -> None:
        entry = data.draw(strategies.sampled_from(self.read))
        self.read.remove(entry)

        async def work() -> None:
            self.bench.owner.detach(entry, delivered and entry.ended)

        self.run(work())

    @stateful.precondition(lambda self: self.gates)
    @stateful.rule(data=strategies.data(), end=ENDS)
    def end(self, data, end) -> None:
        gate = data.draw(strategies.sampled_from(list(self.gates)))

        async def work() -> None:
            if not gate.done():
                gate.set_result(end)

        self.run(work())

    @stateful.rule(is_open=strategies.booleans())
    def keep(self, is_open) -> None:
        keepers = self.bench.keepers

        async def work() -> None:
            keepers.open = is_open
            if is_open:
                keepers.changed.set()
                keepers.changed = asyncio.Event()

        self.run(work())

    @stateful.rule(is_slow=strategies.booleans())
    def connect(self, is_slow) -> None:
        servers = self.bench.servers

        async def work() -> None:
            if servers.connecting is not None:
                servers.connecting.set()
            servers.connecting = asyncio.Event() if is_slow else None

        self.run(work())

    @stateful.rule(seconds=PAUSES)
    def pass_time(self, seconds) -> None:
        self.offset += seconds

    @stateful.rule()
    def sweep(self) -> None:

        async def work() -> None:
            self.bench.owner.sweep_once()

        self.run(work())

    @stateful.invariant()
    def nothing_is_dispatched_twice(self) -> None:
        seen = self.bench.servers.seen
        assert len(seen) == len(set(seen))

    @stateful.invariant()
    def nothing_is_dispatched_for_nobody(self) -> None:
        assert not self.unwanted

    @stateful.invariant()
    def not_run_did_not_run(self) -> None:
        for entry in self.bench.owner.table.values():
            if entry.status.outcome == "not_run":
                self.not_run.add(entry.accepted.id.text)
        ran = {key.rpartition("~")[0] for key in self.bench.servers.seen}
        assert not ran & self.not_run
        for name in self.names:
            if name.text not in self.not_run:
                continue
            try:
                told = self.bench.owner.outcome(name, "questions")
            except exceptions.TokenExpired:
                continue
            assert told.outcome == "not_run"

    @stateful.invariant()
    def answers_are_their_own(self) -> None:
        for entry in self.bench.owner.table.values():
            chunk, _ = entry.answer.chunk(0)
            for line in chunk.splitlines():
                if line.startswith(b"data: "):
                    assert line == b"data: " + entry.accepted.call.key.encode()

    @stateful.invariant()
    def bounds_hold(self) -> None:
        assert self.bench.owner.request_table.waiting_count <= MOST_WAITING
        assert len(self.bench.owner.request_table.closed) <= 6
        waiting = [
            entry
            for entry in self.bench.owner.table.values()
            if entry.state is entries.State.WAITING
        ]
        assert len(waiting) == self.bench.owner.request_table.waiting_count

    def teardown(self) -> None:
        clock.now = self.real
        tasks = asyncio.all_tasks(self.loop)

        async def stop() -> None:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        self.loop.run_until_complete(stop())
        self.loop.close()


REPEATABLE = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    stateful_step_count=40,
    print_blob=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)
FIND_ONLY = hypothesis.settings(
    REPEATABLE, phases=[hypothesis.Phase.generate], max_examples=300
)


def _nothing(*_: object) -> None:
    return None


MUTANTS = {
    "closed ids are forgotten": (table.Table, "close_id"),
    "an owner sends without a last look": (
        dispatching.Dispatcher,
        "_check_before_sending",
    ),
    "a dispatch is not noted": (table.Table, "dispatched"),
    "closed ids are not looked up": (tombstones.Tombstones, "find"),
}


def test_no_schedule_breaks_a_promise():
    stateful.run_state_machine_as_test(Schedule, settings=REPEATABLE)


@pytest.mark.parametrize("name", MUTANTS)
def test_schedules_find_an_owner_that_lacks_a_rule(monkeypatch, name):
    """Some schedule breaks a promise when one of the owner's rules is taken out."""
    kind, method = MUTANTS[name]
    monkeypatch.setattr(kind, method, _nothing)
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(Schedule, settings=FIND_ONLY)
