"""Generated schedules of faults against one owner, with reproducible results.

Hypothesis chooses the next action of callers, keepers, servers and the clock; after
each step the owner's guarantees are checked. The choices are derandomized, so every run
gives the same result; a failing schedule is printed as a program that reproduces it.
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
# Shorter than the disconnect grace, longer than it, and longer than the lifetime of a
# token and of entries and closed ids; each also models a pause of the process.
PAUSES = strategies.sampled_from([0.5, 3.0, 30.0, 70.0, 200.0])
MAX_WAITING = 3


class Schedule(stateful.RuleBasedStateMachine):
    """One owner and an arbitrary order of events."""

    def __init__(self) -> None:
        super().__init__()
        self.real_now = clock.now
        self.offset = 0.0
        clock.now = lambda: self.real_now() + self.offset
        self.loop = asyncio.new_event_loop()
        self.run(self._start())

    def run(self, work):
        return self.loop.run_until_complete(self._run_pending(work))

    async def _run_pending(self, work):
        result = await work
        for _ in range(30):
            await asyncio.sleep(0)
        return result

    async def _start(self) -> None:
        self.bench = owner_fakes.Bench(max_waiting=MAX_WAITING, max_closed=6)
        self.bench.servers.script = [self._serve]
        self.request_ids = []
        self.bodies = {}
        self.attached_entries = []
        self.unfinished = []
        self.dispatched_without_caller: list[str] = []
        self.not_run: set[str] = set()

    async def _serve(self, answer) -> None:
        finish = self.loop.create_future()
        key = self.bench.servers.seen[-1]
        self.unfinished.append(finish)
        entry = self.bench.owner.table[key.rpartition("~")[0]]
        if not entry.readers or clock.now() >= entry.deadline:
            self.dispatched_without_caller.append(key)
        try:
            end = await finish
        finally:
            if finish in self.unfinished:
                self.unfinished.remove(finish)
        if end == "declined":
            # A server that declines a request does not run it.
            self.bench.servers.seen.remove(key)
            raise exceptions.Declined(key)
        answer.append(key.encode())
        if end == "cut":
            raise exceptions.StreamInterrupted(key)
        if end == "rejected":
            raise exceptions.Rejected(key)

    async def _submit(self, request_id) -> None:
        try:
            entry = self.bench.submit(request_id, **self.bodies[request_id])
            self.attached_entries.append(entry)
        except exceptions.Refusal as refusal:
            self._record_outcome(request_id, refusal.outcome)

    def _record_outcome(self, request_id, outcome: str) -> None:
        if outcome == "not_run":
            self.not_run.add(request_id.text)

    @stateful.rule(tier=TIERS, service=SERVICES)
    def send(self, tier, service) -> None:
        request_id = self.bench.new_id()
        self.request_ids.append(request_id)
        self.bodies[request_id] = {"tier": tier, "service": service}
        self.run(self._submit(request_id))

    @stateful.rule()
    def reserve_id(self) -> None:
        request_id = self.bench.new_id()
        self.request_ids.append(request_id)
        self.bodies[request_id] = {}

    @stateful.precondition(lambda self: self.request_ids)
    @stateful.rule(data=strategies.data())
    def copy(self, data) -> None:
        self.run(self._submit(data.draw(strategies.sampled_from(self.request_ids))))

    @stateful.precondition(lambda self: self.request_ids)
    @stateful.rule(data=strategies.data())
    def cancel(self, data) -> None:
        request_id = data.draw(strategies.sampled_from(self.request_ids))

        async def work() -> None:
            try:
                status = await self.bench.owner.cancel(request_id, "questions")
            except exceptions.Refusal as refusal:
                self._record_outcome(request_id, refusal.outcome)
            else:
                self._record_outcome(request_id, status.outcome)

        self.run(work())

    @stateful.precondition(lambda self: self.request_ids)
    @stateful.rule(data=strategies.data())
    def acknowledge(self, data) -> None:
        request_id = data.draw(strategies.sampled_from(self.request_ids))

        async def work() -> None:
            try:
                self.bench.owner.acknowledge(request_id, "questions")
            except exceptions.Refusal as refusal:
                self._record_outcome(request_id, refusal.outcome)

        self.run(work())

    @stateful.precondition(lambda self: self.attached_entries)
    @stateful.rule(data=strategies.data(), delivered=strategies.booleans())
    def disconnect(self, data, delivered) -> None:
        entry = data.draw(strategies.sampled_from(self.attached_entries))
        self.attached_entries.remove(entry)

        async def work() -> None:
            self.bench.owner.detach(entry, delivered and entry.ended)

        self.run(work())

    @stateful.precondition(lambda self: self.unfinished)
    @stateful.rule(data=strategies.data(), end=ENDS)
    def end(self, data, end) -> None:
        finish = data.draw(strategies.sampled_from(list(self.unfinished)))

        async def work() -> None:
            if not finish.done():
                finish.set_result(end)

        self.run(work())

    @stateful.rule(is_open=strategies.booleans())
    def switch_keepers(self, is_open) -> None:
        keepers = self.bench.keepers

        async def work() -> None:
            keepers.open = is_open
            if is_open:
                keepers.changed.set()
                keepers.changed = asyncio.Event()

        self.run(work())

    @stateful.rule(is_slow=strategies.booleans())
    def switch_connecting(self, is_slow) -> None:
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
    def no_request_is_dispatched_twice(self) -> None:
        seen = self.bench.servers.seen
        assert len(seen) == len(set(seen))

    @stateful.invariant()
    def no_request_is_dispatched_without_a_caller(self) -> None:
        assert not self.dispatched_without_caller

    @stateful.invariant()
    def requests_reported_as_not_run_did_not_run(self) -> None:
        for entry in self.bench.owner.table.values():
            if entry.status.outcome == "not_run":
                self.not_run.add(entry.accepted.id.text)
        ran = {key.rpartition("~")[0] for key in self.bench.servers.seen}
        assert not ran & self.not_run
        for request_id in self.request_ids:
            if request_id.text not in self.not_run:
                continue
            try:
                status = self.bench.owner.outcome(request_id, "questions")
            except exceptions.TokenExpired:
                continue
            assert status.outcome == "not_run"

    @stateful.invariant()
    def answers_belong_to_their_request(self) -> None:
        for entry in self.bench.owner.table.values():
            chunk, _ = entry.answer.chunk(0)
            for line in chunk.splitlines():
                if line.startswith(b"data: "):
                    assert line == b"data: " + entry.accepted.call.key.encode()

    @stateful.invariant()
    def table_stays_within_its_bounds(self) -> None:
        assert self.bench.owner.request_table.waiting_count <= MAX_WAITING
        assert len(self.bench.owner.request_table.closed) <= 6
        waiting = [
            entry
            for entry in self.bench.owner.table.values()
            if entry.state is entries.State.WAITING
        ]
        assert len(waiting) == self.bench.owner.request_table.waiting_count

    def teardown(self) -> None:
        clock.now = self.real_now
        tasks = asyncio.all_tasks(self.loop)

        async def stop() -> None:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        self.loop.run_until_complete(stop())
        self.loop.close()


DERANDOMIZED = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    stateful_step_count=40,
    print_blob=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)
GENERATE_ONLY = hypothesis.settings(
    DERANDOMIZED, phases=[hypothesis.Phase.generate], max_examples=300
)


def _do_nothing(*_: object) -> None:
    return None


MUTANTS = {
    "closed ids are not kept": (table.Table, "close_id"),
    "an owner sends without a final check": (
        dispatching.Dispatcher,
        "_check_before_sending",
    ),
    "a dispatch is not recorded": (table.Table, "dispatched"),
    "closed ids are not looked up": (tombstones.Tombstones, "find"),
}


def test_no_schedule_violates_a_guarantee_of_the_owner():
    stateful.run_state_machine_as_test(Schedule, settings=DERANDOMIZED)


@pytest.mark.parametrize("rule", MUTANTS)
def test_schedules_detect_an_owner_without_one_of_its_rules(monkeypatch, rule):
    """Some schedule violates a guarantee when one of the owner's rules is disabled."""
    kind, method = MUTANTS[rule]
    monkeypatch.setattr(kind, method, _do_nothing)
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(Schedule, settings=GENERATE_ONLY)
