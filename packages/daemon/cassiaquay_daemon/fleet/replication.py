"""Keeps a small table equal on all instances, without a shared store.

A changed entry is flooded to all neighbours at once and reaches every instance within
a few round trips. Heartbeats carry a digest of the table; where it differs, for example
after a restart or a lost connection, the whole table is sent.
"""

import typing
import weakref

from cassiaquay_schema import messages

from .. import clock
from ..links import peers
from . import members

# Instances update their tables at slightly different times, so digests differ briefly;
# the table is therefore not resent with each heartbeat.
RESEND_INTERVAL_SECONDS = 1.0
NEVER = float("-inf")


class Table(typing.Protocol):
    """A table that all instances hold.

    Attributes
    ----------
    digest_field : str
        Field of heartbeats that carries its digest.
    """

    digest_field: str

    @property
    def digest(self) -> int:
        """Digest of the entries; 0 when there are none."""

    def snapshot(self) -> messages.Message | None:
        """Return a message with all entries; None when there are none."""


class Replication:
    """Sends the changes of a table to the other instances.

    Parameters
    ----------
    links : Peers
        Connections to the other instances.
    membership : Membership
        Supplies the neighbours and their heartbeats.
    table : Table
        The table of this instance.
    """

    def __init__(
        self, links: peers.Peers, membership: members.Membership, table: Table
    ):
        self._links = links
        self._membership = membership
        self._table = table
        self._sent_at: weakref.WeakKeyDictionary[peers.Link, float]
        self._sent_at = weakref.WeakKeyDictionary()
        membership.table_digests[table.digest_field] = lambda: table.digest
        membership.on_heartbeat(self._handle_heartbeat)

    def flood(self, message: messages.Message, sender: str = "") -> None:
        """Send changed entries to all neighbours except their ``sender``."""
        send_to_neighbours(self._links, self._membership, message, sender)

    def _handle_heartbeat(self, link: peers.Link, beat: messages.Heartbeat) -> None:
        if getattr(beat, self._table.digest_field) == self._table.digest:
            return
        now = clock.now()
        if now - self._sent_at.get(link, NEVER) < RESEND_INTERVAL_SECONDS:
            return
        self._sent_at[link] = now
        snapshot = self._table.snapshot()
        if snapshot is not None:
            link.send(snapshot)


def send_to_neighbours(
    links: peers.Peers,
    membership: members.Membership,
    message: messages.Message,
    sender: str = "",
) -> None:
    """Send a message to all neighbours except the instance that it came from."""
    for instance, address in membership.neighbours().items():
        if instance == sender:
            continue
        link = links.link(instance, address)
        if link is not None:
            link.send(message)
