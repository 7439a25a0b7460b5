"""Membership: which instances live, who is the keeper of what.

Nothing that must be correct rests on it: a wrong view makes a second keeper or a
needless relay, never a second dispatch. docs/design/membership.md tells why it is so.
"""

import asyncio
import collections.abc
import time
import typing

from cassiaquay_schema import messages
from cassiaquay_schema import settings as settings_schema

from .. import clock, exceptions, logs, platform, rendezvous
from ..links import peers
from . import budget_peers, facts, freshness, spread, watching

# Load is told of when it has moved by this much: enough to spread callers, and rare
# enough that hundreds of instances do not fill the budget with it.
LOAD_STEP = 4.0
LOAD_SHARE = 0.5
LOAD_SECONDS = 2.0
# Regions lose each other for an hour; after twice that, what is not listed is gone.
RETRY_SECONDS = 7200.0


class _Lost(typing.NamedTuple):
    """A buried instance: where it was, and since when it is lost."""

    address: str
    since: float


class Membership:
    """The instances that this one knows.

    Parameters
    ----------
    settings : Settings
        Names, addresses and periods.
    incarnation : str
        This life of the process.
    links : Peers
        Connections to the others.
    mint : callable
        Returns a fresh address token of this instance.
    measure : callable
        Returns this instance's load and its configuration revision.
    """

    def __init__(
        self,
        settings: settings_schema.Settings,
        incarnation: str,
        links: peers.Peers,
        mint: collections.abc.Callable[[], str],
        measure: collections.abc.Callable[[], tuple[float, int]],
    ):
        self.leaving = False
        self.http_address = ""
        self.digest: collections.abc.Callable[[], int] = int
        self.servers_state: collections.abc.Callable[[], freshness.Freshness]
        self.servers_state = freshness.Freshness
        self.crashes_digest: collections.abc.Callable[[], int] = int
        self.mint = mint
        self.facts = facts.Facts()
        self.admin_address = ""
        self._listed: dict[str, platform.ListedInstance] = {}
        self._settings = settings
        self._seeds = settings.seeds
        self._incarnation = incarnation
        self._links = links
        self._measure = measure
        self._started = clock.now()
        self._born = time.time()
        self._sequence = 0
        self._number = 0
        self._load = 0.0
        self._load_at = clock.now()
        self._budget_peers = budget_peers.BudgetPeers()
        self._lost: dict[str, _Lost] = {}
        self._spread = spread.Spread(
            settings.instance, self.facts, settings.membership.spread_bytes
        )
        self._watching = watching.Watching(settings, self.facts, self._send_to)
        self._on_heard: list[
            collections.abc.Callable[[peers.Link, messages.Heartbeat], None]
        ] = []
        self._on_change: list[collections.abc.Callable[[], None]] = []
        self._before: set[str] = set()
        self._serving: list[messages.Member] | None = None
        self._neighbours: dict[str, str] | None = None
        self._unnoticed = True
        self._keepers: dict[str, str] = {}
        links.on(messages.Heartbeat, self._heartbeat)
        links.on(messages.Suspicion, self._suspicion)
        links.on(messages.Probe, self._watching.probe)
        links.on(messages.Heard, self._watching.heard)
        links.on_down(self._watching.lost)

    @property
    def listed(self) -> dict[str, platform.ListedInstance]:
        """The platform's instance list as last read, by name."""
        return self._listed

    @listed.setter
    def listed(self, lines: dict[str, platform.ListedInstance]) -> None:
        self._listed = lines
        self._changed()

    @property
    def me(self) -> messages.Member:
        """What the others know of this instance."""
        return self.update()

    def update(self, again: bool = False) -> messages.Member:
        """Look at this instance anew; a fact that differs, or ``again``, is news."""
        load, revision = self._measure()
        self._note_load(load)
        settings = self._settings
        fact = messages.Member(
            settings.instance,
            self._incarnation,
            settings.domain,
            self.http_address,
            self._settings.advertised_peer or self._links.address,
            self._sequence,
            self.leaving,
            self._load,
            revision,
            self._born,
            self.admin_address,
            clock.now() - self._started,
        )
        known = self.facts.records.get(settings.instance)
        if known is not None and not again and _same(known.member, fact):
            return fact
        self._sequence += 1
        fact = fact._replace(sequence=self._sequence)
        self.facts.learn(fact)
        self._changed()
        return fact

    def adopt(self, settings: settings_schema.Settings) -> None:
        """Take in changed settings: the seeds."""
        self._seeds = settings.seeds

    def on_heard(
        self, call: collections.abc.Callable[[peers.Link, messages.Heartbeat], None]
    ) -> None:
        """Call ``call`` with each heartbeat and the link that it came over."""
        self._on_heard.append(call)

    def on_change(self, call: collections.abc.Callable[[], None]) -> None:
        """Call ``call`` when an instance has come, gone or begun to leave."""
        self._on_change.append(call)

    def alive(self) -> list[messages.Member]:
        """Return the members that nobody suspects, this one included."""
        found = [self.me]
        for name, record in self.facts.records.items():
            if record.suspected_at is None and name != self._settings.instance:
                found.append(record.member)
        return found

    def serving(self) -> list[messages.Member]:
        """Return the live members that have a configuration and do not leave."""
        if self._serving is None:
            found = []
            for member in self.alive():
                if member.revision and not self._leaves(member):
                    found.append(member)
            self._serving = found
        return self._serving

    def find(self, instance: str) -> messages.Member | None:
        """Return a live member by name."""
        if instance == self._settings.instance:
            return self.me
        record = self.facts.records.get(instance)
        if record is None or record.suspected_at is not None:
            return None
        return record.member

    def uptime(self, instance: str) -> float:
        """Return the seconds since a known member's start, or a little less."""
        return self.facts.records[instance].uptime

    def has_elders(self) -> bool:
        """Return whether an instance is alive that ran before this one started."""
        return self.facts.has_older(clock.now() - self._started)

    def fleet_size(self) -> int:
        """Return how many instances may spend from a budget of the whole fleet."""
        return self._budget_peers.count(max(len(self.facts.records), len(self._seeds)))

    def last_heard(self, instance: str) -> messages.Member | None:
        """Return what was heard last of another instance, also when silent now."""
        record = self.facts.records.get(instance)
        return record.member if record is not None else None

    def is_leaving(self, name: str) -> bool:
        """Tell whether the instance list shows an instance or server as leaving."""
        line = self.listed.get(name)
        return line is not None and line.leaving

    def keeper_of(self, shard: str) -> str:
        """Return the instance that should be the keeper of a shard."""
        serving = self.serving()
        if shard not in self._keepers:
            names = [member.instance for member in serving]
            first = rendezvous.first(shard, names or [self._settings.instance])
            self._keepers[shard] = first
        return self._keepers[shard]

    def link(self, instance: str) -> peers.Link | None:
        """Return a link to a member, dialling when there is none."""
        known = self.facts.records.get(instance)
        if known is None:
            return None
        return self._links.link(instance, known.member.peer)

    def neighbours(self) -> dict[str, str]:
        """Return the peer addresses of the instances that get heartbeats, by name."""
        if self._neighbours is None:
            self._neighbours = self._choose()
        return self._neighbours

    async def beat(self) -> None:
        """Send heartbeats for ever."""
        while True:
            self.beat_once()
            await asyncio.sleep(self._settings.membership.period)

    def beat_once(self) -> None:
        """Send one round of heartbeats and judge who is silent."""
        self._number += 1
        self._send()
        self._watching.expect(self.neighbours())
        self._watching.judge()
        for name in self.facts.forget(self._settings.membership.forget_after):
            logs.event("member_forgotten", member=name)
        self._notice()
        self._links.close_idle()

    async def read_list(self, source: platform.InstanceList) -> None:
        """Read the platform's instance list for ever."""
        while True:
            await self.read_list_once(source)
            await asyncio.sleep(self._settings.platform.instances_period)

    async def read_list_once(self, source: platform.InstanceList) -> None:
        """Read the platform's instance list."""
        try:
            lines = await source.read()
        except exceptions.PlatformError as error:
            # The last list stays in use: heartbeats carry membership meanwhile.
            logs.detail("instance_list_unreadable", cause=str(error))
            return
        found = {line.name: line for line in lines}
        if found != self._listed:
            self.listed = found
        self._notice()

    def farewell(self) -> None:
        """Tell the neighbours at once that this instance leaves."""
        self.leaving = True
        self._send()
        self._notice()

    def learn(self, member: messages.Member) -> None:
        """Take in a fact from a peer."""
        if member.instance == self._settings.instance:
            if member.incarnation != self._incarnation and member.born > self._born:
                logs.trouble("instance_name_used_twice", by=member.incarnation)
            return
        if self.facts.learn(member):
            self._lost.pop(member.instance, None)
            self._changed()

    def told(self) -> list[messages.Member]:
        """Return the facts of all unsuspected members, as they are sent on."""
        found = []
        for record in self.facts.records.values():
            if record.suspected_at is None:
                found.append(facts.told(record))
        return found

    def overslept(self) -> None:
        """Judge nobody by the silence during this process's own pause."""
        self._watching.restart()

    def _send(self) -> None:
        # This instance's own fact is among the records that are spread.
        self.update()
        _, revision = self._measure()
        listed = self.servers_state()
        for link in self._links_to_use():
            portion = self._spread.portion(link)
            link.send(
                messages.Heartbeat(
                    self._number,
                    revision,
                    self.digest(),
                    portion.members,
                    portion.suspicions,
                    self.facts.digest,
                    listed.revision,
                    listed.age_ms,
                    listed.digest,
                    int(clock.now() * 1000.0),
                    listed.steady_ms,
                    self.crashes_digest(),
                )
            )

    def _choose(self) -> dict[str, str]:
        addresses: dict[str, str] = {}
        for line in self._listed.values():
            if line.kind == "entry" and line.peer and line.name not in self._lost:
                addresses[line.name] = line.peer
        for name, record in self.facts.records.items():
            if record.suspected_at is None:
                addresses[name] = record.member.peer
        addresses.pop(self._settings.instance, None)
        if not addresses:
            # Its own address may be among the seeds of the whole fleet.
            for seed in self._seeds:
                if seed != self._links.address:
                    addresses[f"{peers.SEED}{seed}"] = seed
        ranked = watching.rank(self._settings.instance, addresses)
        chosen = ranked[: self._settings.membership.neighbours]
        return {name: addresses[name] for name in chosen}

    def _links_to_use(self) -> list[peers.Link]:
        found = []
        chosen = self.neighbours()
        for instance, address in [*chosen.items(), *self._retry()]:
            link = self._links.link(instance, address)
            if link is not None:
                found.append(link)
        # Whoever chose this instance gets heartbeats back on the same link: else one
        # that happens to be chosen by nobody would send and never hear anything. Not
        # on links that were dialled from here, for a choice that is over: both would
        # take the other's answer for a choice and go on for ever, and after a start
        # half the fleet would exchange heartbeats with the other half.
        for link in self._watching.callers():
            if link.instance not in chosen:
                found.append(link)
        return found

    def _retry(self) -> list[tuple[str, str]]:
        # Two sides of a healed partition have buried each other and would both wait:
        # one buried instance after another is tried again.
        now = clock.now()
        for name, record in self.facts.records.items():
            if record.suspected_at is not None:
                if name not in self._lost:
                    self._neighbours = None
                self._lost[name] = _Lost(record.member.peer, now)
        for name, lost in list(self._lost.items()):
            if now - lost.since > RETRY_SECONDS and name not in self._listed:
                del self._lost[name]
        if not self._lost:
            return []
        names = sorted(self._lost)
        name = names[self._number % len(names)]
        return [(name, self._lost[name].address)]

    def _send_to(self, instance: str, message: messages.Message) -> None:
        link = self.link(instance)
        if link is not None:
            link.send(message)

    def _heartbeat(self, link: peers.Link, beat: messages.Heartbeat) -> None:
        for member in beat.members:
            self.learn(member)
        for suspicion in beat.suspicions:
            self._suspicion(link, suspicion)
        self._spread.compare(link.instance, beat.table)
        self._watching.beat(link)
        self.facts.note_revision(link.instance, beat.revision)
        doubt = self.facts.suspicion_of(link.instance)
        if doubt is not None:
            # It lives and does not know that it is taken for dead here.
            link.send(doubt)
        for call in self._on_heard:
            call(link, beat)
        self._notice()

    def _suspicion(self, link: peers.Link, suspicion: messages.Suspicion) -> None:
        if suspicion.instance != self._settings.instance:
            if self.facts.suspect(suspicion):
                self._changed()
            return
        if suspicion.born == self._born and suspicion.sequence >= self._sequence:
            self._sequence = suspicion.sequence
            self.update(again=True)

    def _leaves(self, member: messages.Member) -> bool:
        if member.leaving:
            return True
        line = self._listed.get(member.instance)
        # The list lags: a line with another address is of an earlier life. Where the
        # list says "leaving" of this life, the platform takes it away soon, whatever
        # its heartbeats say; being wrong costs a moment's capacity, no request.
        return line is not None and line.leaving and line.http == member.http

    def _note_load(self, load: float) -> None:
        now = clock.now()
        moved = abs(load - self._load)
        if moved <= LOAD_STEP + LOAD_SHARE * self._load:
            return
        if now - self._load_at < LOAD_SECONDS:
            return
        self._load = load
        self._load_at = now

    def _changed(self) -> None:
        self._serving = None
        self._neighbours = None
        self._unnoticed = True
        self._keepers.clear()

    def _notice(self) -> None:
        if self._watching.take_changes():
            self._changed()
        if not self._unnoticed:
            # Nothing has changed since the last look; with hundreds of members and
            # dozens of heartbeats a second, looking again would cost too much.
            return
        self._unnoticed = False
        now = {f"{m.instance}/{m.incarnation}" for m in self.serving()}
        if now == self._before:
            return
        come = sorted(now - self._before)
        gone = sorted(self._before - now)
        logs.event("members", count=len(now), come=come, gone=gone)
        self._before = now
        for call in self._on_change:
            call()


def _same(one: messages.Member, other: messages.Member) -> bool:
    # The revision travels with heartbeats: told of as a fact, each change of the
    # configuration would make one of every instance.
    if bool(one.revision) != bool(other.revision):
        return False
    return one == other._replace(uptime=one.uptime, revision=one.revision)
