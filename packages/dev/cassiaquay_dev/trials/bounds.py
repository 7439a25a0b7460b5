"""An upper bound of what engines can finish in time, and the capacity of a fleet.

The model is a relaxation, so no real schedule does better:

- An engine with a full batch of ``b`` spends ``step / b + decode`` on each generated
  token, and ``1 / prefill speed`` on each prompt token that no earlier request of the
  run has had (an oracle with all caches, never full).
- All engines are one fluid pool. Engine i gives ``speed_i`` units of work a second,
  1 for the fastest; a request needs the least of ``cost_i * speed_i`` over the engines.
- A request may be worked on at any time between its arrival and its deadline,
  by parts, by any number of engines at once; a part of it counts as that part.
- A request that no idle engine could finish in time is left out.

The feasible amounts of work form a polymatroid (work inside each interval is at most
what the pool does in it), so giving work greedily by value for work is optimal: the
cheapest requests first without tiers, tier by tier for the strict order. Reference:
Edmonds, "Submodular functions, matroids, and certain polyhedra", 1970.
"""

import collections.abc
import math
import typing

import numpy

from .. import deployments
from ..standins import blocks
from . import workloads

SLOT_SECONDS = 0.25
DECODE_MS_PER_SEQUENCE = 0.2
PREFILL_CHUNK_TOKENS = 512
CAPACITY_ROUNDS = 5

Build = collections.abc.Callable[[float], list[workloads.Arrival]]


class Need(typing.NamedTuple):
    """What one request needs of model engines.

    Attributes
    ----------
    arrival : Arrival
        The request.
    cached_tokens, fresh_tokens : int
        Prompt tokens that an oracle has cached, and the others.
    """

    arrival: workloads.Arrival
    cached_tokens: int
    fresh_tokens: int


class Bound(typing.NamedTuple):
    """Requests in time, at most; ``by_tier`` for the strict order of tiers."""

    by_tier: dict[str, float]
    without_tiers: float
    finishable: dict[str, int]

    @property
    def strict(self) -> float:
        """Sum over the tiers of the strict order."""
        return sum(self.by_tier.values())


def needs(arrivals: list[workloads.Arrival]) -> list[Need]:
    """Return the needs of the requests for model engines, in order of arrival."""
    known: set[int] = set()
    found = []
    for arrival in arrivals:
        if arrival.path:
            continue
        hashes = blocks.block_hashes(arrival.prompt)
        cached = 0
        for block in hashes:
            if block not in known:
                break
            cached += blocks.TOKENS_PER_BLOCK
        known.update(hashes)
        total = blocks.count_tokens(arrival.prompt)
        found.append(Need(arrival, cached, total - cached))
    return found


def cost(engine: deployments.EngineSpec, need: Need, decode_ms: float) -> float:
    """Return the seconds of an engine with a full batch that a request takes."""
    token_ms = engine.step_ms / engine.max_batch + decode_ms
    prefill = need.fresh_tokens / engine.prefill_tokens_per_second
    return prefill + need.arrival.max_tokens * token_ms / 1000.0


def idle_seconds(engine: deployments.EngineSpec, need: Need, decode_ms: float) -> float:
    """Return the seconds from arrival to the end of an answer on an idle engine."""
    chunks = math.ceil(need.fresh_tokens / PREFILL_CHUNK_TOKENS)
    token_ms = engine.step_ms + decode_ms
    steps_ms = chunks * engine.step_ms + need.arrival.max_tokens * token_ms
    return need.fresh_tokens / engine.prefill_tokens_per_second + steps_ms / 1000.0


