"""Simulated engines of the shard lab: continuous batching as in the engine stand-in."""

import collections
import collections.abc
import heapq

from .. import deployments
from ..standins import prefix_cache

CHUNK_TOKENS = 512
DECODE_SECONDS = 0.0002
BLOCK_TOKENS = 64


class Timeline:
    """Virtual clock and queue of scheduled calls, run in order of time."""

    def __init__(self) -> None:
        self.now = 0.0
        self._calls: list[tuple[float, int, collections.abc.Callable[[], None]]] = []
        self._number = 0

    def at(self, when: float, call: collections.abc.Callable[[], None]) -> None:
        """Schedule ``call`` for a time, or for now if that has passed."""
        self._number += 1
        heapq.heappush(self._calls, (max(when, self.now), self._number, call))

    def after(self, seconds: float, call: collections.abc.Callable[[], None]) -> None:
        """Schedule ``call`` after a delay."""
        self.at(self.now + seconds, call)

    def run(self, until: float) -> None:
        """Run all calls that are due up to a time."""
        while self._calls and self._calls[0][0] <= until:
            self.now, _, call = heapq.heappop(self._calls)
            call()


class Job:
    """One request inside an engine."""

    def __init__(
        self,
        prompt_tokens: int,
        output_tokens: int,
        hashes: list[int],
        on_first: collections.abc.Callable[[], None],
        on_end: collections.abc.Callable[[], None],
    ):
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.hashes = hashes
        self.on_first = on_first
        self.on_end = on_end
        self.cached = 0
        self.prefilled = 0
        self.produced = 0
        self.cancelled = False
        self.first_at = 0.0

    @property
    def unread(self) -> int:
        """Prompt tokens that are neither cached nor prefilled."""
        return self.prompt_tokens - self.cached - self.prefilled


class SimulatedEngine:
    """One simulated engine with a prefix cache."""

    def __init__(self, spec: deployments.EngineSpec, timeline: Timeline):
        self.spec = spec
        self.slow_factor = 1.0
        self.prefilled = 0
        self.wasted = 0
        self.cached = 0
        self.busy_seconds = 0.0
        self._timeline = timeline
        events = prefix_cache.CacheEvents(0.2, 0.0, 1)
        self._cache = prefix_cache.PrefixCache(
            spec.cache_tokens // BLOCK_TOKENS, events
        )
        self._waiting: collections.deque[Job] = collections.deque()
        self._running: list[Job] = []
        self._stepping = False

    def submit(self, job: Job) -> None:
        """Queue a request and start stepping if the engine is idle."""
        self._waiting.append(job)
        if not self._stepping:
            self._stepping = True
            self._step()

    def cancel(self, job: Job) -> None:
        """Cancel a request and count its prefilled tokens as wasted."""
        job.cancelled = True
        self.wasted += job.prefilled
        if job in self._running:
            self._running.remove(job)
        elif job in self._waiting:
            self._waiting.remove(job)

    def _step(self) -> None:
        while self._waiting and len(self._running) < self.spec.max_batch:
            job = self._waiting.popleft()
            job.cached = self._cache.match(job.hashes) * BLOCK_TOKENS
            self.cached += job.cached
            self._running.append(job)
        if not self._running:
            self._stepping = False
            return
        tokens_left = CHUNK_TOKENS
        decoding = []
        reading = []
        for job in self._running:
            if job.unread <= 0:
                decoding.append(job)
                continue
            tokens = min(tokens_left, job.unread)
            if tokens:
                reading.append((job, tokens))
                tokens_left -= tokens
        seconds = self.spec.step_ms / 1000.0 + DECODE_SECONDS * len(decoding)
        seconds += (CHUNK_TOKENS - tokens_left) / self.spec.prefill_tokens_per_second
        seconds *= self.slow_factor
        self.busy_seconds += seconds
        self._timeline.after(seconds, lambda: self._apply(decoding, reading))

    def _apply(self, decoding: list[Job], reading: list[tuple[Job, int]]) -> None:
        for job, tokens in reading:
            if job.cancelled:
                continue
            job.prefilled += tokens
            self.prefilled += tokens
            self._cache.store(job.hashes[: (job.cached + job.prefilled) // 64])
            if job.unread <= 0:
                self._cache.touch(job.hashes)
        for job in decoding:
            if job.cancelled:
                continue
            job.produced += 1
            if job.produced == 1:
                job.on_first()
            if job.produced >= job.output_tokens:
                self._running.remove(job)
                job.on_end()
        self._step()
