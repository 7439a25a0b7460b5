"""Exchange of server lists between instances: retained servers are never sent."""

import asyncio

import hypothesis
import mesh_fakes
import policy_fakes as fakes
import test_servers as stand_ins
from hypothesis import strategies

from cassiaquay_daemon import clock
from cassiaquay_daemon.fleet import servers
from cassiaquay_dev.lab import virtual_time
from cassiaquay_schema import messages

NAMES = mesh_fakes.NAMES


class Fleet(mesh_fakes.Mesh):
    """Several instances that share one store."""

    def __init__(self, *entries: messages.ServerEntry):
        super().__init__()
        self.store = stand_ins.Store(*entries)
        self.texts = stand_ins.Texts()
        self.lists: dict[str, servers.Servers] = {}
        self.configured: dict[str, stand_ins.Configured] = {}
        for name in NAMES:
            self.configured[name] = stand_ins.Configured()
            self.lists[name] = servers.Servers(
                fakes.settings(name),
                self.wires[name],
                self.members[name],
                self.configured[name],
                self.store,
                self.texts,
            )

    def in_use(self, name: str) -> set[str]:
        """Return the servers that an instance uses."""
        return self.configured[name].names

    def read(self, name: str) -> bool:
        """Make an instance read the store."""
        return asyncio.run(self.lists[name].read_once())

    def send_heartbeats(self, sender: str) -> None:
        """Queue the heartbeats of an instance."""
        state = self.lists[sender].state
        self.send_heartbeat(
            sender,
            messages.Heartbeat(
                1,
                0,
                0,
                [],
                [],
                0,
                state.position.revision,
                state.age_ms,
                state.digest,
                servers_steady_ms=state.steady_ms,
                servers_epoch=state.position.epoch,
            ),
        )


def _fleet(*names: str) -> Fleet:
    fleet = Fleet(*[stand_ins._entry(name) for name in names])
    for name in NAMES:
        fleet.read(name)
    fleet.deliver()
    return fleet


def _outage(time: fakes.Time, fleet: Fleet, seconds: float) -> None:
    """Make the store unavailable for some seconds, and all instances' reads fail."""
    fleet.store.down = True
    time.now += seconds
    for name in NAMES:
        assert not fleet.read(name)
    fleet.store.down = False


def _remove(fleet: Fleet, server: str) -> None:
    left = [entry for entry in fleet.store.entries if entry.name != server]
    fleet.store.entries = left


def test_a_removed_server_is_not_restored_by_an_instance_after_a_pause() -> None:
    """Guards against spreading a server that only the reading instance still lists."""
    with fakes.Time().used() as time:
        fleet = _fleet("i-1", "i-2")
        for _ in range(5):
            time.now += 1.0
            fleet.read("cq-1")
            fleet.send_heartbeats("cq-1")
            fleet.deliver(paused="cq-3")
        fleet.read("cq-3")
        fleet.deliver()
        _remove(fleet, "i-2")
        time.now += 0.5
        fleet.read("cq-1")
        fleet.deliver()
        assert fleet.in_use("cq-1") == {"i-1"}
        fleet.store.entries.append(stand_ins._entry("i-3", 20))
        time.now += 0.5
        fleet.read("cq-3")
        fleet.deliver()
        for name in NAMES[:2]:
            assert fleet.in_use(name) == {"i-1", "i-3"}


def test_a_local_pause_is_not_an_outage_of_the_platform() -> None:
    """Guards against retaining a removed server because this process was paused."""
    with fakes.Time().used() as time:
        fleet = _fleet("i-1", "i-2")
        time.now += 5.0
        _remove(fleet, "i-2")
        fleet.read("cq-3")
        assert fleet.in_use("cq-3") == {"i-1"}


def test_retained_servers_are_not_sent_to_other_instances() -> None:
    """Guards against retaining a removed server on one instance after another."""
    with fakes.Time().used() as time:
        fleet = _fleet("i-1", "i-2")
        _outage(time, fleet, 5.0)
        _remove(fleet, "i-2")
        fleet.read("cq-1")
        time.now += 1.5
        fleet.read("cq-1")
        # cq-3 detects the platform's return later than cq-1 and retains i-2 for longer.
        fleet.read("cq-3")
        fleet.deliver()
        time.now += 1.0
        fleet.read("cq-1")
        assert fleet.in_use("cq-1") == {"i-1"}
        fleet.store.entries.append(stand_ins._entry("i-3", 20))
        fleet.read("cq-3")
        fleet.deliver()
        assert fleet.in_use("cq-1") == {"i-1", "i-3"}


