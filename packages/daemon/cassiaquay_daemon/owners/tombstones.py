"""Ids whose requests have ended, kept small until no copy of them can matter.

The failure: a copy of a refused or finished request arrives late, its entry is gone,
and it runs. The symptom is a booking made twice, or a request that ran although its
caller was told "not run". An id stays here until its token has expired; from then on
the owner runs no request that it sees for the first time, so nothing is lost.
"""

import hashlib
import typing

from .. import exceptions
from . import tokens

DIGEST_BYTES = 16


class Closed(typing.NamedTuple):
    """What is left of an ended request.

    Attributes
    ----------
    team : str
        Whose it was.
    outcome, code : str
        As its caller was told.
    """

    team: str
    outcome: str
    code: str

    @property
    def state(self) -> str:
        """State as callers are told."""
        return "refused" if self.outcome == "not_run" else "finished"

    def refusal(self) -> exceptions.Refusal:
        """Return what a caller is told that asks for the answer again."""
        if self.outcome == "completed":
            return exceptions.AnswerExpired()
        if self.outcome == "failed":
            return exceptions.BackendFailed("it failed before", code=self.code)
        if self.outcome == "not_run":
            return exceptions.PreviouslyRefused(code=self.code)
        return exceptions.OutcomeUnknown(code=self.code)


class Tombstones:
    """Closed ids in buckets of one second of expiry.

    Memory is bounded without forgetting an id that could still run: when there are
    too many, the bucket that expires first goes and all ids of its second or before
    count as expired from then on. They get ``outcome_unknown``, which is true.

    Parameters
    ----------
    limit : int
        Most ids kept; docs/design/ownership.md gives the bytes of each.
    """

    def __init__(self, limit: int):
        self._limit = limit
        self._buckets: dict[int, dict[bytes, Closed]] = {}
        self._kinds: dict[Closed, Closed] = {}
        self._floor = 0
        self._count = 0

    def __len__(self) -> int:
        """Ids kept."""
        return self._count

    def add(self, request_id: tokens.RequestId, closed: Closed) -> None:
        """Keep an id; what is known of it already is replaced."""
        second = int(request_id.expiry)
        if second < self._floor:
            return
        # The same few outcomes are shared by all ids: one reference each.
        closed = self._kinds.setdefault(closed, closed)
        bucket = self._buckets.setdefault(second, {})
        digest = _digest(request_id)
        if digest not in bucket:
            self._count += 1
        bucket[digest] = closed
        while self._count > self._limit:
            self._drop(min(self._buckets))

    def find(self, request_id: tokens.RequestId) -> Closed | None:
        """Return what is known of an id."""
        bucket = self._buckets.get(int(request_id.expiry))
        return bucket.get(_digest(request_id)) if bucket else None

    def may_be_gone(self, request_id: tokens.RequestId) -> bool:
        """Tell whether the id, if it was here, has been dropped."""
        return int(request_id.expiry) < self._floor

    def expire(self, uptime: float) -> None:
        """Drop the ids whose tokens expired before ``uptime`` seconds of it."""
        for second in [one for one in self._buckets if one + 1 < uptime]:
            self._drop(second)

    def _drop(self, second: int) -> None:
        self._count -= len(self._buckets.pop(second))
        self._floor = max(self._floor, second + 1)


def _digest(request_id: tokens.RequestId) -> bytes:
    # A caller chooses the unique part: with a weak hash it could make two of its ids
    # collide and be told the outcome of the other.
    text = request_id.text.encode()
    return hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest()
