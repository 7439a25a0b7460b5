"""Where a demand should run: the engine on which its answer is whole first.

The cost of an engine is time: what it still reads, plus the uncached part of the prompt
at its learned speed, plus the answer at its learned time per token. A cached prefix,
a short queue and a fast engine are thus weighed in one unit.
"""

import typing

from cassiaquay_schema import fleet, messages

from .. import clock
from . import affinity, shards, speeds

# How much unread prompt an engine may have when it gets more: enough that it never
# runs dry before the next permit arrives, little enough that an important request
# that comes next does not find a long queue that it cannot pass.
BACKLOG_SECONDS = 0.15
# Estimates are never exact; what would end this close to its deadline is not begun.
# The factor is the tier's margin in the fleet text.
MARGIN_FACTOR = 1.3
MARGIN_SECONDS = 0.05
# Waiting for a better engine must gain this much, and may not take longer than this.
CHEAP_TOKENS = 512
WAIT_GAIN = 0.8
WAIT_LEAST_SECONDS = 0.02
WAIT_SHARE = 0.7


class Engine:
    """What the policy knows of one backend server."""

    def __init__(self, server: fleet.Server, start_tokens: int):
        self.server = server
        self.speed = speeds.Speed(start_tokens, server.max_tokens_in_flight)
        self.index = affinity.PrefixIndex()


class View:
    """One engine as it is during one pass over the queue."""

    def __init__(self, engine: Engine, shard: shards.Shard, now: float):
        self.engine = engine
        self.name = engine.server.name
        self._shard = shard
        self._load = shard.load(self.name)
        self._now = now
        self.estimate = engine.speed.estimate(now, not self._load.count)
        self._foreign = self._load.foreign(now)
        self.backlog = 0.0
        # Held for a more important demand; a lower tier may wait for it, too.
        self.held = False
        self._promised = 0.0
        self.refresh()

    @property
    def is_full(self) -> bool:
        """Whether nothing at all fits now."""
        return (
            self.held
            or not self._shard.cold_budgets.allows(self.name)
            or self._load.count + self._foreign >= self.engine.server.slots
            or self.backlog > BACKLOG_SECONDS
        )

    def find(self, demand: messages.Demand) -> affinity.Found:
        """Return what the engine has of a demand's prompt, now and before long."""
        found = self.engine.index.find(demand.id, demand.blocks, demand.block_count)
        most = demand.prompt_tokens
        return affinity.Found(min(found.cached, most), min(found.coming, most))

    def fits(self, tokens: int) -> bool:
        """Tell whether a request of this many tokens may go there now."""
        if self.is_full:
            return False
        return not self._load.tokens or (
            self._load.tokens + tokens <= self.engine.speed.limit
        )

    def promise(self, choice: "Choice") -> None:
        """Note that a demand waits for this engine; those behind it wait longer.

        Without this all would wait for the same fast engine, each taking itself for
        the next one, while other engines stand idle.
        """
        slot = choice.finish_seconds - choice.first_seconds
        self._promised += choice.reading_seconds + slot / self.engine.server.slots

    def refresh(self) -> None:
        """Take in a grant."""
        self.backlog = self._load.backlog_seconds(self.estimate.prefill_rate, self._now)

    @property
    def crowd_seconds(self) -> float:
        """What the requests that run there add to the cost, at most one token's time.

        Of servers that are equal otherwise the emptier one is taken.
        """
        share = self._load.count / self.engine.server.slots
        return share * self.estimate.token_seconds

    @property
    def turn_seconds(self) -> float:
        """Estimated wait besides the backlog: for those promised, and for a slot."""
        if self._load.count < self.engine.server.slots:
            return self._promised
        # One of the slots comes free after about a slot's share of an answer.
        return self._promised + self.estimate.token_seconds

    @property
    def wait_seconds(self) -> float:
        """Estimated time until the engine may get one more request."""
        return max(self.backlog - BACKLOG_SECONDS, 0.0) + self.turn_seconds


class Choice(typing.NamedTuple):
    """An engine for a demand.

    Attributes
    ----------
    view : View
        The engine.
    cached_tokens : int
        Prompt tokens that its cache is taken to hold.
    first_seconds, finish_seconds : float
        Estimated time to the first event and to the end, when granted as soon as the
        engine may get it.
    reading_seconds : float
        Estimated time in which the engine reads the uncached part of the prompt.
    cost : float
        Seconds; the least is best.
    fits : bool
        Whether that is now.
    """

    view: View
    cached_tokens: int
    first_seconds: float
    finish_seconds: float
    reading_seconds: float
    cost: float
    fits: bool


