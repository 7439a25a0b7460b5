"""The policy for callers that count first events: in time, or refused at once.

Load pattern: bursts of twice the capacity for seconds, prompts whose lengths differ a
hundredfold, servers that differ threefold in speed. A late answer is worth less than
one in time, and a refusal after a long wait less than one at once, since its caller
could have come back.

- Order: strict tiers; within a tier the team that had least, then arrival. Not the
  shortest first: long requests must be served about as often as short ones.
- Place: a free slot of the server where the whole answer is soonest, if its first event
  is then in time and no running stream pauses for too long while its prompt is read.
- Shed: what will not get a slot in time, reckoned from when running requests end. A
  slot is then kept from lower tiers, should the reckoning be wrong. In a pool of
  several shards a request is shed only when it is in time in none of them.
"""

from cassiaquay_schema import messages

from .. import clock
from . import (
    arrivals,
    candidates,
    choices,
    forecasts,
    loads,
    policies,
    reservations,
    service_times,
    shards,
    shedding,
    team_order,
)

NAME = "objectives"
# Estimates are never exact: what would begin this close to its objective is late.
MARGIN_SECONDS = 0.03
# Share of the pause that may be used: events also wait on their way to the caller.
PAUSE_SHARE = 0.8
# Most prompt tokens that an engine reads between two events of a running stream.
INTERLEAVED_TOKENS = 10_240
# Share of the time left that an answer may take by its estimate: the callers' hints of
# its length are right only at the median.
FINISH_SHARE = 0.8
ABANDON_SECONDS = forecasts.ABANDON_SECONDS
# A prompt whose reading takes more than this share of its objective is long: in a queue
# of any length it is late.
LONG_SHARE = 0.5
# Cost, in seconds, of a server that fails all of its work: a repeat elsewhere.
FAILURE_SECONDS = 3.0
# Demands weighed against every server in one pass, which must stay short.
MOST_LOOKED = 48
# How long a shed is reported to others.
FLOOR_SECONDS = 0.3
# Demands over which the growth of the wait in a shard is measured: about as many as are
# moved there between two of its reports.
STEPS = 4
# Retry-After as a share of the time left, spread up to half as much again: callers wait
# for a third at most, and an overload lasts for seconds.
RETRY_AFTER_SHARE = 2.0 / 9.0


