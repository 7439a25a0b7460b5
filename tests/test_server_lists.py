"""Lists of backend servers between instances: what one keeps stays its own."""

import asyncio
import collections

import policy_fakes as fakes
import test_servers as stand_ins

from cassiaquay_daemon import clock
from cassiaquay_daemon.fleet import servers
from cassiaquay_dev.lab import virtual_time
from cassiaquay_schema import messages

NAMES = ("cq-1", "cq-2", "cq-3")


class Wire(fakes.Links):
    """An instance's links to all others: a message waits until it is delivered."""

    def __init__(self, fleet: "Fleet", name: str):
        super().__init__()
        self._fleet = fleet
        self._name = name

    def link(self, instance: str, address: str) -> "End":
        """Return the link to an instance."""
        return End(self._fleet, self._name, instance)


class End:
    """One end of a link, at the instance that sends."""

    def __init__(self, fleet: "Fleet", sender: str, instance: str):
        self.instance = instance
        self._fleet = fleet
        self._sender = sender

    def send(self, message: messages.Message) -> bool:
        """Queue a message."""
        self._fleet.queue.append((self._sender, self.instance, message))
        return True


class Members(stand_ins.Members):
    """All instances are neighbours."""

    def __init__(self, own: str):
        super().__init__(*NAMES)
        self._own = own

    def neighbours(self) -> dict[str, str]:
        """Return the others."""
        return {name: "h:1" for name in self.owners if name != self._own}


class Fleet:
    """Instances before one store."""

    def __init__(self, *entries: messages.ServerEntry):
        self.queue: collections.deque = collections.deque()
        self.store = stand_ins.Store(*entries)
        self.texts = stand_ins.Texts()
        self.lists: dict[str, servers.Servers] = {}
        self.configured: dict[str, stand_ins.Configured] = {}
        self._members: dict[str, Members] = {}
        self._wires: dict[str, Wire] = {}
        for name in NAMES:
            self._members[name] = Members(name)
            self._wires[name] = Wire(self, name)
            self.configured[name] = stand_ins.Configured()
            self.lists[name] = servers.Servers(
                fakes.settings(name),
                self._wires[name],
                self._members[name],
                self.configured[name],
                self.store,
                self.texts,
            )

    def in_use(self, name: str) -> set[str]:
        """Return the servers that an instance uses."""
        return self.configured[name].names

    def read(self, name: str) -> bool:
        """Let an instance read the store."""
        return asyncio.run(self.lists[name].read_once())

    def beat(self, sender: str) -> None:
        """Let an instance send its heartbeats."""
        state = self.lists[sender].state
        beat = messages.Heartbeat(
            1, 0, 0, [], [], 0, *state[:3], servers_steady_ms=state.steady_ms
        )
        for name in NAMES:
            if name != sender:
                self.queue.append((sender, name, beat))

    def deliver(self, asleep: str = "") -> None:
        """Deliver all that is under way, and what is sent in answer.

        What is sent to the instance ``asleep`` waits.
        """
        waiting = []
        while self.queue:
            sender, receiver, message = self.queue.popleft()
            if receiver == asleep:
                waiting.append((sender, receiver, message))
                continue
            link = End(self, receiver, sender)
            if isinstance(message, messages.Heartbeat):
                for call in self._members[receiver].heard:
                    call(link, message)
                continue
            self._wires[receiver].handlers[type(message)](link, message)
        self.queue.extend(waiting)


def _fleet(*names: str) -> Fleet:
    fleet = Fleet(*[stand_ins._entry(name) for name in names])
    for name in NAMES:
        fleet.read(name)
    fleet.deliver()
    return fleet


def _remove(fleet: Fleet, server: str) -> None:
    left = [entry for entry in fleet.store.entries if entry.name != server]
    fleet.store.entries = left


def test_a_removed_server_does_not_come_back_from_an_instance_that_woke() -> None:
    """Guards against a list that puts back what its reader alone still keeps."""
    with fakes.Time().used() as time:
        fleet = _fleet("i-1", "i-2")
        for _ in range(5):
            time.now += 1.0
            fleet.read("cq-1")
            fleet.beat("cq-1")
            fleet.deliver(asleep="cq-3")
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


