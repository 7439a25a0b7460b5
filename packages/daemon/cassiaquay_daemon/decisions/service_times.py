"""Speed and health of one backend server, learned from the requests that it served.

Load pattern: servers of one pool differ threefold in speed, some slow down for seconds,
some fall silent or fail part of their requests while their health check passes. Reports
of the servers arrive seconds late, so only the owners' observations count: times of
first events, times between events, ends. Estimates follow a slowdown faster than a
speed-up: work sent to a server that has just become slow is late, while one that has
become fast only gets work a little later than it could.
"""

import math
import typing

from .. import clock, logs

# Initial estimates, used until a server has served requests.
START_RATE = 60_000.0
START_EVENT_SECONDS = 0.025
START_BASE_SECONDS = 0.05
# The time to the first event of shorter prompts is dominated by its fixed part; they
# are samples of `base_seconds`, longer ones of `rate`.
MIN_RATE_SAMPLE_TOKENS = 1500
SLOWER_WEIGHT = 0.4
# Fewer events say little about the time between them: an instance that is late reads
# several at once.
MIN_FIRST_SAMPLE_EVENTS = 4
# Weight of one request in the mean time for which requests occupy a slot.
SLOT_WEIGHT = 0.1
START_SLOT_SECONDS = 1.0
FASTER_WEIGHT = 0.15
MIN_RATE = 500.0
MAX_RATE = 1_000_000.0
# A first event that is overdue by this factor and this time indicates a server that
# does not respond, rather than a slow one.
LATE_FACTOR = 3.0
LATE_SECONDS = 0.4
# A stream without events for this long, twenty usual intervals, indicates the same.
STALL_SECONDS = 0.5
# Interval between two requests that probe a silent or broken server.
PROBE_SECONDS = 0.8
# Half-life of the failure share: a server that failed for a moment gets work again, and
# one that keeps failing is detected after one or two requests.
FAILURE_HALF_LIFE_SECONDS = 3.0
# Weight of one failure; two in a row make a server the last choice.
FAILURE_WEIGHT = 0.35
SUCCESS_WEIGHT = 0.08
# Above this share, reached by four failures in a row, a server gets one request at a
# time: a server that aborts each request at once always has free slots, and under
# overload even the last choice is used, so that it would get and fail all requests that
# do not fit elsewhere. A server that fails two in five requests stays below.
BROKEN_SHARE = 0.8


