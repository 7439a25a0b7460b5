"""Weighs a demand against the servers of a shard: who runs it, and whether in time.

Load pattern: servers of a pool differ fourfold in speed, and a long prompt delays the
events of all streams that run beside it. A free slot is used only if it serves the
demand without harming those streams; among such slots the earliest finish wins.
"""

from cassiaquay_schema import messages

from . import candidates, choices, reservations, shards, software_versions

# Safety margin for the error of the estimates: a first event expected this close to its
# objective counts as late.
MARGIN_SECONDS = 0.03
# Share of the allowed pause that a prefill may use: events are also delayed on their
# way to the caller.
PAUSE_SHARE = 0.8
# Maximum number of prompt tokens that an engine reads between two events of a running
# stream.
INTERLEAVED_TOKENS = 10_240
# Share of the remaining time that an answer may take by its estimate: the callers'
# hints of its length are right only at the median.
FINISH_SHARE = 0.8
# Cost of a server that fails all its requests: the time of a retry on another server.
FAILURE_SECONDS = 3.0
# Cost of beginning a stream at the only server of its software version: other servers
# that are about as fast are preferred.
LONE_VERSION_SECONDS = 0.1


class Weighing:
    """Estimates of one shard's servers for its demands.

    Parameters
    ----------
    shard : Shard
        The shard.
    servers : Candidates
        Its servers, as of the last refresh.
    kept_slots : Reservations
        Slots that are kept for more important ranks.
    """

    def __init__(
        self,
        shard: shards.Shard,
        servers: candidates.Candidates,
        kept_slots: reservations.Reservations,
    ):
        self._shard = shard
        self._servers = servers
        self._kept_slots = kept_slots

    def has_slot(self, rank: int, now: float) -> bool:
        """Return whether some free slot is not kept for more important ranks."""
        kept_count = self._kept_slots.above(rank, now)
        if kept_count and self._servers.free_slots(now) <= kept_count:
            return False
        return bool(self._servers.with_free_slots(now))

    def best_choice(
        self, waiting: shards.Waiting, objective_at: float, now: float
    ) -> choices.Choice | None:
        """Return the best server with a free slot; servers in time come first."""
        demand = waiting.demand
        if not self.has_slot(demand.rank, now):
            return None
        left = waiting.deadline - now
        best: choices.Choice | None = None
        avoid = software_versions.excluded_now(demand, self._shard).union(demand.avoid)
        for candidate in self._servers.with_free_slots(now):
            if candidate.server.name in avoid:
                continue
            choice = self.weigh(demand, candidate, now, objective_at, left)
            if choice is None:
                continue
            if best is None or (choice.is_late, choice.cost) < (
                best.is_late,
                best.cost,
            ):
                best = choice
        return best

    def weigh(
        self,
        demand: messages.Demand,
        candidate: candidates.Candidate,
        now: float,
        objective_at: float,
        left: float,
    ) -> choices.Choice | None:
        """Return the estimate for a demand on a server; None if it must not get it.

        Parameters
        ----------
        demand : Demand
            The demand.
        candidate : Candidate
            A server with a free slot.
        now, objective_at : float
            Seconds on this clock; the first event is due at ``objective_at``.
        left : float
            Seconds until the demand's deadline.
        """
        server, load, times = candidate.server, candidate.load, candidate.times
        unread = load.backlog_seconds(times.rate, now) * times.rate
        unread += demand.prompt_tokens
        expected = times.expect(unread)
        if load.count and demand.pause_ms and demand.prompt_tokens:
            reading = min(unread, INTERLEAVED_TOKENS) / times.rate
            pause = expected.event_seconds + reading
            if pause > demand.pause_ms / 1000.0 * PAUSE_SHARE:
                return None
        first = candidate.queue_seconds + expected.first_seconds
        cost = first + demand.output_tokens * expected.event_seconds
        is_late = now + first + MARGIN_SECONDS > objective_at
        if cost > left * FINISH_SHARE:
            # The first event would be in time, but the deadline would cut the answer.
            is_late = True
        cost += FAILURE_SECONDS * times.failure_share(now)
        if candidate.is_lone and demand.pause_ms and demand.software is None:
            cost += LONE_VERSION_SECONDS
        # Tie-break between equal servers: the less loaded one.
        cost += expected.first_seconds * load.count / server.slots
        return choices.Choice(server.name, first, cost, is_late)

    def is_too_long(self, waiting: shards.Waiting, now: float) -> bool:
        """Return whether the answer would miss its deadline on any server."""
        left = (waiting.deadline - now) * FINISH_SHARE
        return self._servers.min_finish_seconds(waiting.demand) > left

    def min_first_seconds(self, demand: messages.Demand) -> float:
        """Return the time to the first event on the fastest server, with margin."""
        min_seconds = self._servers.min_first_seconds(demand.prompt_tokens)
        return min_seconds + MARGIN_SECONDS
