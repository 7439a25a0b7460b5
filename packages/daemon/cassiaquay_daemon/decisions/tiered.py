"""Scheduling policy with strict tiers, fair teams and earliest-finish placement."""

import heapq

from cassiaquay_schema import messages

from .. import clock
from . import grants, loads, placement, policies, queues, shards, shedding

NAME = "tiered"
# Demands of one team weighed in one pass: later demands may fit where the first do not,
# but the duration of a pass must not grow with the queue.
LOOK_AHEAD_DEMANDS = 12
MAX_WEIGHED_DEMANDS = 64
# After a tier was shed for overload, no tier below it gets a grant for this long.
FLOOR_SECONDS = 0.5
# Time before a shed at which the shard requests the pool's other shards to hold lower
# tiers back.
NOTICE_SECONDS = 0.05
# With more demands than this in the queue, engine time spent on prefill delays others
# and gets the higher weight.
BUSY_QUEUE_LENGTH = 8
BUSY_PREFILL_WEIGHT = 20.0
IDLE_PREFILL_WEIGHT = 1.0


@policies.policies.register(NAME)
class Tiered:
    """Strict tiers, weighted fairness in tokens, deadlines, prefix affinity.

    Parameters
    ----------
    shard : Shard
        The shard whose demands this policy grants and sheds.
    """

    def __init__(self, shard: shards.Shard):
        self._shard = shard
        self._queues = queues.TierQueues(shard, self._measure)
        self._drain = shedding.Drain()
        self._engines: dict[str, placement.Engine] = {}
        self._latest_starts: list[tuple[float, str]] = []
        self._new_ids: list[str] = []
        self._last_views: list[placement.View] = []
        self._unread_ids: set[str] = set()
        self._sessions: dict[str, dict[str, None]] = {}
        self._weighed_count = 0
        self._unplaced_ids: set[str] = set()
        # Demands of this pass that are late on all engines as loaded now, by rank, with
        # the seconds that they need on an idle one.
        self._late: dict[int, dict[str, float]] = {}
        shard.observe(self)

    # Called by the shard.

    def queued(self, waiting: shards.Waiting) -> None:
        """Add a new demand."""
        demand = waiting.demand
        self._new_ids.append(demand.id)
        self._queues.add(waiting)
        if demand.session:
            self._sessions.setdefault(demand.session, {})[demand.id] = None

    def unqueued(self, waiting: shards.Waiting) -> None:
        """Remove a demand that has left the queue."""
        self._queues.remove(waiting)
        demand = waiting.demand
        for engine in self._engines.values():
            engine.index.drop_memoized(demand.id)
        members = self._sessions.get(demand.session)
        if members is not None:
            members.pop(demand.id, None)
            if not members:
                del self._sessions[demand.session]

    def advanced(self, server: str, tokens: int, seconds: float) -> None:
        """Update the time per token from a growing answer."""
        engine = self._engines.get(server)
        if engine is None:
            return
        if tokens > 0:
            engine.speed.record_sample_time(clock.now())
            engine.speed.generated(tokens, seconds)
        else:
            engine.speed.stalled(seconds)

    def started(self, running: grants.Running, found: loads.FinishedPrefill) -> None:
        """Update the prefill rate and the limit of tokens in flight."""
        engine = self._engines.get(running.server)
        if engine is None:
            return
        if running.demand is not None:
            self._unread_ids.discard(running.demand.id)
            engine.index.finish_prefill(running.demand.blocks)
        engine.speed.record_sample_time(clock.now())
        # The first event follows one engine step after the prefill.
        step = min(engine.speed.token_seconds, found.head_seconds / 2)
        engine.speed.prefilled(found.tokens, found.head_seconds - step)
        in_flight = self._shard.tokens_on(running.server)
        engine.speed.started(
            found.expected_seconds, found.seconds, in_flight, clock.now()
        )

    def stopped(self, running: grants.Running) -> None:
        """Cancel the pending blocks of a prompt whose prefill did not finish."""
        demand = running.demand
        if demand is None or demand.id not in self._unread_ids:
            return
        self._unread_ids.discard(demand.id)
        engine = self._engines.get(running.server)
        if engine is not None:
            engine.index.cancel_prefill(demand.blocks)

    # Called with the reports of engines.

    def cache_changed(self, server: str, stored: bool, blocks: list[int]) -> None:
        """Handle an engine's delayed report of stored or evicted blocks."""
        engine = self._engines.get(server)
        if engine is None:
            return
        if stored:
            engine.index.add(blocks)
        else:
            engine.index.remove(blocks)

    def cache_lost(self, server: str) -> None:
        """Handle an engine's report that its cache is empty."""
        engine = self._engines.get(server)
        if engine is not None:
            engine.index.clear()

    # Called by the keeper.

    def learn(self, release: messages.Release) -> None:
        """Learn from the measured times and tokens of a request that has ended."""
        engine = self._engines.get(release.server)
        if engine is None or release.outcome != "completed":
            return
        if release.output_tokens > 1:
            seconds = (release.total_ms - release.first_ms) / 1000.0
            engine.speed.record_sample_time(clock.now())
            engine.speed.generated(release.output_tokens - 1, seconds)
        elif not release.prompt_tokens:
            engine.speed.record_sample_time(clock.now())
            engine.speed.served(release.total_ms / 1000.0)
        running = self._shard.running.get(release.id)
        if running is None or running.demand is None or not running.demand.blocks:
            return
        engine.index.correct(
            running.demand.blocks, running.cached_tokens, release.cached_tokens
        )

    def serve(self) -> None:
        """Shed demands that cannot be in time, then grant tier by tier."""
        now = clock.now()
        self._update_engines(now)
        views = self._last_views = self._view_engines(now)
        self._shed_infeasible(views, now)
        self._shed_expired(views, now)
        self._trim_queue()
        self._weighed_count = 0
        self._unplaced_ids.clear()
        self._late.clear()
        for rank in self._queues.ranks():
            if self._shard.cutoffs.is_held_back(rank):
                break
            self._serve_tier(rank, views)
            full = all(view.is_full for view in views)
            if full or self._weighed_count >= MAX_WEIGHED_DEMANDS:
                break
        # Grants measure the capacity only while demands wait and all engines are full.
        full = all(view.is_full for view in views)
        self._drain.set_saturated(full and len(self._queues) > 0)

    def explain(self, demand: messages.Demand) -> list[policies.ServerEstimate]:
        """Return each open server's estimate for a demand, for operators."""
        now = clock.now()
        self._update_engines(now)
        estimates = []
        for view in self._view_engines(now):
            choice = placement.choose(demand, view)
            estimates.append(
                policies.ServerEstimate(
                    view.name,
                    choice.fits,
                    choice.cached_tokens,
                    choice.first_seconds,
                    choice.finish_seconds,
                    int(view.engine.speed.limit),
                )
            )
        return estimates

    def _update_engines(self, now: float) -> None:
        start_tokens = self._shard.settings.keeper.start_tokens
        for name, server in self._shard.servers.items():
            engine = self._engines.get(name)
            if engine is None or engine.server != server:
                self._engines[name] = placement.Engine(server, start_tokens)
                continue
            tokens, seconds = self._shard.load(name).current_prefill(now)
            engine.speed.learn_unfinished(tokens, seconds)
        for name in list(self._engines):
            if name not in self._shard.servers:
                del self._engines[name]

    def _view_engines(self, now: float) -> list[placement.View]:
        views = []
        servers = self._shard.open_servers()
        # A server that refuses connections is idle and would be preferred for every
        # request. When all servers refuse, any of them may be tried.
        reachable = [
            item
            for item in servers
            if not self._shard.exclusions.is_excluded(item.name)
        ]
        for server in reachable or servers:
            engine = self._engines[server.name]
            views.append(placement.View(engine, self._shard, now))
        return views

    def _shed_infeasible(self, views: list[placement.View], now: float) -> None:
        """Check new demands once, and shed those that cannot be in time."""
        new_ids, self._new_ids = self._new_ids, []
        for request_id in new_ids:
            waiting = self._shard.queue.get(request_id)
            if waiting is None:
                continue
            options = placement.weigh(waiting.demand, waiting.deadline, views)
            latest_start = waiting.deadline - options.min_finish_seconds
            if views and latest_start < now:
                # Late even on an idle engine: a retry would not help.
                self._shard.shed(
                    waiting, "deadline_infeasible", 0, options.min_finish_seconds
                )
                continue
            heapq.heappush(
                self._latest_starts, (min(latest_start, waiting.deadline), request_id)
            )

    def _shed_expired(self, views: list[placement.View], now: float) -> None:
        """Shed the demands whose latest start has passed."""
        not_yet: list[tuple[float, str]] = []
        while self._latest_starts and self._latest_starts[0][0] <= now + NOTICE_SECONDS:
            start_by, request_id = heapq.heappop(self._latest_starts)
            waiting = self._shard.queue.get(request_id)
            if waiting is None:
                continue
            # Requests the other shards to hold lower tiers back, `NOTICE_SECONDS`
            # before the shed.
            may_shed = self._shard.may_shed(waiting.demand.rank)
            if start_by > now or not may_shed:
                not_yet.append((start_by, request_id))
                continue
            options = placement.weigh(waiting.demand, waiting.deadline, views)
            latest_start = waiting.deadline - options.min_finish_seconds
            if latest_start > now and now < waiting.deadline:
                heapq.heappush(self._latest_starts, (latest_start, request_id))
                continue
            self._shed_too_late(waiting, options.min_finish_seconds)
        for item in not_yet:
            heapq.heappush(self._latest_starts, item)

    def _shed_late_above(self, rank: int) -> bool:
        """Shed the late demands of more important ranks; return whether all are shed.

        A late demand can still hope for an engine that becomes idle, so it stays in the
        queue. Granting to a lower rank ends that hope: it would be refused moments
        after less important work was preferred to it.
        """
        for late_rank in [other for other in self._late if other < rank]:
            if not self._shard.may_shed(late_rank):
                return False
            for request_id, needed_seconds in self._late.pop(late_rank).items():
                waiting = self._shard.queue[request_id]
                self._shed_too_late(waiting, needed_seconds)
        return True

    def _shed_too_late(self, waiting: shards.Waiting, needed_seconds: float) -> None:
        before = self._queues.work_before(waiting.demand.id)
        wait = self._drain.wait_seconds(waiting.demand.rank, before)
        retry_after_ms = self._drain.retry_after_ms(wait)
        self._shard.shed(waiting, "deadline_infeasible", retry_after_ms, needed_seconds)

    def _trim_queue(self) -> None:
        limit = self._shard.settings.keeper.max_queue
        while len(self._queues) > limit:
            waiting = self._shard.queue[self._queues.last()]
            if not self._shard.may_shed(waiting.demand.rank):
                # Requests to the pool's other shards to hold lower tiers back are
                # pending; the queue exceeds its limit until they answer.
                return
            before = self._queues.work_before(waiting.demand.id)
            wait = self._drain.wait_seconds(waiting.demand.rank, before)
            self._shed_overload(waiting, wait, clock.now())

    def _shed_overload(
        self, waiting: shards.Waiting, seconds: float, now: float
    ) -> None:
        # The floor comes first: no lower tier may be served while this one is shed.
        rank = waiting.demand.rank
        retry_after_ms = self._drain.retry_after_ms(seconds)
        self._shard.cutoffs.raise_floor(rank, now + FLOOR_SECONDS, retry_after_ms)
        self._shard.shed(waiting, "shed_overload", retry_after_ms)

    def _serve_tier(self, rank: int, views: list[placement.View]) -> None:
        """Grant demands that fit; reserve the engines that the others could use."""
        reserved: set[str] = set()
        teams = self._queues.teams(rank)
        while teams and self._weighed_count < MAX_WEIGHED_DEMANDS:
            if all(view.is_full for view in views):
                return
            team = teams[0]
            if self._serve_team(rank, team, views, reserved):
                teams = [name for name in self._queues.teams(rank) if name in teams]
            else:
                teams.remove(team)
        # An engine that a waiting demand of this tier could use is reserved for it.
        # Grants of lower tiers on other engines cannot delay that demand.
        for view in views:
            if view.name in reserved:
                view.is_reserved = True

    def _serve_team(
        self,
        rank: int,
        team: str,
        views: list[placement.View],
        reserved: set[str],
    ) -> bool:
        """Grant the first of a team's demands that fits; return whether one did."""
        for number, request_id in enumerate(self._queues.ids(rank, team)):
            if number >= LOOK_AHEAD_DEMANDS:
                # The demands not weighed may be able to use any engine.
                reserved.update(view.name for view in views)
                return False
            # Engines only fill up during a pass: a demand that could not be placed
            # earlier in it still cannot, and must not be counted as awaiting twice.
            if request_id in self._unplaced_ids:
                continue
            self._weighed_count += 1
            waiting = self._shard.queue[request_id]
            margin = self._shard.margins.get(rank, placement.MARGIN_FACTOR)
            options = placement.weigh(
                waiting.demand, waiting.deadline, views, self._prefill_weight(), margin
            )
            if options.best is not None:
                if not self._shed_late_above(rank):
                    return False
                self._grant(waiting, options.best)
                return True
            self._unplaced_ids.add(request_id)
            if not options.usable:
                late = self._late.setdefault(rank, {})
                late[request_id] = options.min_finish_seconds
            if options.awaited is None:
                reserved.update(options.usable)
                continue
            # A free engine could take it, but it ends sooner by waiting for another
            # one, so only that one is reserved for it.
            options.awaited.view.add_awaiting(options.awaited)
            reserved.add(options.awaited.view.name)
        return False

    def _prefill_weight(self) -> float:
        return (
            BUSY_PREFILL_WEIGHT
            if len(self._queues) > BUSY_QUEUE_LENGTH
            else IDLE_PREFILL_WEIGHT
        )

    def _grant(self, waiting: shards.Waiting, choice: placement.Choice) -> None:
        demand = waiting.demand
        work = self._queues.work(demand.id)
        self._queues.charge(demand.rank, demand.team, work)
        self._drain.granted(demand.rank, work)
        self._unread_ids.add(demand.id)
        choice.view.engine.index.begin_prefill(demand.blocks)
        self._shard.grant(
            waiting, choice.view.name, choice.cached_tokens, choice.first_seconds
        )
        choice.view.refresh()
        # Other demands of the session will find their common prefix cached there.
        for request_id in list(self._sessions.get(demand.session, ())):
            self._queues.remeasure(self._shard.queue[request_id])

    def _measure(self, waiting: shards.Waiting) -> int:
        return placement.work(waiting.demand, self._last_views)
