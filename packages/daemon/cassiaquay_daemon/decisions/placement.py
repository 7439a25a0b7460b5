"""Placement of a demand on the engine that is expected to finish its answer first.

The cost of an engine is time: its backlog of prefill, plus the uncached part of the
prompt at its learned prefill rate, plus the answer at its learned time per token. A
cached prefix, a short queue and a fast engine are thus compared in one unit.
"""

import math
import typing

from cassiaquay_schema import fleet, messages

from .. import clock
from . import affinity, shards, speeds

# Maximum prefill backlog of an engine that may get more work: enough that it never
# idles until the next permit arrives, and little enough that a more important request
# does not queue for long inside the engine, which serves in order of arrival.
MAX_BACKLOG_SECONDS = 0.15
# Safety margin for the error of the estimates: an answer expected to end this close to
# its deadline is not started. The factor is the default of a tier's margin, which the
# fleet text (the published configuration) can set.
MARGIN_FACTOR = 1.3
MARGIN_SECONDS = 0.05
# Prefills up to this length are worth repeating on each engine.
CHEAP_PREFILL_TOKENS = 512
# Waiting for a better engine must lower the cost to at most this share and by at least
# this time, and may take at most this share of the remaining time.
WAIT_MAX_COST_SHARE = 0.8
WAIT_MIN_GAIN_SECONDS = 0.02
WAIT_MAX_TIME_SHARE = 0.7


class Engine:
    """Learned speed and cache contents of one backend server."""

    def __init__(self, server: fleet.Server, start_tokens: int):
        self.server = server
        self.speed = speeds.Speed(start_tokens, server.max_tokens_in_flight)
        self.index = affinity.PrefixIndex()


class View:
    """State of one engine during one pass over the queue."""

    def __init__(self, engine: Engine, shard: shards.Shard, now: float):
        self.engine = engine
        self.name = engine.server.name
        self._shard = shard
        self._load = shard.load(self.name)
        self._now = now
        self.estimate = engine.speed.estimate(now, not self._load.count)
        self._foreign = self._load.foreign(now)
        self.backlog = 0.0
        # Reserved for a more important demand; lower tiers may still wait for it.
        self.is_reserved = False
        self._awaiting_seconds = 0.0
        self.refresh()

    @property
    def is_full(self) -> bool:
        """Whether the engine can take no request of any size now."""
        return (
            self.is_reserved
            or not self._shard.rate_budgets.allows(self.name)
            or self._load.count + self._foreign >= self._capacity
            or self.backlog > MAX_BACKLOG_SECONDS
        )

    @property
    def _capacity(self) -> int:
        """Requests at a time that the engine takes."""
        slots = self.engine.server.slots
        room = self._shard.rooms.capacity(self.name, slots)
        return slots if room is None else room

    def find(self, demand: messages.Demand) -> affinity.CachedPrefix:
        """Return how much of a demand's prompt the engine caches, now and soon."""
        cached_prefix = self.engine.index.find(
            demand.id, demand.blocks, demand.block_count
        )
        prompt_tokens = demand.prompt_tokens
        return affinity.CachedPrefix(
            min(cached_prefix.cached, prompt_tokens),
            min(cached_prefix.pending, prompt_tokens),
        )

    def fits(self, tokens: int) -> bool:
        """Return whether the engine can take a request of this many tokens now."""
        if self.is_full:
            return False
        return not self._load.tokens or (
            self._load.tokens + tokens <= self.engine.speed.limit
        )

    def add_awaiting(self, choice: "Choice") -> None:
        """Add a demand that waits for this engine to the wait of later demands.

        Otherwise all demands would wait for the same fast engine, each as if it were
        the next in line, while other engines are idle.
        """
        slot = choice.finish_seconds - choice.first_seconds
        self._awaiting_seconds += (
            choice.reading_seconds + slot / self.engine.server.slots
        )

    def refresh(self) -> None:
        """Recompute the backlog after a grant."""
        self.backlog = self._load.backlog_seconds(self.estimate.prefill_rate, self._now)

    @property
    def occupancy_seconds(self) -> float:
        """Cost of the engine's occupancy, at most the time of one token.

        A tie-break: of otherwise equal servers the less loaded one is chosen.
        """
        share = self._load.count / self.engine.server.slots
        return share * self.estimate.token_seconds

    @property
    def slot_wait_seconds(self) -> float:
        """Estimated wait besides the backlog: for earlier demands and for a slot."""
        wait = self._awaiting_seconds
        if self._load.count >= self._capacity:
            # The slots are staggered: one becomes free after about one token's time.
            wait += self.estimate.token_seconds
        return max(wait, self._budget_wait_seconds)

    @property
    def _budget_wait_seconds(self) -> float:
        """Time until a limit on the engine's rate allows one more request."""
        budget = self._shard.rate_budgets.get(self.name)
        if budget is None:
            return 0.0
        waits = budget.waits(1)
        return waits[0] if waits else math.inf

    @property
    def wait_seconds(self) -> float:
        """Estimated time until the engine may get one more request."""
        return max(self.backlog - MAX_BACKLOG_SECONDS, 0.0) + self.slot_wait_seconds


class Choice(typing.NamedTuple):
    """The estimate for a demand on one engine.

    Attributes
    ----------
    view : View
        The engine.
    cached_tokens : int
        Prompt tokens that its cache probably holds.
    first_seconds, finish_seconds : float
        Estimated time to the first event and to the end of the answer, when the demand
        is granted as soon as the engine can take it.
    reading_seconds : float
        Estimated prefill time of the uncached part of the prompt.
    cost : float
        Cost in seconds; the lowest is best.
    fits : bool
        Whether the engine can take the demand now.
    """

    view: View
    cached_tokens: int
    first_seconds: float
    finish_seconds: float
    reading_seconds: float
    cost: float
    fits: bool


