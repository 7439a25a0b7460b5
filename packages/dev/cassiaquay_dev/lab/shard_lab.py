"""Compare scheduling policies on one shard in virtual time, on the same arrivals.

``python -m cassiaquay_dev.lab.shard_lab --deployment brindley --load 1.5 --seeds 3``.
The shard and the policies (the keeper's side) are the daemon's own code; the engines
and the owner (the side that sends demands and dispatches requests) are simulated. The
results rank policies; ``make bench`` measures the speed of real daemons.
"""

import functools
import statistics
import time
import typing

import fire

from cassiaquay_daemon import clock
from cassiaquay_daemon.decisions import policies, prefixes, shards
from cassiaquay_daemon.keepers import keeper
from cassiaquay_schema import fleet, messages
from cassiaquay_schema import settings as settings_schema

from .. import deployments
from ..standins import blocks
from ..trials import bench_workloads, bounds, workloads
from . import shard_engines

NETWORK_SECONDS = 0.001
PROGRESS_SECONDS = 0.02
TICK_SECONDS = 0.1
SHORT_PROMPT_TOKENS = 800
DEFAULT_WORKLOADS = {"brindley": "brindley-evening", "veiqia": "veiqia-fittings"}
TABLE_HEADER = (
    "policy        good of-bound by tier               "
    "wasted cached short95 long50 busy keeper-ms"
)


class Prepared(typing.NamedTuple):
    """An arrival with its rank and prompt hashes, computed once for all policies."""

    arrival: workloads.Arrival
    rank: int
    sampled: list[int]
    hashes: list[int]


class Outcome(typing.NamedTuple):
    """Result of an arrival; seconds from it to the first token (0 if none) and end."""

    prepared: Prepared
    code: str
    first: float
    end: float


class Fault(typing.NamedTuple):
    """A slowdown of one engine by a factor from a given time on."""

    at: float
    engine: str
    factor: float


class Summary(typing.NamedTuple):
    """Summary statistics of one run."""

    goodput: float
    of_bound: float
    by_tier: list[float]
    wasted_share: float
    cached_share: float
    short_first_p95: float
    long_first_p50: float
    busy_share: float
    keeper_ms_per_demand: float
    by_second: list[float]


class Case(typing.NamedTuple):
    """The model requests of one seed and the upper bound of requests in time."""

    prepared: list[Prepared]
    limit: bounds.Bound


def prepare(
    deployment: deployments.Deployment,
    workload: str,
    seed: int,
    seconds: float,
    load: float,
) -> Case:
    """Return the case of a seed, with ``load`` times the engines' computed capacity."""
    mix = bench_workloads.registered.get(workload)

    def build(rate: float) -> list[workloads.Arrival]:
        return bench_workloads.build(mix, deployment, seed, seconds, rate)

    decode_ms = bounds.DECODE_MS_PER_SEQUENCE
    engines = deployment.engines
    rate = bounds.rate_for(load, engines, decode_ms, build, seconds)
    arrivals = build(rate)
    found = bounds.needs(arrivals)
    pool = bounds.Pool(engines, decode_ms, found)
    limit = bounds.bound(pool, found, deployment.tiers)
    prepared = []
    for need in found:
        arrival = need.arrival
        prepared.append(
            Prepared(
                arrival,
                deployment.tiers.index(arrival.tier),
                prefixes.blocks(arrival.prompt),
                blocks.block_hashes(arrival.prompt),
            )
        )
    return Case(prepared, limit)


