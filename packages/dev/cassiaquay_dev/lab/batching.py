"""Engines of the lab: they batch continuously.

An engine runs a few requests side by side. Each step gives each of them a token, and
reads a chunk of the prompts that are not read yet, in order of arrival: a long prompt
slows all streams beside it down. What is beyond its slots waits in its own queue.
"""

import asyncio
import collections
import collections.abc

from . import days


class Run:
    """One request inside a server.

    Parameters
    ----------
    prompt_tokens : int
        To be read.
    events : int
        Events of the answer.
    on_event : callable
        Called at each event.
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
        self.ended = asyncio.get_running_loop().create_future()


class Engine:
    """One engine.

    Parameters
    ----------
    settings : Engines
        Figures of all engines of a day.
    time_factor : float
        How many times longer this one takes.
    """

    def __init__(self, settings: days.Engines, time_factor: float):
        self.time_factor = time_factor
        self._settings = settings
        self._running: list[Run] = []
        self._queue: collections.deque[Run] = collections.deque()
        self._stepping = False

    @property
    def busy(self) -> int:
        """Requests that run now."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Requests that wait in the engine itself."""
        return len(self._queue)

    def submit(self, run: Run) -> None:
        """Take a request."""
        self._queue.append(run)
        if not self._stepping:
            self._stepping = True
            self._step()

    def cancel(self, run: Run) -> None:
        """Stop working on a request."""
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
        left = self._settings.chunk_tokens
        reading = []
        decoding = []
        for run in self._running:
            if not run.unread:
                decoding.append(run)
                continue
            tokens = min(left, run.unread)
            left -= tokens
            reading.append((run, tokens))
        read = self._settings.chunk_tokens - left
        spent_ms = self._settings.step_ms + self._settings.slot_ms * len(self._running)
        spent_ms += read / self._settings.prompt_tokens_per_ms
        loop = asyncio.get_running_loop()
        seconds = spent_ms * self.time_factor / 1000.0
        loop.call_later(seconds, self._apply, reading, decoding)

    def _apply(self, reading: list[tuple[Run, int]], decoding: list[Run]) -> None:
        for run, tokens in reading:
            run.unread -= tokens
        for run in decoding:
            run.tokens += 1
            if run.tokens % self._settings.event_tokens or run not in self._running:
                continue
            run.produced += 1
            run.on_event()
            if run.produced >= run.events:
                self._running.remove(run)
                if not run.ended.done():
                    run.ended.set_result(None)
        self._step()
