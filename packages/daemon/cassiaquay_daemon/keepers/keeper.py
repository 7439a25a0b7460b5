"""The keeper role: admission to the shards that rendezvous hashing gives this instance.

Two instances may take themselves for the keeper of a shard for a while. Engines then
get more than they should; no request is dispatched twice, since only its owner can.
"""

import asyncio
import collections.abc
import functools

from cassiaquay_schema import messages
from cassiaquay_schema import settings as settings_schema

from .. import clock, logs, pause
from ..configured import snapshots
from ..decisions import objectives, policies, shards, slow_start, tiered
from ..fleet import configuration, members
from ..links import peers
from . import baselines, floors, siblings, spillover

DEFAULT_POLICY = tiered.NAME
# Imported for what they register.
POLICIES = (tiered, objectives, baselines)
TICK_SECONDS = 0.1
# After a pass over a queue the keeper rests for this share of the time that it took.
# Under overload each message asks for a pass; without a rest passes would fill the
# processor, and messages, heartbeats and callers of this instance would wait for them.
REST_SHARE = 1.0
# The members must not have changed for so long before shards are taken up without a
# demand: while a fleet starts, each instance that knows few others takes itself for the
# keeper of everything.
CALM_SECONDS = 0.3
# More owners than this are not asked one by one; a new keeper waits for them instead.
MOST_ASKED = 32