class ShardSimulation:
    """One shard, its engines and one owner in virtual time."""

    def __init__(self, deployment: deployments.Deployment, policy: str):
        self.timeline = shard_engines.Timeline()
        self.outcomes: list[Outcome] = []
        self.engines = {
            spec.name: shard_engines.SimulatedEngine(spec, self.timeline)
            for spec in deployment.engines
        }
        self.instance = "lab"
        self.keeper_seconds = 0.0
        self.settings = settings_schema.Settings(
            instance="lab",
            domain="lab",
            keys=["lab"],
            platform=settings_schema.Platform(configuration="", instances=""),
        )
        self._shard = shards.Shard("engines#0", self.settings)
        self._shard.close([])
        for spec in deployment.engines:
            self._shard.servers[spec.name] = fleet.Server(
                name=spec.name, address="127.0.0.1:1", slots=spec.max_batch
            )
        self._policy = policies.policies.get(policy)(self._shard)
        self._serve_due = False
        self._ids: dict[str, Prepared] = {}
        self._jobs: dict[str, tuple[shard_engines.Job, str, float]] = {}
        self._steps: list[tuple[float, messages.Step]] = []

    def run(self, arrivals: list[Prepared], seconds: float) -> None:
        """Simulate all arrivals, and 20 s more so that requests can end."""
        for number, prepared in enumerate(arrivals):
            request_id = f"r{number}"
            call = functools.partial(self._arrive, request_id, prepared)
            self.timeline.at(prepared.arrival.at, call)
        self.timeline.after(TICK_SECONDS, self._tick)
        self.timeline.after(PROGRESS_SECONDS, self._report_progress)
        self.timeline.after(self.settings.keeper.renew_seconds, self._renew)
        before = clock.use(lambda: self.timeline.now)
        try:
            self.timeline.run(seconds + 20.0)
        finally:
            clock.use(before)

    def slow(self, fault: Fault) -> None:
        """Schedule a fault."""

        def apply_fault() -> None:
            self.engines[fault.engine].slow_factor = fault.factor

        self.timeline.at(fault.at, apply_fault)

    def send(self, message: messages.Message) -> bool:
        """Handle a message from the keeper to the owner, as the owner's link would."""
        if isinstance(message, messages.Permit):
            self.timeline.after(NETWORK_SECONDS, lambda: self._dispatch(message))
        elif isinstance(message, messages.Shed):
            prepared = self._ids.pop(message.id)
            end = self.timeline.now - prepared.arrival.at
            self.outcomes.append(Outcome(prepared, message.code, 0.0, end))
        return True

    def _arrive(self, request_id: str, prepared: Prepared) -> None:
        arrival = prepared.arrival
        self._ids[request_id] = prepared
        demand = messages.Demand(
            request_id,
            "engines#0",
            arrival.service,
            arrival.team.name,
            prepared.rank,
            prefixes.tokens(arrival.prompt),
            arrival.max_tokens,
            int(arrival.deadline * 1000),
            arrival.session,
            prepared.sampled,
            [],
            prefixes.block_count(arrival.prompt),
        )
        started = time.perf_counter()
        self._shard.add(demand, self)
        self.keeper_seconds += time.perf_counter() - started
        self._schedule_serve()

    def _schedule_serve(self) -> None:
        if not self._serve_due:
            self._serve_due = True
            self.timeline.after(0.0, self._serve)

    def _serve(self) -> None:
        self._serve_due = False
        started = time.perf_counter()
        self._policy.serve()
        self.keeper_seconds += time.perf_counter() - started

    def _dispatch(self, permit: messages.Permit) -> None:
        prepared = self._ids.get(permit.id)
        if prepared is None:
            return
        now = self.timeline.now
        arrival = prepared.arrival
        key = permit.id
        job = shard_engines.Job(
            prefixes.tokens(arrival.prompt),
            arrival.max_tokens,
            prepared.hashes,
            lambda: self._record_first_token(key),
            lambda: self._end_job(key, "completed"),
        )
        self._jobs[key] = (job, permit.server, now)
        step = messages.Step(key, permit.server, False, 0.0)
        self._steps.append((now, step))
        self.engines[permit.server].submit(job)
        self.timeline.at(
            arrival.at + arrival.deadline,
            lambda: self._end_job(key, "deadline_exceeded"),
        )

    def _record_first_token(self, key: str) -> None:
        job, server, _ = self._jobs[key]
        now = self.timeline.now
        self._steps.append((now, messages.Step(key, server, True, 0.0)))
        job.first_at = now

    def _end_job(self, key: str, code: str) -> None:
        prepared = self._ids.pop(key, None)
        if prepared is None:
            return
        job, server, sent_at = self._jobs.pop(key)
        now = self.timeline.now
        if code != "completed":
            self.engines[server].cancel(job)
        first = job.first_at - prepared.arrival.at if job.first_at else 0.0
        end = now - prepared.arrival.at
        self.outcomes.append(Outcome(prepared, code, first, end))
        release = messages.Release(
            key,
            "engines#0",
            server,
            code,
            job.prompt_tokens,
            job.cached,
            job.produced,
            max(job.first_at - sent_at, 0.0) * 1000.0,
            (now - sent_at) * 1000.0,
        )
        self.timeline.after(NETWORK_SECONDS, lambda: self._release(release))

    def _release(self, release: messages.Release) -> None:
        started = time.perf_counter()
        self._policy.learn(release)
        self._shard.drop(release.id)
        self.keeper_seconds += time.perf_counter() - started
        self._schedule_serve()

    def _tick(self) -> None:
        started = time.perf_counter()
        self._shard.expire()
        self.keeper_seconds += time.perf_counter() - started
        self._schedule_serve()
        self.timeline.after(TICK_SECONDS, self._tick)

    def _report_progress(self) -> None:
        now = self.timeline.now
        steps = [s._replace(age_ms=(now - at) * 1000.0) for at, s in self._steps]
        self._steps.clear()
        if steps:
            started = time.perf_counter()
            self._shard.progress(messages.Progress("engines#0", steps))
            self.keeper_seconds += time.perf_counter() - started
            self._schedule_serve()
        self.timeline.after(PROGRESS_SECONDS, self._report_progress)

    def _renew(self) -> None:
        items = []
        for key, (job, server, _) in self._jobs.items():
            items.append(
                messages.Outstanding(
                    key, "", "", 0, server, job.prompt_tokens, 0, job.produced
                )
            )
        started = time.perf_counter()
        self._shard.renew(self.instance, items)
        for waiting in list(self._shard.queue.values()):
            left = int((waiting.deadline - clock.now()) * 1000)
            self._shard.add(waiting.demand._replace(remaining_ms=max(left, 0)), self)
        self.keeper_seconds += time.perf_counter() - started
        self.timeline.after(self.settings.keeper.renew_seconds, self._renew)


