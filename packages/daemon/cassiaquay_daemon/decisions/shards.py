"""A keeper's state of one shard: owners' (accepting instances') demands and permits."""

import collections.abc
import typing

from cassiaquay_schema import fleet, messages
from cassiaquay_schema import settings as settings_schema

from .. import clock, logs
from . import (
    brittle_servers,
    exclusions,
    grants,
    loads,
    lone_shards,
    pool_shares,
    prefixes,
    priority_cutoffs,
    rate_budgets,
    server_states,
    slow_start,
)

# Time for the report of a dispatch to reach the keeper after the permit has expired.
DISPATCH_REPORT_SECONDS = 0.4
# Owners repeat unanswered demands every renewal period; one not repeated for this many
# periods has lost its owner, or was read after a pause of this process.
STALE_PERIODS = 4.0
DOWN_RETRY_MS = 2000


class Replier(typing.Protocol):
    """Sends answers to an owner: over a link, or within this process."""

    instance: str

    def send(self, message: messages.Message) -> bool:
        """Send a message; return False when it cannot be sent."""


class Waiting(typing.NamedTuple):
    """A demand in the queue.

    Attributes
    ----------
    demand : Demand
        The demand as the owner sent it last.
    replier : Replier
        Sends the answer to the owner.
    arrived_at, deadline, renewed_at : float
        Seconds on this clock; the owner sent it last at ``renewed_at``.
    """

    demand: messages.Demand
    replier: Replier
    arrived_at: float
    deadline: float
    renewed_at: float = 0.0


class Observer(typing.Protocol):
    """Receives each change of a shard, which avoids scanning its whole state."""

    def queued(self, waiting: Waiting) -> None:
        """Handle a demand that was added to the queue."""

    def unqueued(self, waiting: Waiting) -> None:
        """Handle a demand that was removed from the queue."""

    def advanced(self, server: str, tokens: int, seconds: float) -> None:
        """Handle an answer that grew by ``tokens`` (possibly 0) in ``seconds``."""

    def started(self, running: grants.Running, finished: loads.FinishedPrefill) -> None:
        """Handle the first event after a prompt's prefill."""

    def stopped(self, running: grants.Running) -> None:
        """Handle the end of a permit or a dispatch, with whatever outcome."""


