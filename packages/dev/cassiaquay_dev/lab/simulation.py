"""Simulate a day: callers, daemon instances and engines in virtual time."""

import asyncio
import collections
import collections.abc
import random
import typing

from cassiaquay_daemon import clock, exceptions
from cassiaquay_daemon.adapters import signals
from cassiaquay_daemon.gateway import admission, calls, progress
from cassiaquay_schema import messages

from . import batching, days, instances, simulated_network, traffic

# Lets instances discover each other and all shards open before the load begins.
WARM_UP_SECONDS = 3.0
SAMPLE_SECONDS = 0.1
# Precision of the times at which instances learn of a limit.
WATCH_SECONDS = 0.001
# A refused caller retries once.
MAX_ATTEMPTS = 2
# It waits for Retry-After, but for no more than this share of its remaining time.
MAX_WAIT_SHARE = 1.0 / 3.0
IN_TIME, LATE, REFUSED, ABANDONED = "in time", "late", "refused", "left"


class EndedRequest(typing.NamedTuple):
    """The result of a request.

    Attributes
    ----------
    request : Request
        The request.
    outcome : str
        `IN_TIME`, `LATE`, `REFUSED` or, when its caller gave up, `ABANDONED`.
    attempts : int
        Number of attempts.
    first_seconds : float
        Time from arrival to the first event; 0 when there was none.
    """

    request: traffic.Request
    outcome: str
    attempts: int
    first_seconds: float


class Sample(typing.NamedTuple):
    """A sample of the load of engines and keepers.

    Attributes
    ----------
    at : float
        Seconds from the start of the load.
    busy_fast, busy_slow : int
        Running requests in engines faster than the mean, and in the others.
    queued : int
        Requests in the engines' own queues.
    waiting : int
        Demands in the queues of the keepers, which admit requests to shards.
    """

    at: float
    busy_fast: int
    busy_slow: int
    queued: int
    waiting: int


class Arrival(typing.NamedTuple):
    """The arrival of a request at an engine.

    Attributes
    ----------
    engine : str
        Name of the engine.
    at : float
        Seconds from the start of the load.
    """

    engine: str
    at: float


class DayResult(typing.NamedTuple):
    """The result of a simulated day.

    Attributes
    ----------
    ended : list of Ended
        Results of all requests.
    samples : list of Sample
        Samples in order of time.
    refused_at : list of float
        Times of refused attempts, in seconds from the start of the load.
    received : int
        Number of messages received by instances.
    arrivals : list of Arrival
        Arrivals at all engines, in order of time.
    limits_known_at : list of float
        Times at which instances learned of the first limit, in order of time.
    departures_known_at : list of float
        Times at which instances learned of the first departure, in order of time.
    limit_messages : int
        Number of messages about limits that instances received.
    """

    ended: list[EndedRequest]
    samples: list[Sample]
    refused_at: list[float]
    received: int
    arrivals: list[Arrival]
    limits_known_at: list[float]
    departures_known_at: list[float]
    limit_messages: int


