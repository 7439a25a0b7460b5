"""The policy: strict tiers, fair teams, and the engine that is done first."""

import heapq

from cassiaquay_schema import messages

from .. import clock
from . import loads, placement, policies, queues, shards, shedding

NAME = "tiered"
# Demands of one team looked at in one pass: those behind may fit where the first do
# not, but a pass must stay short however long the queue is.
LOOK_AHEAD = 12
MOST_WEIGHED = 64
# After a tier was shed for overload, no tier below it gets a grant for this long.
FLOOR_SECONDS = 0.5
# The other shards of the pool are asked to hold back so long before a shed.
NOTICE_SECONDS = 0.05
# With more than so many waiting, prefill is dear: it is taken from somebody.
PRESSURE_QUEUE = 8
PRESSURE = 20.0
IDLE_PRESSURE = 1.0


@policies.policies.register(NAME)
class Tiered:
    """Strict tiers, weighted fairness in tokens, deadlines, prefix affinity.

    Parameters
    ----------
    shard : Shard
        Whose demands are served.
    """

    def __init__(self, shard: shards.Shard):
        self._shard = shard
        self._queues = queues.TierQueues(shard, self._measure)
        self._drain = shedding.Drain()
        self._engines: dict[str, placement.Engine] = {}
        self._latest: list[tuple[float, str]] = []
        self._new: list[str] = []
        self._views: list[placement.View] = []
        self._unread: set[str] = set()
        self._sessions: dict[str, dict[str, None]] = {}
        self._weighed = 0
        self._passed: set[str] = set()
        shard.observe(self)

    # Called by the shard.

    def queued(self, waiting: shards.Waiting) -> None:
        """Take in a new demand."""
        demand = waiting.demand
        self._new.append(demand.id)
        self._queues.add(waiting)
        if demand.session:
            self._sessions.setdefault(demand.session, {})[demand.id] = None

    def unqueued(self, waiting: shards.Waiting) -> None:
        """Take in that a demand has left."""
        self._queues.remove(waiting)
        demand = waiting.demand
        for engine in self._engines.values():
            engine.index.forget(demand.id)
        members = self._sessions.get(demand.session)
        if members is not None:
            members.pop(demand.id, None)
            if not members:
                del self._sessions[demand.session]

    def advanced(self, server: str, tokens: int, seconds: float) -> None:
        """Learn the time per token while an answer grows."""
        engine = self._engines.get(server)
        if engine is None:
            return
        if tokens > 0:
            engine.speed.heard(clock.now())
            engine.speed.generated(tokens, seconds)
        else:
            engine.speed.stalled(seconds)

    def started(self, running: shards.Running, found: loads.Started) -> None:
        """Learn the speed of prefill and move the limit of tokens in flight."""
        engine = self._engines.get(running.server)
        if engine is None:
            return
        if running.demand is not None:
            self._unread.discard(running.demand.id)
            engine.index.arrive(running.demand.blocks)
        engine.speed.heard(clock.now())
        # The first event comes one step after the prompt has been read.
        step = min(engine.speed.token_seconds, found.alone_seconds / 2)
        engine.speed.prefilled(found.tokens, found.alone_seconds - step)
        in_flight = self._shard.tokens_on(running.server)
        engine.speed.started(
            found.expected_seconds, found.seconds, in_flight, clock.now()
        )

    def stopped(self, running: shards.Running) -> None:
        """Forget a prompt that ended before it was read."""
        demand = running.demand
        if demand is None or demand.id not in self._unread:
            return
        self._unread.discard(demand.id)
        engine = self._engines.get(running.server)
        if engine is not None:
            engine.index.cancel(demand.blocks)

    # What engines report.

    def cache_changed(self, server: str, stored: bool, blocks: list[int]) -> None:
        """Take in that an engine has stored or dropped blocks a while ago."""
        engine = self._engines.get(server)
        if engine is None:
            return
        if stored:
            engine.index.add(blocks)
        else:
            engine.index.remove(blocks)

    def cache_lost(self, server: str) -> None:
        """Take in that an engine's cache is empty."""
        engine = self._engines.get(server)
        if engine is not None:
            engine.index.clear()

    # What the keeper calls.

    def learn(self, release: messages.Release) -> None:
        """Take in the figures of a request that has ended."""
        engine = self._engines.get(release.server)
        if engine is None or release.outcome != "completed":
            return
        if release.output_tokens > 1:
            seconds = (release.total_ms - release.first_ms) / 1000.0
            engine.speed.heard(clock.now())
            engine.speed.generated(release.output_tokens - 1, seconds)
        elif not release.prompt_tokens:
            engine.speed.heard(clock.now())
            engine.speed.served(release.total_ms / 1000.0)
        running = self._shard.running.get(release.id)
        if running is None or running.demand is None or not running.demand.blocks:
            return
        engine.index.correct(
            running.demand.blocks, running.cached_tokens, release.cached_tokens
        )

    def serve(self) -> None:
        """Shed what cannot be in time, then grant tier after tier."""
        now = clock.now()
        self._update(now)
        views = self._views = self._look(now)
        self._admit(views, now)
        self._give_up(views, now)
        self._bound()
        self._weighed = 0
        self._passed.clear()
        for rank in self._queues.ranks():
            if self._shard.cutoffs.holds(rank):
                break
            self._serve_tier(rank, views)
            full = all(view.is_full for view in views)
            if full or self._weighed >= MOST_WEIGHED:
                break
        # Somebody waits and nothing is free: only then grants show the capacity.
        full = all(view.is_full for view in views)
        self._drain.note(full and len(self._queues) > 0)

    def explain(self, demand: messages.Demand) -> list[policies.ServerEstimate]:
        """Return what each open server would mean for a demand, for operators."""
        now = clock.now()
        self._update(now)
        found = []
        for view in self._look(now):
            choice = placement.choose(demand, view)
            found.append(
                policies.ServerEstimate(
                    view.name,
                    choice.fits,
                    choice.cached_tokens,
                    choice.first_seconds,
                    choice.finish_seconds,
                    int(view.engine.speed.limit),
                )
            )
        return found

    def _update(self, now: float) -> None:
        start_tokens = self._shard.settings.keeper.start_tokens
        for name, server in self._shard.servers.items():
            engine = self._engines.get(name)
            if engine is None or engine.server != server:
                self._engines[name] = placement.Engine(server, start_tokens)
                continue
            tokens, seconds = self._shard.load(name).overdue(now)
            engine.speed.overdue(tokens, seconds)
        for name in list(self._engines):
            if name not in self._shard.servers:
                del self._engines[name]

    def _look(self, now: float) -> list[placement.View]:
        found = []
        servers = self._shard.open_servers()
        # One that refuses connections would get every request that looks for an empty
        # engine; when all refuse, trying is all that is left.
        up = [item for item in servers if not self._shard.is_refusing(item.name)]
        for server in up or servers:
            engine = self._engines[server.name]
            found.append(placement.View(engine, self._shard, now))
        return found

    def _admit(self, views: list[placement.View], now: float) -> None:
        """Look at new demands once, and shed those that cannot be in time."""
        fresh, self._new = self._new, []
        for request_id in fresh:
            waiting = self._shard.queue.get(request_id)
            if waiting is None:
                continue
            options = placement.weigh(waiting.demand, waiting.deadline, views)
            latest = waiting.deadline - options.least_seconds
            if views and latest < now:
                # Not even an idle engine could; asking again would not help.
                self._shard.shed(waiting, "deadline_infeasible", 0)
                continue
            heapq.heappush(self._latest, (min(latest, waiting.deadline), request_id))

    def _give_up(self, views: list[placement.View], now: float) -> None:
        """Shed those whose last moment has passed."""
        early: list[tuple[float, str]] = []
        while self._latest and self._latest[0][0] <= now + NOTICE_SECONDS:
            moment, request_id = heapq.heappop(self._latest)
            waiting = self._shard.queue.get(request_id)
            if waiting is None:
                continue
            # Asked a moment before, the other shards hold lower tiers back in time.
            may_shed = self._shard.may_shed(waiting.demand.rank)
            if moment > now or not may_shed:
                early.append((moment, request_id))
                continue
            options = placement.weigh(waiting.demand, waiting.deadline, views)
            latest = waiting.deadline - options.least_seconds
            if latest > now and now < waiting.deadline:
                heapq.heappush(self._latest, (latest, request_id))
                continue
            before = self._queues.work_before(waiting.demand.id)
            wait = self._drain.wait_seconds(waiting.demand.rank, before)
            self._shard.shed(
                waiting, "deadline_infeasible", self._drain.retry_after_ms(wait)
            )
        for item in early:
            heapq.heappush(self._latest, item)

    def _bound(self) -> None:
        limit = self._shard.settings.keeper.max_queue
        while len(self._queues) > limit:
            waiting = self._shard.queue[self._queues.last()]
            if not self._shard.may_shed(waiting.demand.rank):
                # The other shards of the pool are being asked to hold lower tiers
                # back; the queue is longer than it should be until they answer.
                return
            before = self._queues.work_before(waiting.demand.id)
            wait = self._drain.wait_seconds(waiting.demand.rank, before)
            self._shed_overload(waiting, wait, clock.now())

    def _shed_overload(
        self, waiting: shards.Waiting, seconds: float, now: float
    ) -> None:
        # Whoever sees this tier shed must not see a lower one served meanwhile.
        rank = waiting.demand.rank
        retry_after_ms = self._drain.retry_after_ms(seconds)
        self._shard.cutoffs.raise_floor(rank, now + FLOOR_SECONDS, retry_after_ms)
        self._shard.shed(waiting, "shed_overload", retry_after_ms)

    def _serve_tier(self, rank: int, views: list[placement.View]) -> None:
        """Grant what fits, and hold the engines that those who wait could use."""
        reserved: set[str] = set()
        teams = self._queues.teams(rank)
        while teams and self._weighed < MOST_WEIGHED:
            if all(view.is_full for view in views):
                return
            team = teams[0]
            if self._serve_team(rank, team, views, reserved):
                teams = [name for name in self._queues.teams(rank) if name in teams]
            else:
                teams.remove(team)
        # An engine that a waiting demand of this tier could use is held for it: what
        # a lower tier gets elsewhere cannot delay this one.
        for view in views:
            if view.name in reserved:
                view.held = True

    def _serve_team(
        self,
        rank: int,
        team: str,
        views: list[placement.View],
        reserved: set[str],
    ) -> bool:
        """Grant the first of a team's demands that fits; return whether one did."""
        for looked, request_id in enumerate(self._queues.ids(rank, team)):
            if looked >= LOOK_AHEAD:
                # Those not looked at may be able to use any engine.
                reserved.update(view.name for view in views)
                return False
            # Engines only fill up during a pass: what could not be placed a moment ago
            # cannot be now, and what was promised once is not promised again.
            if request_id in self._passed:
                continue
            self._weighed += 1
            waiting = self._shard.queue[request_id]
            margin = self._shard.margins.get(rank, placement.MARGIN_FACTOR)
            options = placement.weigh(
                waiting.demand, waiting.deadline, views, self._pressure(), margin
            )
            if options.best is not None:
                self._grant(waiting, options.best)
                return True
            self._passed.add(request_id)
            if options.awaited is None:
                reserved.update(options.usable)
                continue
            # It was offered a free engine and ends sooner by waiting for another one,
            # so only that one is held for it.
            options.awaited.view.promise(options.awaited)
            reserved.add(options.awaited.view.name)
        return False

    def _pressure(self) -> float:
        return PRESSURE if len(self._queues) > PRESSURE_QUEUE else IDLE_PRESSURE

    def _grant(self, waiting: shards.Waiting, choice: placement.Choice) -> None:
        demand = waiting.demand
        work = self._queues.work(demand.id)
        self._queues.charge(demand.rank, demand.team, work)
        self._drain.granted(demand.rank, work)
        self._unread.add(demand.id)
        choice.view.engine.index.begin(demand.blocks)
        self._shard.grant(
            waiting, choice.view.name, choice.cached_tokens, choice.first_seconds
        )
        choice.view.refresh()
        # The others of its session find their prompt's beginning cached there.
        for request_id in list(self._sessions.get(demand.session, ())):
            self._queues.measure_again(self._shard.queue[request_id])

    def _measure(self, waiting: shards.Waiting) -> int:
        return placement.work(waiting.demand, self._views)