class Keeper:
    """All shards that this instance keeps.

    Parameters
    ----------
    settings : Settings
        Policy, lives of permits and leases.
    links : Peers
        Connections from owners.
    membership : Membership
        Which servers leave, and who else may be the keeper.
    configured : Configuration
        The pools.
    pauses : Pauses, optional
        Whether this process has just slept through its leases.
    """

    def __init__(
        self,
        settings: settings_schema.Settings,
        links: peers.Peers,
        membership: members.Membership,
        configured: configuration.Configuration,
        pauses: pause.Pauses | None = None,
    ):
        self.shards: dict[str, shards.Shard] = {}
        # Engines that are about to be loaded or do not have their model yet.
        self.draining: set[str] = set()
        self.cold = slow_start.SlowStart(settings)
        self._settings = settings
        self._membership = membership
        self._configured = configured
        self._policies: dict[str, policies.Policy] = {}
        self._due: set[str] = set()
        # When the next pass over a shard's queue may begin; seconds on this clock.
        self._rested_at: dict[str, float] = {}
        # Demands that have not been acknowledged to their owners yet.
        self._fresh: dict[str, dict[str, shards.Replier]] = {}
        self._pauses = pauses or pause.Pauses(pause.shortest_lease(settings))
        self._pauses.on_resume(self._overslept)
        self._ask_local: collections.abc.Callable[[str], None] = _nothing
        self._ticked_at = clock.now()
        self._changed_at = clock.now()
        mates = siblings.Siblings(
            settings.instance, membership, self.keeper_of, self._snapshot
        )
        self._floors = floors.Floors(links, self, mates)
        self._spillover = spillover.SpillOver(links, self, mates)
        links.on(messages.Demand, self.demand)
        links.on(messages.Withdraw, self.withdraw)
        links.on(messages.Release, self.release)
        links.on(messages.Renewal, self.renewal)
        links.on(messages.Progress, self.progress)
        links.on(messages.HealthQuery, self._health_asked)
        links.on_down(self._lost)
        configured.on_accept(self._refresh)
        membership.on_change(self._members_changed)

    def keeper_of(self, shard: str) -> str:
        """Return the instance that should be the keeper of a shard."""
        if self._settings.keeper.policy == baselines.LOCAL:
            return self._settings.instance
        return self._membership.keeper_of(shard)

    def keeps(self, shard: str) -> bool:
        """Tell whether this instance should be the keeper of a shard."""
        return self.keeper_of(shard) == self._settings.instance

    def policy(self, shard: str) -> policies.Policy | None:
        """Return the policy of a shard that is kept here."""
        return self._policies.get(shard)

    def on_ask(self, call: collections.abc.Callable[[str], None]) -> None:
        """Call ``call`` when this instance's own requests in a shard are asked for."""
        self._ask_local = call

    def demand(self, replier: shards.Replier, demand: messages.Demand) -> None:
        """Queue a demand, or say that another instance is the keeper."""
        keeper = self.keeper_of(demand.shard)
        if keeper != self._settings.instance:
            # Two keepers of a shard would each fill the engines. The owner asks the
            # named one; should that one disagree, the owner's next renewal decides.
            replier.send(messages.NotKeeper(demand.id, keeper))
            return
        shard = self._shard(demand.shard)
        if shard is None:
            replier.send(messages.NotKeeper(demand.id))
            return
        shard.add(demand, replier)
        if demand.acknowledge:
            self._fresh.setdefault(demand.shard, {})[demand.id] = replier
        self.serve_soon(demand.shard)

    def withdraw(self, replier: shards.Replier, message: messages.Withdraw) -> None:
        """Forget a demand or an unused permit."""
        shard = self.shards.get(message.shard)
        if shard is None:
            return
        shard.drop(message.id)
        self.serve_soon(message.shard)

    def release(self, replier: shards.Replier, message: messages.Release) -> None:
        """Free what a finished request held and learn from it."""
        shard = self.shards.get(message.shard)
        if shard is None:
            return
        self._policies[shard.name].learn(message)
        shard.drop(message.id)
        self.serve_soon(message.shard)

    def renewal(self, replier: shards.Replier, message: messages.Renewal) -> None:
        """Renew leases; a new keeper learns from it what is out."""
        shard = self._shard(message.shard)
        if shard is not None:
            shard.renew(replier.instance, message.outstanding)
            self.serve_soon(message.shard)

    def progress(self, replier: shards.Replier, message: messages.Progress) -> None:
        """Take in which permits are in use and which prompts have been read."""
        shard = self.shards.get(message.shard)
        if shard is not None:
            shard.progress(message)
            self.serve_soon(message.shard)

    def hold(self, floor: messages.Floor) -> bool:
        """Hold the lower tiers of a shard back; False when it is not kept here."""
        shard = self._shard(floor.shard) if self.keeps(floor.shard) else None
        if shard is None:
            return False
        shard.cutoffs.hold_back(floor.rank, clock.now() + floor.hold_ms / 1000.0)
        return True

    def health(self, name: str) -> messages.Health:
        """Return what gets through a shard, as far as this instance knows."""
        shard = self.shards.get(name)
        if shard is None:
            return messages.Health(name, -1, 0)
        floor, retry_after_ms = shard.health()
        return messages.Health(name, floor, retry_after_ms)

    def serve_soon(self, name: str) -> None:
        """Look at a shard's queue once the messages at hand are read."""
        # Many demands and releases arrive in one read: serve them once, together.
        if name in self._due:
            return
        self._due.add(name)
        wait = self._rested_at.get(name, 0.0) - clock.now()
        loop = asyncio.get_running_loop()
        if wait <= 0.0:
            loop.call_soon(self._serve, name)
        else:
            loop.call_later(wait, self._serve, name)

    async def tick(self) -> None:
        """Let leases expire and serve again, for ever."""
        while True:
            self.tick_once()
            await asyncio.sleep(TICK_SECONDS)

    def tick_once(self) -> None:
        """Let leases expire and serve again, once."""
        self._wake()
        self._open_early()
        for name, shard in list(self.shards.items()):
            shard.expire()
            if self.keeps(name):
                self._update(shard)
                self._ask(shard)
            self._serve(name)
        self._spillover.announce()

    def _open_early(self) -> None:
        """Take up the shards to be kept here before the first demand comes.

        A keeper grants nothing until it knows what is out, for a second in a large
        fleet. Counted from the first demand, that second is every caller's of that
        shard; counted from when the role is known, it has mostly passed by then.
        """
        if clock.now() - self._changed_at < CALM_SECONDS:
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

    def _health_asked(
        self, replier: shards.Replier, query: messages.HealthQuery
    ) -> None:
        replier.send(self.health(query.shard))

    def _wake(self) -> None:
        now = clock.now()
        # After so long without a sign of life the others turn to another keeper.
        patience = self._settings.membership.suspect_after
        paused = now - self._ticked_at > patience
        self._ticked_at = now
        if paused:
            self._overslept()

    def _overslept(self) -> None:
        # What is queued was true before the pause: its owners have long turned to
        # another keeper, and permits given now would be a second load on the engines.
        logs.event("keeper_paused")
        for shard in self.shards.values():
            shard.drop_queue()
            shard.close(self._owners())

    def _shard(self, name: str) -> shards.Shard | None:
        shard = self.shards.get(name)
        if shard is not None:
            return shard
        snapshot = self._configured.current
        if snapshot is None or not snapshot.shard_servers(name):
            return None
        shard = shards.Shard(name, self._settings, self.cold)
        shard.close(self._owners())
        shard.rations.heard = self._heard
        shard.may_shed = functools.partial(self._floors.ready, name)
        shard.find_sibling = functools.partial(self._spillover.move, name)
        self.shards[name] = shard
        policy = policies.policies.get(self._settings.keeper.policy)
        self._policies[name] = policy(shard)
        self._update(shard)
        self._ask(shard)
        return shard

    def _owners(self) -> list[str] | None:
        names = [member.instance for member in self._membership.alive()]
        return names if len(names) <= MOST_ASKED else None

    def _ask(self, shard: shards.Shard) -> None:
        for owner in sorted(shard.unheard):
            if owner == self._settings.instance:
                self._ask_local(shard.name)
                continue
            link = self._membership.link(owner)
            if link is not None:
                link.send(messages.RenewalQuery(shard.name))

    def _members_changed(self) -> None:
        self._changed_at = clock.now()

    def _heard(self) -> float:
        """Return the part of the fleet's instances that this one hears."""
        alive = len(self._membership.alive())
        return min(alive / self._membership.fleet_size(), 1.0)

    def _refresh(self) -> None:
        snapshot = self._configured.current
        if snapshot is not None:
            self.cold.update(snapshot.fleet)
        for shard in self.shards.values():
            self._update(shard)

    def _update(self, shard: shards.Shard) -> None:
        snapshot = self._configured.current
        if snapshot is None:
            return
        servers = snapshot.shard_servers(shard.name)
        pool = snapshot.fleet.pools.get(shard.name.rpartition("#")[0])
        if not servers and (pool is None or pool.servers):
            # The shard has gone from the configuration. What waits was accepted under
            # an earlier one and is served by that one's servers; nothing new comes.
            return
        shard.servers = {server.name: server for server in servers}
        shard.weights = {
            name: team.weight for name, team in snapshot.fleet.teams.items()
        }
        shard.margins = {
            tier.rank: tier.margin for tier in snapshot.fleet.tiers.values()
        }
        shard.gone = self.draining.intersection(shard.servers)
        for name, server in shard.servers.items():
            line = self._membership.listed.get(name)
            if line is not None and line.leaving:
                shard.gone.add(name)
            if snapshot.is_evacuated(server):
                shard.gone.add(name)

    def _serve(self, name: str) -> None:
        self._wake()
        self._due.discard(name)
        shard = self.shards[name]
        if not self.keeps(name):
            # Handed over: the owners ask the new keeper, nothing is lost here.
            shard.drop_queue()
            self._fresh.pop(name, None)
            return
        if self._pauses.is_current and shard.is_open:
            began = clock.now()
            self._policies[name].serve()
            now = clock.now()
            self._rested_at[name] = now + (now - began) * REST_SHARE
        self._acknowledge(name)

    def _acknowledge(self, name: str) -> None:
        # An owner that hears nothing goes its own way after a moment: those that wait
        # must know that they are waited for.
        for request_id, replier in self._fresh.pop(name, {}).items():
            if request_id in self.shards[name].queue:
                replier.send(messages.Queued(request_id, name))

    def _lost(self, link: peers.Link) -> None:
        for shard in self.shards.values():
            shard.drop_owner(link)


def _nothing(shard: str) -> None:
    """Do nothing: no owner is connected yet."""