class Fleet:
    """The instances, engines and callers of a simulated day.

    Parameters
    ----------
    day : Day
        The scenario.
    seed : int
        Seed of the callers' choice of instances.
    """

    def __init__(self, day: days.Day, seed: int):
        self.day = day
        self.ended: list[EndedRequest] = []
        self.samples: list[Sample] = []
        self.refused_at: list[float] = []
        self.arrivals: list[Arrival] = []
        self.limits_known_at: list[float] = []
        self.departures_known_at: list[float] = []
        self._load_started_at = 0.0
        self._rng = random.Random(seed)
        self._snapshot = instances.snapshot(day)
        names = [f"daemon-{number:03}" for number in range(day.instances)]
        zones = {
            name: f"zone-{number % day.zones}" for number, name in enumerate(names)
        }
        self.network = simulated_network.Network(zones, day.crossing_ms / 1000.0)
        configuration = instances.StaticConfiguration(self._snapshot)
        self.instances = [
            instances.Instance(name, self.network, configuration) for name in names
        ]
        self.engines: dict[str, batching.Engine] = {}
        factors = day.engines.time_factors
        for number in range(day.engines.count):
            name = instances.engine_name(number)
            self.engines[name] = batching.Engine(
                day.engines, factors[number % len(factors)], f"{seed} {name}"
            )

    async def play(self, requests: list[traffic.Request]) -> None:
        """Simulate all requests until each has ended."""
        for instance in self.instances:
            instance.start()
        await asyncio.sleep(WARM_UP_SECONDS)
        load_started_at = self._load_started_at = clock.now()
        watchers = [asyncio.create_task(self._sample())]
        if self.day.limits:
            watchers.append(
                asyncio.create_task(self._watch(_knows_limit, self.limits_known_at))
            )
        if self.day.departures:
            watchers.append(
                asyncio.create_task(
                    self._watch(_knows_departure, self.departures_known_at)
                )
            )
        callers = []
        for request in requests:
            await asyncio.sleep(max(load_started_at + request.at - clock.now(), 0.0))
            callers.append(asyncio.create_task(self._run_caller(request)))
        await asyncio.gather(*callers)
        for watcher in watchers:
            watcher.cancel()

    async def _run_caller(self, request: traffic.Request) -> None:
        """Send a request, and retry once if it is refused."""
        kind = self.day.kinds[request.kind]
        arrived_at = clock.now()
        gives_up_at = arrived_at + kind.deadline_ms / 1000.0
        monitor = _LatenessMonitor(
            arrived_at, kind.objective_ms / 1000.0, kind.pause_ms / 1000.0
        )
        outcome = ABANDONED
        number = 0
        for number in range(1, MAX_ATTEMPTS + 1):
            instance = self._rng.choice(self.instances)
            await asyncio.sleep(self.day.caller_ms / 1000.0)
            attempt = instances.call(
                self.day,
                request,
                f"{request.name}.{number}",
                clock.now(),
                gives_up_at,
                self._snapshot,
                instance.visits,
            )
            try:
                async with asyncio.timeout_at(gives_up_at):
                    await self._serve_attempt(instance, attempt, request, monitor)
                outcome = LATE if monitor.is_late else IN_TIME
                break
            except TimeoutError:
                outcome = ABANDONED
                break
            except exceptions.Refusal as refusal:
                outcome = REFUSED
                self.refused_at.append(clock.now() - self._load_started_at)
                seconds_left = max(gives_up_at - clock.now(), 0.0)
                retry_after = (refusal.retry_after_ms or 0) / 1000.0
                await asyncio.sleep(min(retry_after, seconds_left * MAX_WAIT_SHARE))
        first = monitor.first_at - arrived_at if monitor.first_at else 0.0
        self.ended.append(EndedRequest(request, outcome, number, first))

    async def _serve_attempt(
        self,
        instance: instances.Instance,
        attempt: calls.Call,
        request: traffic.Request,
        monitor: "_LatenessMonitor",
    ) -> None:
        state = progress.RequestState(attempt)
        state.tries = 1
        ticket = await instance.admission.obtain(state)
        server = ticket.server.name
        run = batching.Run(
            request.prompt_tokens, request.events, _event_recorder(ticket, monitor)
        )
        engine = self.engines[server]
        sent_at = clock.now()
        sent = instance.server_reports.sent(attempt.parsed.attempt, ticket.server)
        self.arrivals.append(Arrival(server, sent_at - self._load_started_at))
        instance.admission.report_dispatched(ticket)
        engine.submit(run)
        outcome = "cut"
        try:
            if self.day.limits or self.day.departures:
                await run.started
                found = signals.Signals(
                    limit=self._named_limit(server), is_leaving=self._is_leaving(server)
                )
                instance.server_reports.answered(sent, found, False)
            await run.ended
            outcome = "completed"
        finally:
            engine.cancel(run)
            instance.admission.report_ended(ticket, sent_at, outcome)

    def _named_limit(self, server: str) -> float | None:
        """Return the limit that an engine names now."""
        now = clock.now() - self._load_started_at
        for limit in self.day.limits:
            if not limit.at <= now < limit.at + limit.seconds:
                continue
            if server in list(self.engines)[: limit.count]:
                return limit.per_second
        return None

    def _is_leaving(self, server: str) -> bool:
        now = clock.now() - self._load_started_at
        names = list(self.engines)
        for departure in self.day.departures:
            if now >= departure.at and server in names[-departure.count :]:
                return True
        return False

    async def _watch(
        self,
        knows: collections.abc.Callable[[instances.Instance], bool],
        known_at: list[float],
    ) -> None:
        """Record when each instance learns of the first report of its kind."""
        while len(known_at) < len(self.instances):
            knowing = 0
            for instance in self.instances:
                knowing += knows(instance)
            now = clock.now() - self._load_started_at
            known_at += [now] * (knowing - len(known_at))
            await asyncio.sleep(WATCH_SECONDS)

    async def _sample(self) -> None:
        factors = [engine.time_factor for engine in self.engines.values()]
        mean_factor = sum(factors) / len(factors)
        while True:
            busy: collections.Counter[bool] = collections.Counter()
            queued = 0
            for engine in self.engines.values():
                busy[engine.time_factor < mean_factor] += engine.busy
                queued += engine.queued
            waiting = 0
            for instance in self.instances:
                for shard in instance.keeper.shards.values():
                    waiting += len(shard.queue)
            now = clock.now() - self._load_started_at
            self.samples.append(Sample(now, busy[True], busy[False], queued, waiting))
            await asyncio.sleep(SAMPLE_SECONDS)


