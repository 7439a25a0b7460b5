"""How fast one backend server is and how well it does: learned from its own work.

Load pattern: servers of one pool differ threefold in speed, some slow down for seconds,
some fall silent or fail part of their work while their health check is good. Reports
come seconds late, so only what owners see counts: times of first events, times between
events, ends. Slower is believed sooner than faster: work sent to a server that has just
become slow is late, while one that became fast only waits a little longer for work.
"""

import math
import typing

from .. import clock, logs

# Assumed until a server's own work shows its speed.
START_RATE = 60_000.0
START_EVENT_SECONDS = 0.025
START_BASE_SECONDS = 0.05
# Prompts below this say more about the fixed part of the first event than of the rate.
LEAST_SAMPLE_TOKENS = 1500
SLOWER_WEIGHT = 0.4
# Weight of one whole answer in the mean of their lengths.
WHOLE_WEIGHT = 0.1
START_WHOLE_SECONDS = 1.0
FASTER_WEIGHT = 0.15
LEAST_RATE = 500.0
MOST_RATE = 1_000_000.0
# A first event that is later than estimated by this factor and this time shows a
# server that sleeps, rather than one that is slow.
LATE_FACTOR = 3.0
LATE_SECONDS = 0.4
# Events that have stopped for this long show the same: twenty usual intervals.
STALL_SECONDS = 0.5
# How long the request that tries a silent server has for a sign, before the next one.
PROBE_SECONDS = 0.8
# Failures are forgotten with this half-life: a server that failed for a moment gets
# work again, one that goes on failing shows it by a request or two.
FORGET_SECONDS = 3.0
# Weight of one failure; two in a row make a server the last choice.
FAILURE_WEIGHT = 0.35
SUCCESS_WEIGHT = 0.08
# From this share on, four failures in a row, a server gets one request at a time: one
# that breaks each run off at once always has free slots, and under overload even the
# last choice is taken, so that it would swallow all that overflows. One that fails two
# in five of its requests stays below.
BROKEN_SHARE = 0.8


class Expected(typing.NamedTuple):
    """What a request would meet at a server.

    Attributes
    ----------
    first_seconds : float
        From the dispatch to the first event, or to a plain answer.
    event_seconds : float
        From event to event.
    """

    first_seconds: float
    event_seconds: float