def summarize(
    lab: ShardSimulation, case: Case, deployment: deployments.Deployment, seconds: float
) -> Summary:
    """Return the summary of a finished run."""
    arrivals = case.prepared
    good = [item for item in lab.outcomes if item.code == "completed"]
    by_tier = []
    for rank, tier in enumerate(deployment.tiers):
        sent = case.limit.finishable[tier]
        done = sum(1 for item in good if item.prepared.rank == rank)
        by_tier.append(done / max(sent, 1))
    prefilled = sum(engine.prefilled for engine in lab.engines.values())
    wasted = sum(engine.wasted for engine in lab.engines.values())
    cached = sum(engine.cached for engine in lab.engines.values())
    busy = sum(engine.busy_seconds for engine in lab.engines.values())
    short = [item.first for item in good if _is_short(item)]
    long = [item.first for item in good if not _is_short(item)]
    by_second = [0.0] * int(seconds)
    for item in good:
        second = int(item.prepared.arrival.at)
        by_second[min(second, len(by_second) - 1)] += 1
    return Summary(
        len(good) / max(len(arrivals), 1),
        len(good) / case.limit.strict,
        by_tier,
        wasted / max(prefilled, 1),
        cached / max(cached + prefilled, 1),
        _quantile(short, 0.95),
        _quantile(long, 0.5),
        busy / seconds / len(lab.engines),
        lab.keeper_seconds * 1000.0 / max(len(arrivals), 1),
        by_second,
    )


def run(
    deployment: deployments.Deployment,
    policy: str,
    case: Case,
    seconds: float,
    faults: typing.Sequence[Fault] = (),
) -> Summary:
    """Run one policy on a case."""
    lab = ShardSimulation(deployment, policy)
    for fault in faults:
        lab.slow(fault)
    lab.run(case.prepared, seconds)
    return summarize(lab, case, deployment, seconds)


def _is_short(item: Outcome) -> bool:
    return prefixes.tokens(item.prepared.arrival.prompt) < SHORT_PROMPT_TOKENS


def _quantile(values: list[float], share: float) -> float:
    if not values:
        return 0.0
    return sorted(values)[int(share * (len(values) - 1))]


def main(
    deployment: str = "brindley",
    workload: str = "",
    load: float = 1.0,
    seeds: int = 3,
    seconds: float = 15.0,
    policy: str = f"{keeper.DEFAULT_POLICY},round-robin",
    slow: float = 1.0,
) -> None:
    """Simulate each policy on the same seeds and print its means in a table."""
    chosen = deployments.deployments.get(deployment)
    mix = workload or DEFAULT_WORKLOADS[deployment]
    names = policy.split(",") if isinstance(policy, str) else list(policy)
    found: dict[str, list[Summary]] = {name: [] for name in names}
    faults = []
    if slow != 1.0:
        faults.append(Fault(seconds / 2, chosen.engines[0].name, slow))
    for seed in range(1, seeds + 1):
        case = prepare(chosen, mix, seed, seconds, load)
        for name in names:
            found[name].append(run(chosen, name, case, seconds, faults))
    print(TABLE_HEADER)
    for name in names:
        print(table_line(name, found[name]))


def table_line(name: str, found: list[Summary]) -> str:
    """Return the table line of a policy."""

    def mean(pick: typing.Callable[[Summary], float]) -> float:
        return statistics.mean(pick(item) for item in found)

    tiers = []
    for rank in range(len(found[0].by_tier)):
        share = statistics.mean(item.by_tier[rank] for item in found)
        tiers.append(f"{share:.3f}")
    return (
        f"{name:13} {mean(lambda s: s.goodput):.3f} {mean(lambda s: s.of_bound):.3f}   "
        f"{' '.join(tiers)}   "
        f"{mean(lambda s: s.wasted_share):.4f} {mean(lambda s: s.cached_share):.3f}  "
        f"{mean(lambda s: s.short_first_p95):.3f}  "
        f"{mean(lambda s: s.long_first_p50):.3f}  {mean(lambda s: s.busy_share):.2f} "
        f"{mean(lambda s: s.keeper_ms_per_demand):.3f}"
    )


if __name__ == "__main__":
    fire.Fire(main)