def test_an_own_absence_is_no_outage_of_the_platform() -> None:
    """Guards against keeping a removed server since this process has slept."""
    with fakes.Time().used() as time:
        fleet = _fleet("i-1", "i-2")
        time.now += 5.0
        _remove(fleet, "i-2")
        fleet.read("cq-3")
        assert fleet.in_use("cq-3") == {"i-1"}


def test_what_one_instance_keeps_after_an_outage_is_not_sent_to_others() -> None:
    """Guards against a server that is kept anew by each instance in turn."""
    with fakes.Time().used() as time:
        fleet = _fleet("i-1", "i-2")
        fleet.store.down = True
        time.now += 5.0
        for name in NAMES:
            assert not fleet.read(name)
        fleet.store.down = False
        _remove(fleet, "i-2")
        fleet.read("cq-1")
        time.now += 1.5
        fleet.read("cq-1")
        # cq-3 reads the platform's return later than cq-1, and keeps i-2 for longer.
        fleet.read("cq-3")
        fleet.deliver()
        time.now += 1.0
        fleet.read("cq-1")
        assert fleet.in_use("cq-1") == {"i-1"}
        fleet.store.entries.append(stand_ins._entry("i-3", 20))
        fleet.read("cq-3")
        fleet.deliver()
        assert fleet.in_use("cq-1") == {"i-1", "i-3"}


def test_a_kept_server_is_dropped_where_only_heartbeats_confirm_the_list() -> None:
    """Guards against a server that is kept for ever by whoever reads no list itself."""
    with fakes.Time().used() as time:
        fleet = _fleet("i-1", "i-2")
        fleet.store.down = True
        time.now += 5.0
        for name in NAMES:
            assert not fleet.read(name)
        fleet.store.down = False
        _remove(fleet, "i-2")
        fleet.read("cq-1")
        fleet.deliver()
        assert fleet.in_use("cq-3") == {"i-1", "i-2"}
        for _ in range(5):
            time.now += 0.5
            fleet.read("cq-1")
            fleet.beat("cq-1")
            fleet.deliver()
        assert fleet.in_use("cq-3") == {"i-1"}


def _cut_off(time: fakes.Time, fleet: Fleet) -> None:
    """Let cq-3 reach nobody for 5 s; its reads fail."""
    for _ in range(10):
        time.now += 0.5
        fleet.store.down = True
        assert not fleet.read("cq-3")
        fleet.store.down = False
        fleet.read("cq-1")
        fleet.beat("cq-1")
        fleet.deliver(asleep="cq-3")
    fleet.queue.clear()


def test_who_was_cut_off_follows_those_that_read_the_platform_meanwhile() -> None:
    """Guards against keeping a server that left while this instance was cut off."""
    with fakes.Time().used() as time:
        fleet = _fleet("i-1", "i-2")
        _cut_off(time, fleet)
        _remove(fleet, "i-2")
        fleet.read("cq-1")
        fleet.read("cq-3")
        assert fleet.in_use("cq-3") == {"i-1", "i-2"}
        fleet.beat("cq-1")
        fleet.deliver()
        assert fleet.in_use("cq-3") == {"i-1"}


def test_who_has_not_seen_the_return_yet_does_not_deny_the_outage() -> None:
    """Guards against dropping servers by a heartbeat of before the outage."""
    with fakes.Time().used() as time:
        fleet = _fleet("i-1", "i-2")
        time.now += 1.0
        fleet.read("cq-1")
        fleet.store.down = True
        time.now += 4.0
        for name in NAMES:
            assert not fleet.read(name)
        fleet.store.down = False
        _remove(fleet, "i-2")
        fleet.read("cq-3")
        fleet.beat("cq-1")
        fleet.deliver()
        assert fleet.in_use("cq-3") == {"i-1", "i-2"}
        assert fleet.in_use("cq-1") == {"i-1", "i-2"}


def test_the_list_is_read_as_soon_as_it_shows_which_servers_were_kept_in_vain() -> None:
    """Guards against requests to a server that left, for as long as a list is fresh."""

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
