"""Gossip of facts on members: each is sent to each neighbour once, within a budget."""

import typing
import weakref

from cassiaquay_schema import messages

from .. import clock
from ..links import peers
from . import facts

# Upper bounds of the encoded size of a fact and a suspicion, so that the budget can be
# charged without encoding them.
MEMBER_BYTES = 140
SUSPICION_BYTES = 40
# Unused budget accumulates for at most this time.
BURST_SECONDS = 20.0


_SentChanges = weakref.WeakKeyDictionary[peers.Link, int | None]


class Portion(typing.NamedTuple):
    """Facts and suspicions carried by one heartbeat."""

    members: list[messages.Member]
    suspicions: list[messages.Suspicion]


class Gossip:
    """Selects the facts to send over each link.

    Parameters
    ----------
    instance : str
        Name of this instance.
    known : Facts
        The records to send.
    bytes_per_second : int
        Budget of all links together. Unused budget accumulates for some seconds, so
        that the loss of a whole failure domain can be sent at once.
    """

    def __init__(self, instance: str, known: facts.Facts, bytes_per_second: int):
        self._instance = instance
        self._facts = known
        self._rate = float(bytes_per_second)
        self._budget_bytes = self._rate * BURST_SECONDS
        self._filled_at = clock.now()
        # The last change sent over each link, by the instance at its other end.
        self._sent_changes: dict[str, _SentChanges] = {}

    def portion(self, link: peers.Link) -> Portion:
        """Return the changes not yet sent to a peer, as far as the budget allows."""
        self._refill()
        portion = Portion([], [])
        sent_changes = self._sent_to(link.instance)
        change = sent_changes.setdefault(link, None)
        if change is None:
            # The digest in the peer's first heartbeat will show whether it has all
            # facts, as it mostly does. Until then it gets only the one on the sender.
            own = self._facts.records.get(self._instance)
            if own is not None:
                portion.members.append(facts.with_current_uptime(own))
            return portion
        for record in self._facts.changed_since(change):
            if self._budget_bytes <= 0:
                break
            change = record.change
            if record.member.instance == link.instance and not record.suspected_at:
                continue
            if record.suspected_at is not None:
                suspicion = messages.Suspicion(record.member.instance, *record.order)
                portion.suspicions.append(suspicion)
                self._budget_bytes -= SUSPICION_BYTES
                continue
            portion.members.append(facts.with_current_uptime(record))
            self._budget_bytes -= MEMBER_BYTES
        sent_changes[link] = change
        return portion

    def compare(self, instance: str, digest: int) -> None:
        """Note from a peer's table digest whether it already has all facts."""
        is_equal = digest == self._facts.digest
        sent_changes = self._sent_changes.get(instance)
        if sent_changes is None:
            return
        for link, change in sent_changes.items():
            if is_equal:
                sent_changes[link] = self._facts.changes
            elif change is None:
                sent_changes[link] = 0

    def _sent_to(self, instance: str) -> _SentChanges:
        """Return the last changes sent over the links to an instance."""
        sent_changes = self._sent_changes.get(instance)
        if sent_changes is None:
            # A new instance is seldom; forget those without links on this occasion.
            for name in [name for name, sent in self._sent_changes.items() if not sent]:
                del self._sent_changes[name]
            sent_changes = self._sent_changes[instance] = weakref.WeakKeyDictionary()
        return sent_changes

    def _refill(self) -> None:
        now = clock.now()
        filled = self._budget_bytes + (now - self._filled_at) * self._rate
        self._budget_bytes = min(filled, self._rate * BURST_SECONDS)
        self._filled_at = now
