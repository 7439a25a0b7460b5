"""The keeper role: admission to the shards that rendezvous hashing gives this instance.

Two instances may take themselves for the keeper of a shard for a while. Engines then
get more than they should; no request is dispatched twice, since only its owner can.
"""

import asyncio

from cassiaquay_schema import messages
from cassiaquay_schema import settings as settings_schema

from . import configuration, members, pause, peers, policies, shards

TICK_SECONDS = 0.1


class Keeper:
    """All shards that this instance keeps.

    Parameters
    ----------
    settings : Settings
        Policy, lives of permits and leases.
    links : Peers
        Connections from owners.
    membership : Membership
        Which servers leave.
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
        self._settings = settings
        self._membership = membership
        self._configured = configured
        self._policies: dict[str, policies.Policy] = {}
        self._due: set[str] = set()
        self._pauses = pauses or pause.Pauses(pause.shortest_lease(settings))
        self._pauses.on_overslept(self._overslept)
        links.on(messages.Demand, self.demand)
        links.on(messages.Withdraw, self.withdraw)
        links.on(messages.Release, self.release)
        links.on(messages.Renewal, self.renewal)
        links.on_down(self._lost)
        configured.on_accept(self._refresh)

    def demand(self, replier: shards.Replier, demand: messages.Demand) -> None:
        """Queue a demand, or say that another instance is the keeper."""
        shard = self._shard(demand.shard)
        if shard is None:
            replier.send(messages.NotKeeper(demand.id))
            return
        shard.add(demand, replier)
        self._serve_soon(shard.name)

    def withdraw(self, replier: shards.Replier, message: messages.Withdraw) -> None:
        """Forget a demand or an unused permit."""
        shard = self.shards.get(message.shard)
        if shard is None:
            return
        shard.drop(message.id)
        self._serve_soon(shard.name)

    def release(self, replier: shards.Replier, message: messages.Release) -> None:
        """Free what a finished request held and learn from it."""
        shard = self.shards.get(message.shard)
        if shard is None:
            return
        shard.drop(message.id)
        self._policies[shard.name].learn(message)
        self._serve_soon(shard.name)

    def renewal(self, replier: shards.Replier, message: messages.Renewal) -> None:
        """Renew leases; a new keeper learns from it what is out."""
        shard = self._shard(message.shard)
        if shard is not None:
            shard.renew(replier.instance, message.outstanding)

    async def tick(self) -> None:
        """Let leases expire and serve again, for ever."""
        while True:
            for shard in list(self.shards.values()):
                self._update(shard)
                shard.expire()
                self._serve(shard.name)
            await asyncio.sleep(TICK_SECONDS)

    def _shard(self, name: str) -> shards.Shard | None:
        shard = self.shards.get(name)
        if shard is not None:
            return shard
        snapshot = self._configured.current
        if snapshot is None or not snapshot.shard_servers(name):
            return None
        shard = shards.Shard(name, self._settings)
        self.shards[name] = shard
        policy = policies.policies.get(self._settings.keeper.policy)
        self._policies[name] = policy(shard)
        self._update(shard)
        return shard

    def _refresh(self) -> None:
        for shard in self.shards.values():
            self._update(shard)

    def _update(self, shard: shards.Shard) -> None:
        snapshot = self._configured.current
        if snapshot is None:
            return
        servers = snapshot.shard_servers(shard.name)
        if not servers:
            # The shard has gone from the configuration. What waits was accepted under
            # an earlier one and is served by that one's servers; nothing new comes.
            return
        shard.servers = {server.name: server for server in servers}
        shard.gone = self.draining.intersection(shard.servers)
        for name in shard.servers:
            line = self._membership.listed.get(name)
            if line is not None and line.leaving:
                shard.gone.add(name)

    def _serve_soon(self, name: str) -> None:
        # Many demands and releases arrive in one read: serve them once, together.
        if name in self._due:
            return
        self._due.add(name)
        asyncio.get_running_loop().call_soon(self._serve, name)

    def _serve(self, name: str) -> None:
        self._due.discard(name)
        shard = self.shards[name]
        if not self._pauses.current or not shard.is_open:
            return
        self._policies[name].serve()

    def _overslept(self) -> None:
        # The leases that owners renewed meanwhile look expired here: the engines
        # would be taken for idle. Owners tell anew what is out, as to a new keeper.
        for shard in self.shards.values():
            shard.reopen()

    def _lost(self, link: peers.Link) -> None:
        for shard in self.shards.values():
            shard.drop_owner(link)
