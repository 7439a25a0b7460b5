"""The table of known members, in order of change so that only changes are sent.

Facts on a member are ordered by the start time of its incarnation (one run of its
process) and their sequence number. A suspicion applies to the sequence number that it
names and all lower ones; only the suspected instance can refute it, with a higher one.
"""

import typing

import xxhash

from cassiaquay_schema import messages

from .. import clock

# Slow peers may still send facts on a forgotten instance. They are rejected for this
# long, so that it does not reappear; no message is in transit longer.
TOMBSTONE_SECONDS = 120.0
# Instances that restart after a common power loss start within this time of each other.
START_SPREAD_SECONDS = 5.0

Order = tuple[float, int]


class Record(typing.NamedTuple):
    """One known instance.

    Attributes
    ----------
    member : Member
        The newest fact.
    started_at : float
        When the member's process started, on the local clock; transit time makes it a
        little late.
    suspected_at : float or None
        When it was suspected, on the local clock.
    change : int
        Number of the last change of this record, from a local counter.
    """

    member: messages.Member
    started_at: float
    suspected_at: float | None
    change: int

    @property
    def order(self) -> Order:
        """Sort key of the fact among all facts on the same instance."""
        return self.member.born, self.member.sequence

    @property
    def uptime(self) -> float:
        """Seconds since the member's start; never more than its own count."""
        return max(clock.now() - self.started_at, 0.0)


class Facts:
    """All records, the most recently changed one last.

    ``changes`` counts their changes; equal tables have the same ``digest``.
    """

    def __init__(self) -> None:
        self.changes = 0
        self.digest = 0
        self._records: dict[str, Record] = {}
        self._tombstones: dict[str, tuple[Order, float]] = {}

    @property
    def records(self) -> dict[str, Record]:
        """Records by instance."""
        return self._records

    def has_older(self, uptime: float) -> bool:
        """Return whether an unsuspected instance has run longer than ``uptime``.

        Instances that may have started at the same time do not count.
        """
        for record in self.records.values():
            if record.suspected_at is not None:
                continue
            if record.uptime > uptime + START_SPREAD_SECONDS:
                return True
        return False

    def has_missing(self, seconds: float) -> bool:
        """Return whether an instance is suspected, or was so some seconds ago.

        One that has announced that it leaves does not count until it is forgotten.
        """
        for record in self.records.values():
            if record.suspected_at is not None and not record.member.leaving:
                return True
        forgotten_since = clock.now() - seconds
        return any(at >= forgotten_since for _, at in self._tombstones.values())

    def learn(self, member: messages.Member) -> bool:
        """Store a fact if it is newer than the known one; return whether it was."""
        order = (member.born, member.sequence)
        known = self._records.get(member.instance)
        if known is not None and order <= known.order:
            return False
        tombstone = self._tombstones.get(member.instance)
        if tombstone is not None and order <= tombstone[0]:
            return False
        self._tombstones.pop(member.instance, None)
        self._store(Record(member, clock.now() - member.uptime, None, 0))
        return True

    def suspect(self, suspicion: messages.Suspicion) -> bool:
        """Mark a member as suspected; return whether that changed its record."""
        known = self._records.get(suspicion.instance)
        if known is None or known.suspected_at is not None:
            return False
        if (suspicion.born, suspicion.sequence) < known.order:
            return False
        self._store(known._replace(suspected_at=clock.now()))
        return True

    def suspicion_of(self, instance: str) -> messages.Suspicion | None:
        """Return the suspicion that an instance must refute to be alive here."""
        known = self._records.get(instance)
        if known is not None and known.suspected_at is not None:
            return messages.Suspicion(instance, *known.order)
        tombstone = self._tombstones.get(instance)
        if known is None and tombstone is not None:
            return messages.Suspicion(instance, *tombstone[0])
        return None

    def note_revision(self, instance: str, revision: int) -> None:
        """Note a member's configuration revision without counting it as a change."""
        known = self._records.get(instance)
        if known is None or known.member.revision == revision:
            # Nearly all heartbeats.
            return
        if known.member.revision and revision:
            member = known.member._replace(revision=revision)
            self._records[instance] = known._replace(member=member)

    def forget(self, seconds: float) -> list[str]:
        """Remove members suspected for ``seconds``; return their names."""
        now = clock.now()
        forgotten = []
        for name, record in list(self._records.items()):
            if record.suspected_at is None or now - record.suspected_at < seconds:
                continue
            del self._records[name]
            self.digest ^= _digest_of(record)
            self._tombstones[name] = (record.order, now)
            forgotten.append(name)
        for name, (_, at) in list(self._tombstones.items()):
            if now - at > TOMBSTONE_SECONDS:
                del self._tombstones[name]
        return forgotten

    def changed_since(self, change: int) -> list[Record]:
        """Return the records changed after ``change``, in the order of change."""
        changed = []
        for record in reversed(self._records.values()):
            if record.change <= change:
                break
            changed.append(record)
        changed.reverse()
        return changed

    def _store(self, record: Record) -> None:
        self.changes += 1
        old = self._records.pop(record.member.instance, None)
        if old is not None:
            self.digest ^= _digest_of(old)
        self.digest ^= _digest_of(record)
        self._records[record.member.instance] = record._replace(change=self.changes)


def with_current_uptime(record: Record) -> messages.Member:
    """Return a member's fact for sending, with its current uptime.

    Receivers compute the expiry of the member's tokens from the uptime: with one that
    was stored an hour ago, new tokens would have expired an hour ago.
    """
    return record.member._replace(uptime=record.uptime)


def _digest_of(record: Record) -> int:
    state = (record.member.instance, record.order, record.suspected_at is not None)
    return xxhash.xxh3_64_intdigest(repr(state).encode())
