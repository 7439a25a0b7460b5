"""Simulated engines with continuous batching.

An engine runs up to `slots` requests concurrently. Each step generates one token for
every decoding request and prefills one chunk of the unread prompts in order of arrival,
so a long prompt slows down all concurrent streams. Requests beyond the slots wait in
the engine's own queue.
"""

import asyncio
import collections
import collections.abc
import random

from cassiaquay_daemon import clock

from . import days


class Run:
    """One request inside an engine.

    Parameters
    ----------
    prompt_tokens : int
        Prompt tokens to prefill.
    events : int
        Number of events in the answer.
    on_event : callable
        Called when the engine produces an event.
    """

    def __init__(
        self,
        prompt_tokens: int,
        events: int,
        on_event: collections.abc.Callable[[], None],
    ):
        self.unread = prompt_tokens
        self.events = events
        self.tokens = 0
        self.produced = 0
        self.on_event = on_event
        self.ended: asyncio.Future[None]
        self.started: asyncio.Future[None]
        self.ended = asyncio.get_running_loop().create_future()
        # Set with the first event.
        self.started = asyncio.get_running_loop().create_future()


class Engine:
    """One simulated engine.

    Parameters
    ----------
    settings : Engines
        Parameters that all engines of a day share.
    time_factor : float
        Factor by which each step of this engine takes longer.
    seed : str
        Seed of its slowdowns.
    """

    def __init__(self, settings: days.Engines, time_factor: float, seed: str = ""):
        self.time_factor = time_factor
        self._settings = settings
        self._rng = random.Random(seed)
        self._slow_until = 0.0
        self._slowdown_factor = 1.0
        self._running: list[Run] = []
        self._queue: collections.deque[Run] = collections.deque()
        self._stepping = False

    @property
    def busy(self) -> int:
        """Number of running requests."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Number of requests in the engine's own queue."""
        return len(self._queue)

    def submit(self, run: Run) -> None:
        """Queue a request and start stepping if the engine is idle."""
        self._queue.append(run)
        if not self._stepping:
            self._stepping = True
            self._step()

    def cancel(self, run: Run) -> None:
        """Remove a request from the batch or from the queue."""
        if run in self._running:
            self._running.remove(run)
        elif run in self._queue:
            self._queue.remove(run)

    def _step(self) -> None:
        while self._queue and len(self._running) < self._settings.slots:
            self._running.append(self._queue.popleft())
        if not self._running:
            self._stepping = False
            return
        tokens_left = self._settings.chunk_tokens
        reading = []
        decoding = []
        for run in self._running:
            if not run.unread:
                decoding.append(run)
                continue
            tokens = min(tokens_left, run.unread)
            tokens_left -= tokens
            reading.append((run, tokens))
        read = self._settings.chunk_tokens - tokens_left
        duration_ms = self._settings.step_ms + self._settings.slot_ms * len(
            self._running
        )
        duration_ms += read / self._settings.prompt_tokens_per_ms
        loop = asyncio.get_running_loop()
        seconds = duration_ms * self.time_factor * self._slowdown() / 1000.0
        loop.call_later(seconds, self._apply, reading, decoding)

    def _slowdown(self) -> float:
        """Return the factor of the slowdown in force, drawn once in each period."""
        slowdown = self._settings.slowdown
        if slowdown is None:
            return 1.0
        now = clock.now()
        if now >= self._slow_until:
            self._slow_until = now + slowdown.period_ms / 1000.0
            is_slow = self._rng.random() < slowdown.share
            self._slowdown_factor = slowdown.factor if is_slow else 1.0
        return self._slowdown_factor

    def _apply(self, reading: list[tuple[Run, int]], decoding: list[Run]) -> None:
        for run, tokens in reading:
            run.unread -= tokens
        for run in decoding:
            run.tokens += 1
            if run.tokens % self._settings.event_tokens or run not in self._running:
                continue
            run.produced += 1
            run.on_event()
            if not run.started.done():
                run.started.set_result(None)
            if run.produced >= run.events:
                self._running.remove(run)
                if not run.ended.done():
                    run.ended.set_result(None)
        self._step()
