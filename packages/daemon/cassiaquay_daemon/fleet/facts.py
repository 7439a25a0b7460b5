"""What this instance knows of the others, and which of it is news to whom.

A fact is ordered by the start of its incarnation and its sequence. A suspicion holds
against the sequence that it names and all before; only the suspected instance can
refute it, by a higher one.
"""

import typing

import xxhash

from cassiaquay_schema import messages

from .. import clock

# A dead instance's last facts may still be on their way from slow peers. For this long
# they are refused, so that nobody brings it back; nothing is under way longer.
TOMBSTONE_SECONDS = 120.0
# Instances that lose power together are up again within this time of each other.
START_SPREAD_SECONDS = 5.0

Order = tuple[float, int]


class Record(typing.NamedTuple):
    """One known instance.

    Attributes
    ----------
    member : Member
        The newest fact.
    offset : float
        This clock's time at which the member's process started, or a little later.
    suspected_at : float or None
        When it was suspected, on this clock.
    change : int
        Number of the last change of this record, counted here.
    """

    member: messages.Member
    offset: float
    suspected_at: float | None
    change: int

    @property
    def order(self) -> Order:
        """Place of the fact among all of this instance."""
        return self.member.born, self.member.sequence

    @property
    def uptime(self) -> float:
        """Seconds since the member's start; never more than they are there."""
        return max(clock.now() - self.offset, 0.0)


class Facts:
    """All records, the one changed last at the end.

    ``changes`` counts their changes; ``digest`` is the same wherever the same is known.
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
        """Return whether an unsuspected instance has run for clearly longer."""
        for record in self.records.values():
            if record.suspected_at is not None:
                continue
            if record.uptime > uptime + START_SPREAD_SECONDS:
                return True
        return False

    def learn(self, member: messages.Member) -> bool:
        """Take a fact in; return whether it was news."""
        order = (member.born, member.sequence)
        known = self._records.get(member.instance)
        if known is not None and order <= known.order:
            return False
        buried = self._tombstones.get(member.instance)
        if buried is not None and order <= buried[0]:
            return False
        self._tombstones.pop(member.instance, None)
        self._put(Record(member, clock.now() - member.uptime, None, 0))
        return True

    def suspect(self, suspicion: messages.Suspicion) -> bool:
        """Take a suspicion in; return whether it was news."""
        known = self._records.get(suspicion.instance)
        if known is None or known.suspected_at is not None:
            return False
        if (suspicion.born, suspicion.sequence) < known.order:
            return False
        self._put(known._replace(suspected_at=clock.now()))
        return True

    def suspicion_of(self, instance: str) -> messages.Suspicion | None:
        """Return what an instance must refute to be taken for alive here."""
        known = self._records.get(instance)
        if known is not None and known.suspected_at is not None:
            return messages.Suspicion(instance, *known.order)
        buried = self._tombstones.get(instance)
        if known is None and buried is not None:
            return messages.Suspicion(instance, *buried[0])
        return None

    def note_revision(self, instance: str, revision: int) -> None:
        """Note a configuration revision; it is no news that spreads."""
        known = self._records.get(instance)
        if known is not None and known.member.revision and revision:
            member = known.member._replace(revision=revision)
            self._records[instance] = known._replace(member=member)

    def forget(self, seconds: float) -> list[str]:
        """Bury those suspected for ``seconds``; return their names."""
        now = clock.now()
        dead = []
        for name, record in list(self._records.items()):
            if record.suspected_at is None or now - record.suspected_at < seconds:
                continue
            del self._records[name]
            self.digest ^= _mark(record)
            self._tombstones[name] = (record.order, now)
            dead.append(name)
        for name, (_, at) in list(self._tombstones.items()):
            if now - at > TOMBSTONE_SECONDS:
                del self._tombstones[name]
        return dead

    def news(self, change: int) -> list[Record]:
        """Return the records changed after ``change``, in the order of change."""
        found = []
        for record in reversed(self._records.values()):
            if record.change <= change:
                break
            found.append(record)
        found.reverse()
        return found

    def _put(self, record: Record) -> None:
        self.changes += 1
        old = self._records.pop(record.member.instance, None)
        if old is not None:
            self.digest ^= _mark(old)
        self.digest ^= _mark(record)
        self._records[record.member.instance] = record._replace(change=self.changes)


def told(record: Record) -> messages.Member:
    """Return a member's fact as it is sent on, with its uptime of now.

    Tokens are made from it by every instance: a fact that lay here for an hour would
    give tokens that expired an hour ago.
    """
    return record.member._replace(uptime=record.uptime)


def _mark(record: Record) -> int:
    state = (record.member.instance, record.order, record.suspected_at is not None)
    return xxhash.xxh3_64_intdigest(repr(state).encode())
