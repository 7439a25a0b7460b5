"""Server lists and evacuations of three instances whose store returns from a copy."""

import hypothesis
import policy_fakes as fakes
import test_server_lists as lists
import test_servers as stand_ins
from hypothesis import strategies

from cassiaquay_daemon import platform, positions
from cassiaquay_daemon.decisions import withdrawals
from cassiaquay_schema import messages

NAMES = lists.NAMES
# Time within which servers and operators write again after a return.
REWRITE_SECONDS = 1.0


class Deployment:
    """A fleet and its store, which can be copied and return from the copy."""

    def __init__(self) -> None:
        self.fleet = lists._fleet("i-1", "i-2", "i-3")
        self.leaving: set[str] = set()
        self.gone: set[str] = set()
        self._copy = self._content()
        self._count = 3

    def _content(self) -> tuple[int, list[messages.ServerEntry]]:
        store = self.fleet.store
        return store.revision, list(store.entries)

    def copy(self) -> None:
        """Make a copy of the store."""
        self._copy = self._content()

    def restore(self) -> None:
        """Return from the copy."""
        store = self.fleet.store
        store.epoch += 1
        store.revision, entries = self._copy
        store.entries = list(entries)

    def rewrite(self) -> None:
        """Write the present state again, as servers do after a return."""
        for name in self.names():
            self.write(name, name in self.leaving)
        store = self.fleet.store
        store.entries = [item for item in store.entries if item.name not in self.gone]

    def names(self) -> list[str]:
        """Return the names of all servers that have not gone."""
        started = {f"i-{number}" for number in range(1, self._count + 1)}
        return sorted(started - self.gone)

    def write(self, name: str, leaving: bool) -> None:
        """Write a server's entry."""
        store = self.fleet.store
        store.revision += 1
        entry = stand_ins._entry(name, store.revision, leaving=leaving)
        store.entries = [item for item in store.entries if item.name != name]
        store.entries.append(entry)

    def start_server(self) -> None:
        """Start and register another server."""
        self._count += 1
        self.write(f"i-{self._count}", False)

    def drain(self) -> None:
        """Let the first ready server drain."""
        for name in self.names():
            if name not in self.leaving:
                self.leaving.add(name)
                self.write(name, True)
                return

    def remove(self) -> None:
        """Remove the entry of the first server."""
        for name in self.names()[:1]:
            self.gone.add(name)
            store = self.fleet.store
            store.revision += 1
            store.entries = [item for item in store.entries if item.name != name]

    def lapse(self) -> None:
        """Remove the entry of the last server, which lives on."""
        store = self.fleet.store
        if store.entries:
            store.revision += 1
            store.entries = store.entries[:-1]

    def exchange(self) -> None:
        """Let all instances read and exchange their lists."""
        for name in NAMES:
            self.fleet.read(name)
            self.fleet.deliver()
        for name in NAMES:
            self.fleet.send_heartbeats(name)
            self.fleet.deliver()


STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            [
                "read",
                "read",
                "beat",
                "deliver",
                "wait",
                "copy",
                "restore",
                "rewrite",
                "drain",
                "remove",
                "lapse",
                "start",
            ]
        ),
        strategies.sampled_from(NAMES),
    ),
    max_size=40,
)


def _apply_step(kind: str, name: str, deployment: Deployment, time: fakes.Time) -> None:
    fleet = deployment.fleet
    if kind == "read":
        fleet.read(name)
    elif kind == "beat":
        fleet.send_heartbeats(name)
    elif kind == "deliver":
        fleet.deliver(paused=name)
    elif kind == "wait":
        time.now += 0.4
    elif kind == "copy":
        deployment.copy()
    elif kind == "restore":
        deployment.restore()
    elif kind == "rewrite":
        deployment.rewrite()
    elif kind == "drain":
        deployment.drain()
    elif kind == "remove":
        deployment.remove()
    elif kind == "lapse":
        deployment.lapse()
    elif kind == "start":
        deployment.start_server()


@hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
@hypothesis.given(STEPS)
def test_lists_converge_and_no_known_departure_is_undone(steps) -> None:
    """Guards against requests to servers that left, and lists that stay old."""
    with fakes.Time().used() as time:
        deployment = Deployment()
        fleet = deployment.fleet
        used_before = {name: fleet.in_use(name) for name in NAMES}
        restored_at = time.now
        departed: dict[str, set[str]] = {name: set() for name in NAMES}
        for kind, name in steps:
            _apply_step(kind, name, deployment, time)
            if kind == "restore":
                restored_at = time.now
            # What a copy lists for longer than this is alive.
            is_certain = time.now < restored_at + withdrawals.REMOVAL_SECONDS
            left = deployment.leaving | deployment.gone
            for instance in NAMES:
                used = fleet.in_use(instance)
                again = used & departed[instance]
                assert not again & deployment.leaving
                assert not (again and is_certain)
                departed[instance] |= left & used_before[instance] - used
                used_before[instance] = used
        deployment.rewrite()
        for _ in range(7):
            time.now += REWRITE_SECONDS
            deployment.exchange()
        expected = set(deployment.names()) - deployment.leaving
        for instance in NAMES:
            assert fleet.in_use(instance) == expected
            assert fleet.lists[instance].age < REWRITE_SECONDS