@policies.policies.register(NAME)
class Objectives:
    """Strict tiers, fair teams, first events in time.

    Parameters
    ----------
    shard : Shard
        Whose demands are served.
    """

    def __init__(self, shard: shards.Shard):
        self._shard = shard
        self._order = team_order.TeamOrder()
        self._service_times: dict[str, tuple[int, service_times.ServiceTimes]] = {}
        self._arrivals = arrivals.Arrivals()
        self._reserved = reservations.Reservations()
        self._late_at: dict[str, float] = {}
        # Since when each rank has been held back without a break.
        self._held_since: dict[int, float] = {}
        self._servers = candidates.Candidates(shard, self._times_of)
        self._forecast = forecasts.Forecast(shard, self._servers, self._arrivals)
        shard.observe(self)
        shard.waits = self.waits

    # Called by the shard.

    def queued(self, waiting: shards.Waiting) -> None:
        """Take in a new demand; a team that was idle gets no credit for that."""
        demand = waiting.demand
        self._arrivals.add(demand.rank)
        self._order.add(demand)
        objective = demand.first_ms or demand.remaining_ms
        self._late_at[demand.id] = clock.now() + objective / 1000.0

    def unqueued(self, waiting: shards.Waiting) -> None:
        """Take in that a demand has left."""
        demand = waiting.demand
        self._order.remove(demand)
        self._late_at.pop(demand.id, None)

    def advanced(self, server: str, tokens: int, seconds: float) -> None:
        """Learn the time between events."""
        self._times_of(server).advanced(tokens, seconds)

    def started(self, running: shards.Running, found: loads.Started) -> None:
        """Learn from a first event."""
        self._times_of(running.server).read(
            found.tokens, found.alone_seconds, found.seconds
        )

    def stopped(self, running: shards.Running) -> None:
        """Do nothing: :meth:`learn` has the figures."""

    # Called by the keeper.

    def learn(self, release: messages.Release) -> None:
        """Take in how a request ended."""
        known = self._times_of(release.server)
        now = clock.now()
        if release.outcome == "completed":
            known.ended(True, now)
            known.completed(release.total_ms / 1000.0)
            if not release.prompt_tokens:
                known.served(release.total_ms / 1000.0)
        elif release.outcome in ("cut", "failed", "declined"):
            known.ended(False, now)

    def serve(self) -> None:
        """Grant tier after tier, and shed what cannot be in time."""
        now = clock.now()
        self._watch(now)
        self._servers.refresh()
        is_reckoned = False
        looked = 0
        ahead = 0
        for rank in self._order.ranks():
            if self._shard.cutoffs.holds_for_others(rank):
                self._held_since.setdefault(rank, now)
                self._settle_held(rank, now)
                continue
            self._held_since.pop(rank, None)
            order = self._order.order(rank)
            near = order[: max(MOST_LOOKED - looked, 0)]
            looked += len(near)
            left = self._grant_in_time(near, now)
            far = order[len(near) :]
            if not left and not far:
                continue
            if not is_reckoned:
                self._forecast.refresh()
                is_reckoned = True
            kept = self._reserved.above(rank, now)
            waiting = self._settle(left, ahead + kept, now)
            # Those behind are too many to be weighed one by one, but those who cannot
            # be in time must be refused no later for that.
            ahead = self._settle_far(far, waiting, now) - kept

    def waits(self) -> list[messages.RankWait]:
        """Return what a new demand of each rank would wait here."""
        now = clock.now()
        self._servers.refresh()
        self._forecast.refresh()
        found = []
        ahead = 0
        for rank in self._order.ranks():
            if self._shard.cutoffs.holds_for_others(rank):
                break
            ahead += self._order.count(rank)
            before = ahead + self._reserved.above(rank, now)
            wait = self._forecast.wait_seconds(rank, before)
            step = (self._forecast.wait_seconds(rank, before + STEPS) - wait) / STEPS
            found.append(messages.RankWait(rank, wait * 1000.0, step * 1000.0))
        return found

    def explain(self, demand: messages.Demand) -> list[policies.ServerEstimate]:
        """Return what each open server would mean for a demand, for operators."""
        now = clock.now()
        self._servers.refresh()
        found = []
        for item in self._servers.open:
            choice = None
            if item.has_slot(now):
                choice = self._weigh(demand, item, now, 0.0, 0.0)
            expected = item.times.expect(float(demand.prompt_tokens))
            finish = expected.first_seconds
            finish += demand.output_tokens * expected.event_seconds
            found.append(
                policies.ServerEstimate(
                    item.server.name,
                    choice is not None and not choice.is_late,
                    0,
                    choice.first_seconds if choice else expected.first_seconds,
                    finish,
                    0,
                )
            )
        return found

    def _grant_in_time(self, order: list[str], now: float) -> list[shards.Waiting]:
        """Grant what can be in time now; return the others."""
        left = []
        for request_id in order:
            waiting = self._shard.queue[request_id]
            late_at = self._late_at[request_id]
            best = self._best(waiting, late_at, now)
            if best is not None and not best.is_late:
                self._grant(waiting, best)
            else:
                left.append(waiting)
        return left

    def _settle(self, left: list[shards.Waiting], ahead: int, now: float) -> int:
        """Decide on what cannot be in time now; return how many wait so far.

        Late work gets what in-time work of its tier and those above has left over.
        """
        before = ahead
        for waiting in left:
            demand = waiting.demand
            late_at = self._late_at[demand.id]
            least = self._least_first(demand)
            wait = self._forecast.wait_seconds(demand.rank, ahead)
            if self._is_too_long(waiting, now):
                # No other server and no later moment is better for it.
                best = self._best(waiting, late_at, now)
                if best is not None:
                    self._grant(waiting, best)
                    continue
            if now + wait + least <= late_at:
                ahead += 1
                continue
            if self._shard.move(waiting, late_at - now - least):
                continue
            best = self._best(waiting, late_at, now)
            if best is not None:
                self._grant(waiting, best)
                continue
            is_next = ahead == before and now > waiting.arrived_at
            if self._waits_on(waiting, least, wait, is_next):
                ahead += 1
                continue
            self._shed(waiting, now)
        return ahead

    def _waits_on(
        self, waiting: shards.Waiting, least: float, wait: float, is_next: bool
    ) -> bool:
        """Tell whether a demand that will be late waits for a slot all the same.

        A request that arrives at a queue that is too long is refused at once and can
        come back when it is short. Others wait for a while: one that has waited and is
        the next of its tier, one whose slot came later than estimated, and one whose
        prompt takes most of its objective. Refused whenever slots are short, the
        longest would hardly ever be served.
        """
        now = clock.now()
        late_at = self._late_at[waiting.demand.id]
        if is_next and now + least <= late_at:
            return True
        objective = late_at - waiting.arrived_at
        if least <= objective * LONG_SHARE and now <= late_at:
            return False
        return not self._is_over(waiting, now + wait)

    def _settle_far(self, order: list[str], ahead: int, now: float) -> int:
        """Shed those far behind who cannot be in time; return how many wait."""
        for request_id in order:
            waiting = self._shard.queue[request_id]
            wait = self._forecast.wait_seconds(waiting.demand.rank, ahead)
            if now + wait <= self._late_at[request_id]:
                ahead += 1
                continue
            least = self._least_first(waiting.demand)
            if self._shard.move(waiting, self._late_at[request_id] - now - least):
                continue
            self._shed(waiting, now)
        return ahead

    def _settle_held(self, rank: int, now: float) -> None:
        """Shed those of a tier that is held back who cannot be in time.

        Most holds are short, and what waits is then served in time. A hold that has
        lasted longer than a request can wait will probably outlast it too: that request
        is refused at once, the others when their objective has passed.
        """
        for request_id in self._order.arrived(rank):
            waiting = self._shard.queue[request_id]
            late_at = self._late_at[request_id]
            lasts = now - self._held_since[rank] > late_at - waiting.arrived_at
            if now + MARGIN_SECONDS <= late_at and not lasts:
                continue
            # The floor that is there stays as it is: renewed by those whom it holds
            # back, it would never end.
            self._shard.cutoffs.hold_back(rank, now + FLOOR_SECONDS)
            retry_after_ms = self._retry_after_ms(waiting, now)
            self._shard.shed(waiting, "shed_overload", retry_after_ms)

    def _retry_after_ms(self, waiting: shards.Waiting, now: float) -> int:
        """Return when a refused caller should be back."""
        return shedding.retry_after_ms((waiting.deadline - now) * RETRY_AFTER_SHARE)

    def _is_over(self, waiting: shards.Waiting, now: float) -> bool:
        patience = waiting.arrived_at + ABANDON_SECONDS
        return now > min(patience, waiting.deadline)

    def _shed(self, waiting: shards.Waiting, now: float) -> None:
        """Give a demand up, and keep a slot for its tier while it could be in time."""
        rank = waiting.demand.rank
        retry_after_ms = self._retry_after_ms(waiting, now)
        self._reserved.add(rank, self._late_at[waiting.demand.id])
        self._shard.cutoffs.raise_floor(rank, now + FLOOR_SECONDS, retry_after_ms)
        self._shard.shed(waiting, "shed_overload", retry_after_ms)

    def _grant(self, waiting: shards.Waiting, choice: choices.Choice) -> None:
        demand = waiting.demand
        weight = self._shard.weights.get(demand.team, 1.0)
        self._times_of(choice.server).granted(clock.now())
        self._reserved.use(demand.rank)
        self._order.charge(demand, weight)
        self._shard.grant(waiting, choice.server, 0, choice.first_seconds)
        self._forecast.granted(demand.id)

    def _best(
        self, waiting: shards.Waiting, late_at: float, now: float
    ) -> choices.Choice | None:
        """Return the best server with a free slot, one in time before a late one."""
        kept = self._reserved.above(waiting.demand.rank, now)
        if kept and self._servers.free_slots() <= kept:
            return None
        left = waiting.deadline - now
        demand = waiting.demand
        best: choices.Choice | None = None
        avoid = {*demand.avoid, *demand.tried}
        for item in self._servers.with_slots(avoid, now):
            choice = self._weigh(demand, item, now, late_at, left)
            if choice is None:
                continue
            if best is None or (choice.is_late, choice.cost) < (
                best.is_late,
                best.cost,
            ):
                best = choice
        return best

    def _weigh(
        self,
        demand: messages.Demand,
        found: candidates.Candidate,
        now: float,
        late_at: float,
        left: float,
    ) -> choices.Choice | None:
        server, load, known = found.server, found.load, found.times
        unread = load.backlog_seconds(known.rate, now) * known.rate
        unread += demand.prompt_tokens
        expected = known.expect(unread)
        if load.count and demand.pause_ms and demand.prompt_tokens:
            reading = min(unread, INTERLEAVED_TOKENS) / known.rate
            pause = expected.event_seconds + reading
            if pause > demand.pause_ms / 1000.0 * PAUSE_SHARE:
                return None
        first = found.queue_seconds + expected.first_seconds
        cost = first + demand.output_tokens * expected.event_seconds
        is_late = now + first + MARGIN_SECONDS > late_at
        if cost > left * FINISH_SHARE:
            # Begun in time, a long answer would be cut off at its deadline there.
            is_late = True
        cost += FAILURE_SECONDS * known.failing(now)
        # Of servers that are equal otherwise the emptier one.
        cost += expected.first_seconds * load.count / server.slots
        return choices.Choice(server.name, first, cost, is_late)

    def _is_too_long(self, waiting: shards.Waiting, now: float) -> bool:
        """Tell whether an answer would be cut off at the fastest server, too."""
        left = (waiting.deadline - now) * FINISH_SHARE
        return self._servers.least_seconds(waiting.demand) > left

    def _least_first(self, demand: messages.Demand) -> float:
        """Return the time to the first event at the fastest server."""
        least = self._servers.least_first_seconds(demand.prompt_tokens)
        return least + MARGIN_SECONDS

    def _watch(self, now: float) -> None:
        """Notice servers that owe a sign of life for too long."""
        for server in self._shard.servers:
            load = self._shard.load(server)
            tokens, seconds = load.overdue(now)
            if not seconds:
                continue
            known = self._times_of(server)
            expected = known.expect(float(tokens)).first_seconds
            patience = known.patience(expected)
            # One call of a plain service may be long by its nature; two at once that
            # say nothing, while no other does, are the server's silence.
            needed = 1 if tokens else 2
            if load.silent(patience, now) >= needed:
                known.doubt(now, seconds)
                self._shard.cold_budgets.cold.suspect_restart(server)

    def _times_of(self, server: str) -> service_times.ServiceTimes:
        found = self._shard.servers.get(server)
        started_ms = found.started_ms if found is not None else 0
        known = self._service_times.get(server)
        if known is None or (found is not None and known[0] != started_ms):
            # A server that started again under its name is another one.
            known = self._service_times[server] = (
                started_ms,
                service_times.ServiceTimes(server),
            )
        return known[1]
