"""The list of backend servers: as recent as on any instance, and never reverted."""

import asyncio

import policy_fakes as fakes
import pytest

from cassiaquay_daemon import exceptions, platform, positions
from cassiaquay_daemon.configured import snapshots
from cassiaquay_daemon.fleet import freshness, servers
from cassiaquay_dev.lab import virtual_time
from cassiaquay_schema import messages


def _entry(name: str, revision: int = 1, **fields) -> messages.ServerEntry:
    found = messages.ServerEntry(
        name, "chat", "10.0.0.1:80", "a", 14, False, 1000, revision
    )
    return found._replace(**fields)


class Store:
    """A fake of the platform's server store."""

    def __init__(self, *entries: messages.ServerEntry):
        self.epoch = 0
        self.revision = 10
        self.entries = list(entries)
        self.down = False
        self.reads = 0

    async def read(self) -> platform.ServersRead:
        """Return the entries."""
        self.reads += 1
        if self.down:
            raise exceptions.PlatformError("down")
        self.revision += 1
        position = positions.Position(self.epoch, self.revision)
        return platform.ServersRead(position, list(self.entries))


class Configured:
    """A fake of the configuration."""

    def __init__(self) -> None:
        self.pools: dict = {}
        self.evacuated: list[str] = []
        self.revision = 0

    def should_fetch(self, version: positions.TextVersion) -> bool:
        """Return whether the version has a newer revision."""
        return version.revision > self.revision

    def set_registered_servers(self, registered: snapshots.RegisteredServers) -> None:
        """Record the servers."""
        self.pools = registered.pools
        self.evacuated = registered.evacuated

    async def read_once(self, texts: object) -> None:
        """Do nothing."""

    @property
    def names(self) -> set[str]:
        """Names of the servers in use."""
        return {server.name for pool in self.pools.values() for server in pool}


class Texts:
    """A fake of the configuration service, with the evacuated domains."""

    def __init__(self) -> None:
        self.evacuated = platform.NOTHING_EVACUATED


class Members(fakes.Membership):
    """A fake membership."""

    def __init__(self, *names: str):
        super().__init__("", [fakes.Owner(name) for name in names])
        self.heartbeat_callbacks: list = []

    def on_heartbeat(self, call) -> None:
        """Register a callback for heartbeats."""
        self.heartbeat_callbacks.append(call)

    def serving(self) -> list:
        """Return all members."""
        return list(self.owners.values())

    def neighbours(self) -> dict[str, str]:
        """Return the addresses of the other members."""
        return {name: "h:1" for name in self.owners if name != "cq-1"}


class Links(fakes.Links):
    """Fake links to the members."""

    def __init__(self, known: Members):
        super().__init__()
        self._members = known

    def link(self, instance: str, address: str) -> fakes.Owner:
        """Return a member's link."""
        return self._members.owners[instance]


class Site:
    """The server list of one instance, with its fakes."""

    def __init__(self, *entries: messages.ServerEntry):
        self.store = Store(*entries)
        self.texts = Texts()
        self.configured = Configured()
        self.members = Members("cq-1", "cq-2")
        self.links = Links(self.members)
        self.list = servers.Servers(
            fakes.settings("cq-1"),
            self.links,
            self.members,
            self.configured,
            self.store,
            self.texts,
        )

    def read(self) -> bool:
        """Read the store once."""
        return asyncio.run(self.list.read_once())

    def receive_heartbeat(
        self, revision: int, age_ms: int, digest: int, configuration_revision: int = 0
    ) -> fakes.Owner:
        """Receive a neighbour's heartbeat; return its link."""
        link = self.members.owners["cq-2"]
        beat = messages.Heartbeat(
            1, configuration_revision, 0, [], [], 0, revision, age_ms, digest
        )
        for call in self.members.heartbeat_callbacks:
            call(link, beat)
        return link


@pytest.fixture(name="time")
def _time():
    with fakes.Time().used() as time:
        yield time


def test_servers_that_leave_get_no_new_work(time) -> None:
    site = Site(_entry("i-1"), _entry("i-2"))
    site.read()
    assert site.configured.names == {"i-1", "i-2"}
    site.store.entries[0] = _entry("i-1", 2, leaving=True)
    site.read()
    assert site.configured.names == {"i-2"}


def test_a_server_whose_entry_was_removed_is_dropped(time) -> None:
    """Some servers never announce that they leave; their entry just disappears."""
    site = Site(_entry("i-1"), _entry("i-2"))
    site.read()
    time.now += 0.6
    site.store.entries.pop()
    site.read()
    assert site.configured.names == {"i-1"}


