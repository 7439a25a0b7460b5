"""Speed of each engine, learned from the requests it served, never from its reports.

Estimates by decision:

- placement, waiting for an engine, feasibility: `prefill_rate`, `token_seconds`;
- keeping an engine's queue short: `prefill_rate` (backlog in seconds) and `limit`;
- shedding and Retry-After: the shard's measured drain rate (`shedding.py`).
"""

import math
import typing

START_PREFILL_RATE = 10_000.0
START_TOKEN_SECONDS = 0.02
MIN_PREFILL_RATE = 10.0
# The time of shorter prompts is dominated by the duration of one engine step.
MIN_SAMPLE_TOKENS = 256
RATE_WEIGHT = 0.3
# Weights of samples slower and faster than the estimate. The time per token rises
# fivefold while an engine reads a long prompt, and an answer that was started on the
# assumption that it does not is late.
SLOWER_WEIGHT = 0.3
FASTER_WEIGHT = 0.3
CALL_WEIGHT = 0.1
# A first event that exceeds this multiple of the estimate plus the slack indicates a
# queue inside the engine.
LATE_FACTOR = 2.0
LATE_SLACK_SECONDS = 0.3
DECREASE_FACTOR = 0.8
DECREASE_PAUSE_SECONDS = 1.0
INCREASE_TOKENS = 256.0
# Half-life of the estimated times of an idle engine. Otherwise an engine whose estimate
# is too slow for any demand would never get a request that shows its recovery.
IDLE_HALF_LIFE_SECONDS = 2.0
FRESH_SECONDS = 1.0
MIN_TOKEN_SECONDS = 0.001
MAX_PREFILL_RATE = 100_000.0
STALL_SECONDS = 0.5
# The floor is the shortest recent time per token; it may rise by this factor with each
# sample.
FLOOR_RISE_FACTOR = 1.01
# Fewer tokens say little about the time between them: an owner that is late reads
# several at once.
MIN_FLOOR_TOKENS = 4


class Estimate(typing.NamedTuple):
    """Estimated speed of one engine.

    Attributes
    ----------
    prefill_rate : float
        Prompt tokens per second.
    token_seconds : float
        Time from one token of an answer to the next, under the recent load.
    floor_seconds : float
        Shortest recent time from one token of an answer to the next.
    """

    prefill_rate: float
    token_seconds: float
    floor_seconds: float