class Pool:
    """The engines of a deployment as one fluid resource.

    Parameters
    ----------
    engines : list of EngineSpec
        The engines.
    decode_ms : float
        Milliseconds that each running request adds to a step.
    found : list of Need
        Requests whose mean cost makes the speeds comparable.
    """

    def __init__(
        self,
        engines: list[deployments.EngineSpec],
        decode_ms: float,
        found: list[Need],
    ):
        self._engines = engines
        self._decode_ms = decode_ms
        means = []
        for engine in engines:
            costs = [cost(engine, need, decode_ms) for need in found]
            means.append(sum(costs) / max(len(costs), 1))
        fastest = min(means)
        self.speeds = [fastest / mean for mean in means]

    @property
    def speed(self) -> float:
        """Units of work a second of all engines."""
        return sum(self.speeds)

    def work(self, need: Need) -> float:
        """Return the least work that a request is."""
        least = math.inf
        for engine, speed in zip(self._engines, self.speeds, strict=True):
            least = min(least, cost(engine, need, self._decode_ms) * speed)
        return least

    def can_finish(self, need: Need) -> bool:
        """Tell whether some idle engine finishes a request in time."""
        shortest = min(
            idle_seconds(engine, need, self._decode_ms) for engine in self._engines
        )
        return shortest <= need.arrival.deadline


def rate_for(
    load: float,
    engines: list[deployments.EngineSpec],
    decode_ms: float,
    build: Build,
    seconds: float,
) -> float:
    """Return the arrivals a second whose work is ``load`` times the capacity.

    Parameters
    ----------
    load : float
        Work that arrives in ``seconds`` for the work that all engines can do in them.
    build : callable
        Returns the arrivals of ``seconds`` at a rate.
    """
    rate = 10.0
    for _ in range(CAPACITY_ROUNDS):
        found = needs(build(rate))
        pool = Pool(engines, decode_ms, found)
        work = sum(pool.work(need) for need in found)
        rate *= load * pool.speed * seconds / work
    return rate


class _Interval:
    """Work given so far, for each interval of slots."""

    def __init__(self, capacity: list[float]):
        sums = numpy.concatenate([[0.0], numpy.cumsum(capacity)])
        # _slack[a, b]: what slots a..b-1 can still do for windows within them.
        self._slack = sums[None, :] - sums[:, None]

    def give(self, start: int, end: int, wanted: float) -> float:
        """Give up to ``wanted`` work in the slots ``start`` to ``end - 1``."""
        around = self._slack[: start + 1, end:]
        given = max(min(wanted, float(around.min())), 0.0)
        around -= given
        return given


def bound(
    pool: Pool,
    found: list[Need],
    tiers: list[str],
    speed_at: collections.abc.Callable[[float], float] | None = None,
) -> Bound:
    """Return the most requests that can be in time.

    Parameters
    ----------
    pool : Pool
        The engines.
    found : list of Need
        The requests.
    tiers : list of str
        The most important first.
    speed_at : callable, optional
        Work a second at a time of the run, for engines that change; constant
        otherwise.
    """
    finishable = [need for need in found if pool.can_finish(need)]
    works = {id(need): pool.work(need) for need in finishable}
    ends = [need.arrival.at + need.arrival.deadline for need in finishable]
    slots = math.ceil(max(ends, default=0.0) / SLOT_SECONDS) + 1
    capacity = []
    for slot in range(slots):
        speed = speed_at(slot * SLOT_SECONDS) if speed_at else pool.speed
        capacity.append(speed * SLOT_SECONDS)
    ranks = {tier: rank for rank, tier in enumerate(tiers)}

    def fill(order: list[Need]) -> dict[str, float]:
        interval = _Interval(capacity)
        done = dict.fromkeys(tiers, 0.0)
        for need in order:
            work = works[id(need)]
            start = math.floor(need.arrival.at / SLOT_SECONDS)
            end = math.ceil((need.arrival.at + need.arrival.deadline) / SLOT_SECONDS)
            given = interval.give(start, end, work)
            done[need.arrival.tier] += given / work if work else 1.0
        return done

    cheapest = sorted(finishable, key=lambda need: works[id(need)])
    strict = sorted(cheapest, key=lambda need: ranks[need.arrival.tier])
    counts = dict.fromkeys(tiers, 0)
    for need in finishable:
        counts[need.arrival.tier] += 1
    return Bound(fill(strict), sum(fill(cheapest).values()), counts)
