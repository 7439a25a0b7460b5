"""When to try again: back-off with jitter, and a budget over a whole session."""

import random

from . import models


class Backoff:
    """Delays before the attempts of one request, in seconds."""

    def __init__(self, settings: models.Settings) -> None:
        self._settings = settings
        self._tries = 0

    def reset(self) -> None:
        """Start from the shortest delay again, after progress."""
        self._tries = 0

    def next_delay(self, retry_after: float = 0.0) -> float:
        """Return the next delay, never below ``retry_after``.

        The jitter goes on top of ``retry_after``: callers refused in the same
        moment would otherwise come back in the same moment.
        """
        ceiling = self._settings.backoff_base * 2.0**self._tries
        self._tries += 1
        return retry_after + random.uniform(0, min(self._settings.backoff_cap, ceiling))


class Budget:
    """Token bucket: new requests earn fractions of a retry, retries spend one.

    The failure: retries of refused requests multiply the very load that made the
    instances refuse. With the bucket empty, retries are at most ``budget_ratio``
    of the new requests, however many fail.
    """

    def __init__(self, settings: models.Settings) -> None:
        self._capacity = settings.budget_capacity
        self._ratio = settings.budget_ratio
        self._tokens = settings.budget_capacity

    @property
    def tokens(self) -> float:
        """Retries that may be made now."""
        return self._tokens

    def earn(self) -> None:
        """Count one new request."""
        self._tokens = min(self._capacity, self._tokens + self._ratio)

    def spend(self) -> bool:
        """Take one retry; False when none is left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
