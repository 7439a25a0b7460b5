"""Membership: which instances are alive, and which one is the keeper of each shard.

Correctness does not depend on it: a wrong view causes a second keeper or a needless
relay, never a second dispatch. docs/design/membership.md explains why.
"""

import asyncio
import collections.abc
import time

from cassiaquay_schema import messages
from cassiaquay_schema import settings as settings_schema

from .. import clock, exceptions, logs, platform, positions
from ..decisions import capacities, instance_load, keeper_placement
from ..links import peers
from . import (
    budget_peers,
    facts,
    failure_detector,
    freshness,
    gossip,
    keeper_roles,
    neighbours,
    reported_load,
)

# If a process must claim a later start more often, a second one has its name.
MAX_OUTRANK_COUNT = 2
BORN_STEP_SECONDS = 0.001


class Membership:
    """The other instances known to this one, and its own state as sent to them.

    Parameters
    ----------
    settings : Settings
        Names, addresses and periods.
    incarnation : str
        Identifies this run of the process.
    links : Peers
        Connections to the other instances.
    mint : callable
        Returns a fresh address token of this instance; callers form request ids of it.
    measure : callable
        Returns this instance's load (its open requests) and configuration revision.
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
        self.relay_address = ""
        # Services whose servers other instances reach and this one does not.
        self.lost_services: collections.abc.Callable[[], list[str]] = list
        self.text_version: collections.abc.Callable[[], positions.TextVersion]
        self.text_version = lambda: positions.NO_VERSION
        self.servers_state: collections.abc.Callable[[], freshness.Freshness]
        self.servers_state = freshness.Freshness
        # Digests of replicated tables, by their field in heartbeats.
        self.table_digests: dict[str, collections.abc.Callable[[], int]] = {}
        self.mint = mint
        self.facts = facts.Facts()
        self.admin_address = ""
        self._listed: dict[str, platform.ListedInstance] = {}
        self._settings = settings
        self._incarnation = incarnation
        self._links = links
        self._measure = measure
        self._started = clock.now()
        self._born = time.time()
        self._outrank_count = 0
        self._sequence = 0
        self._round = 0
        self._load = reported_load.ReportedLoad()
        self.instance_load = instance_load.InstanceLoad()
        self._budget_peers = budget_peers.BudgetPeers()
        self._gossip = gossip.Gossip(
            settings.instance, self.facts, settings.membership.spread_bytes
        )
        self._detector = failure_detector.Detector(settings, self.facts, self._send_to)
        self._neighbours = neighbours.Neighbours(
            settings, self.facts, links, self._detector
        )
        self._on_heartbeat: list[
            collections.abc.Callable[[peers.Link, messages.Heartbeat], None]
        ] = []
        self._on_change: list[collections.abc.Callable[[], None]] = []
        self._reported: set[str] = set()
        self._roles = keeper_roles.KeeperRoles(settings)
        self._reported_placement = self._roles.placement
        self._serving: list[messages.Member] | None = None
        self._has_unreported_changes = True
        links.on(messages.Heartbeat, self._handle_heartbeat)
        links.on(messages.Suspicion, self._note_suspicion)
        links.on(messages.Probe, self._detector.answer_probe)
        links.on(messages.Heard, self._detector.note_answer)
        links.on_down(self._detector.note_closed_link)

    @property
    def listed(self) -> dict[str, platform.ListedInstance]:
        """The platform's instance list as last read, by name."""
        return self._listed

    @listed.setter
    def listed(self, lines: dict[str, platform.ListedInstance]) -> None:
        self._listed = self._neighbours.listed = lines
        self._invalidate_caches()

    @property
    def placement(self) -> keeper_placement.Placement:
        """The instances that may be keepers."""
        self._roles.update(self.serving())
        return self._roles.placement

    @property
    def is_by_capacity(self) -> bool:
        """Whether keepers and callers are placed by the capacities of instances."""
        return self._settings.membership.placement == keeper_placement.CAPACITY

    @property
    def own_fact(self) -> messages.Member:
        """The current fact on this instance, as sent to the others."""
        return self.update()

    def update(self, force: bool = False) -> messages.Member:
        """Refresh this instance's own fact; issue a new one on change or ``force``."""
        load, revision = self._measure()
        self._load.note(load)
        fact = messages.Member(
            self._settings.instance,
            self._incarnation,
            self._settings.domain,
            self.http_address,
            self._settings.advertised_peer or self._links.address,
            self._sequence,
            self.leaving,
            self._load.value,
            revision,
            self._born,
            self.admin_address,
            clock.now() - self._started,
            self.relay_address,
            self.lost_services(),
            *self._capacity_fields(),
        )
        known = self.facts.records.get(self._settings.instance)
        if known is not None and not force and _has_same_state(known.member, fact):
            return fact
        self._sequence += 1
        fact = fact._replace(sequence=self._sequence)
        self.facts.learn(fact)
        self._invalidate_caches()
        return fact

    def adopt(self, settings: settings_schema.Settings) -> None:
        """Apply changed settings; only the seeds can change at run time."""
        self._neighbours.seeds = settings.seeds

    def note_lag(self, lag_seconds: float) -> None:
        """Note by how much the event loop was late; tell others if that lasts."""
        if not self.is_by_capacity:
            return
        if not self.instance_load.note(clock.now(), lag_seconds):
            return
        if self.instance_load.is_slow:
            logs.event("instance_slow", lag_ms=round(lag_seconds * 1000.0))
        else:
            logs.event("instance_recovered")
        self.update()
        self._report_changes()

    def on_heartbeat(
        self, call: collections.abc.Callable[[peers.Link, messages.Heartbeat], None]
    ) -> None:
        """Call ``call`` with each heartbeat and the link that it came over."""
        self._on_heartbeat.append(call)

    def on_change(self, call: collections.abc.Callable[[], None]) -> None:
        """Call ``call`` after a change of the serving instances or possible keepers."""
        self._on_change.append(call)

    def alive(self) -> list[messages.Member]:
        """Return the members that are not suspected, including this one."""
        alive = [self.own_fact]
        for name, record in self.facts.records.items():
            if record.suspected_at is None and name != self._settings.instance:
                alive.append(record.member)
        return alive

    def serving(self) -> list[messages.Member]:
        """Return the live members that have a configuration and are not leaving."""
        if self._serving is None:
            serving = []
            for member in self.alive():
                if member.revision and not self._is_member_leaving(member):
                    serving.append(member)
            self._serving = serving
        return self._serving

    def find(self, instance: str) -> messages.Member | None:
        """Return a live member by name."""
        if instance == self._settings.instance:
            return self.own_fact
        record = self.facts.records.get(instance)
        if record is None or record.suspected_at is not None:
            return None
        return record.member

    def uptime(self, instance: str) -> float:
        """Return the seconds since a known member's start, or a little less."""
        return self.facts.records[instance].uptime

    def has_older_instances(self) -> bool:
        """Return whether a live instance was running before this one started."""
        return self.facts.has_older(clock.now() - self._started)

    def fleet_size(self) -> int:
        """Return how many instances may spend from a fleet-wide budget."""
        return self._budget_peers.count(
            max(len(self.facts.records), len(self._neighbours.seeds))
        )

    def last_known(self, instance: str) -> messages.Member | None:
        """Return the last known fact on an instance, even if it is suspected."""
        record = self.facts.records.get(instance)
        return record.member if record is not None else None

    def is_leaving(self, name: str) -> bool:
        """Return whether the instance list marks an instance or server as leaving."""
        line = self.listed.get(name)
        return line is not None and line.leaving

    def keeper_of(self, shard: str) -> str:
        """Return the instance that should be the keeper of a shard."""
        self._roles.update(self.serving())
        return self._roles.keeper_of(shard)

    def link(self, instance: str) -> peers.Link | None:
        """Return the link to a member; without one, start dialling and return None."""
        known = self.facts.records.get(instance)
        if known is None:
            return None
        return self._links.link(instance, known.member.peer)

    def neighbours(self) -> dict[str, str]:
        """Return the peer addresses of the instances to send heartbeats to, by name."""
        return self._neighbours.addresses()

    async def send_heartbeats(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            self.send_heartbeats_once()
            await asyncio.sleep(self._settings.membership.period)

    def send_heartbeats_once(self) -> None:
        """Send one round of heartbeats and suspect silent members."""
        self._round += 1
        self._send()
        self._detector.expect(self.neighbours())
        self._detector.update_suspicions()
        for name in self.facts.forget(self._settings.membership.forget_after):
            logs.event("member_forgotten", member=name)
        self._report_changes()
        self._links.close_idle()

    async def read_list(self, source: platform.InstanceList) -> None:
        """Read the platform's instance list periodically until cancelled."""
        while True:
            await self.read_list_once(source)
            await asyncio.sleep(self._settings.platform.instances_period)

    async def read_list_once(self, source: platform.InstanceList) -> None:
        """Read the platform's instance list."""
        try:
            lines = await source.read()
        except exceptions.PlatformError as error:
            # The last list stays in use; heartbeats still carry membership changes.
            logs.detail("instance_list_unreadable", cause=str(error))
            return
        listed = {line.name: line for line in lines}
        if listed != self._listed:
            self.listed = listed
        self._report_changes()

    def announce_leaving(self) -> None:
        """Tell the neighbours at once that this instance is leaving."""
        self.leaving = True
        self._send()
        self._report_changes()

    def learn(self, member: messages.Member) -> None:
        """Store a fact received from a peer."""
        if member.instance == self._settings.instance:
            if member.born > self._born and not self._outrank(member.born):
                logs.trouble("instance_name_used_twice", by=member.incarnation)
            return
        if self.facts.learn(member):
            self._neighbours.note_alive(member.instance)
            self._invalidate_caches()

    def facts_to_send(self) -> list[messages.Member]:
        """Return the facts on all unsuspected members, with current uptimes."""
        current_facts = []
        for record in self.facts.records.values():
            if record.suspected_at is None:
                current_facts.append(facts.with_current_uptime(record))
        return current_facts

    def restart_silence_timers(self) -> None:
        """Ignore the silence of others during this process's own pause."""
        self._detector.reset()

    def _send(self) -> None:
        # The gossip includes this instance's own fact, so refresh it first.
        self.update()
        text = self.text_version()
        listed = self.servers_state()
        digests = {field: digest() for field, digest in self.table_digests.items()}
        for link in self._neighbours.links(self._round):
            portion = self._gossip.portion(link)
            link.send(
                messages.Heartbeat(
                    self._round,
                    text.revision,
                    text.digest,
                    portion.members,
                    portion.suspicions,
                    self.facts.digest,
                    listed.position.revision,
                    listed.age_ms,
                    listed.digest,
                    int(clock.now() * 1000.0),
                    listed.steady_ms,
                    **digests,
                    text_number=text.number,
                    epoch=text.epoch,
                    servers_epoch=listed.position.epoch,
                )
            )

    def _send_to(self, instance: str, message: messages.Message) -> None:
        link = self.link(instance)
        if link is not None:
            link.send(message)

    def _handle_heartbeat(self, link: peers.Link, beat: messages.Heartbeat) -> None:
        for member in beat.members:
            self.learn(member)
        for suspicion in beat.suspicions:
            self._note_suspicion(link, suspicion)
        self._gossip.compare(link.instance, beat.table)
        self._detector.note_heartbeat(link)
        self.facts.note_revision(link.instance, beat.text_number or beat.revision)
        to_refute = self.facts.suspicion_of(link.instance)
        if to_refute is not None:
            # The sender is alive but suspected here, and can refute the suspicion.
            link.send(to_refute)
        for call in self._on_heartbeat:
            call(link, beat)
        self._report_changes()

    def _note_suspicion(self, link: peers.Link, suspicion: messages.Suspicion) -> None:
        if suspicion.instance != self._settings.instance:
            if self.facts.suspect(suspicion):
                self._invalidate_caches()
            return
        if suspicion.born > self._born:
            self._outrank(suspicion.born)
        elif suspicion.born == self._born and suspicion.sequence >= self._sequence:
            self._sequence = suspicion.sequence
            self.update(force=True)

    def _outrank(self, born: float) -> bool:
        """Claim a later start than the former process; return whether this may."""
        # The wall clock may have gone back between the two starts. Others would take
        # this process's facts for older ones and ignore them.
        if self._outrank_count >= MAX_OUTRANK_COUNT:
            return False
        self._outrank_count += 1
        logs.event("incarnation_outranked", ahead_seconds=round(born - self._born, 3))
        self._born = born + BORN_STEP_SECONDS
        self.update(force=True)
        return True

    def _is_member_leaving(self, member: messages.Member) -> bool:
        if member.leaving:
            return True
        line = self._listed.get(member.instance)
        # The list lags: a line with another address is of an earlier incarnation. If
        # this one is listed as leaving, the platform removes it soon, whatever its
        # heartbeats say; a wrong guess costs capacity for a moment, but no request.
        return line is not None and line.leaving and line.http == member.http

    def _capacity_fields(self) -> tuple[int, int, bool, bool]:
        if not self.is_by_capacity:
            return 0, 0, False, False
        return *capacities.stated(self._settings), True, self.instance_load.is_slow

    def _invalidate_caches(self) -> None:
        self._serving = None
        self._neighbours.invalidate()
        self._has_unreported_changes = True

    def _report_changes(self) -> None:
        if self._detector.take_changes():
            self._invalidate_caches()
        if not self._has_unreported_changes:
            # Comparing hundreds of members dozens of times a second costs too much.
            return
        self._has_unreported_changes = False
        current = {f"{m.instance}/{m.incarnation}" for m in self.serving()}
        self._roles.update(self.serving())
        placement = self._roles.placement
        if current == self._reported and placement == self._reported_placement:
            return
        joined = sorted(current - self._reported)
        gone = sorted(self._reported - current)
        if joined or gone:
            logs.event("members", count=len(current), come=joined, gone=gone)
        keepers_moved = placement.shards != self._reported_placement.shards
        self._reported = current
        self._reported_placement = placement
        if keepers_moved and not joined and not gone:
            # A role has moved between live instances. Until their owners know, demands
            # go to the former keeper first, so this does not wait for the next round.
            self._send()
        for call in self._on_change:
            call()


def _has_same_state(fact: messages.Member, other_fact: messages.Member) -> bool:
    # Heartbeats carry the revision: if it counted here, each configuration change
    # would produce a new fact on every instance.
    if bool(fact.revision) != bool(other_fact.revision):
        return False
    return fact == other_fact._replace(uptime=fact.uptime, revision=fact.revision)
