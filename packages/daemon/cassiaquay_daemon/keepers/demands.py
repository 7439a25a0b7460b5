"""The owner's side of admission: demands out, permits in, leases renewed.

Demands are sent to whichever instance is the keeper now; when that changes, or its
connection breaks, they are sent again.
"""

import asyncio
import typing

from cassiaquay_schema import messages
from cassiaquay_schema import settings as settings_schema

from .. import clock, exceptions, logs
from ..decisions import lengths, shards
from ..fleet import members
from ..links import peers
from . import keeper, sending

# How often dispatches and first events are reported. A keeper holds back until it hears
# that a prompt has been read, so a longer period leaves engines idle.
PROGRESS_SECONDS = 0.02


# Renewals that must have been missed before a pause is concluded, and how long after
# it permits are not taken: enough for all that lay in the sockets to be read.
LATE_RENEWALS = 3.0
VOID_SECONDS = 0.2
# A live keeper acknowledges a demand within a few round trips. One that does not has
# died, is paused or cut off.
ACKNOWLEDGE_TIMEOUT_SECONDS = 0.15
# How often a waiting demand is sent again, to see whether its keeper still lives.
PROBE_SECONDS = 0.5


ToKeeper = (
    messages.Demand
    | messages.Withdraw
    | messages.Release
    | messages.Renewal
    | messages.Progress
)


class Permission(typing.NamedTuple):
    """A permit as its owner holds it.

    Attributes
    ----------
    server : str
        Backend server.
    expires_at : float
        Seconds on this clock; the dispatch must begin before.
    shard : str
        Shard whose keeper gave it; not always the one that was asked first.
    """

    server: str
    expires_at: float
    shard: str


