"""The keeper role: admission to the shards that rendezvous hashing assigns.

While membership views differ, two instances may both act as the keeper of a shard.
Engines are then overloaded for a while, but no request is dispatched twice, since only
its owner can dispatch it.
"""

import asyncio
import collections.abc
import functools

from cassiaquay_schema import messages
from cassiaquay_schema import settings as settings_schema

from .. import clock, logs, pause
from ..configured import snapshots
from ..decisions import (
    objectives,
    policies,
    rate_budgets,
    server_states,
    shards,
    slow_start,
    tiered,
)
from ..fleet import configuration, members
from ..links import peers
from . import baselines, floors, hand_overs, siblings, spillover

DEFAULT_POLICY = tiered.NAME
# Imported so that they register their policies.
POLICIES = (tiered, objectives, baselines)
TICK_SECONDS = 0.1
# After a pass over a queue, the next pass is delayed by at least this share of the time
# that the pass took. Under overload each message requests a pass; without the delay,
# passes would saturate the event loop and hold up messages, heartbeats and callers.
PASS_DELAY_SHARE = 1.0
# Membership must have been stable for this long before shards are opened without a
# demand: while a fleet starts, an instance that has seen few members considers itself
# the keeper of most shards.
STABLE_SECONDS = 0.3
# With more owners than this, a new keeper sends them no queries; it waits for their
# periodic renewals instead.
MAX_QUERIED_OWNERS = 32


# Outcomes of requests that a server has rejected.
REJECTED_OUTCOMES = ("declined", "deferred")