class ServiceTimes:
    """What is known of one server's speed and health.

    Parameters
    ----------
    server : str
        Its name, for logs.
    """

    def __init__(self, server: str) -> None:
        self._server = server
        self.rate = START_RATE
        self.event_seconds = START_EVENT_SECONDS
        self.base_seconds = START_BASE_SECONDS
        self.whole_seconds = START_WHOLE_SECONDS
        self._whole_known = False
        self._rate_known = False
        self._events_known = False
        self._base_known = False
        self._failing = 0.0
        self._failing_at = clock.now()
        self._silent_until = 0.0
        self._broken_until = 0.0
        self._doubtful = False

    def expect(self, unread_tokens: float) -> Expected:
        """Return what a request meets behind so many unread tokens, its own included.

        Parameters
        ----------
        unread_tokens : float
            Prompt tokens to be read before its first event.
        """
        first = self.base_seconds + unread_tokens / self.rate
        return Expected(first, self.event_seconds)

    def failing(self, now: float) -> float:
        """Return the share of requests that failed of late."""
        age = max(now - self._failing_at, 0.0)
        return float(self._failing * 0.5 ** (age / FORGET_SECONDS))

    def is_silent(self, now: float) -> bool:
        """Tell whether the server gave no sign where it should have."""
        return now < self._silent_until

    def is_broken(self, now: float) -> bool:
        """Tell whether the server fails nearly all it gets, and has just been tried."""
        return now < self._broken_until

    def granted(self, now: float) -> None:
        """Note that a request goes there.

        A silent server gets one request at a time, to see whether it is back: without
        any, one long request alone would keep a sound server out for as long as it
        runs, and with many a dead one would swallow them all.
        """
        if self._doubtful:
            self._silent_until = now + PROBE_SECONDS
        if self.failing(now) > BROKEN_SHARE:
            self._broken_until = now + PROBE_SECONDS

    def read(self, tokens: int, alone_seconds: float, seconds: float) -> None:
        """Learn from a first event.

        Parameters
        ----------
        tokens : int
            Its unread prompt.
        alone_seconds : float
            How long it was the first one that was read.
        seconds : float
            From the permit to the event.
        """
        self._alive()
        if tokens < LEAST_SAMPLE_TOKENS:
            sample = min(alone_seconds, seconds) - tokens / self.rate
            self._learn_base(max(sample, 0.0))
            return
        spent = alone_seconds - self.base_seconds
        if spent <= 0.0:
            return
        rate = min(max(tokens / spent, LEAST_RATE), MOST_RATE)
        if not self._rate_known:
            self._rate_known = True
            self.rate = rate
            return
        weight = SLOWER_WEIGHT if rate < self.rate else FASTER_WEIGHT
        # Means of the time per token: one fast sample must not hide a slow server.
        self.rate = 1.0 / ((1.0 - weight) / self.rate + weight / rate)

    def advanced(self, events: int, seconds: float) -> None:
        """Learn from events of one stream in a row."""
        if events <= 0:
            if seconds > STALL_SECONDS:
                self.doubt(clock.now(), seconds)
            return
        self._alive()
        sample = seconds / events
        if not self._events_known:
            self._events_known = True
            self.event_seconds = sample
            return
        weight = SLOWER_WEIGHT if sample > self.event_seconds else FASTER_WEIGHT
        self.event_seconds += (
            weight * min(events / 4.0, 1.0) * (sample - self.event_seconds)
        )

    def served(self, seconds: float) -> None:
        """Learn from a plain answer."""
        self._alive()
        self._learn_base(seconds)

    def completed(self, seconds: float) -> None:
        """Learn how long a request occupies a slot."""
        if not self._whole_known:
            self._whole_known = True
            self.whole_seconds = seconds
            return
        self.whole_seconds += WHOLE_WEIGHT * (seconds - self.whole_seconds)

    def ended(self, well: bool, now: float) -> None:
        """Learn from an end, as far as the server is answerable for it."""
        share = self.failing(now)
        self._failing_at = now
        if well:
            self._failing = share * (1.0 - SUCCESS_WEIGHT)
            return
        self._failing = share + FAILURE_WEIGHT * (1.0 - share)
        if self._failing > BROKEN_SHARE:
            self._broken_until = now + PROBE_SECONDS

    def patience(self, expected_seconds: float) -> float:
        """Return how late a first event may be before the server counts as silent."""
        return expected_seconds * LATE_FACTOR + LATE_SECONDS

    def doubt(self, now: float, seconds: float) -> None:
        """Take in that the server has given no sign for so long.

        New work would wait in vain there; the next sign of life ends this.
        """
        if self._doubtful:
            return
        self._doubtful = True
        self._silent_until = now + STALL_SECONDS
        logs.event(
            "server_silent",
            server=self._server,
            silent_ms=round(seconds * 1000.0),
            base_ms=round(self.base_seconds * 1000.0, 1),
        )

    def _alive(self) -> None:
        if self._doubtful:
            logs.event("server_heard", server=self._server)
        self._doubtful = False
        self._silent_until = 0.0
        self._broken_until = 0.0

    def _learn_base(self, sample: float) -> None:
        if not math.isfinite(sample):
            return
        if not self._base_known:
            self._base_known = True
            self.base_seconds = sample
            return
        weight = SLOWER_WEIGHT if sample > self.base_seconds else FASTER_WEIGHT
        self.base_seconds += weight / 2.0 * (sample - self.base_seconds)
