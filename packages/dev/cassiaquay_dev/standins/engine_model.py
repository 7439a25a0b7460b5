"""Continuous batching in real time: the model of the engine stand-in.

One task runs the steps. A virtual clock adds up the durations of the steps, and the
task sleeps only when that clock is at least `MIN_SLEEP_SECONDS` ahead of real time:
the event loop oversleeps, so a shorter sleep after each step would make the engine
slower than its settings say.
"""

import asyncio
import collections
import time
import typing

from . import blocks, engine_settings, engine_stream, prefix_cache

MIN_SLEEP_SECONDS = 0.002
MAX_CLOCK_LAG_SECONDS = 0.5
STEPS_BETWEEN_YIELDS = 8


class StepPlan(typing.NamedTuple):
    """Work of one step: the decoding streams, and prefill tokens by stream."""

    decoding: list[engine_stream.Stream]
    prefill: list[tuple[engine_stream.Stream, int]]


class Totals(typing.TypedDict):
    """Sums since the process started; tokens unless the name says otherwise."""

    prefilled: int
    prefill_wasted: int
    prefill_unfinished: int
    cached: int
    generated: int
    busy_seconds: float


class LoadSample(typing.NamedTuple):
    """Load at the time ``at``, in seconds of the monotonic clock."""

    at: float
    running: int
    waiting: int
    tokens_in_flight: int