class Speed:
    """Learned speed of one engine and its limit of tokens in flight.

    Parameters
    ----------
    start_tokens : int
        Initial limit of tokens in flight.
    max_tokens : int or None
        Upper bound of the learned limit, from the fleet text.
    """

    def __init__(self, start_tokens: int, max_tokens: int | None):
        self.prefill_rate = START_PREFILL_RATE
        self.token_seconds = START_TOKEN_SECONDS
        self.limit = float(min(start_tokens, max_tokens or start_tokens))
        self._max_tokens = float(max_tokens) if max_tokens else None
        self._has_rate_sample = False
        self._has_token_sample = False
        self._stalled_seconds = 0.0
        self._floor = START_TOKEN_SECONDS
        self._sampled_at = float("-inf")
        self._is_growing_fast = True
        self._decreased_at = float("-inf")

    def estimate(self, now: float, idle: bool) -> "Estimate":
        """Return the current estimate.

        Parameters
        ----------
        now : float
            Seconds on this clock.
        idle : bool
            Whether the engine has no request in flight, so that no sample can arrive.
        """
        rate, floor = self.prefill_rate, self._floor
        token = max(self.token_seconds, self._stalled_seconds)
        age = now - self._sampled_at - FRESH_SECONDS
        if not idle or age <= 0.0 or not math.isfinite(age):
            return Estimate(rate, token, min(floor, token))
        factor = 2.0 ** min(age / IDLE_HALF_LIFE_SECONDS, 16.0)
        rate = max(rate, min(rate * factor, MAX_PREFILL_RATE))
        token = min(token, max(token / factor, MIN_TOKEN_SECONDS))
        floor = min(floor, token)
        return Estimate(rate, token, floor)

    def record_sample_time(self, now: float) -> None:
        """Record the time of the latest sample of the engine's speed."""
        self._sampled_at = now

    def prefilled(self, tokens: int, seconds: float) -> None:
        """Learn from a prefill's uncached tokens and its time at the queue's head."""
        if tokens < MIN_SAMPLE_TOKENS or seconds <= 0.0:
            return
        rate = max(tokens / seconds, MIN_PREFILL_RATE)
        if not self._has_rate_sample:
            self._has_rate_sample = True
            self.prefill_rate = rate
            return
        # Mean of the time per token, not of the rate: one fast sample must not hide
        # that the engine has become slow.
        mean = (1 - RATE_WEIGHT) / self.prefill_rate + RATE_WEIGHT / rate
        self.prefill_rate = 1.0 / mean

    def learn_unfinished(self, tokens: int, seconds: float) -> None:
        """Learn from a prefill that is still unfinished after ``seconds``."""
        # An engine that slows down sends no first events to learn from meanwhile; the
        # age of an unfinished prefill is an upper bound of the rate.
        if tokens < MIN_SAMPLE_TOKENS or seconds <= LATE_SLACK_SECONDS:
            return
        bound = max(tokens / seconds, MIN_PREFILL_RATE)
        self.prefill_rate = min(self.prefill_rate, bound)

    def generated(self, tokens: int, seconds: float) -> None:
        """Learn from ``tokens`` consecutive tokens of one stream."""
        if tokens < 1 or seconds <= 0.0:
            return
        sample = seconds / tokens
        self._stalled_seconds = 0.0
        if not self._has_token_sample and tokens >= MIN_FLOOR_TOKENS:
            self._has_token_sample = True
            self.token_seconds = self._floor = sample
            return
        weight = SLOWER_WEIGHT if sample > self.token_seconds else FASTER_WEIGHT
        weight *= min(tokens / 8.0, 1.0)
        self.token_seconds += weight * (sample - self.token_seconds)
        if tokens >= MIN_FLOOR_TOKENS:
            self._floor = min(self._floor * FLOOR_RISE_FACTOR, sample)

    def served(self, seconds: float) -> None:
        """Learn from a call of a plain service, whose answer counts as one token."""
        if not self._has_token_sample:
            self._has_token_sample = True
            self.token_seconds = self._floor = seconds
            return
        self.token_seconds += CALL_WEIGHT * (seconds - self.token_seconds)
        self._floor = min(self._floor * FLOOR_RISE_FACTOR, seconds)

    def stalled(self, seconds: float) -> None:
        """Learn from a stream that has received no token for ``seconds``.

        It bounds the estimate until the engine generates again. Kept in the mean, it
        would make demands late for seconds after one gap in the reports of a stream.
        """
        if seconds > STALL_SECONDS:
            self._stalled_seconds = max(self._stalled_seconds, seconds)

    def started(
        self, expected: float, seconds: float, in_flight: int, now: float
    ) -> None:
        """Adjust the limit of tokens in flight by AIMD, at each first event.

        Additive increase, multiplicative decrease.

        Parameters
        ----------
        expected, seconds : float
            Estimated and measured time from permit to first event.
        in_flight : int
            Tokens in flight on the engine now.
        now : float
            Seconds on this clock.
        """
        if in_flight * 2 <= self.limit or not self._has_rate_sample:
            # In flight far below the limit, or estimated before any sample of this
            # engine: lateness is not evidence about the limit.
            return
        if seconds > expected * LATE_FACTOR + LATE_SLACK_SECONDS:
            self._decrease(in_flight, now)
        else:
            self._increase()

    def _increase(self) -> None:
        # Exponential growth until the first decrease, so that the limit reaches the
        # capacity of a large engine within seconds.
        step = self.limit / 16 if self._is_growing_fast else INCREASE_TOKENS
        self.limit += step
        if self._max_tokens is not None:
            self.limit = min(self.limit, self._max_tokens)

    def _decrease(self, in_flight: int, now: float) -> None:
        # At most once a second: requests that were granted before a decrease are still
        # late after it.
        if now - self._decreased_at < DECREASE_PAUSE_SECONDS:
            return
        self._decreased_at = now
        self._is_growing_fast = False
        self.limit = max(min(self.limit, in_flight) * DECREASE_FACTOR, 1.0)
