"""Releases of model engines while one daemon stands still or is cut off.

Streams that begin at engines of the new version, through the other daemons, are broken
off, and their callers take them up at that daemon first.
"""

import asyncio
import collections.abc
import contextlib
import itertools
import random
import signal

from ..network import proxies
from . import callers, daemons, exchange, faults, records, site

# A daemon takes the one version that it has observed for as long as a stream may last
# for the only one: the longest time of a request, and 10 s.
OBSERVED_SECONDS = 17.0
DEADLINE_SECONDS = 5.0
MAX_TRIES = 8
# Share of the later tries that go to the daemon that is out of step.
RETURN_SHARE = 0.7
# Mean time between two streams that begin.
BEGIN_SECONDS = 0.03
# Share of these times at which the new engines break off all their streams.
BREAK_SHARE = 0.1
OUT_OF_STEP_SECONDS = (0.3, 1.0, 2.0, 3.0, 4.0)
# Streams begin until this long after the daemon has woken or healed.
LATE_SECONDS = 0.4
# What a daemon that is out of step does not get, or whether it stands still.
WAYS = {
    "stopped": ("stopped",),
    "no store": ("store",),
    "no daemons": ("inward", "outward"),
    "cut off": ("store", "inward", "outward"),
    "deaf": ("store", "inward"),
    "mute": ("store", "outward"),
    "stopped, no store": ("stopped", "store"),
    "stopped, cut off": ("stopped", "store", "inward", "outward"),
}


class _OutOfStep:
    """One daemon that stands still or is cut off, and wakes or heals."""

    def __init__(
        self, deployment: site.Site, rng: random.Random, parts: tuple[str, ...]
    ):
        self._deployment = deployment
        self._parts = parts
        self.daemon = rng.choice(deployment.daemons)
        self.seconds = rng.choice(OUT_OF_STEP_SECONDS) * rng.uniform(0.8, 1.2)
        # Whether the new engines break off all their streams now and then.
        self.breaks_streams = rng.random() < 0.5
        self.ended = asyncio.Event()

    def _directions(self) -> collections.abc.Iterator[proxies.Direction]:
        one = self.daemon
        others = [other.peer for other in self._deployment.daemons if other is not one]
        if "store" in self._parts:
            yield from (one.store.inward, one.store.outward)
        if "inward" in self._parts:
            yield one.peer.inward
            yield from (peer.sent_to[one.name] for peer in others)
        if "outward" in self._parts:
            yield one.peer.outward
            yield from (peer.sent_by[one.name] for peer in others)

    @property
    def disturbed(self) -> list[str]:
        """What it disturbs: every daemon that talks to one with cut links, too."""
        names = [self.daemon.name] if self._parts else []
        if "inward" in self._parts or "outward" in self._parts:
            names = [other.name for other in self._deployment.daemons]
        return names + ["store"] * ("store" in self._parts)

    def begin(self) -> None:
        """Stop or cut off the daemon."""
        for direction in self._directions():
            direction.cut()
        if "stopped" in self._parts:
            self.daemon.send(signal.SIGSTOP)

    def end(self) -> None:
        """Let it go on."""
        for direction in self._directions():
            direction.heal()
        if "stopped" in self._parts:
            self.daemon.send(signal.SIGCONT)
        self.ended.set()


async def _ask(one: daemons.Daemon, attempt: records.Attempt, seconds: float) -> None:
    """Send an attempt to a daemon; leave after some seconds."""
    connection: exchange.Connection | None = None
    try:
        async with asyncio.timeout(seconds):
            connection = await exchange.Connection.open(
                one.front.address, callers.CONNECT_SECONDS
            )
            attempt.daemon, attempt.daemon_start = one.name, one.start_count
            attempt.sent_at = records.now()
            head = callers.request_head(attempt, attempt.deadline - attempt.sent_at)
            await connection.send(head, attempt.body)
            await connection.read(attempt)
    except TimeoutError:
        attempt.gave_up = True
    except (OSError, asyncio.IncompleteReadError):
        pass
    finally:
        attempt.ended_at = records.now()
        if connection is not None:
            connection.close()


def _make_attempt(recorded: records.Records) -> records.Attempt:
    name = f"r{len(recorded.attempts)}"
    path = f"{callers.PATHS['stream']}{name}"
    made = records.Attempt(name, "stream", path, "key-a", callers.BODY)
    recorded.attempts[name] = made
    return made