class EngineModel:
    """Streams, batch, KV memory and prefix cache of one engine."""

    def __init__(self, settings: engine_settings.EngineSettings) -> None:
        self.slow_factor = 1.0
        self.dispatches: list[engine_stream.Dispatch] = []
        self.events = prefix_cache.CacheEvents(
            settings.event_lag_ms / 1000, settings.event_gap_share, settings.seed
        )
        self.cache = prefix_cache.PrefixCache(
            settings.cache_tokens // blocks.TOKENS_PER_BLOCK, self.events
        )
        self._settings = settings
        self._held: dict[str, engine_stream.Stream] = {}
        self._seen_ids: set[str] = set()
        self._waiting: collections.deque[engine_stream.Stream] = collections.deque()
        self._running: list[engine_stream.Stream] = []
        self._reserved_tokens = 0
        self._busy_seconds = 0.0
        self._work_available = asyncio.Event()
        self._idle = asyncio.Event()
        self._idle.set()
        self._not_hung = asyncio.Event()
        self._not_hung.set()
        self._samples: collections.deque[LoadSample] = collections.deque()
        self._take_sample(forced=True)

    def is_held(self, stream_id: str) -> bool:
        """Return whether a POST of this id would be a duplicate."""
        return stream_id in self._held

    def find(self, stream_id: str) -> engine_stream.Stream | None:
        """Return the held stream; None if the id is unknown or was cancelled."""
        stream = self._held.get(stream_id)
        if stream is None or stream.state == engine_stream.CANCELLED:
            return None
        return stream

    def fits(self, request: engine_stream.StreamRequest) -> bool:
        """Return whether the request fits into an empty KV memory."""
        tokens = blocks.count_tokens(request.prompt) + request.max_tokens
        return tokens <= self._settings.kv_tokens

    def submit(
        self, request: engine_stream.StreamRequest
    ) -> engine_stream.Stream | None:
        """Queue a stream and return it; None if its id is known. Logs either case."""
        known = request.id in self._held
        dispatch: engine_stream.Dispatch = {
            "id": request.id,
            "at": time.time(),
            "prompt_tokens": blocks.count_tokens(request.prompt),
            "cached_tokens": 0,
            "prefilled_tokens": 0,
            "generated_tokens": 0,
            "state": engine_stream.REFUSED if known else engine_stream.WAITING,
            "finished_at": None,
            "repeat": request.id in self._seen_ids,
        }
        self.dispatches.append(dispatch)
        self._seen_ids.add(request.id)
        if known:
            return None
        stream = engine_stream.Stream(request, dispatch)
        self._held[request.id] = stream
        self._waiting.append(stream)
        self._idle.clear()
        self._work_available.set()
        self._take_sample()
        return stream

    def cancel(self, stream_id: str) -> engine_stream.Stream | None:
        """Cancel a stream; its id stays known, so that a late POST is refused."""
        stream = self.find(stream_id)
        if stream is None:
            return None
        if stream.state not in engine_stream.ENDED:
            self._end_stream(stream, engine_stream.CANCELLED)
        return stream

    def drop(self, stream_id: str) -> bool:
        """Remove a held stream; stop it if it still runs."""
        stream = self._held.pop(stream_id, None)
        if stream is None:
            return False
        if stream.state not in engine_stream.ENDED:
            self._end_stream(stream, engine_stream.DROPPED)
        return True

    def hang(self, on: bool) -> None:
        """Suspend the steps, or resume them."""
        if on:
            self._not_hung.clear()
        else:
            self._not_hung.set()

    async def wait_idle(self) -> None:
        """Wait until no stream is queued or running."""
        await self._idle.wait()

    def load(self) -> LoadSample:
        """Return the load of ``report_lag_ms`` ago."""
        if self._settings.report_lag_ms <= 0:
            self._take_sample(forced=True)
        self._prune_samples()
        return self._samples[0]

    def totals(self) -> Totals:
        """Return the sums over the dispatch log."""
        totals: Totals = {
            "prefilled": 0,
            "prefill_wasted": 0,
            "prefill_unfinished": 0,
            "cached": 0,
            "generated": 0,
            "busy_seconds": self._busy_seconds,
        }
        for dispatch in self.dispatches:
            totals["prefilled"] += dispatch["prefilled_tokens"]
            totals["cached"] += dispatch["cached_tokens"]
            totals["generated"] += dispatch["generated_tokens"]
            if dispatch["state"] in (engine_stream.CANCELLED, engine_stream.DROPPED):
                totals["prefill_wasted"] += dispatch["prefilled_tokens"]
            elif dispatch["state"] != engine_stream.FINISHED:
                totals["prefill_unfinished"] += dispatch["prefilled_tokens"]
        return totals

    async def run(self) -> None:
        """Run steps until cancelled."""
        clock = time.monotonic()
        steps = 0
        while True:
            if not self._waiting and not self._running:
                self._idle.set()
                self._work_available.clear()
                self._take_sample(forced=True)
                await self._work_available.wait()
                clock = max(clock, time.monotonic())
            clock = max(clock, time.monotonic() - MAX_CLOCK_LAG_SECONDS)
            self._admit()
            plan = self._plan()
            seconds = self._step_seconds(plan)
            clock += seconds
            self._busy_seconds += seconds
            ahead = clock - time.monotonic()
            steps += 1
            if ahead >= MIN_SLEEP_SECONDS:
                await asyncio.sleep(ahead)
            elif steps % STEPS_BETWEEN_YIELDS == 0:
                await asyncio.sleep(0)
            if not self._not_hung.is_set():
                await self._not_hung.wait()
                clock = max(clock, time.monotonic())
            self._apply(plan)
            self._take_sample()

    def _admit(self) -> None:
        # First in, first out: a stream that does not fit blocks those behind it.
        while self._waiting and len(self._running) < self._settings.max_batch:
            stream = self._waiting[0]
            if (
                self._reserved_tokens + stream.reserved_tokens
                > self._settings.kv_tokens
            ):
                return
            self._waiting.popleft()
            self._running.append(stream)
            self._reserved_tokens += stream.reserved_tokens
            cached = self.cache.match(stream.hashes) * blocks.TOKENS_PER_BLOCK
            stream.dispatch["cached_tokens"] = cached
            stream.dispatch["state"] = engine_stream.PREFILL
            if stream.prefill_left == 0:
                stream.dispatch["state"] = engine_stream.DECODING

    def _plan(self) -> StepPlan:
        left = self._settings.prefill_chunk_tokens
        plan = StepPlan([], [])
        for stream in self._running:
            if stream.state == engine_stream.DECODING:
                plan.decoding.append(stream)
                continue
            tokens = min(left, stream.prefill_left)
            if tokens > 0:
                plan.prefill.append((stream, tokens))
                left -= tokens
        return plan

    def _step_seconds(self, plan: StepPlan) -> float:
        settings = self._settings
        prefill = sum(tokens for _, tokens in plan.prefill)
        decode_ms = settings.decode_ms_per_sequence * len(plan.decoding)
        seconds = (settings.step_ms + decode_ms) / 1000
        seconds += prefill / settings.prefill_tokens_per_second
        return seconds * self.slow_factor

    def _apply(self, plan: StepPlan) -> None:
        for stream, tokens in plan.prefill:
            if stream.state != engine_stream.PREFILL:
                continue
            first = stream.processed_tokens // blocks.TOKENS_PER_BLOCK
            stream.dispatch["prefilled_tokens"] += tokens
            last = stream.processed_tokens // blocks.TOKENS_PER_BLOCK
            self.cache.store(stream.hashes[first:last])
            if stream.prefill_left == 0:
                self.cache.touch(stream.hashes)
                stream.dispatch["state"] = engine_stream.DECODING
        for stream in plan.decoding:
            if stream.state != engine_stream.DECODING:
                continue
            stream.dispatch["generated_tokens"] += 1
            if stream.generated >= stream.max_tokens:
                self._end_stream(stream, engine_stream.FINISHED)
                continue
            stream.notify()

    def _end_stream(self, stream: engine_stream.Stream, state: str) -> None:
        if stream.state == engine_stream.WAITING:
            self._waiting.remove(stream)
        else:
            self._running.remove(stream)
            self._reserved_tokens -= stream.reserved_tokens
        stream.dispatch["state"] = state
        stream.dispatch["finished_at"] = time.time()
        stream.notify()
        loop = asyncio.get_running_loop()
        loop.call_later(self._settings.hold_seconds, self._remove_held, stream)

    def _remove_held(self, stream: engine_stream.Stream) -> None:
        if self._held.get(stream.id) is stream:
            del self._held[stream.id]

    def _take_sample(self, forced: bool = False) -> None:
        now = time.monotonic()
        spacing = self._settings.report_lag_ms / 4000
        if not forced and now - self._samples[-1].at < spacing:
            return
        tokens = sum(stream.reserved_tokens for stream in self._waiting)
        tokens += self._reserved_tokens
        sample = LoadSample(now, len(self._running), len(self._waiting), tokens)
        self._samples.append(sample)
        self._prune_samples()

    def _prune_samples(self) -> None:
        """Keep the newest sample older than the report lag, and all later ones."""
        due = time.monotonic() - self._settings.report_lag_ms / 1000
        while len(self._samples) > 1 and self._samples[1].at <= due:
            self._samples.popleft()
