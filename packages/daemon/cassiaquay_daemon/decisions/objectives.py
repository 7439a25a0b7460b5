"""Scheduling policy for latency objectives: a first event in time, or a prompt refusal.

Load pattern: bursts of twice the capacity for seconds, prompts whose lengths differ a
hundredfold, servers that differ threefold in speed. A late answer is worth less than
one in time, and a refusal after a long wait less than an immediate one, which leaves
the caller time to retry.

- Order: strict tiers; within a tier the team that has received the least, then arrival.
  Not shortest first: long requests must be served about as often as short ones.
- Placement: a free slot of the server that would finish the answer first, if the first
  event is then in time and the prefill pauses no running stream for too long.
- Shedding: a demand that will not get a slot in time, by the forecast of when running
  requests end. A slot is then kept from lower tiers in case the forecast is wrong. In a
  pool of several shards a demand is shed only when it would be late in all of them.
"""

import typing

from cassiaquay_schema import messages

from .. import clock
from . import (
    arrivals,
    candidates,
    choices,
    forecasts,
    grants,
    loads,
    policies,
    reservations,
    returns,
    service_times,
    shards,
    software_versions,
    team_order,
    weighing,
)

NAME = "objectives"
ABANDON_SECONDS = forecasts.ABANDON_SECONDS
# A prompt whose prefill takes more than this share of its objective is long: behind any
# queue it is late.
LONG_SHARE = 0.5
# Demands weighed against every server in one pass; bounds the duration of a pass.
MAX_WEIGHED_DEMANDS = 48
# Time for which a shed is reported to the other shards of the pool.
FLOOR_SECONDS = 0.3
# Number of demands over which the growth of a shard's wait is averaged: about as many
# as are moved there between two of its reports.
WAIT_STEP_DEMANDS = 4


class _LateDemand(typing.NamedTuple):
    """A demand that no free slot serves in time.

    Attributes
    ----------
    waiting : Waiting
        The demand.
    choice : Choice or None
        The best server that has a free slot; None if it may have none.
    in_flight : int
        Requests in flight on that server.
    """

    waiting: shards.Waiting
    choice: choices.Choice | None
    in_flight: int


