"""The owner's side of admission: sends demands, receives permits, renews leases.

Demands go to the shard's current keeper, the instance that admits requests to the
shard. When the keeper changes or its connection is reopened, they are sent again.
"""

import asyncio

from cassiaquay_schema import messages
from cassiaquay_schema import settings as settings_schema

from .. import clock, exceptions, logs, pause
from ..decisions import lengths, shards
from ..fleet import members
from ..links import peers
from . import keeper, permissions, sending

# Period of reports of dispatches and first events. A keeper delays grants until
# reports show that dispatched prompts have been read, so a longer period idles engines.
PROGRESS_SECONDS = 0.02


# After this many missed renewal periods the process assumes that it was paused. It then
# rejects permits for long enough to read everything that was buffered in the sockets.
PAUSE_RENEWALS = 3.0
REJECT_PERMITS_SECONDS = 0.2
# A live keeper acknowledges a demand within a few round trips; one that doesn't has
# crashed, is paused or is partitioned.
ACKNOWLEDGE_TIMEOUT_SECONDS = 0.15
# Period at which a waiting demand is sent again to check that its keeper is alive.
PROBE_SECONDS = 0.5


ToKeeper = (
    messages.Demand
    | messages.Withdraw
    | messages.Release
    | messages.Renewal
    | messages.Progress
)


class _LocalLink:
    """Replaces the link to the keeper when this instance is the keeper."""

    def __init__(self, instance: str, demands: "Demands"):
        self.instance = instance
        self._demands = demands

    def send(self, message: messages.Message) -> bool:
        asyncio.get_running_loop().call_soon(self._demands.answer, self, message)
        return True


REFUSALS: dict[str, type[exceptions.Refusal]] = {
    "shed_overload": exceptions.Shed,
    "deadline_infeasible": exceptions.DeadlineInfeasible,
    "limit_reached": exceptions.LimitReached,
    "dependency_unavailable": exceptions.DependencyDown,
}