def test_entries_expired_in_an_outage_are_retained_for_two_seconds(time) -> None:
    """Guards against dropping live servers after an outage of the store.

    All registrations expired during the outage and are renewed within two seconds of
    its end. Until then the servers stay in use; those still missing then are dropped.
    """
    site = Site(_entry("i-1"), _entry("i-2"))
    site.read()
    site.store.down = True
    time.now += 5.0
    assert not site.read()
    site.store.down = False
    entries, site.store.entries = site.store.entries, []
    site.read()
    assert site.configured.names == {"i-1", "i-2"}
    time.now += 1.5
    site.store.entries = entries[:1]
    site.read()
    assert site.configured.names == {"i-1", "i-2"}
    time.now += 1.0
    site.read()
    assert site.configured.names == {"i-1"}


def test_an_older_answer_changes_nothing(time) -> None:
    """A delayed response arrives after a newer one."""
    site = Site(_entry("i-1", 11))
    site.read()
    site.store.entries = [_entry("i-1", 12, leaving=True)]
    site.read()
    assert not site.configured.names
    site.store.revision = 3
    site.store.entries = [_entry("i-1", 11)]
    site.read()
    assert not site.configured.names


def test_a_restarted_server_changes_the_digest(time) -> None:
    site = Site(_entry("i-1"))
    site.read()
    before = site.list.state.digest
    site.store.entries = [_entry("i-1", 5, started_ms=2000)]
    site.read()
    assert site.list.state.digest != before
    assert site.configured.pools["chat"][0].started_ms == 2000


def test_changed_server_lists_are_sent_at_once(time) -> None:
    site = Site(_entry("i-1"))
    site.read()
    sent = site.members.owners["cq-2"].sent
    assert [type(item) for item in sent] == [messages.ServerList]
    site.store.entries = [_entry("i-1", 20)]
    site.read()
    assert len(sent) == 1, "a server's heartbeat is not a change of the list"


def test_a_neighbours_heartbeat_confirms_the_list(time) -> None:
    """The neighbour's list has equal servers and was read 0.2 s ago."""
    site = Site(_entry("i-1"))
    site.read()
    time.now += 1.5
    assert site.list.age == pytest.approx(1.5)
    state = site.list.state
    site.receive_heartbeat(state.position.revision + 5, 200, state.digest)
    assert site.list.age == pytest.approx(0.2)


def test_a_neighbour_with_a_newer_configuration_confirms_nothing(time) -> None:
    """Guards against accepting a revoked key at an instance with the old text.

    A neighbour has read the change, and its heartbeat says that its list is fresh. The
    text is still in transit. An instance that took the heartbeat as confirmation of its
    own state would accept the key.
    """
    site = Site(_entry("i-1"))
    site.read()
    time.now += 2.5
    state = site.list.state
    site.receive_heartbeat(
        state.position.revision + 5, 0, state.digest, configuration_revision=7
    )
    assert site.list.is_behind
    site.configured.revision = 7
    site.receive_heartbeat(
        state.position.revision + 5, 0, state.digest, configuration_revision=7
    )
    assert not site.list.is_behind


def test_a_received_list_does_not_confirm_the_configuration(time) -> None:
    """A list received from a neighbour does not confirm the configuration."""
    site = Site(_entry("i-1"))
    site.read()
    time.now += 2.5
    news = messages.ServerList(99, 0, [_entry("i-1", 98, leaving=True)])
    link = site.members.owners["cq-2"]
    site.links.handlers[messages.ServerList](link, news)
    assert not site.configured.names
    assert site.list.is_behind


def test_a_newer_list_is_requested_and_applied(time) -> None:
    site = Site(_entry("i-1"))
    site.read()
    link = site.receive_heartbeat(99, 0, 12345)
    assert isinstance(link.sent[-1], messages.ServerListQuery)
    news = messages.ServerList(99, 0, [_entry("i-1", 98, leaving=True)])
    site.links.handlers[messages.ServerList](link, news)
    assert not site.configured.names
    assert site.list.position.revision == 99
    # An older list that arrives later is ignored.
    old = messages.ServerList(50, 0, [_entry("i-1", 49)])
    site.links.handlers[messages.ServerList](link, old)
    assert not site.configured.names


def test_an_unconfirmed_list_is_read_locally(time) -> None:
    """The reading instance has failed; this one is the next by rank, or a later one."""
    site = Site(_entry("i-1"))
    site.read()
    max_age = site.list._max_age()
    assert 0.5 < max_age < 1.5
    assert not site.list.is_behind
    time.now += 2.5
    assert site.list.is_behind
    assert freshness.Freshness() == ((0, 0), 0, 0, 0)