async def _begin_and_return(
    deployment: site.Site, rng: random.Random, out_of_step: _OutOfStep
) -> None:
    """Begin a stream at another daemon, leave it, and take it up at that one first."""
    one = out_of_step.daemon
    others = [other for other in deployment.daemons if other is not one]
    begun = _make_attempt(deployment.recorded)
    begun.deadline = records.now() + DEADLINE_SECONDS
    await _ask(rng.choice(others), begun, rng.uniform(0.08, 0.2))
    if rng.random() < 0.5:
        await out_of_step.ended.wait()
        await asyncio.sleep(
            rng.choice([0.0, rng.uniform(0.0, 0.2), rng.uniform(0.0, 0.8)])
        )
    chosen, last = one, begun
    for _ in range(MAX_TRIES):
        if last.is_served or last.status in callers.FINAL_STATUSES:
            return
        if not begun.event_count or records.now() > begun.deadline:
            return
        again = _make_attempt(deployment.recorded)
        again.deadline = begun.deadline
        again.stream, again.first_event = begun.name, last.event_count
        await _ask(chosen, again, begun.deadline - records.now())
        last = again
        await asyncio.sleep(min(float(again.headers.get("retry-after", "0.05")), 0.5))
        chosen = one if rng.random() < RETURN_SHARE else rng.choice(others)


def _may_begin(deployment: site.Site) -> bool:
    """Return whether all daemons run and have observed the services for long enough."""
    if deployment.is_out_of_step or deployment.settings.has_forwarders:
        return False
    starts = deployment.recorded.daemon_starts
    for one in deployment.daemons:
        start = starts.get((one.name, one.start_count), records.FOREVER)
        if not one.is_running or records.now() - start < OBSERVED_SECONDS:
            return False
    return True


async def _release(
    deployment: site.Site, rng: random.Random, restarts: bool, late: float
) -> list[str]:
    """Add model engines of a new version, or restart some of them in it."""
    await asyncio.sleep(late)
    used = {known.software for known in deployment.recorded.engine_times.values()}
    numbers = (f"v{number}" for number in itertools.count(2))
    software = next(name for name in numbers if name not in used)
    if not restarts:
        count = rng.randint(1, 4)
        return [await deployment.add_engine("chat", software) for _ in range(count)]
    names = []
    for name, engine in sorted(deployment.engines.items()):
        if engine.service == "chat" and name not in deployment.recorded.leaving_since:
            names.append(name)
    names = rng.sample(names, len(names) // 2)
    delay = rng.uniform(0.1, 0.8)
    with faults.Disturbance(deployment, *names):
        await asyncio.gather(
            *(deployment.restart_engine(name, software, delay) for name in names)
        )
    return names


async def _play(
    deployment: site.Site,
    rng: random.Random,
    parts: tuple[str, ...],
    restarts: bool = False,
) -> None:
    if not _may_begin(deployment):
        return
    deployment.is_out_of_step = True
    out_of_step = _OutOfStep(deployment, rng, parts)
    with contextlib.ExitStack() as stack:
        stack.callback(setattr, deployment, "is_out_of_step", False)
        stack.enter_context(faults.Disturbance(deployment, *out_of_step.disturbed))
        stack.callback(out_of_step.end)
        # A few releases begin before the daemon is out of step.
        lead = rng.choice([0.0, 0.0, 0.0, rng.uniform(0.0, 0.3)])
        late = 0.0 if lead else rng.uniform(0.0, 0.2)
        releasing = asyncio.create_task(_release(deployment, rng, restarts, late))
        await asyncio.sleep(lead)
        out_of_step.begin()
        await _begin_streams(deployment, rng, out_of_step, releasing)


async def _begin_streams(
    deployment: site.Site,
    rng: random.Random,
    out_of_step: _OutOfStep,
    releasing: asyncio.Task[list[str]],
) -> None:
    """Begin streams until some time after the daemon has woken or healed."""
    ends_at = records.now() + out_of_step.seconds
    asking: list[asyncio.Task[None]] = []
    while records.now() < ends_at + LATE_SECONDS:
        work = _begin_and_return(deployment, rng, out_of_step)
        asking.append(asyncio.create_task(work))
        await asyncio.sleep(BEGIN_SECONDS * rng.uniform(0.5, 1.5))
        breaks = out_of_step.breaks_streams and releasing.done()
        if breaks and rng.random() < BREAK_SHARE:
            _break_streams(deployment, releasing.result())
        if records.now() >= ends_at and not out_of_step.ended.is_set():
            out_of_step.end()
    await releasing
    await asyncio.gather(*asking)


def _break_streams(deployment: site.Site, names: list[str]) -> None:
    """Reset all connections of engines."""
    for name in names:
        if name in deployment.engine_proxies:
            with faults.Disturbance(deployment, name):
                deployment.engine_proxies[name].reset()


@faults.faults.register("release_out_of_step")
async def release_out_of_step(deployment: site.Site, rng: random.Random) -> None:
    """Add engines of a new version while one daemon stands still or is cut off."""
    await _play(deployment, rng, WAYS[rng.choice(sorted(WAYS))])


@faults.faults.register("restart_out_of_step")
async def restart_out_of_step(deployment: site.Site, rng: random.Random) -> None:
    """Restart engines in a new version while one daemon is out of step."""
    await _play(deployment, rng, WAYS[rng.choice(sorted(WAYS))], restarts=True)


@faults.faults.register("release_in_step")
async def release_in_step(deployment: site.Site, rng: random.Random) -> None:
    """Add engines of a new version, and return to one daemon that is in step."""
    await _play(deployment, rng, ())
