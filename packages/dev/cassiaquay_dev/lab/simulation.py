"""Plays a day: callers, instances and engines in virtual time, and what came of it."""

import asyncio
import collections
import random
import typing

from cassiaquay_daemon import clock, exceptions
from cassiaquay_daemon.gateway import admission, calls

from . import batching, days, instances, simulated_network, traffic

# Instances know each other and all shards are open before the load begins.
WARM_UP_SECONDS = 3.0
SAMPLE_SECONDS = 0.1
# A caller comes back once.
MOST_ATTEMPTS = 2
IN_TIME, LATE, REFUSED, LEFT = "in time", "late", "refused", "left"


class Ended(typing.NamedTuple):
    """What became of a request.

    Attributes
    ----------
    request : Request
        The request.
    outcome : str
        In time, late, refused or left: its caller gave up.
    attempts : int
        How often it was tried.
    first_seconds : float
        From its arrival to its first event; 0 when there was none.
    """

    request: traffic.Request
    outcome: str
    attempts: int
    first_seconds: float


class Sample(typing.NamedTuple):
    """The engines at one moment.

    Attributes
    ----------
    at : float
        Seconds from the start of the load.
    busy_fast, busy_slow : int
        Taken slots of engines faster than the mean, and of the others.
    queued : int
        Requests that wait inside engines.
    waiting : int
        Demands that wait at keepers.
    """

    at: float
    busy_fast: int
    busy_slow: int
    queued: int
    waiting: int


class DayResult(typing.NamedTuple):
    """A played day.

    Attributes
    ----------
    ended : list of Ended
        All requests.
    samples : list of Sample
        The engines over the day.
    refused_at : list of float
        When attempts were refused; seconds from the start of the load.
    received : int
        Messages between instances.
    """

    ended: list[Ended]
    samples: list[Sample]
    refused_at: list[float]
    received: int


class Fleet:
    """All that a day needs.

    Parameters
    ----------
    day : Day
        What to play.
    seed : int
        Of the callers' choices.
    """

    def __init__(self, day: days.Day, seed: int):
        self.day = day
        self.ended: list[Ended] = []
        self.samples: list[Sample] = []
        self.refused_at: list[float] = []
        self._began_at = 0.0
        self._chance = random.Random(seed)
        self._snapshot = instances.snapshot(day)
        names = [f"daemon-{number:03}" for number in range(day.instances)]
        zones = {
            name: f"zone-{number % day.zones}" for number, name in enumerate(names)
        }
        self.network = simulated_network.Network(zones, day.crossing_ms / 1000.0)
        configured = instances.Configured(self._snapshot)
        self.instances = [
            instances.Instance(name, self.network, configured) for name in names
        ]
        self.engines: dict[str, batching.Engine] = {}
        factors = day.engines.time_factors
        for number in range(day.engines.count):
            engine = batching.Engine(day.engines, factors[number % len(factors)])
            self.engines[instances.engine_name(number)] = engine

    async def play(self, requests: list[traffic.Request]) -> None:
        """Play all requests to their ends."""
        for instance in self.instances:
            instance.start()
        await asyncio.sleep(WARM_UP_SECONDS)
        began_at = self._began_at = clock.now()
        sampler = asyncio.create_task(self._sample())
        callers = []
        for request in requests:
            await asyncio.sleep(max(began_at + request.at - clock.now(), 0.0))
            callers.append(asyncio.create_task(self._caller(request)))
        await asyncio.gather(*callers)
        sampler.cancel()

    async def _caller(self, request: traffic.Request) -> None:
        """Ask, and come back once when told to."""
        kind = self.day.kinds[request.kind]
        came_at = clock.now()
        leaves_at = came_at + kind.deadline_ms / 1000.0
        watch = _Watch(came_at, kind.objective_ms / 1000.0, kind.pause_ms / 1000.0)
        outcome = LEFT
        number = 0
        for number in range(1, MOST_ATTEMPTS + 1):
            instance = self._chance.choice(self.instances)
            await asyncio.sleep(self.day.caller_ms / 1000.0)
            attempt = instances.call(
                self.day,
                request,
                f"{request.name}.{number}",
                clock.now(),
                leaves_at,
                self._snapshot,
            )
            try:
                async with asyncio.timeout_at(leaves_at):
                    await self._serve(instance, attempt, request, watch)
                outcome = LATE if watch.is_late else IN_TIME
                break
            except TimeoutError:
                outcome = LEFT
                break
            except exceptions.Refusal as refusal:
                outcome = REFUSED
                self.refused_at.append(clock.now() - self._began_at)
                back_at = clock.now() + (refusal.retry_after_ms or 0) / 1000.0
                if back_at >= leaves_at:
                    break
                await asyncio.sleep(back_at - clock.now())
        first = watch.first_at - came_at if watch.first_at else 0.0
        self.ended.append(Ended(request, outcome, number, first))

    async def _serve(
        self,
        instance: instances.Instance,
        attempt: calls.Call,
        request: traffic.Request,
        watch: "_Watch",
    ) -> None:
        ticket = await instance.admission.obtain(attempt, 1, [], [])
        run = batching.Run(
            request.prompt_tokens, request.events, _events(ticket, watch)
        )
        engine = self.engines[ticket.server.name]
        sent_at = clock.now()
        instance.admission.report_dispatched(ticket)
        engine.submit(run)
        outcome = "cut"
        try:
            await run.ended
            outcome = "completed"
        finally:
            engine.cancel(run)
            instance.admission.report_ended(ticket, sent_at, outcome)

    async def _sample(self) -> None:
        factors = [engine.time_factor for engine in self.engines.values()]
        middle = sum(factors) / len(factors)
        while True:
            busy: collections.Counter[bool] = collections.Counter()
            queued = 0
            for engine in self.engines.values():
                busy[engine.time_factor < middle] += engine.busy
                queued += engine.queued
            waiting = 0
            for instance in self.instances:
                for shard in instance.keeper.shards.values():
                    waiting += len(shard.queue)
            now = clock.now() - self._began_at
            self.samples.append(Sample(now, busy[True], busy[False], queued, waiting))
            await asyncio.sleep(SAMPLE_SECONDS)


class _Watch:
    """Whether the events of an answer come in time."""

    def __init__(self, came_at: float, objective: float, pause: float):
        self.first_at = 0.0
        self.is_late = False
        self._due_at = came_at + objective
        self._pause = pause

    def event(self) -> None:
        """Take in an event."""
        now = clock.now()
        if now > self._due_at:
            self.is_late = True
        if not self.first_at:
            self.first_at = now
        self._due_at = now + self._pause


def _events(ticket: admission.Ticket, watch: _Watch) -> typing.Callable[[], None]:
    def event() -> None:
        ticket.tally.add(1)
        watch.event()

    return event


def earned(item: Ended) -> float:
    """Return what a request was worth in the end."""
    if item.outcome == IN_TIME:
        return item.request.worth
    return item.request.late_worth if item.outcome == LATE else 0.0


def worth(items: list[Ended]) -> float:
    """Return the share of the worth of some requests that was earned."""
    owed = sum(item.request.worth for item in items)
    return sum(earned(item) for item in items) / owed if owed else 1.0


async def play(day: days.Day, seed: int) -> DayResult:
    """Play a day; the same seed gives the same day again."""
    # The daemon's own choices (Retry-After) draw from the common generator.
    random.seed(seed)
    fleet = Fleet(day, seed)
    await fleet.play(traffic.build(day, seed))
    received = sum(links.received for links in fleet.network.links.values())
    return DayResult(fleet.ended, fleet.samples, fleet.refused_at, received)
