"""The table of one owner's requests, bounded in size; lower tiers are evicted first."""

import collections.abc

from cassiaquay_schema import settings as settings_schema

from .. import exceptions
from ..adapters import answers
from . import entries, tokens, tombstones

RETRY_AFTER_MS = 1000


class Table:
    """Requests by id: open entries, ended ones that may still be read, closed ids.

    Parameters
    ----------
    settings : Owner
        The bounds.
    """

    def __init__(self, settings: settings_schema.Owner):
        self.entries: dict[str, entries.Entry] = {}
        self.closed = tombstones.Tombstones(settings.max_closed)
        self.ledger = answers.Ledger(settings.max_answer_bytes)
        self._settings = settings
        self._waiting: dict[int, dict[str, entries.Entry]] = {}
        self._ended: dict[int, dict[str, entries.Entry]] = {}

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait for a permit."""
        return sum(len(rank) for rank in self._waiting.values())

    @property
    def ended_count(self) -> int:
        """Number of ended requests whose answer is kept."""
        return sum(len(rank) for rank in self._ended.values())

    @property
    def open_count(self) -> int:
        """Number of requests that have not ended."""
        return len(self.entries) - self.ended_count

    @property
    def is_full(self) -> bool:
        """Whether the table has no capacity for a new request."""
        return (
            self.waiting_count >= self._settings.max_waiting
            or self.open_count >= self._settings.max_entries
            or self.ledger.used > self._settings.max_answer_bytes
        )

    def waiting(self) -> list[entries.Entry]:
        """Return the waiting entries."""
        return [entry for rank in self._waiting.values() for entry in rank.values()]

    def ended(self) -> list[entries.Entry]:
        """Return the ended entries, the lowest tier first, then the oldest."""
        ranks = sorted(self._ended, reverse=True)
        return [entry for rank in ranks for entry in self._ended[rank].values()]

    def add(self, entry: entries.Entry) -> None:
        """Add a new waiting entry."""
        accepted = entry.accepted
        self.entries[accepted.id.text] = entry
        self._waiting.setdefault(accepted.rank, {})[accepted.id.text] = entry

    def dispatched(self, entry: entries.Entry) -> None:
        """Record that an entry no longer waits."""
        accepted = entry.accepted
        self._waiting.get(accepted.rank, {}).pop(accepted.id.text, None)

    def end(self, entry: entries.Entry) -> None:
        """Record that an entry's outcome is final."""
        accepted = entry.accepted
        self.dispatched(entry)
        entry.drop_body()
        if accepted.id.text in self.entries:
            self._ended.setdefault(accepted.rank, {})[accepted.id.text] = entry

    def close(self, entry: entries.Entry) -> None:
        """Keep only the id and the outcome of an ended entry."""
        accepted = entry.accepted
        status = entry.status
        entry.answer.forget()
        self.entries.pop(accepted.id.text, None)
        self._ended.get(accepted.rank, {}).pop(accepted.id.text, None)
        self.close_id(accepted.id, accepted.team, status.outcome, status.code)

    def resolve_outcome(self, entry: entries.Entry, outcome: str, code: str) -> None:
        """Replace the outcome "unknown" of an ended entry by its actual outcome."""
        entry.answer.set_final(outcome, code)
        entry.refusal = None
        if outcome == "failed":
            entry.refusal = exceptions.BackendFailed(code=code)
        accepted = entry.accepted
        if accepted.id.text not in self.entries:
            entry.answer.forget()
            self.close_id(accepted.id, accepted.team, outcome, code)

    def close_id(
        self, request_id: tokens.RequestId, team: str, outcome: str, code: str
    ) -> None:
        """Keep the outcome of an id that has no entry, so that it never runs."""
        self.closed.add(request_id, tombstones.Closed(team, outcome, code))

    def evict_ended(self) -> None:
        """Close ended entries without readers until the table is within its bounds."""
        for entry in self.ended():
            over_count = self.ended_count > self._settings.max_entries
            over_bytes = self.ledger.used > self._settings.max_answer_bytes
            if not over_count and not over_bytes:
                return
            if entry.readers:
                continue
            self.close(entry)

    def evict_for(
        self,
        rank: int,
        refuse_waiting: collections.abc.Callable[
            [entries.Entry, exceptions.Refusal], None
        ],
    ) -> None:
        """Free capacity for a request; raise TableFull if no lower tier waits.

        If a full table refused every new request, urgent requests would be shed while
        background work stays queued. Instead, waiting requests of lower tiers are
        refused, the newest of the lowest tier first.
        """
        if not self.is_full:
            return
        self.evict_ended()
        while self.is_full:
            lowest = max(
                (other for other, waiting in self._waiting.items() if waiting),
                default=rank,
            )
            if lowest <= rank:
                raise exceptions.TableFull(retry_after_ms=RETRY_AFTER_MS)
            entry = next(reversed(self._waiting[lowest].values()))
            refuse_waiting(entry, exceptions.TableFull(retry_after_ms=RETRY_AFTER_MS))
