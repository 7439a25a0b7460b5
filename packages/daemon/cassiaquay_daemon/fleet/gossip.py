"""How facts on members go out: each to each neighbour once, within a budget."""

import typing
import weakref

from cassiaquay_schema import messages

from .. import clock
from ..links import peers
from . import facts

# Upper bounds of one fact and one suspicion on the wire, so that keeping to the budget
# needs no encoding.
MEMBER_BYTES = 130
SUSPICION_BYTES = 40
BURST_SECONDS = 20.0


class Portion(typing.NamedTuple):
    """What one heartbeat carries."""

    members: list[messages.Member]
    suspicions: list[messages.Suspicion]


class Gossip:
    """Chooses what to send over each link.

    Parameters
    ----------
    instance : str
        Name of this instance.
    known : Facts
        What there is to send.
    bytes_per_second : int
        Budget of all links together. Unused budget adds up for some seconds: a
        failure domain that goes at once is told of at once.
    """

    def __init__(self, instance: str, known: facts.Facts, bytes_per_second: int):
        self._instance = instance
        self._facts = known
        self._rate = float(bytes_per_second)
        self._left = self._rate * BURST_SECONDS
        self._filled_at = clock.now()
        self._told: weakref.WeakKeyDictionary[peers.Link, int | None] = (
            weakref.WeakKeyDictionary()
        )

    def portion(self, link: peers.Link) -> Portion:
        """Return what the peer does not know yet, as far as the budget goes."""
        self._fill()
        portion = Portion([], [])
        change = self._told.setdefault(link, None)
        if change is None:
            # Most often the peer knows all that is known here; its first heartbeat
            # will tell. Until then it is told who speaks.
            own = self._facts.records.get(self._instance)
            if own is not None:
                portion.members.append(facts.with_current_uptime(own))
            return portion
        for record in self._facts.changed_since(change):
            if self._left <= 0:
                break
            change = record.change
            if record.member.instance == link.instance and not record.suspected_at:
                continue
            if record.suspected_at is not None:
                suspicion = messages.Suspicion(record.member.instance, *record.order)
                portion.suspicions.append(suspicion)
                self._left -= SUSPICION_BYTES
                continue
            portion.members.append(facts.with_current_uptime(record))
            self._left -= MEMBER_BYTES
        self._told[link] = change
        return portion

    def compare(self, instance: str, digest: int) -> None:
        """Take in the digest of all that another instance knows."""
        same = digest == self._facts.digest
        for link, change in self._told.items():
            if link.instance != instance:
                continue
            if same:
                self._told[link] = self._facts.changes
            elif change is None:
                self._told[link] = 0

    def _fill(self) -> None:
        now = clock.now()
        filled = self._left + (now - self._filled_at) * self._rate
        self._left = min(filled, self._rate * BURST_SECONDS)
        self._filled_at = now
