"""The owner's side of admission: demands out, permits in, leases renewed.

Demands are told to whichever instance is the keeper now; when that changes, or its
connection breaks, they are told again.
"""

import asyncio
import typing

from cassiaquay_schema import messages
from cassiaquay_schema import settings as settings_schema

from . import baselines, clock, exceptions, keeper, logs, members, peers, shards


class Permission(typing.NamedTuple):
    """A permit as its owner holds it.

    Attributes
    ----------
    server : str
        Backend server.
    expires_at : float
        Seconds on this clock; the dispatch must begin before.
    """

    server: str
    expires_at: float


class Pending(typing.NamedTuple):
    """A demand without an answer yet."""

    demand: messages.Demand
    deadline: float
    future: asyncio.Future[Permission]


class _Local:
    """Stands for the link when this instance is the keeper itself."""

    def __init__(self, instance: str, demands: "Demands"):
        self.instance = instance
        self._demands = demands

    def send(self, message: messages.Message) -> bool:
        asyncio.get_running_loop().call_soon(self._demands.answer, self, message)
        return True


REFUSALS: dict[str, type[exceptions.Refusal]] = {
    "shed_overload": exceptions.Shed,
    "deadline_infeasible": exceptions.Infeasible,
    "limit_reached": exceptions.LimitReached,
    "dependency_unavailable": exceptions.DependencyDown,
}


class Demands:
    """Everything that this instance asks of keepers.

    Parameters
    ----------
    settings : Settings
        Period of renewals.
    links : Peers
        Connections to keepers.
    membership : Membership
        Who is the keeper.
    local : Keeper
        This instance's own keeper role.
    """

    def __init__(
        self,
        settings: settings_schema.Settings,
        links: peers.Peers,
        membership: members.Membership,
        local: keeper.Keeper,
    ):
        self._settings = settings
        self._membership = membership
        self._keeper = local
        self._local = _Local(settings.instance, self)
        self._pending: dict[str, Pending] = {}
        self._outstanding: dict[str, dict[str, messages.Outstanding]] = {}
        self._keepers: dict[str, str] = {}
        links.on(messages.Permit, self.answer)
        links.on(messages.Shed, self.answer)
        links.on(messages.NotKeeper, self.answer)
        links.on_up(self._up)
        membership.on_change(self._moved)

    async def obtain(self, demand: messages.Demand, deadline: float) -> Permission:
        """Return a permission to dispatch; raise Refusal when the request is shed."""
        future: asyncio.Future[Permission] = asyncio.get_running_loop().create_future()
        self._pending[demand.id] = Pending(demand, deadline, future)
        self._tell(demand.shard, demand)
        try:
            return await future
        except asyncio.CancelledError:
            self._tell(demand.shard, messages.Withdraw(demand.id, demand.shard))
            raise
        finally:
            self._pending.pop(demand.id, None)

    def give_back(self, demand: messages.Demand) -> None:
        """Give back a permission that was not used."""
        self._tell(demand.shard, messages.Withdraw(demand.id, demand.shard))

    def dispatched(self, shard: str, item: messages.Outstanding) -> None:
        """Note that a permission is in use; its lease is renewed from now on."""
        self._outstanding.setdefault(shard, {})[item.id] = item

    def release(self, message: messages.Release) -> None:
        """Tell the keeper that a dispatched request has ended."""
        self._outstanding.get(message.shard, {}).pop(message.id, None)
        self._tell(message.shard, message)

    def answer(self, replier: shards.Replier, message: messages.Message) -> None:
        """Take a keeper's answer."""
        if isinstance(message, messages.Permit):
            self._permit(message)
            return
        if isinstance(message, messages.Shed):
            pending = self._pending.get(message.id)
            if pending is not None and not pending.future.done():
                kind = REFUSALS.get(message.code, exceptions.Shed)
                pending.future.set_exception(
                    kind(retry_after_ms=message.retry_after_ms)
                )
            return
        # NotKeeper: the views differ for a moment; the renewal loop asks again.

    async def renew(self) -> None:
        """Renew leases and repeat unanswered demands for ever."""
        while True:
            await asyncio.sleep(self._settings.keeper.renew_seconds)
            for shard in list(self._outstanding):
                self._renew(shard)
            for pending in list(self._pending.values()):
                self._tell_again(pending)

    def _renew(self, shard: str) -> None:
        items = list(self._outstanding[shard].values())
        if items:
            self._tell(shard, messages.Renewal(shard, items))
            return
        del self._outstanding[shard]

    def _permit(self, permit: messages.Permit) -> None:
        pending = self._pending.get(permit.id)
        if pending is None or pending.future.done():
            # The request has ended meanwhile, or a second keeper has granted too.
            return
        expires_at = clock.now() + permit.lifetime_ms / 1000.0
        pending.future.set_result(Permission(permit.server, expires_at))

    def _tell_again(self, pending: Pending) -> None:
        if pending.future.done():
            return
        remaining = int((pending.deadline - clock.now()) * 1000.0)
        demand = pending.demand._replace(remaining_ms=max(remaining, 0))
        self._tell(demand.shard, demand)

    def _tell(
        self,
        shard: str,
        message: messages.Demand
        | messages.Withdraw
        | messages.Release
        | messages.Renewal,
    ) -> None:
        name = self._keeper_of(shard)
        self._keepers[shard] = name
        if name == self._settings.instance:
            self._tell_local(message)
            return
        link = self._membership.link(name)
        if link is not None:
            link.send(message)

    def _keeper_of(self, shard: str) -> str:
        if self._settings.keeper.policy == baselines.LOCAL:
            return self._settings.instance
        return self._membership.keeper_of(shard)

    def _tell_local(
        self,
        message: messages.Demand
        | messages.Withdraw
        | messages.Release
        | messages.Renewal,
    ) -> None:
        if isinstance(message, messages.Demand):
            self._keeper.demand(self._local, message)
        elif isinstance(message, messages.Withdraw):
            self._keeper.withdraw(self._local, message)
        elif isinstance(message, messages.Release):
            self._keeper.release(self._local, message)
        else:
            self._keeper.renewal(self._local, message)

    def _up(self, link: peers.Link) -> None:
        # Frames sent on the old connection may be lost: tell everything anew.
        for shard, name in list(self._keepers.items()):
            if name == link.instance:
                self._tell_shard(shard)

    def _moved(self) -> None:
        for shard, name in list(self._keepers.items()):
            if self._keeper_of(shard) == name:
                continue
            logs.event("keeper_moved", shard=shard, keeper=self._keeper_of(shard))
            self._tell_shard(shard)

    def _tell_shard(self, shard: str) -> None:
        if shard in self._outstanding:
            self._renew(shard)
        for pending in list(self._pending.values()):
            if pending.demand.shard == shard:
                self._tell_again(pending)
