"""Retry policy: back-off with jitter, and a retry budget for each session."""

import random

from . import models


class Backoff:
    """Delays before the attempts of one request, in seconds."""

    def __init__(self, settings: models.Settings) -> None:
        self._settings = settings
        self._attempts = 0

    def reset(self) -> None:
        """Reset to the shortest delay, after an attempt that made progress."""
        self._attempts = 0

    def next_delay(self, retry_after: float = 0.0) -> float:
        """Return the next delay in seconds, at least ``retry_after``.

        The jitter is added to ``retry_after``: callers that were refused at the same
        time would otherwise retry at the same time.
        """
        ceiling = self._settings.backoff_base * 2.0**self._attempts
        self._attempts += 1
        return retry_after + random.uniform(0, min(self._settings.backoff_cap, ceiling))


class Budget:
    """Token bucket to which requests add a fraction of a token and retries take one.

    Without it, retries of refused requests would multiply the load that made the
    instances refuse them. With the bucket empty, retries are at most ``budget_ratio``
    of the new requests, however many fail.
    """

    def __init__(self, settings: models.Settings) -> None:
        self._capacity = settings.budget_capacity
        self._ratio = settings.budget_ratio
        self._tokens = settings.budget_capacity

    @property
    def tokens(self) -> float:
        """Number of retries available now."""
        return self._tokens

    def earn(self) -> None:
        """Add the share of a token that one new request earns."""
        self._tokens = min(self._capacity, self._tokens + self._ratio)

    def spend(self) -> bool:
        """Take one token; return False when less than one is left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
