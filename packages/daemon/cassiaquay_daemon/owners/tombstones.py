"""Tombstones, compact records of ended requests that keep late copies from running.

The failure: a copy of a refused or finished request arrives after its entry was
dropped, and runs. The symptom is a booking made twice, or a request that ran although
its caller got "not run". An id stays here until its token expires; after that, the
owner refuses first copies of the id anyway.
"""

import hashlib
import typing

from .. import exceptions
from . import tokens

DIGEST_BYTES = 16


class Closed(typing.NamedTuple):
    """The record of an ended request.

    Attributes
    ----------
    team : str
        The team that sent it.
    outcome, code : str
        As reported to its caller.
    """

    team: str
    outcome: str
    code: str

    @property
    def state(self) -> str:
        """State as reported to callers."""
        return "refused" if self.outcome == "not_run" else "finished"

    def refusal(self) -> exceptions.Refusal:
        """Return the refusal for a caller that requests the answer again."""
        if self.outcome == "completed":
            return exceptions.AnswerExpired()
        if self.outcome == "failed":
            return exceptions.BackendFailed("it failed before", code=self.code)
        if self.outcome == "not_run":
            return exceptions.PreviouslyRefused(code=self.code)
        return exceptions.OutcomeUnknown(code=self.code)


class Tombstones:
    """Closed ids in buckets of one second by expiry of their tokens.

    Memory is bounded, and no dropped id can run: when there are too many ids, the
    bucket that expires first is dropped, and all ids that expire in its second or
    earlier count as expired from then on. Their callers get ``outcome_unknown``, which
    is correct.

    Parameters
    ----------
    limit : int
        Maximum number of ids; docs/design/ownership.md gives the bytes per id.
    """

    def __init__(self, limit: int):
        self._limit = limit
        self._buckets: dict[int, dict[bytes, Closed]] = {}
        self._shared_records: dict[Closed, Closed] = {}
        self._dropped_before = 0
        self._count = 0

    def __len__(self) -> int:
        """Return the number of ids kept."""
        return self._count

    def add(self, request_id: tokens.RequestId, closed: Closed) -> None:
        """Add an id, or replace its record."""
        second = int(request_id.expiry)
        if second < self._dropped_before:
            return
        # Equal records are shared: an id costs only a reference to its record.
        closed = self._shared_records.setdefault(closed, closed)
        bucket = self._buckets.setdefault(second, {})
        digest = _digest(request_id)
        if digest not in bucket:
            self._count += 1
        bucket[digest] = closed
        while self._count > self._limit:
            self._drop(min(self._buckets))

    def find(self, request_id: tokens.RequestId) -> Closed | None:
        """Return the record of an id, or None."""
        bucket = self._buckets.get(int(request_id.expiry))
        return bucket.get(_digest(request_id)) if bucket else None

    def may_be_dropped(self, request_id: tokens.RequestId) -> bool:
        """Return whether a record of the id may have existed and been dropped."""
        return int(request_id.expiry) < self._dropped_before

    def expire(self, uptime: float) -> None:
        """Drop the ids whose tokens expired before ``uptime`` seconds."""
        for second in [key for key in self._buckets if key + 1 < uptime]:
            self._drop(second)

    def _drop(self, second: int) -> None:
        self._count -= len(self._buckets.pop(second))
        self._dropped_before = max(self._dropped_before, second + 1)


def _digest(request_id: tokens.RequestId) -> bytes:
    # The caller chooses the unique part of an id: with a weak hash it could make two
    # ids collide, and one would get the outcome of the other.
    text = request_id.text.encode()
    return hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest()