class Keeper:
    """Admits requests to all shards that this instance keeps.

    Parameters
    ----------
    settings : Settings
        Policy, lifetimes of permits and leases.
    links : Peers
        Connections from owners.
    membership : Membership
        Live instances, the keeper of each shard, and which servers are leaving.
    configured : Configuration
        The pools.
    pauses : Pauses, optional
        Reports when this process was paused for longer than its leases.
    states : ServerStates, optional
        What servers have reported about themselves.
    """

    def __init__(
        self,
        settings: settings_schema.Settings,
        links: peers.Peers,
        membership: members.Membership,
        configured: configuration.Configuration,
        pauses: pause.Pauses | None = None,
        states: server_states.ServerStates | None = None,
    ):
        self.shards: dict[str, shards.Shard] = {}
        # Engines that are about to load a model or have not finished loading it.
        self.draining: set[str] = set()
        self.cold = slow_start.SlowStart(settings)
        self.states = states or server_states.ServerStates(settings)
        self._settings = settings
        self._membership = membership
        self._configured = configured
        self.hand_overs = hand_overs.HandOvers(settings, membership)
        self._policies: dict[str, policies.Policy] = {}
        self._scheduled: set[str] = set()
        # Earliest start of the next pass over a shard's queue; seconds on this clock.
        self._next_pass_at: dict[str, float] = {}
        # Demands that are to be acknowledged to their owners, by shard and request id.
        self._unacknowledged: dict[str, dict[str, shards.Replier]] = {}
        self._pauses = pauses or pause.Pauses(pause.shortest_lease(settings))
        self._pauses.on_resume(self._on_pause)
        self._renew_local: collections.abc.Callable[[str], None] = _no_local_owner
        self._ticked_at = clock.now()
        self._members_changed_at = clock.now()
        pool_shards = siblings.Siblings(
            settings.instance, membership, self.keeper_of, self._snapshot
        )
        self._floors = floors.Floors(links, self, pool_shards)
        self._spillover = spillover.SpillOver(links, self, pool_shards)
        links.on(messages.Demand, self.demand)
        links.on(messages.Withdraw, self.withdraw)
        links.on(messages.Release, self.release)
        links.on(messages.Renewal, self.renewal)
        links.on(messages.Progress, self.progress)
        links.on(messages.HealthQuery, self._on_health_query)
        links.on_down(self._on_link_down)
        configured.on_accept(self._on_configuration)
        membership.on_change(self._on_members_changed)

    @property
    def rate_limits(self) -> collections.abc.Sequence[rate_budgets.Source]:
        """Reasons to limit the rate of requests to servers."""
        return (self.cold, self.states.limits)

    def keeper_of(self, shard: str) -> str:
        """Return the instance that should be the keeper of a shard."""
        if self._settings.keeper.policy == baselines.LOCAL:
            return self._settings.instance
        return self._membership.keeper_of(shard)

    def keeps(self, shard: str) -> bool:
        """Return whether this instance should be the keeper of a shard."""
        return self.keeper_of(shard) == self._settings.instance

    def policy(self, shard: str) -> policies.Policy | None:
        """Return the policy of a shard that is kept here."""
        return self._policies.get(shard)

    def on_renewal_query(self, call: collections.abc.Callable[[str], None]) -> None:
        """Register the call that renews this instance's own leases in a shard."""
        self._renew_local = call

    def demand(self, replier: shards.Replier, demand: messages.Demand) -> None:
        """Queue a demand, or redirect its owner to the keeper."""
        keeper = self.keeper_of(demand.shard)
        if keeper != self._settings.instance:
            # Two keepers of a shard would each fill the engines. The owner sends the
            # demand to the named one; if that one also redirects it, the owner repeats
            # the demand with its next renewal.
            replier.send(messages.NotKeeper(demand.id, keeper))
            return
        shard = self._shard(demand.shard)
        if shard is None:
            replier.send(messages.NotKeeper(demand.id))
            return
        shard.add(demand, replier)
        if demand.acknowledge:
            self._unacknowledged.setdefault(demand.shard, {})[demand.id] = replier
        self.serve_soon(demand.shard)

    def withdraw(self, replier: shards.Replier, message: messages.Withdraw) -> None:
        """Remove a demand or an unused permit."""
        shard = self.shards.get(message.shard)
        if shard is None:
            return
        shard.drop(message.id)
        self.serve_soon(message.shard)

    def release(self, replier: shards.Replier, message: messages.Release) -> None:
        """Free the capacity of a finished request and update the policy's estimates."""
        shard = self.shards.get(message.shard)
        if shard is None:
            return
        self._policies[shard.name].learn(message)
        if message.outcome in REJECTED_OUTCOMES:
            shard.rooms.rejected(message.server, shard.count_on(message.server))
        shard.drop(message.id)
        self.serve_soon(message.shard)

    def renewal(self, replier: shards.Replier, message: messages.Renewal) -> None:
        """Renew an owner's leases; a new keeper records its dispatched requests."""
        shard = self._shard(message.shard)
        if shard is not None:
            shard.renew(replier.instance, message.outstanding)
            self.serve_soon(message.shard)

    def progress(self, replier: shards.Replier, message: messages.Progress) -> None:
        """Record which permits are in use and which prompts have been read."""
        shard = self.shards.get(message.shard)
        if shard is not None:
            shard.progress(message)
            self.serve_soon(message.shard)

    def hold(self, floor: messages.Floor) -> bool:
        """Hold a shard's lower tiers back; False if this instance is not its keeper."""
        shard = self._shard(floor.shard) if self.keeps(floor.shard) else None
        if shard is None:
            return False
        shard.cutoffs.hold_back(floor.rank, clock.now() + floor.hold_ms / 1000.0)
        return True

    def health(self, name: str) -> messages.Health:
        """Return the lowest rank that a shard refuses, or -1 for none or unknown."""
        shard = self.shards.get(name)
        if shard is None:
            return messages.Health(name, -1, 0)
        floor, retry_after_ms = shard.health()
        return messages.Health(name, floor, retry_after_ms)

    def serve_soon(self, name: str) -> None:
        """Schedule a pass over a shard's queue after pending messages are read."""
        # Many demands and releases arrive in one read: one pass serves them together.
        if name in self._scheduled:
            return
        self._scheduled.add(name)
        wait = self._next_pass_at.get(name, 0.0) - clock.now()
        loop = asyncio.get_running_loop()
        if wait <= 0.0:
            loop.call_soon(self._serve, name)
        else:
            loop.call_later(wait, self._serve, name)

    async def tick(self) -> None:
        """Expire leases and serve all shards periodically until cancelled."""
        while True:
            self.tick_once()
            await asyncio.sleep(TICK_SECONDS)

    def tick_once(self) -> None:
        """Expire leases and serve all shards once."""
        self._detect_pause()
        self._open_early()
        for name, shard in list(self.shards.items()):
            shard.expire()
            if self.keeps(name):
                self._update_shard(shard)
                self._query_owners(shard)
            self._serve(name)
        self._spillover.report_waits()

    def _open_early(self) -> None:
        """Open the shards that this instance keeps before their first demand arrives.

        A new keeper grants nothing until owners have reported their dispatched
        requests, about a second in a large fleet. If that second began with the first
        demand, it would delay every caller of the shard; begun when the role is
        assigned, it has mostly passed by then.
        """
        if clock.now() - self._members_changed_at < STABLE_SECONDS:
            return
        snapshot = self._configured.current
        if snapshot is None:
            return
        for pool in snapshot.fleet.pools:
            for number in range(snapshot.shard_count(pool)):
                name = f"{pool}#{number}"
                if name not in self.shards and self.keeps(name):
                    self._shard(name)

    def _snapshot(self) -> snapshots.Snapshot | None:
        return self._configured.current

    def _on_health_query(
        self, replier: shards.Replier, query: messages.HealthQuery
    ) -> None:
        replier.send(self.health(query.shard))

    def _detect_pause(self) -> None:
        now = clock.now()
        # After this long without heartbeats, other instances suspect this one and send
        # their demands to another keeper.
        suspect_after = self._settings.membership.suspect_after
        paused = now - self._ticked_at > suspect_after
        self._ticked_at = now
        if paused:
            self._on_pause()

    def _on_pause(self) -> None:
        # The queue is stale after a pause: owners have sent their demands to another
        # keeper, and permits granted from it would load the engines a second time.
        logs.event("keeper_paused")
        for shard in self.shards.values():
            shard.drop_queue()
            shard.close(self._owners_to_query())

    def _shard(self, name: str) -> shards.Shard | None:
        shard = self.shards.get(name)
        if shard is not None:
            return shard
        snapshot = self._configured.current
        if snapshot is None or not snapshot.shard_servers(name):
            return None
        shard = shards.Shard(name, self._settings, self.cold, self.states)
        shard.close(self._owners_to_query())
        shard.rate_budgets.reachable_share = self._alive_share
        shard.rooms.reachable_share = self._alive_share
        shard.exclusions.count_owners = self._count_alive
        shard.may_shed = functools.partial(self._floors.may_shed, name)
        shard.find_sibling = functools.partial(self._spillover.move, name)
        self.shards[name] = shard
        policy = policies.policies.get(self._settings.keeper.policy)
        self._policies[name] = policy(shard)
        self._update_shard(shard)
        self._query_owners(shard)
        self.hand_overs.update([shard], self.keeper_of)
        return shard

    def _owners_to_query(self) -> list[str] | None:
        names = [member.instance for member in self._membership.alive()]
        return names if len(names) <= MAX_QUERIED_OWNERS else None

    def _query_owners(self, shard: shards.Shard) -> None:
        for owner in sorted(shard.unreported_owners):
            if owner == self._settings.instance:
                self._renew_local(shard.name)
                continue
            link = self._membership.link(owner)
            if link is not None:
                link.send(messages.RenewalQuery(shard.name))

    def _on_members_changed(self) -> None:
        self._members_changed_at = clock.now()
        for shard in self.hand_overs.update(self.shards.values(), self.keeper_of):
            shard.close(self._owners_to_query())
            self._query_owners(shard)

    def _count_alive(self) -> int:
        return max(len(self._membership.alive()), 1)

    def _alive_share(self) -> float:
        """Return the share of the fleet's instances that this one considers alive."""
        alive = len(self._membership.alive())
        return min(alive / self._membership.fleet_size(), 1.0)

    def _on_configuration(self) -> None:
        snapshot = self._configured.current
        if snapshot is not None:
            self.cold.update(snapshot.fleet)
            self.states.retain(snapshot.server_starts)
        for shard in self.shards.values():
            self._update_shard(shard)

    def _update_shard(self, shard: shards.Shard) -> None:
        snapshot = self._configured.current
        if snapshot is None:
            return
        servers = snapshot.shard_servers(shard.name)
        pool = snapshot.fleet.pools.get(shard.name.rpartition("#")[0])
        if not servers and (pool is None or pool.servers):
            # The configuration no longer has this shard. Waiting requests were accepted
            # under an earlier revision and are served by the servers of that revision;
            # no new ones arrive.
            return
        shard.servers = {server.name: server for server in servers}
        shard.weights = {
            name: team.weight for name, team in snapshot.fleet.teams.items()
        }
        shard.margins = {
            tier.rank: tier.margin for tier in snapshot.fleet.tiers.values()
        }
        shard.closed_servers = self.draining.intersection(shard.servers)
        for name, server in shard.servers.items():
            listed_server = self._membership.listed.get(name)
            if listed_server is not None and listed_server.leaving:
                shard.closed_servers.add(name)
            if snapshot.is_evacuated(server):
                shard.closed_servers.add(name)

    def _serve(self, name: str) -> None:
        self._detect_pause()
        self._scheduled.discard(name)
        shard = self.shards[name]
        if not self.keeps(name):
            # Another instance is the keeper now; owners send their demands to it again.
            shard.drop_queue()
            self._unacknowledged.pop(name, None)
            return
        if self._pauses.is_current and shard.is_open:
            started_at = clock.now()
            self._policies[name].serve()
            now = clock.now()
            self._next_pass_at[name] = now + (now - started_at) * PASS_DELAY_SHARE
        self._acknowledge(name)

    def _acknowledge(self, name: str) -> None:
        # An owner without an acknowledgement soon considers the keeper silent and stops
        # waiting for it.
        for request_id, replier in self._unacknowledged.pop(name, {}).items():
            if request_id in self.shards[name].queue:
                replier.send(messages.Queued(request_id, name))

    def _on_link_down(self, link: peers.Link) -> None:
        for shard in self.shards.values():
            shard.drop_owner(link)


def _no_local_owner(shard: str) -> None:
    """Do nothing: no local owner is registered yet."""