class Pending(typing.NamedTuple):
    """A demand without an answer yet."""

    demand: messages.Demand
    deadline: float
    future: asyncio.Future[Permission]
    made_at: float


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
        self._outstanding: dict[str, dict[str, sending.Sent]] = {}
        self._anything_out = asyncio.Event()
        self._lengths = lengths.Lengths()
        self._signs: dict[str, float] = {}
        self._keepers: dict[str, str] = {}
        self._renewed_at = clock.now()
        self._void_until = 0.0
        links.on(messages.Permit, self.answer)
        links.on(messages.Shed, self.answer)
        links.on(messages.NotKeeper, self.answer)
        links.on(messages.Queued, self.answer)
        links.on(messages.Moved, self.answer)
        links.on(messages.RenewalQuery, self.answer)
        links.on_up(self._up)
        membership.on_change(self._moved)
        local.on_ask(self._renewal_asked)

    async def obtain(
        self, demand: messages.Demand, deadline: float, patience: float | None = None
    ) -> Permission:
        """Return a permission to dispatch; raise Refusal when the request is shed.

        Parameters
        ----------
        demand : Demand
            The request.
        deadline : float
            Seconds on this clock.
        patience : float, optional
            Raise KeeperSilent when the keeper gives no sign for so many seconds.
        """
        future: asyncio.Future[Permission] = asyncio.get_running_loop().create_future()
        demand = self._estimated(demand)
        if patience is not None:
            demand = demand._replace(acknowledge=True)
        self._pending[demand.id] = Pending(demand, deadline, future, clock.now())
        self._notify(demand.shard, demand)
        try:
            if patience is not None:
                await self._watch(demand.id, patience)
            return await future
        except (asyncio.CancelledError, exceptions.KeeperSilent):
            self.give_back(self._pending[demand.id].demand)
            raise
        finally:
            self._pending.pop(demand.id, None)
            self._signs.pop(demand.id, None)

    def give_back(self, demand: messages.Demand) -> None:
        """Give back a permission that was not used."""
        self._notify(demand.shard, messages.Withdraw(demand.id, demand.shard))

    def dispatched(
        self,
        shard: str,
        item: messages.Outstanding,
        answer: sending.Counted | None = None,
    ) -> None:
        """Note that a permission is in use; its lease is renewed from now on."""
        self._outstanding.setdefault(shard, {})[item.id] = sending.Sent(item, answer)
        self._anything_out.set()

    def release(self, message: messages.Release) -> None:
        """Tell the keeper that a dispatched request has ended."""
        sent = self._outstanding.get(message.shard, {}).pop(message.id, None)
        if sent is not None and message.outcome == "completed":
            self._learn(sent.item, message)
        self._notify(message.shard, message)

    def answer(self, replier: shards.Replier, message: messages.Message) -> None:
        """Take a keeper's answer."""
        if isinstance(message, messages.Permit):
            self._permit(replier, message)
            return
        if isinstance(message, messages.Shed):
            pending = self._pending.get(message.id)
            if pending is not None and not pending.future.done():
                kind = REFUSALS.get(message.code, exceptions.Shed)
                pending.future.set_exception(
                    kind(retry_after_ms=message.retry_after_ms)
                )
            return
        if isinstance(message, messages.RenewalQuery):
            replier.send(self._renewal(message.shard))
            return
        if isinstance(message, messages.Queued):
            if message.id in self._pending:
                self._signs[message.id] = clock.now()
            return
        if isinstance(message, messages.Moved):
            self._elsewhere(message)
            return
        if isinstance(message, messages.NotKeeper):
            self._redirected(replier, message)

    async def renew(self) -> None:
        """Renew leases and repeat unanswered demands for ever."""
        while True:
            await asyncio.sleep(self._settings.keeper.renew_seconds)
            if self._is_late():
                self._void_until = clock.now() + VOID_SECONDS
            self._renewed_at = clock.now()
            for shard in list(self._outstanding):
                self._renew(shard)
            for pending in list(self._pending.values()):
                self._resend(pending)

    async def report(self) -> None:
        """Tell keepers of dispatches and first events for ever."""
        while True:
            # An instance that has nothing out sleeps: most do, most of the time.
            await self._anything_out.wait()
            await asyncio.sleep(PROGRESS_SECONDS)
            for shard in list(self._outstanding):
                self._report(shard)

    async def _watch(self, name: str, patience: float) -> None:
        """Return with the answer; raise KeeperSilent when nobody gives a sign."""
        future = self._pending[name].future
        while True:
            renewed_at = clock.now()
            done, _ = await asyncio.wait([future], timeout=patience)
            if done:
                return
            if self._signs.get(name, 0.0) < renewed_at:
                raise exceptions.KeeperSilent(self._pending[name].demand.shard)
            done, _ = await asyncio.wait([future], timeout=PROBE_SECONDS - patience)
            if done:
                return
            self._resend(self._pending[name])

    def _renewal_asked(self, shard: str) -> None:
        self._keeper.renewal(self._local, self._renewal(shard))

    def _report(self, shard: str) -> None:
        now = clock.now()
        steps = []
        for sent in self._outstanding[shard].values():
            step = sent.step(now)
            if step is not None:
                steps.append(step)
        if steps:
            self._notify(shard, messages.Progress(shard, steps))

    def _renewal(self, shard: str) -> messages.Renewal:
        sent = self._outstanding.get(shard, {})
        return messages.Renewal(shard, [item.renewed for item in sent.values()])

    def _renew(self, shard: str) -> None:
        if self._outstanding[shard]:
            self._notify(shard, self._renewal(shard))
            return
        del self._outstanding[shard]
        if not self._outstanding:
            self._anything_out.clear()

    def _estimated(self, demand: messages.Demand) -> messages.Demand:
        return demand._replace(
            prompt_tokens=self._lengths.prompt_tokens(
                demand.service, demand.prompt_tokens
            ),
            output_tokens=self._lengths.output_tokens(
                demand.service, demand.team, demand.output_tokens
            ),
        )

    def _learn(self, item: messages.Outstanding, message: messages.Release) -> None:
        self._lengths.learn_prompt(
            item.service, item.prompt_tokens, message.prompt_tokens
        )
        self._lengths.learn_answer(
            item.service, item.team, item.output_tokens, message.output_tokens
        )

    def _redirected(self, replier: shards.Replier, message: messages.NotKeeper) -> None:
        # The views differ for a moment. The named keeper is asked once, at once; when
        # it disagrees too, the next renewal asks again.
        pending = self._pending.get(message.id)
        if pending is None or message.keeper in ("", replier.instance):
            return
        if replier.instance != self._keeper.keeper_of(pending.demand.shard):
            return
        link = self._membership.link(message.keeper)
        if message.keeper == self._settings.instance:
            self._notify_local(self._now(pending))
        elif link is not None:
            link.send(self._now(pending))

    def _elsewhere(self, message: messages.Moved) -> None:
        pending = self._pending.get(message.id)
        if pending is None or pending.demand.shard != message.shard:
            # It has ended, or has been moved before: a demand that was sent twice is
            # moved twice.
            return
        demand = pending.demand._replace(
            shard=message.target, moves=pending.demand.moves + 1
        )
        pending = self._pending[message.id] = pending._replace(demand=demand)
        self._signs[message.id] = clock.now()
        self._resend(pending)

    def _permit(self, replier: shards.Replier, permit: messages.Permit) -> None:
        pending = self._pending.get(permit.id)
        if pending is None:
            self._give_back(replier, permit)
            return
        if permit.shard != pending.demand.shard:
            # Granted where it was before it was moved; only one may be used.
            self._give_back(replier, permit)
            return
        if pending.future.done() or permit.server in pending.demand.avoid:
            # A repeat, or one given before the keeper knew that this server refused a
            # connection. The keeper knows by now, or the permit expires.
            return
        if self._is_late() or clock.now() < self._void_until:
            # This process was paused. The permit may have lain in the socket for as
            # long as that, and the callers' disconnections lie there too: taken now,
            # it would dispatch work that nobody waits for. Ask again instead.
            replier.send(messages.Withdraw(permit.id, permit.shard))
            self._resend(pending)
            return
        expires_at = clock.now() + permit.lifetime_ms / 1000.0
        pending.future.set_result(
            Permission(permit.server, expires_at, pending.demand.shard)
        )

    def _give_back(self, replier: shards.Replier, permit: messages.Permit) -> None:
        # The request has ended meanwhile, or a second keeper has granted too: without
        # this the engine's capacity would be held until the permit's end. A repeat of
        # the permit in use is left alone, giving it back would free a busy engine.
        sent = self._outstanding.get(permit.shard, {}).get(permit.id)
        if sent is not None and sent.item.server == permit.server:
            return
        replier.send(messages.Withdraw(permit.id, permit.shard))

    def _now(self, pending: Pending) -> messages.Demand:
        now = clock.now()
        remaining = int((pending.deadline - now) * 1000.0)
        demand = pending.demand._replace(remaining_ms=max(remaining, 0))
        if not demand.first_ms:
            return demand
        passed = int((now - pending.made_at) * 1000.0)
        return demand._replace(first_ms=max(demand.first_ms - passed, 1))

    def _is_late(self) -> bool:
        late = LATE_RENEWALS * self._settings.keeper.renew_seconds
        return clock.now() - self._renewed_at > late

    def _resend(self, pending: Pending) -> None:
        if not pending.future.done():
            self._notify(pending.demand.shard, self._now(pending))

    def _notify(self, shard: str, message: ToKeeper) -> None:
        name = self._keeper.keeper_of(shard)
        self._keepers[shard] = name
        if name == self._settings.instance:
            self._notify_local(message)
            return
        link = self._membership.link(name)
        if link is not None:
            link.send(message)

    def _notify_local(self, message: ToKeeper) -> None:
        if isinstance(message, messages.Demand):
            self._keeper.demand(self._local, message)
        elif isinstance(message, messages.Withdraw):
            self._keeper.withdraw(self._local, message)
        elif isinstance(message, messages.Release):
            self._keeper.release(self._local, message)
        elif isinstance(message, messages.Progress):
            self._keeper.progress(self._local, message)
        else:
            self._keeper.renewal(self._local, message)

    def _up(self, link: peers.Link) -> None:
        # Frames sent on the old connection may be lost: send everything again.
        for shard, name in list(self._keepers.items()):
            if name == link.instance:
                self._resend_shard(shard)

    def _moved(self) -> None:
        for shard, name in list(self._keepers.items()):
            if self._keeper.keeper_of(shard) == name:
                continue
            logs.event(
                "keeper_moved", shard=shard, keeper=self._keeper.keeper_of(shard)
            )
            self._resend_shard(shard)

    def _resend_shard(self, shard: str) -> None:
        if shard in self._outstanding:
            self._renew(shard)
        for pending in list(self._pending.values()):
            if pending.demand.shard == shard:
                self._resend(pending)