def test_a_server_that_was_silent_before_a_return_is_used_again() -> None:
    """Guards against keeping a server out that registered again before the return."""
    with fakes.Time().used() as time:
        site = stand_ins.Site(stand_ins._entry("i-1", 5, sequence=3))
        site.read()
        site.store.entries = []
        time.now += 0.6
        site.read()
        assert not site.configured.names
        site.store.epoch = 1
        site.store.revision = 2
        site.store.entries = [stand_ins._entry("i-1", 2, sequence=3)]
        site.read()
        assert not site.configured.names
        site.store.entries = [stand_ins._entry("i-1", 3, sequence=9)]
        site.read()
        assert site.configured.names == {"i-1"}


def test_an_answer_of_a_former_epoch_changes_nothing() -> None:
    """Guards against a read that began before the return and ends after it."""
    with fakes.Time().used():
        site = stand_ins.Site(stand_ins._entry("i-1", 5))
        site.read()
        site.store.epoch = 1
        site.store.revision = 2
        site.texts.evacuated = platform.Evacuated(positions.Position(1, 2), ["a"])
        site.read()
        site.store.epoch = 0
        site.store.revision = 50
        site.store.entries = [stand_ins._entry("i-2", 49)]
        site.texts.evacuated = platform.Evacuated(positions.Position(0, 50), [])
        site.read()
        assert site.configured.names == {"i-1"}
        assert site.configured.evacuated == ["a"]


def test_a_short_absence_before_a_return_retains_servers() -> None:
    """Guards against dropping new servers when the store was away for a moment."""
    with fakes.Time().used() as time:
        site = stand_ins.Site(stand_ins._entry("i-1"), stand_ins._entry("i-2", 9))
        site.read()
        time.now += 0.5
        site.store.epoch = 1
        site.store.revision = 5
        site.store.entries.pop()
        site.read()
        assert site.configured.names == {"i-1", "i-2"}
        # A neighbour that has not seen the return yet.
        beat = messages.Heartbeat(
            1, 0, 0, [], [], 0, 99, 100, 7, servers_steady_ms=60_000
        )
        for call in site.members.heartbeat_callbacks:
            call(site.members.owners["cq-2"], beat)
        assert site.configured.names == {"i-1", "i-2"}
        time.now += 2.5
        site.read()
        assert site.configured.names == {"i-1"}


def test_an_evacuation_missing_from_a_copy_lasts_some_seconds() -> None:
    """Guards against an evacuation that ends, or never ends, with a return."""
    with fakes.Time().used() as time:
        site = stand_ins.Site(stand_ins._entry("i-1"))
        site.texts.evacuated = platform.Evacuated(positions.Position(0, 20), ["a"])
        site.read()
        site.store.epoch = 1
        site.store.revision = 5
        site.texts.evacuated = platform.Evacuated(positions.Position(1, 6), [])
        site.read()
        time.now += 4.0
        site.read()
        assert site.configured.evacuated == ["a"]
        time.now += 1.5
        site.read()
        assert site.configured.evacuated == []


def test_an_entry_that_stays_after_a_return_is_of_a_live_server() -> None:
    """Guards against refusing all servers whose entries had run out before."""
    with fakes.Time().used() as time:
        site = stand_ins.Site(stand_ins._entry("i-1", 5))
        site.read()
        entries, site.store.entries = site.store.entries, []
        time.now += 0.6
        site.read()
        site.store.epoch = 1
        site.store.revision = 2
        site.store.entries = entries
        site.read()
        assert not site.configured.names
        time.now += withdrawals.REMOVAL_SECONDS
        site.read()
        assert site.configured.names == {"i-1"}


def test_servers_retained_without_need_are_not_taken_for_gone() -> None:
    """Guards against refusing servers that were late to register after a return."""
    with fakes.Time().used() as time:
        site = stand_ins.Site(stand_ins._entry("i-1", 5))
        site.read()
        entries, site.store.entries = site.store.entries, []
        site.store.epoch = 1
        site.read()
        time.now += 3.0
        site.read()
        assert not site.configured.names
        site.store.epoch = 2
        site.store.entries = entries
        site.read()
        assert site.configured.names == {"i-1"}
