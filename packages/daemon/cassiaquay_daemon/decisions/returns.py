"""Retries of refused callers at a keeper: when they come, and who is served first.

Load pattern: under overload many callers are refused, and each retries once. Their
objectives count from their first attempts, so most retries are late whenever they come.
A late retry that is served before a request that can still be in time makes two
requests late.

A keeper sees a retry as a demand whose objective had passed when it arrived: its owner
counts the objective from the first attempt (`return_visits`). Such a demand is served
after those of its rank that can be in time, and before all less important ranks.
"""

import collections

from cassiaquay_schema import messages, registry

from . import shedding

treatments: registry.Registry[type["ShareReturns"]] = registry.Registry(
    "treatment of retries"
)

SHARE = "share"
RECOGNIZED = "recognized"
# Retry-After as a share of the remaining time; jitter adds up to half of it, so that
# callers wait for at most a third. An overload lasts for seconds.
RETRY_AFTER_SHARE = 2.0 / 9.0
# Late retries of one rank that wait in a shard. Under overload new ones arrive faster
# than slots are left to them; more would only be looked at again in every pass.
MAX_WAITING = 32
# Time for which a late retry waits. A slot that is left by then comes at the cost of no
# request in time; a caller that gets none is refused while it can still turn elsewhere.
MAX_WAIT_SECONDS = 0.5
# An owner sends at least 1 ms as the time to the objective, also when it has passed.
PASSED_OBJECTIVE_MS = 1


@treatments.register(SHARE)
class ShareReturns:
    """Retries are served like new requests."""

    def retry_after_ms(self, seconds_left: float) -> int:
        """Return the Retry-After of a refused demand, in milliseconds.

        Parameters
        ----------
        seconds_left : float
            Seconds until the demand's deadline.
        """
        return shedding.retry_after_ms(seconds_left * RETRY_AFTER_SHARE)

    def queued(self, demand: messages.Demand) -> None:
        """Handle a demand that was added to the queue."""

    def unqueued(self, demand: messages.Demand) -> None:
        """Handle a demand that was removed from the queue."""

    def split(self, request_ids: list[str]) -> tuple[list[str], list[str]]:
        """Return the demands that can be in time and those that cannot, in order."""
        return request_ids, []

    def count_late(self, rank: int) -> int:
        """Return how many demands of a rank wait behind those that can be in time."""
        return 0


@treatments.register(RECOGNIZED)
class RecognizedReturns(ShareReturns):
    """Late retries are served after the demands of their rank that can be in time."""

    def __init__(self) -> None:
        self._late_ids: set[str] = set()
        self._late_counts: collections.Counter[int] = collections.Counter()

    def queued(self, demand: messages.Demand) -> None:
        """Note a demand that is late whenever it is served."""
        if demand.first_ms == PASSED_OBJECTIVE_MS:
            self._late_ids.add(demand.id)
            self._late_counts[demand.rank] += 1

    def unqueued(self, demand: messages.Demand) -> None:
        """Forget a demand."""
        if demand.id in self._late_ids:
            self._late_ids.remove(demand.id)
            self._late_counts[demand.rank] -= 1

    def split(self, request_ids: list[str]) -> tuple[list[str], list[str]]:
        """Return the demands that can be in time and those that cannot, in order."""
        if not self._late_ids:
            return request_ids, []
        in_time: list[str] = []
        late: list[str] = []
        for request_id in request_ids:
            is_late = request_id in self._late_ids
            (late if is_late else in_time).append(request_id)
        return in_time, late

    def count_late(self, rank: int) -> int:
        """Return how many demands of a rank are late whenever they are served."""
        return self._late_counts[rank]