class Options(typing.NamedTuple):
    """The possible placements of a demand.

    Attributes
    ----------
    best : Choice or None
        The engine to send it to now; None when it must wait.
    awaited : Choice or None
        The engine worth waiting for although another one is free now.
    usable : list of str
        Engines that could serve it in time, now or soon.
    min_finish_seconds : float
        Estimated time to the end of the answer on the fastest engine, were it idle.
    """

    best: Choice | None
    awaited: Choice | None
    usable: list[str]
    min_finish_seconds: float


def weigh(
    demand: messages.Demand,
    deadline: float,
    views: list[View],
    prefill_weight: float = 0.0,
    margin: float = MARGIN_FACTOR,
) -> Options:
    """Return the possible placements of a demand.

    Parameters
    ----------
    demand : Demand
        The request.
    deadline : float
        Seconds on this clock.
    views : list of View
        The engines that it may use.
    prefill_weight : float
        Weight of the engine time that the prefill takes from other requests.
    margin : float
        Factor by which the remaining time must exceed the estimated time.
    """
    left = deadline - clock.now()
    tokens = demand.prompt_tokens + demand.output_tokens
    usable = []
    now_best: Choice | None = None
    soon_best: Choice | None = None
    min_seconds = float("inf")
    # Servers to avoid have just refused a connection. If that holds for all of them,
    # the request retries one instead of being refused.
    avoid = set(demand.avoid)
    if all(view.name in avoid for view in views):
        avoid = set()
    avoid |= set(demand.tried)
    software = demand.software
    if software is None and demand.begins_at is not None:
        versions = {view.engine.server.software for view in views}
        if demand.has_others or demand.begins_at in versions:
            software = demand.begins_at
    for view in views:
        if view.name in avoid:
            continue
        if software not in (None, view.engine.server.software):
            continue
        choice = _choose(demand, tokens, view, prefill_weight)
        min_seconds = min(min_seconds, _idle_seconds(demand, choice))
        if not in_time(choice.finish_seconds, left, margin):
            continue
        usable.append(view.name)
        if choice.fits:
            if now_best is None or choice.cost < now_best.cost:
                now_best = choice
        elif soon_best is None or choice.cost < soon_best.cost:
            soon_best = choice
    if now_best is not None and soon_best is not None:
        if _worth_waiting(now_best, soon_best, left):
            return Options(None, soon_best, usable, min_seconds)
    return Options(now_best, None, usable, min_seconds)


def work(demand: messages.Demand, views: list[View]) -> int:
    """Return the work of a demand on the engine where it is least.

    In prompt tokens: the uncached ones, plus those that the engine could read in one
    slot's share of the time in which it generates the answer.
    """
    min_seconds = float(demand.prompt_tokens + demand.output_tokens)
    for number, view in enumerate(views):
        estimate = view.estimate
        cached = max(view.find(demand))
        step = estimate.floor_seconds * estimate.prefill_rate
        engine_work = float(max(demand.prompt_tokens - cached, 0))
        engine_work += demand.output_tokens * step / view.engine.server.slots
        min_seconds = engine_work if not number else min(min_seconds, engine_work)
    return max(int(min_seconds), 1)


def choose(demand: messages.Demand, view: View) -> Choice:
    """Return the estimate for a demand on one engine."""
    return _choose(demand, demand.prompt_tokens + demand.output_tokens, view, 0.0)


def in_time(seconds: float, left: float, margin: float = MARGIN_FACTOR) -> bool:
    """Return whether an estimated duration fits into the time left, with margin."""
    return seconds * margin + MARGIN_SECONDS <= left


def _choose(
    demand: messages.Demand, tokens: int, view: View, prefill_weight: float
) -> Choice:
    estimate = view.estimate
    cached, pending = view.find(demand)
    first = view.backlog + estimate.token_seconds
    # If granted now, it would repeat a prefill in progress for another request.
    is_prefix_pending = pending > cached + CHEAP_PREFILL_TOKENS
    if is_prefix_pending:
        cached = pending
    reading = (demand.prompt_tokens - cached) / estimate.prefill_rate
    first += reading
    fits = not is_prefix_pending and view.fits(tokens)
    if not fits:
        first += view.slot_wait_seconds
    finish = first + demand.output_tokens * estimate.token_seconds
    # A short prefix is read once per engine and then serves many requests.
    expensive_tokens = max(demand.prompt_tokens - cached - CHEAP_PREFILL_TOKENS, 0)
    cost = (
        finish
        + prefill_weight * expensive_tokens / estimate.prefill_rate
        + view.occupancy_seconds
    )
    return Choice(view, cached, first, finish, reading, cost, fits)


def _idle_seconds(demand: messages.Demand, choice: Choice) -> float:
    estimate = choice.view.estimate
    seconds = (demand.prompt_tokens - choice.cached_tokens) / estimate.prefill_rate
    return seconds + demand.output_tokens * estimate.floor_seconds


def _worth_waiting(now_best: Choice, soon_best: Choice, left: float) -> bool:
    gain = now_best.cost - soon_best.cost
    if (
        gain < WAIT_MIN_GAIN_SECONDS
        or soon_best.view.wait_seconds > left * WAIT_MAX_TIME_SHARE
    ):
        return False
    return soon_best.cost < now_best.cost * WAIT_MAX_COST_SHARE
