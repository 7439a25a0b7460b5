"""How fast each engine is: learned from its own work, never from its reports.

Which estimate each decision uses:

- placement, waiting for an engine, feasibility: `prefill_rate`, `token_seconds`;
- keeping an engine's queue short: `prefill_rate` (backlog in seconds) and `limit`;
- shedding and retry-after: the shard's measured drain (`shedding.py`).
"""

import math
import typing

START_PREFILL_RATE = 10_000.0
START_TOKEN_SECONDS = 0.02
LEAST_PREFILL_RATE = 10.0
# Prompts below this say more about the step time than about the prefill rate.
LEAST_SAMPLE_TOKENS = 256
RATE_WEIGHT = 0.3
# Slower is believed sooner than faster: the time per token jumps fivefold while an
# engine reads a long prompt, and an answer begun on the hope that it does not is late.
SLOWER_WEIGHT = 0.3
FASTER_WEIGHT = 0.3
CALL_WEIGHT = 0.1
# A first event later than this many times the estimate, and later by the slack,
# shows a queue inside the engine.
LATE_FACTOR = 2.0
LATE_SLACK_SECONDS = 0.3
DECREASE = 0.8
DECREASE_PAUSE_SECONDS = 1.0
INCREASE_TOKENS = 256.0
# An estimate without news halves in this time: an engine that was once taken for too
# slow for anything would otherwise never get the request that shows it has recovered.
FORGET_SECONDS = 2.0
FRESH_SECONDS = 1.0
LEAST_TOKEN_SECONDS = 0.001
MOST_PREFILL_RATE = 100_000.0
STALL_SECONDS = 0.5
# The floor is the shortest time per token of late; each sample lets it rise by this.
FLOOR_RISE = 1.01


class Estimate(typing.NamedTuple):
    """What one engine is reckoned to do.

    Attributes
    ----------
    prefill_rate : float
        Prompt tokens a second.
    token_seconds : float
        From one token of an answer to the next, under the load of late.
    floor_seconds : float
        The same, at the best of late.
    """

    prefill_rate: float
    token_seconds: float
    floor_seconds: float


class Speed:
    """What is known of one engine's speed.

    Parameters
    ----------
    start_tokens : int
        Limit of tokens in flight to begin with.
    most_tokens : int or None
        Upper bound of the learned limit, from the fleet text.
    """

    def __init__(self, start_tokens: int, most_tokens: int | None):
        self.prefill_rate = START_PREFILL_RATE
        self.token_seconds = START_TOKEN_SECONDS
        self.limit = float(min(start_tokens, most_tokens or start_tokens))
        self._most = float(most_tokens) if most_tokens else None
        self._rate_known = False
        self._tokens_known = False
        self._floor = START_TOKEN_SECONDS
        self._heard_at = float("-inf")
        self._slow_start = True
        self._decreased_at = float("-inf")

    def estimate(self, now: float, idle: bool) -> "Estimate":
        """Return what to reckon with now.

        Parameters
        ----------
        now : float
            Seconds on this clock.
        idle : bool
            Whether nothing is out on the engine, so that no news can come.
        """
        rate, token, floor = self.prefill_rate, self.token_seconds, self._floor
        age = now - self._heard_at - FRESH_SECONDS
        if not idle or age <= 0.0 or not math.isfinite(age):
            return Estimate(rate, token, min(floor, token))
        factor = 2.0 ** min(age / FORGET_SECONDS, 16.0)
        rate = max(rate, min(rate * factor, MOST_PREFILL_RATE))
        token = min(token, max(token / factor, LEAST_TOKEN_SECONDS))
        floor = min(floor, token)
        return Estimate(rate, token, floor)

    def heard(self, now: float) -> None:
        """Note that the engine gave news of its speed."""
        self._heard_at = now

    def prefilled(self, tokens: int, seconds: float) -> None:
        """Learn from a prompt read alone: its uncached tokens and how long it took."""
        if tokens < LEAST_SAMPLE_TOKENS or seconds <= 0.0:
            return
        rate = max(tokens / seconds, LEAST_PREFILL_RATE)
        if not self._rate_known:
            self._rate_known = True
            self.prefill_rate = rate
            return
        # Means of the time per token, not of the rate: one fast sample must not hide
        # that the engine has become slow.
        mean = (1 - RATE_WEIGHT) / self.prefill_rate + RATE_WEIGHT / rate
        self.prefill_rate = 1.0 / mean

    def overdue(self, tokens: int, seconds: float) -> None:
        """Learn from a prompt that is not read yet after ``seconds``."""
        # An engine that slows down sends no completions to learn from just then; the
        # age of what it has not done bounds its speed from above.
        if tokens < LEAST_SAMPLE_TOKENS or seconds <= LATE_SLACK_SECONDS:
            return
        bound = max(tokens / seconds, LEAST_PREFILL_RATE)
        self.prefill_rate = min(self.prefill_rate, bound)

    def generated(self, tokens: int, seconds: float) -> None:
        """Learn from tokens that one stream got in a row, and how long that took."""
        if tokens < 1 or seconds <= 0.0:
            return
        sample = seconds / tokens
        if not self._tokens_known:
            self._tokens_known = True
            self.token_seconds = self._floor = sample
            return
        weight = SLOWER_WEIGHT if sample > self.token_seconds else FASTER_WEIGHT
        weight *= min(tokens / 8.0, 1.0)
        self.token_seconds += weight * (sample - self.token_seconds)
        if tokens >= 4:
            self._floor = min(self._floor * FLOOR_RISE, sample)

    def served(self, seconds: float) -> None:
        """Learn from a call of a plain service, whose answer is one unit of output."""
        if not self._tokens_known:
            self._tokens_known = True
            self.token_seconds = self._floor = seconds
            return
        self.token_seconds += CALL_WEIGHT * (seconds - self.token_seconds)
        self._floor = min(self._floor * FLOOR_RISE, seconds)

    def stalled(self, seconds: float) -> None:
        """Learn from a stream that has got no token for ``seconds``."""
        if seconds > STALL_SECONDS:
            self.token_seconds = max(self.token_seconds, seconds)

    def started(
        self, expected: float, seconds: float, in_flight: int, now: float
    ) -> None:
        """Move the limit of tokens in flight: additive up, multiplicative down.

        Parameters
        ----------
        expected, seconds : float
            Estimated and measured time from permit to first event.
        in_flight : int
            Tokens in flight on the engine now.
        now : float
            Seconds on this clock.
        """
        if in_flight * 2 <= self.limit or not self._rate_known:
            # Far below the limit, or estimated without any figure of this engine:
            # being late says nothing of the limit.
            return
        if seconds > expected * LATE_FACTOR + LATE_SLACK_SECONDS:
            self._decrease(in_flight, now)
        else:
            self._increase()

    def _increase(self) -> None:
        # Doubling until the first decrease: a large engine is found within seconds.
        step = self.limit / 16 if self._slow_start else INCREASE_TOKENS
        self.limit += step
        if self._most is not None:
            self.limit = min(self.limit, self._most)

    def _decrease(self, in_flight: int, now: float) -> None:
        # Once for each second: what was granted before the first decrease goes on
        # being late and says nothing new.
        if now - self._decreased_at < DECREASE_PAUSE_SECONDS:
            return
        self._decreased_at = now
        self._slow_start = False
        self.limit = max(min(self.limit, in_flight) * DECREASE, 1.0)
