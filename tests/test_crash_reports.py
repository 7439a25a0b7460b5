"""The exchange of crash reports between instances."""

import hypothesis
import mesh_fakes
import msgspec
import policy_fakes as fakes
from hypothesis import strategies

from cassiaquay_daemon.decisions import quarantine
from cassiaquay_daemon.fleet import crash_reports, replication
from cassiaquay_schema import messages

NAMES = mesh_fakes.NAMES


class Fleet(mesh_fakes.Mesh):
    """Instances that exchange crash reports."""

    def __init__(self) -> None:
        super().__init__()
        self.held: dict[str, quarantine.Quarantine] = {}
        self.reports: dict[str, crash_reports.CrashReports] = {}
        # Batches of reports that instances are about to send.
        self.flushes: list[crash_reports.Flush] = []
        for name in NAMES:
            self.start(name)

    def start(self, name: str) -> None:
        """Start an instance with an empty quarantine."""
        settings = fakes.settings(name)
        gateway = msgspec.structs.replace(settings.gateway, quarantine_seconds=900.0)
        settings = msgspec.structs.replace(settings, gateway=gateway)
        self.members[name].heartbeat_callbacks.clear()
        self.held[name] = quarantine.Quarantine(settings)
        self.reports[name] = crash_reports.CrashReports(
            self.held[name],
            self.wires[name],
            self.members[name],
            settings,
            self.flushes.append,
        )

    def deliver(self, paused: str = "") -> None:
        """Send all batches and deliver all messages until there are none."""
        while self.flushes or (self.queue and not paused):
            while self.flushes:
                self.flushes.pop(0)()
            super().deliver(paused)

    def send_heartbeats(self) -> None:
        """Send the heartbeats of all instances and deliver all messages."""
        for name in NAMES:
            digest = self.held[name].digest
            beat = messages.Heartbeat(1, 0, 0, [], [], 0, crashes_digest=digest)
            self.send_heartbeat(name, beat)
        self.deliver()


def _crash(fleet: Fleet) -> None:
    for number, name in enumerate(NAMES):
        fleet.reports[name].crashed("poison", f"i-{number}/1")


def test_crashes_on_several_instances_quarantine_a_request_on_all() -> None:
    """Guards against instances that count only the crashes they observed locally."""
    with fakes.Time().used():
        fleet = Fleet()
        _crash(fleet)
        fleet.deliver()
        for name in NAMES:
            assert fleet.reports[name].holds("poison")
        assert not fleet.queue, "each report is forwarded once"


def test_a_completion_anywhere_releases_a_request_everywhere() -> None:
    """Guards against a request that some instances serve and others refuse."""
    with fakes.Time().used():
        fleet = Fleet()
        _crash(fleet)
        fleet.deliver()
        fleet.reports["cq-2"].completed("poison")
        fleet.deliver()
        for name in NAMES:
            assert not fleet.reports[name].holds("poison")


def test_a_restarted_instance_gets_the_table_after_its_first_heartbeat() -> None:
    """Guards against a restarted instance that dispatches a quarantined request."""
    with fakes.Time().used():
        fleet = Fleet()
        _crash(fleet)
        fleet.deliver()
        fleet.start("cq-3")
        assert not fleet.reports["cq-3"].holds("poison")
        fleet.send_heartbeats()
        assert fleet.reports["cq-3"].holds("poison")


def test_reports_of_one_crash_are_sent_together() -> None:
    """Guards against one message to each neighbour for each request of a server."""
    with fakes.Time().used():
        fleet = Fleet()
        for number in range(20):
            fleet.reports["cq-1"].crashed(f"request-{number}", "i-1/1")
        while fleet.flushes:
            fleet.flushes.pop(0)()
        assert len(fleet.queue) == len(NAMES) - 1
        fleet.deliver()
        for name in NAMES:
            assert fleet.held[name].suspect_count == 20


def test_reports_of_one_crash_may_exceed_the_quarantine() -> None:
    """Guards against a crash of many servers at once that stops all reports."""
    with fakes.Time().used() as time:
        fleet = Fleet()
        for number in range(quarantine.MAX_SUSPECTS + 10):
            time.now += 0.001
            fleet.reports["cq-1"].crashed(f"request-{number}", "i-1/1")
        fleet.deliver()
        for name in NAMES:
            assert fleet.held[name].suspect_count == quarantine.MAX_SUSPECTS


def test_report_changed_by_its_receiver_goes_back_to_its_sender() -> None:
    """Guards against a batch that leaves out the instance that needs it."""
    with fakes.Time().used():
        fleet = Fleet()
        fleet.reports["cq-2"].crashed("poison", "i-2/1")
        fleet.reports["cq-1"].crashed("poison", "i-1/1")
        fleet.flushes.pop()()
        # The report of cq-1 arrives while that of cq-2 waits to be sent.
        super(Fleet, fleet).deliver()
        fleet.deliver()
        crashed = {frozenset(fleet.held[n].report("poison").servers) for n in NAMES}
        assert crashed == {frozenset({"i-1/1", "i-2/1"})}


STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["crash", "lose", "restart", "deliver", "wait"]),
        strategies.sampled_from(NAMES),
    ),
    max_size=20,
)


@hypothesis.settings(max_examples=150, deadline=None, derandomize=True)
@hypothesis.given(STEPS)
def test_heartbeats_bring_all_instances_to_the_same_knowledge(steps) -> None:
    """Guards against tables that differ after lost messages, restarts or pauses."""
    with fakes.Time().used() as time:
        fleet = Fleet()
        ended = 0
        for kind, name in steps:
            if kind == "crash":
                ended += 1
                fleet.reports[name].crashed("poison", f"i-{ended}/1")
            elif kind == "lose":
                fleet.queue.clear()
            elif kind == "restart":
                fleet.start(name)
            elif kind == "deliver":
                fleet.deliver(paused=name)
            else:
                time.now += 0.3
        for _ in range(3):
            time.now += replication.RESEND_INTERVAL_SECONDS
            fleet.send_heartbeats()
        digests = {fleet.held[name].digest for name in NAMES}
        assert len(digests) == 1
        assert len({fleet.reports[name].holds("poison") for name in NAMES}) == 1