class Options(typing.NamedTuple):
    """What can be done with a demand.

    Attributes
    ----------
    best : Choice or None
        Where to send it now; None when it must wait.
    awaited : Choice or None
        The engine that it waits for though another one is free now.
    usable : list of str
        Engines that could serve it in time, now or soon.
    least_seconds : float
        Estimated time to the end on the best idle engine.
    """

    best: Choice | None
    awaited: Choice | None
    usable: list[str]
    least_seconds: float


def weigh(
    demand: messages.Demand,
    deadline: float,
    views: list[View],
    pressure: float = 0.0,
    margin: float = MARGIN_FACTOR,
) -> Options:
    """Return where a demand can go.

    Parameters
    ----------
    demand : Demand
        The request.
    deadline : float
        Seconds on this clock.
    views : list of View
        The engines that it may use.
    pressure : float
        Weight of the engine time that reading the prompt takes from others.
    margin : float
        Times the estimated time that must be left.
    """
    left = deadline - clock.now()
    tokens = demand.prompt_tokens + demand.output_tokens
    usable = []
    now_best: Choice | None = None
    soon_best: Choice | None = None
    least = float("inf")
    # Servers to avoid refused a connection a moment ago. When that is all of them, the
    # request may try again rather than be told that nothing could serve it.
    avoid = set(demand.avoid)
    if all(view.name in avoid for view in views):
        avoid = set()
    for view in views:
        if view.name in avoid:
            continue
        choice = _choose(demand, tokens, view, pressure)
        least = min(least, _idle_seconds(demand, choice))
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
            return Options(None, soon_best, usable, least)
    return Options(now_best, None, usable, least)


def work(demand: messages.Demand, views: list[View]) -> int:
    """Return the least work that a demand is for one of the engines.

    In prompt tokens: those not cached there, and those that the engine could read in
    its share of the time that it takes to generate the answer.
    """
    least = float(demand.prompt_tokens + demand.output_tokens)
    for number, view in enumerate(views):
        estimate = view.estimate
        cached = max(view.find(demand))
        step = estimate.floor_seconds * estimate.prefill_rate
        found = float(max(demand.prompt_tokens - cached, 0))
        found += demand.output_tokens * step / view.engine.server.slots
        least = found if not number else min(least, found)
    return max(int(least), 1)


def choose(demand: messages.Demand, view: View) -> Choice:
    """Return what one engine would mean for a demand."""
    return _choose(demand, demand.prompt_tokens + demand.output_tokens, view, 0.0)


def in_time(seconds: float, left: float, margin: float = MARGIN_FACTOR) -> bool:
    """Tell whether something that is estimated to take so long ends in time."""
    return seconds * margin + MARGIN_SECONDS <= left


def _choose(
    demand: messages.Demand, tokens: int, view: View, pressure: float
) -> Choice:
    estimate = view.estimate
    cached, coming = view.find(demand)
    first = view.backlog + estimate.token_seconds
    # Sent now it would read once more what is being read for another request.
    is_early = coming > cached + CHEAP_TOKENS
    if is_early:
        cached = coming
    reading = (demand.prompt_tokens - cached) / estimate.prefill_rate
    first += reading
    fits = not is_early and view.fits(tokens)
    if not fits:
        first += view.turn_seconds
    finish = first + demand.output_tokens * estimate.token_seconds
    # A short prefix is read once on each engine and serves many from then on.
    dear = max(demand.prompt_tokens - cached - CHEAP_TOKENS, 0)
    cost = finish + pressure * dear / estimate.prefill_rate + view.crowd_seconds
    return Choice(view, cached, first, finish, reading, cost, fits)


def _idle_seconds(demand: messages.Demand, choice: Choice) -> float:
    estimate = choice.view.estimate
    seconds = (demand.prompt_tokens - choice.cached_tokens) / estimate.prefill_rate
    return seconds + demand.output_tokens * estimate.floor_seconds


def _worth_waiting(now_best: Choice, soon_best: Choice, left: float) -> bool:
    gain = now_best.cost - soon_best.cost
    if gain < WAIT_LEAST_SECONDS or soon_best.view.wait_seconds > left * WAIT_SHARE:
        return False
    return soon_best.cost < now_best.cost * WAIT_GAIN