class _LatenessMonitor:
    """Tracks whether the events of an answer arrive within their time limits."""

    def __init__(self, arrived_at: float, objective: float, pause: float):
        self.first_at = 0.0
        self.is_late = False
        self._due_at = arrived_at + objective
        self._pause = pause

    def record_event(self) -> None:
        """Record an event that arrives now."""
        now = clock.now()
        if now > self._due_at:
            self.is_late = True
        if not self.first_at:
            self.first_at = now
        self._due_at = now + self._pause


def _event_recorder(
    ticket: admission.Ticket, monitor: _LatenessMonitor
) -> typing.Callable[[], None]:
    def record_event() -> None:
        ticket.tally.add(1)
        monitor.record_event()

    return record_event


def earned_worth(item: EndedRequest) -> float:
    """Return the worth that a request earned by its outcome."""
    if item.outcome == IN_TIME:
        return item.request.worth
    return item.request.late_worth if item.outcome == LATE else 0.0


def worth(items: list[EndedRequest]) -> float:
    """Return the earned share of the total worth of the requests."""
    offered = sum(item.request.worth for item in items)
    return sum(earned_worth(item) for item in items) / offered if offered else 1.0


async def play(day: days.Day, seed: int) -> DayResult:
    """Simulate a day; the result depends only on the day and the seed."""
    # The daemon draws its own random choices (Retry-After) from the global generator.
    random.seed(seed)
    fleet = Fleet(day, seed)
    await fleet.play(traffic.build(day, seed))
    received = limit_messages = 0
    for links in fleet.network.links.values():
        received += links.received
        limit_messages += links.received_by_kind[messages.ServerLimits]
    return DayResult(
        fleet.ended,
        fleet.samples,
        fleet.refused_at,
        received,
        fleet.arrivals,
        fleet.limits_known_at,
        fleet.departures_known_at,
        limit_messages,
    )


def _knows_limit(instance: instances.Instance) -> bool:
    return bool(instance.server_states.limits.digest)


def _knows_departure(instance: instances.Instance) -> bool:
    return bool(instance.server_states.departures.leaving_servers())