class Shard:
    """The keeper's state of one shard: soft state, rebuilt from the owners' reports.

    Parameters
    ----------
    name : str
        Pool and number, as in ``tutor#0``.
    settings : Settings
        Lifetimes of permits and leases, limits.
    cold : SlowStart, optional
        Tracks which servers are cold.
    states : ServerStates, optional
        What servers have reported about themselves.
    """

    def __init__(
        self,
        name: str,
        settings: settings_schema.Settings,
        cold: slow_start.SlowStart | None = None,
        states: server_states.ServerStates | None = None,
    ):
        self.name = name
        self.settings = settings
        self.queue: dict[str, Waiting] = {}
        self.running: dict[str, grants.Running] = {}
        self.servers: dict[str, fleet.Server] = {}
        self.closed_servers: set[str] = set()
        self.weights: dict[str, float] = {}
        self.margins: dict[int, float] = {}
        self.may_shed: collections.abc.Callable[[int], bool] = lone_shards.may_shed
        # Returns another shard of the pool in which a demand waits less than the given
        # seconds, or "". `waits` returns the expected wait here of new demands by rank.
        self.find_sibling: collections.abc.Callable[[Waiting, float], str] = (
            lone_shards.no_sibling
        )
        self.waits: collections.abc.Callable[[], list[messages.RankWait]] = list
        self.shares = pool_shares.PoolShares(settings)
        self.cutoffs = priority_cutoffs.PriorityCutoffs()
        self.cold = cold or slow_start.SlowStart(settings)
        self.states = states or server_states.ServerStates(settings)
        self.rooms = brittle_servers.Rooms(self.states.brittle)
        self.rate_budgets = rate_budgets.RateBudgets([self.cold, self.states.limits])
        self.exclusions = exclusions.Exclusions(name)
        self._loads: dict[str, loads.Load] = {}
        self._observers: list[Observer] = []
        self._unreported_owners: set[str] = set()
        self._opens_at = 0.0
        self.close()

    @property
    def is_open(self) -> bool:
        """Whether this keeper may grant: all owners reported, or the time is up."""
        return not self._unreported_owners or clock.now() >= self._opens_at

    def close(self, owners: typing.Collection[str] | None = None) -> None:
        """Grant nothing until the owners have reported their outstanding requests.

        Parameters
        ----------
        owners : collection of str, optional
            Live instances; the shard opens early when all of them have reported.
        """
        # Granting at once would overload full engines and make every answer late. The
        # placeholder for unknown owners never reports: `_opens_at` opens the shard.
        self._unreported_owners = {"nobody"} if owners is None else set(owners)
        self._opens_at = clock.now() + self.settings.keeper.renew_seconds * 1.5
        self.rate_budgets.clear()

    @property
    def unreported_owners(self) -> set[str]:
        """Owners that have not reported their outstanding requests; empty once open."""
        return set() if self.is_open else self._unreported_owners

    def observe(self, observer: Observer) -> None:
        """Report the changes of this shard to ``observer`` from now on."""
        self._observers.append(observer)

    def load(self, server: str) -> loads.Load:
        """Return the running totals of a server, created at the first call."""
        load = self._loads.get(server)
        if load is None:
            load = self._loads[server] = loads.Load()
        return load

    def add(self, demand: messages.Demand, replier: Replier) -> None:
        """Queue a demand, or renew it when its owner repeats it."""
        now = clock.now()
        for server in demand.avoid:
            self.exclusions.report(server, replier.instance, demand.id)
            self.cold.suspect_restart(server)
        demand = self.exclusions.apply(demand, replier.instance)
        if not prefixes.is_consistent(demand.blocks, demand.block_count):
            # Other versions sample other blocks; no affinity beats a wrong one.
            demand = demand._replace(blocks=[], block_count=0)
        running = self.running.get(demand.id)
        if running is not None:
            # The owner repeats the demand because the permit was lost with a
            # connection. Without another one it would wait until that permit expires.
            left = running.expires_at - DISPATCH_REPORT_SECONDS - now
            if not running.dispatched and left > 0:
                permit = messages.Permit(
                    demand.id,
                    running.server,
                    int(left * 1000),
                    self.name,
                    running.is_charged,
                )
                replier.send(permit)
            return
        waiting = self.queue.get(demand.id)
        deadline = now + demand.remaining_ms / 1000.0
        if waiting is not None:
            self.queue[demand.id] = waiting._replace(
                demand=demand, replier=replier, deadline=deadline, renewed_at=now
            )
            return
        waiting = Waiting(demand, replier, now, deadline, now)
        self.queue[demand.id] = waiting
        for observer in self._observers:
            observer.queued(waiting)

    def drop(self, request_id: str) -> None:
        """Remove a demand or a permit."""
        self._unqueue(request_id)
        self._remove_running(request_id)

    def drop_owner(self, link: Replier) -> None:
        """Remove the demands that arrived over a link that has closed.

        Permits and dispatches stay until their leases expire: the owner may still be
        reachable over another link, and its requests keep running on the engines.
        """
        for request_id in list(self.queue):
            if self.queue[request_id].replier is link:
                self._unqueue(request_id)

    def drop_queue(self) -> None:
        """Remove all demands; their owners resend those that are still waiting."""
        for request_id in list(self.queue):
            self._unqueue(request_id)

    def renew(self, owner: str, outstanding: list[messages.Outstanding]) -> None:
        """Accept an owner's list of running requests, whichever keeper granted them."""
        now = clock.now()
        lease = now + self.settings.keeper.lease_seconds
        listed_ids = set()
        for item in outstanding:
            listed_ids.add(item.id)
            self._unqueue(item.id)
            self._renew(owner, item, now, lease)
        for request_id, running in list(self.running.items()):
            # Missing from this renewal: it has ended and its release was lost.
            if running.owner == owner and running.dispatched:
                if request_id not in listed_ids:
                    self._remove_running(request_id)
        self._unreported_owners.discard(owner)

    def progress(self, message: messages.Progress) -> None:
        """Record which permits were used and which prompts had their first event."""
        now = clock.now()
        for step in message.steps:
            running = self.running.get(step.id)
            if running is None:
                continue
            at = now - step.age_ms / 1000.0
            lease = now + self.settings.keeper.lease_seconds
            self.running[step.id] = running.note_sent(at)._replace(expires_at=lease)
            if not step.started:
                continue
            finished = self.load(running.server).finish_prefill(step.id, at)
            self.exclusions.confirm_alive(running.server, running.owner)
            self.cold.confirm_alive(running.server, running.sent_at)
            if finished is None:
                continue
            self.running[step.id] = self.running[step.id]._replace(
                produced=1, produced_at=at
            )
            for observer in self._observers:
                observer.started(running, finished)

    def grant(
        self,
        waiting: Waiting,
        server: str,
        cached_tokens: int = 0,
        expected_seconds: float = 0.0,
    ) -> None:
        """Send a permit for a demand.

        Parameters
        ----------
        waiting : Waiting
            A demand of the queue.
        server : str
            Backend server.
        cached_tokens : int
            Prompt tokens that its cache probably holds.
        expected_seconds : float
            Estimated time to the first event.
        """
        demand = waiting.demand
        self._unqueue(demand.id)
        now = clock.now()
        keeper = self.settings.keeper
        # Unused permits are not renewed; their capacity is released after they expire.
        permit_ms = self.rate_budgets.granted(server, keeper.permit_ms)
        expires_at = now + permit_ms / 1000.0 + DISPATCH_REPORT_SECONDS
        running = grants.Running(
            waiting.replier.instance,
            server,
            demand.prompt_tokens + demand.output_tokens,
            expires_at,
            demand,
            cached_tokens=cached_tokens,
            is_charged=self.states.limits.holds(server),
        )
        self._add_running(demand.id, running)
        uncached = max(demand.prompt_tokens - cached_tokens, 0)
        self.load(server).add_prefill(demand.id, uncached, now, expected_seconds)
        logs.detail("granted", id=demand.id, shard=self.name, rank=demand.rank)
        permit = messages.Permit(
            demand.id, server, permit_ms, self.name, running.is_charged
        )
        waiting.replier.send(permit)

    def shed(
        self,
        waiting: Waiting,
        code: str,
        retry_after_ms: int,
        needed_seconds: float | None = None,
    ) -> None:
        """Refuse a demand; ``needed_seconds`` is the estimate that led to it."""
        self._unqueue(waiting.demand.id)
        rank, team = waiting.demand.rank, waiting.demand.team
        share = self.shares.count_shed(rank, team, self.weights)
        needed_ms = needed_seconds and round(needed_seconds * 1000.0, 1)
        logs.event(
            "shed",
            id=waiting.demand.id,
            shard=self.name,
            rank=rank,
            team_share=share and round(share.share, 3),
            fair_share=share and round(share.fair_share, 3),
            code=code,
            waited_ms=round((clock.now() - waiting.arrived_at) * 1000.0, 1),
            left_ms=round((waiting.deadline - clock.now()) * 1000.0, 1),
            needed_ms=needed_ms,
            retry_after_ms=retry_after_ms,
        )
        waiting.replier.send(messages.Shed(waiting.demand.id, code, retry_after_ms))

    def move(self, waiting: Waiting, limit: float) -> bool:
        """Redirect a demand to a shard where it waits less; False if there is none."""
        demand = waiting.demand
        if demand.software is not None or demand.begins_at is not None:
            # Its owner has chosen the shard by the servers of that version.
            return False
        target = self.find_sibling(waiting, limit)
        if not target:
            return False
        self._unqueue(demand.id)
        logs.event(
            "moved",
            id=demand.id,
            shard=self.name,
            target=target,
            rank=demand.rank,
            moves=demand.moves,
        )
        waiting.replier.send(messages.Moved(demand.id, self.name, target))
        return True

    def expire(self) -> None:
        """Remove leases that were not renewed and demands that were not repeated."""
        now = clock.now()
        self.exclusions.expire()
        for request_id in list(self.running):
            if self.running[request_id].expires_at < now:
                self._remove_running(request_id)
        horizon = now - self.settings.keeper.renew_seconds * STALE_PERIODS
        for request_id in list(self.queue):
            if self.queue[request_id].renewed_at < horizon:
                self._unqueue(request_id)

    def health(self) -> tuple[int, int]:
        """Return the rank from which on requests are refused, and Retry-After in ms.

        The rank is -1 when no rank is refused, 0 when no server can be reached.
        """
        is_excluded = self.exclusions.is_excluded
        if all(is_excluded(item.name) for item in self.open_servers()):
            return 0, DOWN_RETRY_MS
        return self.cutoffs.floor

    def open_servers(self) -> list[fleet.Server]:
        """Return the servers that may get new work."""
        closed = self.closed_servers.union(self.states.departures.leaving_servers())
        return [server for name, server in self.servers.items() if name not in closed]

    def tokens_on(self, server: str) -> int:
        """Return the tokens in flight on a server."""
        return self.load(server).tokens

    def count_on(self, server: str) -> int:
        """Return the requests in flight on a server."""
        return self.load(server).count

    def _renew(
        self, owner: str, item: messages.Outstanding, now: float, lease: float
    ) -> None:
        running = self.running.get(item.id)
        if running is not None and running.server != item.server:
            self._remove_running(item.id)
            running = None
        if running is None:
            tokens = item.prompt_tokens + item.output_tokens
            running = grants.Running(owner, item.server, tokens, lease, produced_at=now)
            self._add_running(item.id, running)
        running = running.note_sent(now)._replace(owner=owner, expires_at=lease)
        self.running[item.id] = self._grow(item, running, now)

    def _grow(
        self, item: messages.Outstanding, prior: grants.Running, now: float
    ) -> grants.Running:
        if not item.produced:
            return prior
        finished = self.load(prior.server).finish_prefill(item.id, now)
        if finished is not None:
            for observer in self._observers:
                observer.started(prior, finished)
        if prior.produced:
            grown = item.produced - prior.produced
            seconds = prior.seconds_until(item, now)
            for observer in self._observers:
                observer.advanced(prior.server, grown, seconds)
            if grown <= 0:
                return prior
            self.cold.rule_out_restart(prior)
        return prior._replace(
            produced=item.produced,
            produced_at=now,
            produced_age=item.age_ms / 1000.0,
        )

    def _unqueue(self, request_id: str) -> None:
        waiting = self.queue.pop(request_id, None)
        if waiting is None:
            return
        for observer in self._observers:
            observer.unqueued(waiting)

    def _add_running(self, request_id: str, running: grants.Running) -> None:
        self.running[request_id] = running
        load = self.load(running.server)
        load.count += 1
        load.tokens += running.tokens

    def _remove_running(self, request_id: str) -> None:
        running = self.running.pop(request_id, None)
        if running is None:
            return
        load = self.load(running.server)
        load.count -= 1
        load.tokens -= running.tokens
        load.remove_prefill(request_id, clock.now())
        for observer in self._observers:
            observer.stopped(running)