class Demands:
    """Demands and leases of this instance's requests at their keepers.

    Parameters
    ----------
    settings : Settings
        Renewal period.
    links : Peers
        Connections to keepers.
    membership : Membership
        Links to live instances; reports changes of keepers.
    local : Keeper
        This instance's own keeper role.
    reports : ServerReports, optional
        What servers have reported about themselves.
    """

    def __init__(
        self,
        settings: settings_schema.Settings,
        links: peers.Peers,
        membership: members.Membership,
        local: keeper.Keeper,
        reports: sending.ServerReports | None = None,
    ):
        self._reports = reports
        self._settings = settings
        self._membership = membership
        self._keeper = local
        self._local = _LocalLink(settings.instance, self)
        self._pending: dict[str, permissions.Pending] = {}
        self._unused = permissions.Unused()
        self._outstanding: dict[str, dict[str, sending.Sent]] = {}
        self._has_outstanding = asyncio.Event()
        self._lengths = lengths.Lengths()
        self._acknowledged_at: dict[str, float] = {}
        self._last_keepers: dict[str, str] = {}
        self._renewed_at = clock.now()
        self._rejects_permits_until = 0.0
        links.on(messages.Permit, self.answer)
        links.on(messages.Shed, self.answer)
        links.on(messages.NotKeeper, self.answer)
        links.on(messages.Queued, self.answer)
        links.on(messages.Moved, self.answer)
        links.on(messages.RenewalQuery, self.answer)
        links.on_up(self._on_link_up)
        membership.on_change(self._on_members_changed)
        local.on_renewal_query(self._renew_locally)

    async def obtain(
        self, demand: messages.Demand, deadline: float, patience: float | None = None
    ) -> permissions.Permission:
        """Return a permission to dispatch; raise Refusal when the request is shed.

        Parameters
        ----------
        demand : Demand
            The request.
        deadline : float
            Seconds on this clock.
        patience : float, optional
            Raise KeeperUnresponsive when the keeper sends no acknowledgement for this
            many seconds.
        """
        future: asyncio.Future[permissions.Permission] = (
            asyncio.get_running_loop().create_future()
        )
        demand = self._with_estimates(demand)
        if patience is not None:
            demand = demand._replace(acknowledge=True)
        pending = permissions.Pending(demand, deadline, future, clock.now())
        self._pending[demand.id] = pending
        self._send(demand.shard, self._updated_demand(pending))
        try:
            if patience is not None:
                await self._wait_acknowledged(demand.id, patience)
            return await future
        except (asyncio.CancelledError, exceptions.KeeperUnresponsive):
            if future.done() and not future.cancelled():
                # A refusal that has come too late; unread, it would be logged.
                future.exception()
            self.give_back(self._pending[demand.id].demand)
            raise
        finally:
            self._pending.pop(demand.id, None)
            self._acknowledged_at.pop(demand.id, None)

    def give_back(self, demand: messages.Demand) -> None:
        """Withdraw a demand or return an unused permission to the keeper."""
        self._unused.discard(demand.id)
        self._send(demand.shard, messages.Withdraw(demand.id, demand.shard))

    def dispatched(
        self,
        shard: str,
        item: messages.Outstanding,
        answer: sending.Counted | None = None,
    ) -> None:
        """Record that a permission is in use and start renewing its lease."""
        self._unused.discard(item.id)
        self._outstanding.setdefault(shard, {})[item.id] = sending.Sent(item, answer)
        self._has_outstanding.set()

    def release(self, message: messages.Release) -> None:
        """Report the end of a dispatched request to its keeper."""
        sent = self._outstanding.get(message.shard, {}).pop(message.id, None)
        if sent is not None and message.outcome == "completed":
            self._update_estimates(sent.item, message)
        self._send(message.shard, message)

    def answer(self, replier: shards.Replier, message: messages.Message) -> None:
        """Handle a message from a keeper."""
        if isinstance(message, messages.Permit):
            self._accept_permit(replier, message)
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
                self._acknowledged_at[message.id] = clock.now()
            return
        if isinstance(message, messages.Moved):
            self._move_demand(message)
            return
        if isinstance(message, messages.NotKeeper):
            self._redirect(replier, message)

    async def renew(self) -> None:
        """Renew leases and repeat unanswered demands until cancelled."""
        while True:
            await asyncio.sleep(self._settings.keeper.renew_seconds)
            self.renew_once()

    def renew_once(self) -> None:
        """Renew leases and repeat unanswered demands once."""
        if self._was_paused():
            self._rejects_permits_until = clock.now() + REJECT_PERMITS_SECONDS
        self._renewed_at = clock.now()
        for shard in list(self._outstanding):
            self._renew(shard)
        for pending in list(self._pending.values()):
            self._resend(pending)

    async def report(self) -> None:
        """Report dispatches and first events to keepers until cancelled."""
        while True:
            # Without dispatched requests there is nothing to report: don't poll.
            await self._has_outstanding.wait()
            await asyncio.sleep(PROGRESS_SECONDS)
            for shard in list(self._outstanding):
                self._report_progress(shard)

    async def _wait_acknowledged(self, name: str, patience: float) -> None:
        """Return when the demand is decided; raise KeeperUnresponsive otherwise."""
        future = self._pending[name].future
        while True:
            checked_at = clock.now()
            await asyncio.wait([future], timeout=patience)
            is_late = clock.now() - checked_at > patience + pause.LATE_SECONDS
            if is_late and not self._is_acknowledged(name, checked_at):
                # This process stood still, and the demand may not have left it.
                await asyncio.wait([future], timeout=patience)
            if future.done():
                return
            if not self._is_acknowledged(name, checked_at):
                raise exceptions.KeeperUnresponsive(self._pending[name].demand.shard)
            done, _ = await asyncio.wait([future], timeout=PROBE_SECONDS - patience)
            if done:
                return
            self._resend(self._pending[name])

    def _is_acknowledged(self, name: str, since: float) -> bool:
        return self._acknowledged_at.get(name, 0.0) >= since

    def _renew_locally(self, shard: str) -> None:
        self._keeper.renewal(self._local, self._renewal(shard))

    def _report_progress(self, shard: str) -> None:
        now = clock.now()
        steps = []
        for sent in self._outstanding[shard].values():
            step = sent.step(now)
            if step is not None:
                steps.append(step)
        if steps:
            self._send(shard, messages.Progress(shard, steps))

    def _renewal(self, shard: str) -> messages.Renewal:
        sent = self._outstanding.get(shard, {})
        return messages.Renewal(shard, [item.renewed for item in sent.values()])

    def _renew(self, shard: str) -> None:
        if self._outstanding[shard]:
            self._send(shard, self._renewal(shard))
            return
        del self._outstanding[shard]
        if not self._outstanding:
            self._has_outstanding.clear()

    def _with_estimates(self, demand: messages.Demand) -> messages.Demand:
        return demand._replace(
            prompt_tokens=self._lengths.prompt_tokens(
                demand.service, demand.prompt_tokens
            ),
            output_tokens=self._lengths.output_tokens(
                demand.service, demand.team, demand.output_tokens
            ),
        )

    def _update_estimates(
        self, item: messages.Outstanding, message: messages.Release
    ) -> None:
        self._lengths.learn_prompt(
            item.service, item.prompt_tokens, message.prompt_tokens
        )
        self._lengths.learn_answer(
            item.service, item.team, item.output_tokens, message.output_tokens
        )

    def _redirect(self, replier: shards.Replier, message: messages.NotKeeper) -> None:
        # Membership views differ for a moment after a change. The demand is sent to the
        # named keeper once; when that one also redirects it, the next renewal repeats
        # the demand.
        pending = self._pending.get(message.id)
        if pending is None or message.keeper in ("", replier.instance):
            return
        if replier.instance != self._keeper.keeper_of(pending.demand.shard):
            return
        link = self._membership.link(message.keeper)
        if message.keeper == self._settings.instance:
            self._deliver_locally(self._updated_demand(pending))
        elif link is not None:
            link.send(self._updated_demand(pending))

    def _move_demand(self, message: messages.Moved) -> None:
        pending = self._pending.get(message.id)
        if pending is None or pending.demand.shard != message.shard:
            # The request has ended, or its demand has already moved: a demand that was
            # sent twice is also moved twice.
            return
        demand = pending.demand._replace(
            shard=message.target, moves=pending.demand.moves + 1
        )
        pending = self._pending[message.id] = pending._replace(demand=demand)
        self._acknowledged_at[message.id] = clock.now()
        self._resend(pending)

    def _accept_permit(self, replier: shards.Replier, permit: messages.Permit) -> None:
        pending = self._pending.get(permit.id)
        if pending is None:
            self._return_permit(replier, permit)
            return
        if permit.shard != pending.demand.shard:
            # Granted by the shard that the demand has left; only one may be used.
            self._return_permit(replier, permit)
            return
        excluded = {*pending.demand.avoid, *pending.demand.tried}
        if pending.future.done() or permit.server in excluded:
            # A duplicate, or a permit granted before the keeper received the report
            # that this server refused a connection or has had the request. The keeper
            # has received it by now, or the permit expires.
            return
        if self._was_paused() or clock.now() < self._rejects_permits_until:
            # This process was paused. The permit may be as old as the pause, and the
            # disconnections of callers may still be unread: using the permit could
            # dispatch a request without a caller. Return it and demand again later:
            # a permit that is granted at once would be rejected, too.
            self._withdraw(replier, permit)
            self._acknowledged_at[permit.id] = clock.now()
            asyncio.get_running_loop().call_later(
                REJECT_PERMITS_SECONDS, self._repeat, permit.id
            )
            return
        if self._is_blocked(permit):
            self._correct_keeper(replier, permit)
            self._resend(pending)
            return
        expires_at = clock.now() + permit.lifetime_ms / 1000.0
        permission = permissions.Permission(
            permit.server, expires_at, pending.demand.shard, permit.is_charged
        )
        self._unused.add(permit.id, permission)
        pending.future.set_result(permission)

    def _is_blocked(self, permit: messages.Permit) -> bool:
        """Return whether a permit ignores what its server has reported."""
        if self._reports is None:
            return False
        return bool(self._reports.blocking_cause(permit.server, permit.is_charged))

    def _correct_keeper(self, replier: shards.Replier, permit: messages.Permit) -> None:
        # The keeper has just started, or granted before it learned of the report. It
        # answers with its own knowledge if that is newer.
        if self._reports is not None and replier is not self._local:
            self._reports.send_to(replier, permit.server)
        self._withdraw(replier, permit)

    def _return_permit(self, replier: shards.Replier, permit: messages.Permit) -> None:
        # The request has ended, or a second keeper has granted it too: unless the
        # permit is returned, it holds engine capacity until it expires. A duplicate of
        # the permit in use, or about to be, is ignored: returning it would free a slot
        # that the request needs.
        if self._unused.holds(permit):
            return
        sent = self._outstanding.get(permit.shard, {}).get(permit.id)
        if sent is not None and sent.item.server == permit.server:
            return
        self._withdraw(replier, permit)

    def _withdraw(self, replier: shards.Replier, permit: messages.Permit) -> None:
        message = messages.Withdraw(permit.id, permit.shard)
        if replier is self._local:
            self._deliver_locally(message)
        else:
            replier.send(message)

    def _updated_demand(self, waiting: permissions.Pending) -> messages.Demand:
        # The time that a server has asked for concerns this owner only, so each of its
        # demands says so to whichever instance is the keeper.
        excluded = self._reports.excluded_servers() if self._reports else []
        return waiting.updated(excluded)

    def _was_paused(self) -> bool:
        limit_seconds = PAUSE_RENEWALS * self._settings.keeper.renew_seconds
        return clock.now() - self._renewed_at > limit_seconds

    def _repeat(self, request_id: str) -> None:
        pending = self._pending.get(request_id)
        if pending is not None:
            self._resend(pending)

    def _resend(self, pending: permissions.Pending) -> None:
        if not pending.future.done():
            self._send(pending.demand.shard, self._updated_demand(pending))

    def _send(self, shard: str, message: ToKeeper) -> None:
        name = self._keeper.keeper_of(shard)
        self._last_keepers[shard] = name
        if name == self._settings.instance:
            self._deliver_locally(message)
            return
        link = self._membership.link(name)
        if link is not None:
            link.send(message)

    def _deliver_locally(self, message: ToKeeper) -> None:
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

    def _on_link_up(self, link: peers.Link) -> None:
        # Frames sent on the previous connection may be lost: send everything again.
        for shard, name in list(self._last_keepers.items()):
            if name == link.instance:
                self._resend_shard(shard)

    def _on_members_changed(self) -> None:
        for shard, name in list(self._last_keepers.items()):
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