@policies.policies.register(NAME)
class Objectives:
    """Strict tiers, fair sharing between teams, first events in time.

    Parameters
    ----------
    shard : Shard
        The shard whose demands this policy grants and sheds.
    """

    def __init__(self, shard: shards.Shard):
        self._shard = shard
        order = team_order.orders.get(shard.settings.keeper.team_shares)
        self._order = order(shard)
        self._returns = returns.treatments.get(shard.settings.keeper.returns)()
        self._service_times: dict[str, tuple[int, service_times.ServiceTimes]] = {}
        self._arrivals = arrivals.Arrivals()
        self._kept_slots = reservations.Reservations()
        self._objective_at: dict[str, float] = {}
        # Start of the current uninterrupted hold of each rank.
        self._held_since: dict[int, float] = {}
        self._servers = candidates.Candidates(shard, self._times_of)
        self._forecast = forecasts.Forecast(shard, self._servers, self._arrivals)
        self._weighing = weighing.Weighing(shard, self._servers, self._kept_slots)
        shard.observe(self)
        shard.waits = self.waits

    # Called by the shard.

    def queued(self, waiting: shards.Waiting) -> None:
        """Add a new demand; its team gets no credit for time without demands."""
        demand = waiting.demand
        self._arrivals.add(demand.rank)
        self._order.add(demand)
        self._returns.queued(demand)
        objective = demand.first_ms or demand.remaining_ms
        self._objective_at[demand.id] = clock.now() + objective / 1000.0

    def unqueued(self, waiting: shards.Waiting) -> None:
        """Remove a demand that has left the queue."""
        demand = waiting.demand
        self._order.remove(demand)
        self._returns.unqueued(demand)
        self._objective_at.pop(demand.id, None)

    def advanced(self, server: str, tokens: int, seconds: float) -> None:
        """Update the estimated time between events."""
        self._times_of(server).advanced(tokens, seconds)

    def started(self, running: grants.Running, found: loads.FinishedPrefill) -> None:
        """Update the estimated prefill rate from a first event."""
        self._times_of(running.server).prefilled(
            found.tokens, found.head_seconds, found.seconds
        )

    def stopped(self, running: grants.Running) -> None:
        """Do nothing: :meth:`learn` receives the measured times."""

    # Called by the keeper.

    def learn(self, release: messages.Release) -> None:
        """Update a server's speed and health from the end of a request."""
        times = self._times_of(release.server)
        now = clock.now()
        if release.outcome == "completed":
            times.ended(True, now)
            self._shard.cold.rule_out_restart(self._shard.running.get(release.id))
            times.completed(release.total_ms / 1000.0)
            if not release.prompt_tokens:
                times.served(release.total_ms / 1000.0)
        elif release.outcome in ("cut", "failed", "declined"):
            times.ended(False, now)

    def serve(self) -> None:
        """Grant demands tier by tier, and shed those that cannot be in time."""
        now = clock.now()
        self._mark_silent_servers(now)
        if not self._shard.queue:
            # Most passes follow reports of progress and find nothing to decide.
            return
        self._servers.refresh()
        is_forecast_fresh = False
        weighed_count = 0
        ahead = 0
        for rank in self._order.ranks():
            if self._shard.cutoffs.is_held_back_by_others(rank):
                self._held_since.setdefault(rank, now)
                self._shed_held_back(rank, now)
                continue
            self._held_since.pop(rank, None)
            order, late = self._returns.split(self._order.order(rank))
            near = order[: max(MAX_WEIGHED_DEMANDS - weighed_count, 0)]
            weighed_count += len(near)
            left = self._grant_in_time(rank, near, now)
            far = order[len(near) :]
            if left or far:
                if not is_forecast_fresh:
                    self._forecast.refresh()
                    is_forecast_fresh = True
                kept_count = self._kept_slots.above(rank, now)
                waiting = self._decide_late(left, ahead + kept_count, now)
                # The remaining demands are too many to weigh one by one, but those that
                # cannot be in time must still be refused in this pass.
                ahead = self._decide_unweighed(far, waiting, now) - kept_count
            ahead += self._serve_returned(late, rank, now)

    def waits(self) -> list[messages.RankWait]:
        """Return the estimated wait in this shard of a new demand of each rank."""
        now = clock.now()
        self._servers.refresh()
        self._forecast.refresh()
        rank_waits = []
        ahead = 0
        for rank in self._order.ranks():
            if self._shard.cutoffs.is_held_back_by_others(rank):
                break
            ahead += self._order.count(rank)
            before = ahead - self._returns.count_late(rank)
            before += self._kept_slots.above(rank, now)
            wait = self._forecast.wait_seconds(rank, before)
            step = (
                self._forecast.wait_seconds(rank, before + WAIT_STEP_DEMANDS) - wait
            ) / WAIT_STEP_DEMANDS
            rank_waits.append(messages.RankWait(rank, wait * 1000.0, step * 1000.0))
        return rank_waits

    def order(self, rank: int) -> list[str]:
        """Return the waiting demands of a rank in the order of service."""
        return self._order.order(rank) if rank in self._order.ranks() else []

    def explain(self, demand: messages.Demand) -> list[policies.ServerEstimate]:
        """Return each open server's estimate for a demand, for operators."""
        now = clock.now()
        self._servers.refresh()
        estimates = []
        for candidate in self._servers.open:
            choice = None
            if candidate.has_slot(now):
                choice = self._weighing.weigh(demand, candidate, now, 0.0, 0.0)
            expected = candidate.times.expect(float(demand.prompt_tokens))
            finish = expected.first_seconds
            finish += demand.output_tokens * expected.event_seconds
            estimates.append(
                policies.ServerEstimate(
                    candidate.server.name,
                    choice is not None and not choice.is_late,
                    0,
                    choice.first_seconds if choice else expected.first_seconds,
                    finish,
                    0,
                )
            )
        return estimates

    def _grant_in_time(
        self, rank: int, order: list[str], now: float
    ) -> list[_LateDemand]:
        """Grant the demands that can be in time now; return the others."""
        left = []
        has_slot = self._weighing.has_slot(rank, now)
        for request_id in order:
            waiting = self._shard.queue[request_id]
            best = None
            if has_slot:
                objective_at = self._objective_at[request_id]
                best = self._weighing.best_choice(waiting, objective_at, now)
            if best is None:
                left.append(_LateDemand(waiting, None, 0))
            elif best.is_late:
                in_flight = self._shard.count_on(best.server)
                left.append(_LateDemand(waiting, best, in_flight))
            else:
                self._grant(waiting, best)
                has_slot = self._weighing.has_slot(rank, now)
        return left

    def _late_choice(self, late: _LateDemand, now: float) -> choices.Choice | None:
        """Return the best server of a late demand after the grants made since.

        They take slots and lengthen prefill queues, so that no server has become
        better: a choice holds while its server has got nothing else.
        """
        choice, demand = late.choice, late.waiting.demand
        if choice is None or not self._weighing.has_slot(demand.rank, now):
            return None
        if self._shard.count_on(choice.server) == late.in_flight:
            return choice
        objective_at = self._objective_at[demand.id]
        return self._weighing.best_choice(late.waiting, objective_at, now)

    def _decide_late(self, left: list[_LateDemand], ahead: int, now: float) -> int:
        """Queue, move, grant late or shed demands that no free slot serves in time.

        Late demands only get slots that the in-time demands of their tier and of those
        above have left free. Returns ``ahead`` plus the demands that stay queued.
        """
        before = ahead
        for late in left:
            waiting = late.waiting
            demand = waiting.demand
            objective_at = self._objective_at[demand.id]
            min_seconds = self._weighing.min_first_seconds(demand)
            wait = self._forecast.wait_seconds(
                demand.rank,
                ahead,
                software_versions.excluded(demand, self._shard.servers),
            )
            if self._weighing.is_too_long(waiting, now):
                # Neither another server nor a later start would help.
                best = self._late_choice(late, now)
                if best is not None:
                    self._grant(waiting, best)
                    continue
            if now + wait + min_seconds <= objective_at:
                ahead += 1
                continue
            if self._shard.move(waiting, objective_at - now - min_seconds):
                continue
            best = self._late_choice(late, now)
            if best is not None:
                self._grant(waiting, best)
                continue
            is_next = ahead == before and now > waiting.arrived_at
            if self._may_wait_late(waiting, min_seconds, wait, is_next):
                ahead += 1
                continue
            self._shed(waiting, now)
        return ahead

    def _may_wait_late(
        self, waiting: shards.Waiting, min_seconds: float, wait: float, is_next: bool
    ) -> bool:
        """Return whether a demand that will be late stays in the queue.

        A request that arrives at a queue that is too long is refused at once, so that
        its caller can retry when the queue is short. Three kinds stay for a while: one
        that has waited and is the next of its tier, one whose slot came later than
        estimated, and one whose prefill takes most of its objective. If the longest
        prompts were refused whenever slots are short, they would hardly ever be served.
        """
        if not self._servers.open:
            return False
        now = clock.now()
        objective_at = self._objective_at[waiting.demand.id]
        if is_next and now + min_seconds <= objective_at:
            return True
        objective = objective_at - waiting.arrived_at
        if min_seconds <= objective * LONG_SHARE and now <= objective_at:
            return False
        return not self._is_abandoned(waiting, now + wait)

    def _decide_unweighed(self, order: list[str], ahead: int, now: float) -> int:
        """Shed or move demands beyond the weighed ones that cannot be in time.

        Returns ``ahead`` plus the demands that stay queued.
        """
        for request_id in order:
            waiting = self._shard.queue[request_id]
            wait = self._forecast.wait_seconds(
                waiting.demand.rank,
                ahead,
                software_versions.excluded(waiting.demand, self._shard.servers),
            )
            if now + wait <= self._objective_at[request_id]:
                ahead += 1
                continue
            min_seconds = self._weighing.min_first_seconds(waiting.demand)
            if self._shard.move(
                waiting, self._objective_at[request_id] - now - min_seconds
            ):
                continue
            self._shed(waiting, now)
        return ahead

    def _serve_returned(self, late: list[str], rank: int, now: float) -> int:
        """Grant late retries the slots that are still free; return how many wait.

        Their callers retry no more, so a few wait for whatever slot is left. They are
        not weighed while all slots are taken.
        """
        waiting_count = 0
        has_slot = True
        for request_id in late:
            waiting = self._shard.queue[request_id]
            if has_slot:
                best = self._weighing.best_choice(waiting, now, now)
                if best is not None:
                    self._grant(waiting, best)
                    continue
                kept_count = self._kept_slots.above(rank, now)
                has_slot = self._servers.free_slots(now) > kept_count
            may_wait = now <= waiting.arrived_at + returns.MAX_WAIT_SECONDS
            if may_wait and waiting_count < returns.MAX_WAITING:
                waiting_count += 1
                continue
            self._shed(waiting, now)
        return waiting_count

    def _shed_held_back(self, rank: int, now: float) -> None:
        """Shed the demands of a held-back tier that cannot be in time.

        Most holds are short, and the waiting demands are then served in time. A hold
        that has lasted longer than a request can wait will probably outlast it too:
        that request is refused at once, the others when their objective has passed.
        """
        for request_id in self._order.waiting_ids(rank):
            waiting = self._shard.queue[request_id]
            objective_at = self._objective_at[request_id]
            hold_outlasts = (
                now - self._held_since[rank] > objective_at - waiting.arrived_at
            )
            if now + weighing.MARGIN_SECONDS <= objective_at and not hold_outlasts:
                continue
            # Holds back the ranks below this one. The floor is not raised: if the
            # demands that a floor holds back renewed it, it would never end.
            self._shard.cutoffs.hold_back(rank, now + FLOOR_SECONDS)
            retry_after_ms = self._returns.retry_after_ms(waiting.deadline - now)
            self._shard.shed(waiting, "shed_overload", retry_after_ms)

    def _is_abandoned(self, waiting: shards.Waiting, now: float) -> bool:
        abandoned_at = waiting.arrived_at + ABANDON_SECONDS
        return now > min(abandoned_at, waiting.deadline)

    def _shed(self, waiting: shards.Waiting, now: float) -> None:
        """Shed a demand, and keep a slot for its tier until its objective."""
        rank = waiting.demand.rank
        retry_after_ms = self._returns.retry_after_ms(waiting.deadline - now)
        if waiting.demand.software is None:
            # A resumed stream could not use the slots of most servers.
            self._kept_slots.add(rank, self._objective_at[waiting.demand.id])
            self._shard.cutoffs.raise_floor(rank, now + FLOOR_SECONDS, retry_after_ms)
        self._shard.shed(waiting, "shed_overload", retry_after_ms)

    def _grant(self, waiting: shards.Waiting, choice: choices.Choice) -> None:
        demand = waiting.demand
        self._times_of(choice.server).granted(clock.now())
        self._kept_slots.use(demand.rank)
        self._order.charge(demand)
        self._shard.grant(waiting, choice.server, 0, choice.first_seconds)
        self._servers.granted()
        self._forecast.take_slot(demand.id)

    def _mark_silent_servers(self, now: float) -> None:
        """Mark servers as silent whose first events are long overdue."""
        for server in self._shard.servers:
            load = self._shard.load(server)
            tokens, seconds = load.current_prefill(now)
            if seconds < service_times.LATE_SECONDS:
                # No limit is shorter.
                continue
            times = self._times_of(server)
            silence_limit = times.silence_limit(times.expect(tokens).first_seconds)
            # A single call of a plain service may legitimately take long. Two calls
            # without an answer, and none answered since, indicate a silent server.
            needed = 1 if tokens else 2
            if load.count_silent(silence_limit, now) >= needed:
                times.mark_silent(now, seconds)
                self._shard.cold.suspect_restart(server, times.heard_at)

    def _times_of(self, server: str) -> service_times.ServiceTimes:
        listed = self._shard.servers.get(server)
        started_ms = listed.started_ms if listed is not None else 0
        versioned_times = self._service_times.get(server)
        if versioned_times is None or (
            listed is not None and versioned_times[0] != started_ms
        ):
            # The times of a server are reset when it restarts under the same name.
            versioned_times = self._service_times[server] = (
                started_ms,
                service_times.ServiceTimes(server),
            )
        return versioned_times[1]
