"""The requests of one owner, within bounds that respect tiers."""

import collections.abc

from cassiaquay_schema import settings as settings_schema

from .. import exceptions
from ..adapters import answers
from . import entries, tokens, tombstones

RETRY_AFTER_MS = 1000


class Table:
    """Entries by id: those under way, ended ones that may be read, closed ids.

    Parameters
    ----------
    settings : Owner
        The bounds.
    """

    def __init__(self, settings: settings_schema.Owner):
        self.entries: dict[str, entries.Entry] = {}
        self.closed = tombstones.Tombstones(settings.max_closed)
        self.ledger = answers.Ledger()
        self._settings = settings
        self._waiting: dict[int, dict[str, entries.Entry]] = {}
        self._ended: dict[int, dict[str, entries.Entry]] = {}

    @property
    def waiting_count(self) -> int:
        """Requests that wait for a permit."""
        return sum(len(rank) for rank in self._waiting.values())

    @property
    def ended_count(self) -> int:
        """Requests that have ended and whose answer is kept."""
        return sum(len(rank) for rank in self._ended.values())

    @property
    def open_count(self) -> int:
        """Requests that have not ended."""
        return len(self.entries) - self.ended_count

    @property
    def is_full(self) -> bool:
        """Whether a new request needs room that is not there."""
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
        """Take a new waiting entry."""
        accepted = entry.accepted
        self.entries[accepted.id.text] = entry
        self._waiting.setdefault(accepted.rank, {})[accepted.id.text] = entry

    def dispatched(self, entry: entries.Entry) -> None:
        """Note that an entry waits no longer."""
        accepted = entry.accepted
        self._waiting.get(accepted.rank, {}).pop(accepted.id.text, None)

    def end(self, entry: entries.Entry) -> None:
        """Note that an entry has its outcome."""
        accepted = entry.accepted
        self.dispatched(entry)
        entry.drop_body()
        if accepted.id.text in self.entries:
            self._ended.setdefault(accepted.rank, {})[accepted.id.text] = entry

    def close(self, entry: entries.Entry) -> None:
        """Keep only the id and the outcome of an ended entry."""
        accepted = entry.accepted
        told = entry.told
        entry.answer.forget()
        self.entries.pop(accepted.id.text, None)
        self._ended.get(accepted.rank, {}).pop(accepted.id.text, None)
        self.refuse(accepted.id, accepted.team, told.outcome, told.code)

    def settle(self, entry: entries.Entry, outcome: str, code: str) -> None:
        """Replace the outcome "unknown" of an ended entry by what it came to."""
        entry.answer.set_final(outcome, code)
        entry.refusal = None
        if outcome == "failed":
            entry.refusal = exceptions.BackendFailed(code=code)
        accepted = entry.accepted
        if accepted.id.text not in self.entries:
            entry.answer.forget()
            self.refuse(accepted.id, accepted.team, outcome, code)

    def refuse(
        self, request_id: tokens.RequestId, team: str, outcome: str, code: str
    ) -> None:
        """Keep the outcome of an id that has no entry."""
        self.closed.add(request_id, tombstones.Closed(team, outcome, code))

    def relieve(self) -> None:
        """Close ended entries that nobody reads until the bounds hold."""
        for entry in self.ended():
            over_count = self.ended_count > self._settings.max_entries
            over_bytes = self.ledger.used > self._settings.max_answer_bytes
            if not over_count and not over_bytes:
                return
            if entry.readers:
                continue
            self.close(entry)

    def make_room(
        self,
        rank: int,
        give_up: collections.abc.Callable[[entries.Entry, exceptions.Refusal], None],
    ) -> None:
        """Make room for a request; raise TableFull when its tier is the lowest.

        The failure: a limit that refuses whoever comes last sheds an urgent request
        while background work keeps its place. Only less important waiting work is
        given up here, the newest of the lowest tier first.
        """
        if not self.is_full:
            return
        self.relieve()
        while self.is_full:
            lowest = max((r for r, held in self._waiting.items() if held), default=rank)
            if lowest <= rank:
                raise exceptions.TableFull(retry_after_ms=RETRY_AFTER_MS)
            entry = next(reversed(self._waiting[lowest].values()))
            give_up(entry, exceptions.TableFull(retry_after_ms=RETRY_AFTER_MS))