def test_a_retained_server_is_dropped_on_confirmation_by_heartbeats() -> None:
    """Guards against never dropping a server on instances that do not read."""
    with fakes.Time().used() as time:
        fleet = _fleet("i-1", "i-2")
        _outage(time, fleet, 5.0)
        _remove(fleet, "i-2")
        fleet.read("cq-1")
        fleet.deliver()
        assert fleet.in_use("cq-3") == {"i-1", "i-2"}
        for _ in range(5):
            time.now += 0.5
            fleet.read("cq-1")
            fleet.send_heartbeats("cq-1")
            fleet.deliver()
        assert fleet.in_use("cq-3") == {"i-1"}


def _isolate(time: fakes.Time, fleet: Fleet) -> None:
    """Isolate cq-3 from all instances and from the store for 5 s."""
    for _ in range(10):
        time.now += 0.5
        fleet.store.down = True
        assert not fleet.read("cq-3")
        fleet.store.down = False
        fleet.read("cq-1")
        fleet.send_heartbeats("cq-1")
        fleet.deliver(paused="cq-3")
    fleet.queue.clear()


def test_an_isolated_instance_adopts_the_list_of_connected_ones() -> None:
    """Guards against retaining a server that left while this instance was cut off."""
    with fakes.Time().used() as time:
        fleet = _fleet("i-1", "i-2")
        _isolate(time, fleet)
        _remove(fleet, "i-2")
        fleet.read("cq-1")
        fleet.read("cq-3")
        assert fleet.in_use("cq-3") == {"i-1", "i-2"}
        fleet.send_heartbeats("cq-1")
        fleet.deliver()
        assert fleet.in_use("cq-3") == {"i-1"}


def test_a_heartbeat_from_before_an_outage_does_not_end_retention() -> None:
    """Guards against dropping servers because of a heartbeat from before the outage."""
    with fakes.Time().used() as time:
        fleet = _fleet("i-1", "i-2")
        time.now += 1.0
        fleet.read("cq-1")
        _outage(time, fleet, 4.0)
        _remove(fleet, "i-2")
        fleet.read("cq-3")
        fleet.send_heartbeats("cq-1")
        fleet.deliver()
        assert fleet.in_use("cq-3") == {"i-1", "i-2"}
        assert fleet.in_use("cq-1") == {"i-1", "i-2"}


def test_the_list_is_read_as_soon_as_retention_ends() -> None:
    """Guards against sending requests to a server that left until the list is stale."""

    async def dropped_after() -> float:
        fleet = Fleet(stand_ins._entry("i-1"), stand_ins._entry("i-2"))
        known = fleet.lists["cq-1"]
        known._rank_among = lambda _: 0
        await known.read_once()
        fleet.store.down = True
        reading = asyncio.create_task(known.read())
        await asyncio.sleep(5.0)
        _remove(fleet, "i-2")
        fleet.store.down = False
        returned_at = clock.now()
        while "i-2" in fleet.in_use("cq-1"):
            await asyncio.sleep(0.01)
        reading.cancel()
        return clock.now() - returned_at

    assert 2.0 < virtual_time.run(dropped_after()) < 2.6


STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            [
                "read",
                "read",
                "beat",
                "deliver",
                "wait",
                "sleep",
                "leave",
                "come",
                "away",
            ]
        ),
        strategies.sampled_from(NAMES),
    ),
    max_size=40,
)


def _apply_step(
    kind: str, name: str, fleet: Fleet, time: fakes.Time, served: dict[int, set[str]]
) -> None:
    store = fleet.store
    if kind == "read":
        fleet.read(name)
    elif kind == "beat":
        fleet.send_heartbeats(name)
    elif kind == "deliver":
        fleet.deliver(paused=name)
    elif kind == "wait":
        time.now += 0.8
    elif kind == "sleep":
        time.now += 3.0
    elif kind == "leave" and store.entries:
        store.entries = store.entries[1:]
    elif kind == "come":
        number = len(served) + 10
        store.entries = [*store.entries, stand_ins._entry(f"i-{number}", number)]
    elif kind == "away":
        _outage(time, fleet, 3.0)
    served[store.revision + 1] = {entry.name for entry in store.entries}


@hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
@hypothesis.given(STEPS)
def test_servers_come_into_use_only_through_a_list_of_the_platform(steps) -> None:
    """Guards against bringing back servers that an instance had only retained."""
    with fakes.Time().used() as time:
        fleet = _fleet("i-1", "i-2", "i-3")
        served = {fleet.store.revision + 1: fleet.in_use("cq-1")}
        for number in range(fleet.store.revision + 1):
            served[number] = fleet.in_use("cq-1")
        before = {name: fleet.in_use(name) for name in NAMES}
        for kind, name in steps:
            _apply_step(kind, name, fleet, time, served)
            for instance in NAMES:
                added = fleet.in_use(instance) - before[instance]
                assert added <= served[fleet.lists[instance].position.revision]
                before[instance] = fleet.in_use(instance)