class Expected(typing.NamedTuple):
    """Expected times of a request at a server.

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
    """Learned speed and health of one server.

    Parameters
    ----------
    server : str
        Name of the server, for log events.
    """

    def __init__(self, server: str) -> None:
        self._server = server
        self.rate = START_RATE
        self.event_seconds = START_EVENT_SECONDS
        self.base_seconds = START_BASE_SECONDS
        self.slot_seconds = START_SLOT_SECONDS
        self._has_slot_sample = False
        self._has_rate_sample = False
        self._has_event_sample = False
        self._has_base_sample = False
        self._failure_share = 0.0
        self._failure_share_at = clock.now()
        self._silent_until = 0.0
        self._broken_until = 0.0
        self._is_unresponsive = False
        # End of its last silence.
        self._resumed_at = float("-inf")
        # When an event or answer was last reported by any instance.
        self.heard_at = float("-inf")

    def expect(self, unread_tokens: float) -> Expected:
        """Return the expected times of a request.

        Parameters
        ----------
        unread_tokens : float
            Prompt tokens to be read before its first event, its own included.
        """
        first = self.base_seconds + unread_tokens / self.rate
        return Expected(first, self.event_seconds)

    def failure_share(self, now: float) -> float:
        """Return the recent share of failed requests."""
        if not self._failure_share:
            # Nearly all servers, at each pass of a keeper.
            return 0.0
        age = max(now - self._failure_share_at, 0.0)
        return float(self._failure_share * 0.5 ** (age / FAILURE_HALF_LIFE_SECONDS))

    def is_silent(self, now: float) -> bool:
        """Return whether the server is silent and may not be probed yet."""
        return now < self._silent_until

    def is_broken(self, now: float) -> bool:
        """Return whether the server fails nearly all requests and was just probed."""
        return now < self._broken_until

    def granted(self, now: float) -> None:
        """Record a grant, which counts as a probe of a silent or broken server.

        A silent server gets one request at a time as a probe. With none, a healthy
        server would stay excluded while a single long request runs; with many, a
        crashed server would fail them all.
        """
        if self._is_unresponsive:
            self._silent_until = now + PROBE_SECONDS
        if self.failure_share(now) > BROKEN_SHARE:
            self._broken_until = now + PROBE_SECONDS

    def prefilled(self, tokens: int, head_seconds: float, seconds: float) -> None:
        """Learn from a first event.

        Parameters
        ----------
        tokens : int
            Uncached tokens of the prompt.
        head_seconds : float
            Time for which the prompt was at the head of the prefill queue.
        seconds : float
            Time from the permit to the first event.
        """
        self._mark_responsive()
        if self._spans_silence(seconds):
            return
        if tokens < MIN_RATE_SAMPLE_TOKENS:
            sample = min(head_seconds, seconds) - tokens / self.rate
            self._learn_base(max(sample, 0.0))
            return
        prefill_seconds = head_seconds - self.base_seconds
        if prefill_seconds <= 0.0:
            return
        rate = min(max(tokens / prefill_seconds, MIN_RATE), MAX_RATE)
        if not self._has_rate_sample:
            self._has_rate_sample = True
            self.rate = rate
            return
        weight = SLOWER_WEIGHT if rate < self.rate else FASTER_WEIGHT
        # Harmonic mean, over the time per token: one fast sample must not hide a slow
        # server.
        self.rate = 1.0 / ((1.0 - weight) / self.rate + weight / rate)

    def advanced(self, events: int, seconds: float) -> None:
        """Learn from consecutive events of one stream, or from a pause without any."""
        if events <= 0:
            # While others receive events, the path to this receiver may be broken.
            silent_seconds = min(seconds, clock.now() - self.heard_at)
            if silent_seconds > STALL_SECONDS:
                self.mark_silent(clock.now(), seconds)
            return
        self._mark_responsive()
        sample = seconds / events
        if not self._has_event_sample and events >= MIN_FIRST_SAMPLE_EVENTS:
            self._has_event_sample = True
            self.event_seconds = sample
            return
        weight = SLOWER_WEIGHT if sample > self.event_seconds else FASTER_WEIGHT
        self.event_seconds += (
            weight * min(events / 4.0, 1.0) * (sample - self.event_seconds)
        )

    def served(self, seconds: float) -> None:
        """Learn from a complete answer of a plain service."""
        self._mark_responsive()
        if not self._spans_silence(seconds):
            self._learn_base(seconds)

    def completed(self, seconds: float) -> None:
        """Learn from the time for which a request occupied a slot.

        A short stream ends before any progress of it is reported.
        """
        self._mark_responsive()
        self.heard_at = clock.now()
        if not self._has_slot_sample:
            self._has_slot_sample = True
            self.slot_seconds = seconds
            return
        self.slot_seconds += SLOT_WEIGHT * (seconds - self.slot_seconds)

    def ended(self, succeeded: bool, now: float) -> None:
        """Update the failure share from an end that the server is responsible for."""
        share = self.failure_share(now)
        self._failure_share_at = now
        if succeeded:
            self._failure_share = share * (1.0 - SUCCESS_WEIGHT)
            return
        self._failure_share = share + FAILURE_WEIGHT * (1.0 - share)
        if self._failure_share > BROKEN_SHARE:
            self._broken_until = now + PROBE_SECONDS

    def silence_limit(self, expected_seconds: float) -> float:
        """Return the time without a first event after which a server is silent."""
        return expected_seconds * LATE_FACTOR + LATE_SECONDS

    def mark_silent(self, now: float, seconds: float) -> None:
        """Exclude a server from new work that has not responded for ``seconds``.

        The next event or answer from it ends this.
        """
        if self._is_unresponsive:
            return
        self._is_unresponsive = True
        self._silent_until = now + STALL_SECONDS
        logs.event(
            "server_silent",
            server=self._server,
            silent_ms=round(seconds * 1000.0),
            base_ms=round(self.base_seconds * 1000.0, 1),
        )

    def _mark_responsive(self) -> None:
        if self._is_unresponsive:
            logs.event("server_heard", server=self._server)
            self._resumed_at = clock.now()
        self._is_unresponsive = False
        self.heard_at = clock.now()
        self._silent_until = 0.0
        self._broken_until = 0.0

    def _spans_silence(self, seconds: float) -> bool:
        """Return whether a time that ends now began before the last silence ended.

        Times of a paused server say nothing about its speed: learned from a burst of
        them, they would have new requests refused for seconds after the pause.
        """
        return clock.now() - seconds < self._resumed_at

    def _learn_base(self, sample: float) -> None:
        if not math.isfinite(sample):
            return
        if not self._has_base_sample:
            self._has_base_sample = True
            self.base_seconds = sample
            return
        weight = SLOWER_WEIGHT if sample > self.base_seconds else FASTER_WEIGHT
        self.base_seconds += weight / 2.0 * (sample - self.base_seconds)
