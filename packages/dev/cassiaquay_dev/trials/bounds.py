"""Upper bound of the requests that engines can finish in time, and their capacity.

The model is a relaxation, so no real schedule exceeds the bound:

- An engine with a full batch of ``b`` spends ``step / b + decode`` on each generated
  token, and ``1 / prefill speed`` on each prompt token that no earlier request of the
  run contained (an oracle that holds the contents of all caches without eviction).
- All engines form one fluid pool. Engine i does ``speed_i`` units of work per second,
  1 for the fastest; a request needs the minimum of ``cost_i * speed_i`` over engines.
- A request may be processed at any time between its arrival and its deadline, in
  parts and by any number of engines at once; a finished fraction counts as a fraction.
- A request that no idle engine could finish in time is excluded.

The feasible amounts of work form a polymatroid (work inside each interval is at most
what the pool does in it), so greedy allocation by value per unit of work is optimal:
the cheapest requests first without tiers, tier by tier for the strict order. Reference:
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
    """Demand of one request on model engines.

    Attributes
    ----------
    arrival : Arrival
        The request.
    cached_tokens, fresh_tokens : int
        Prompt tokens that an oracle has cached, and the remaining ones.
    """

    arrival: workloads.Arrival
    cached_tokens: int
    fresh_tokens: int


class Bound(typing.NamedTuple):
    """Upper bound of the requests in time; ``by_tier`` for strict priority of tiers."""

    by_tier: dict[str, float]
    without_tiers: float
    finishable: dict[str, int]

    @property
    def strict(self) -> float:
        """Sum over tiers under strict priority."""
        return sum(self.by_tier.values())


def needs(arrivals: list[workloads.Arrival]) -> list[Need]:
    """Return the needs of the requests to model engines, in order of arrival."""
    known_blocks: set[int] = set()
    found = []
    for arrival in arrivals:
        if arrival.path:
            continue
        hashes = blocks.block_hashes(arrival.prompt)
        cached = 0
        for block in hashes:
            if block not in known_blocks:
                break
            cached += blocks.TOKENS_PER_BLOCK
        known_blocks.update(hashes)
        total = blocks.count_tokens(arrival.prompt)
        found.append(Need(arrival, cached, total - cached))
    return found


def cost(engine: deployments.EngineSpec, need: Need, decode_ms: float) -> float:
    """Return the seconds that a request takes of an engine with a full batch."""
    token_ms = engine.step_ms / engine.max_batch + decode_ms
    prefill = need.fresh_tokens / engine.prefill_tokens_per_second
    return prefill + need.arrival.max_tokens * token_ms / 1000.0


def idle_seconds(engine: deployments.EngineSpec, need: Need, decode_ms: float) -> float:
    """Return the seconds from arrival to the last token on an idle engine."""
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
        Milliseconds that each decoding request adds to a step.
    found : list of Need
        Requests whose mean cost defines the relative speeds.
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
        """Total units of work per second."""
        return sum(self.speeds)

    def work(self, need: Need) -> float:
        """Return the minimum work of a request over the engines."""
        min_work = math.inf
        for engine, speed in zip(self._engines, self.speeds, strict=True):
            min_work = min(min_work, cost(engine, need, self._decode_ms) * speed)
        return min_work

    def can_finish(self, need: Need) -> bool:
        """Return whether any idle engine can finish a request by its deadline."""
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
    """Return the arrival rate whose work is ``load`` times the capacity.

    Parameters
    ----------
    load : float
        Work that arrives in ``seconds`` divided by the work that all engines can do.
    build : callable
        Returns the arrivals of ``seconds`` seconds at a given rate.
    """
    rate = 10.0
    for _ in range(CAPACITY_ROUNDS):
        found = needs(build(rate))
        pool = Pool(engines, decode_ms, found)
        work = sum(pool.work(need) for need in found)
        rate *= load * pool.speed * seconds / work
    return rate


class _CapacityAllocator:
    """Tracks the work that remains available in each interval of time slots."""

    def __init__(self, capacity: list[float]):
        sums = numpy.concatenate([[0.0], numpy.cumsum(capacity)])
        # _available[a, b]: work that slots a..b-1 can still do for windows inside them.
        self._available = sums[None, :] - sums[:, None]

    def allocate(self, start: int, end: int, requested: float) -> float:
        """Allocate up to ``requested`` work in slots ``start`` to ``end - 1``.

        Returns the allocated work.
        """
        enclosing = self._available[: start + 1, end:]
        allocated = max(min(requested, float(enclosing.min())), 0.0)
        enclosing -= allocated
        return allocated


def bound(
    pool: Pool,
    found: list[Need],
    tiers: list[str],
    speed_at: collections.abc.Callable[[float], float] | None = None,
) -> Bound:
    """Return the upper bound of the requests that can be in time.

    Parameters
    ----------
    pool : Pool
        The engines.
    found : list of Need
        The requests.
    tiers : list of str
        Names of the tiers, the most important first.
    speed_at : callable, optional
        Units of work per second at a time of the run, for engines whose speed
        changes; constant if left out.
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
        allocator = _CapacityAllocator(capacity)
        done = dict.fromkeys(tiers, 0.0)
        for need in order:
            work = works[id(need)]
            start = math.floor(need.arrival.at / SLOT_SECONDS)
            end = math.ceil((need.arrival.at + need.arrival.deadline) / SLOT_SECONDS)
            allocated = allocator.allocate(start, end, work)
            done[need.arrival.tier] += allocated / work if work else 1.0
        return done

    cheapest = sorted(finishable, key=lambda need: works[id(need)])
    strict = sorted(cheapest, key=lambda need: ranks[need.arrival.tier])
    counts = dict.fromkeys(tiers, 0)
    for need in finishable:
        counts[need.arrival.tier] += 1
    return Bound(fill(strict), sum(fill(cheapest).values()), counts)