def test_a_delayed_heartbeat_does_not_refresh_the_age(time) -> None:
    """Guards against taking a delayed heartbeat for a fresh confirmation.

    A link loses packets, and a heartbeat arrives two seconds late. It says that the
    list was confirmed 0.1 s ago. Taken literally, the list and the configuration could
    be two seconds out of date without being read again.
    """
    site = Site(_entry("i-1"))
    asyncio.run(site.list.read_once())
    link = site.members.owners["cq-2"]
    digest = site.list.state.digest
    started = time.now - 700.0

    def receive(sent_at: float) -> None:
        sent_ms = int((sent_at - started) * 1000.0)
        beat = messages.Heartbeat(1, 0, 0, [], [], 0, 99, 100, digest, sent_ms)
        for call in site.members.heartbeat_callbacks:
            call(link, beat)

    time.now += 0.5
    receive(time.now - 0.002)
    assert site.list.age == pytest.approx(0.5)
    time.now += 0.3
    receive(time.now - 0.002)
    assert site.list.age == pytest.approx(0.1, abs=0.01)
    time.now += 2.2
    receive(time.now - 2.0)
    assert site.list.age == pytest.approx(2.1, abs=0.01)
    receive(time.now - 0.002)
    assert site.list.age == pytest.approx(0.1, abs=0.01)


def _evacuate(site: Site, revision: int, *domains: str) -> None:
    position = positions.Position(0, revision)
    site.texts.evacuated = platform.Evacuated(position, list(domains))


def test_an_evacuation_is_in_force_with_the_list_that_names_it(time) -> None:
    """A daemon that starts during an evacuation applies it before its first request."""
    site = Site(_entry("i-1"), _entry("i-2", domain="b"))
    _evacuate(site, 11, "b")
    site.read()
    assert site.configured.evacuated == ["b"]
    assert site.configured.names == {"i-1", "i-2"}


def test_an_evacuation_reaches_instances_that_cannot_read_the_store(time) -> None:
    site = Site(_entry("i-1"))
    site.read()
    site.store.down = True
    news = messages.ServerList(12, 0, [_entry("i-1")], ["a"], 13)
    site.links.handlers[messages.ServerList](site.members.owners["cq-2"], news)
    assert site.configured.evacuated == ["a"]
    sent = site.members.owners["cq-2"].sent[-1]
    assert sent.evacuated == ["a"]
    assert sent.evacuated_revision == 13


def test_an_older_list_does_not_take_an_evacuation_back(time) -> None:
    """A slow read of the store ends after another one that includes the change."""
    site = Site(_entry("i-1"))
    _evacuate(site, 20, "a")
    site.read()
    _evacuate(site, 15)
    site.read()
    assert site.configured.evacuated == ["a"]
    old = messages.ServerList(
        site.list.position.revision + 1, 0, [_entry("i-1")], [], 19
    )
    site.links.handlers[messages.ServerList](site.members.owners["cq-2"], old)
    assert site.configured.evacuated == ["a"]


def test_overlapping_evacuations_end_independently(time) -> None:
    site = Site(_entry("i-1"), _entry("i-2", domain="b"))
    for revision, domains in ((20, "a"), (21, "ab"), (22, "b"), (23, "")):
        _evacuate(site, revision, *domains)
        site.read()
        assert site.configured.evacuated == list(domains)


def test_an_evacuation_alone_changes_the_digest(time) -> None:
    """A neighbour's list is requested only when the digests differ."""
    site = Site(_entry("i-1"))
    site.read()
    before = site.list.state.digest
    _evacuate(site, 20, "a")
    site.read()
    assert site.list.state.digest != before


@pytest.mark.parametrize(("rank", "least", "most"), [(0, 25, 40), (2, 3, 6)])
def test_most_instances_retry_rarely_during_an_outage(
    rank, least, most, monkeypatch
) -> None:
    """During an outage, hundreds of instances find their list too old and retry.

    Each failed call counts against the platform's quota.
    """
    monkeypatch.setattr(servers.Servers, "_rank_among", lambda *_: rank)

    async def work() -> int:
        site = Site(_entry("i-1"))
        assert await site.list.read_once()
        site.store.down = True
        reading = asyncio.create_task(site.list.read())
        await asyncio.sleep(5.0)
        reading.cancel()
        return site.store.reads

    assert least <= virtual_time.run(work()) <= most


def test_the_log_names_the_source_of_each_change(time, caplog) -> None:
    """Guards against changes of the list that cannot be traced to their source."""
    caplog.set_level("INFO", logger="cassiaquay")
    site = Site(_entry("i-1"), _entry("i-2"))
    site.read()
    site.store.down = True
    time.now += 5.0
    assert not site.read()
    site.store.down = False
    site.store.entries.pop()
    site.read()
    news = messages.ServerList(99, 0, [_entry("i-1"), _entry("i-3")])
    site.links.handlers[messages.ServerList](site.members.owners["cq-2"], news)
    lines = {}
    for record in caplog.records:
        lines.setdefault(record.message, []).append(record)
    first, *_, last = lines["servers_in_force"]
    assert (first.source, first.added) == ("platform", "i-1,i-2")
    assert (last.source, last.added) == ("cq-2", "i-3")
    assert lines["platform_returned"][0].away_ms == 5000
    assert [record.server for record in lines["server_retained"]] == ["i-2"]
