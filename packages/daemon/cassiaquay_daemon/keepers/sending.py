"""What an owner sends to keepers: progress of dispatched requests, servers' reports."""

import typing

from cassiaquay_schema import messages

from .. import clock
from ..decisions import shards


class Counted(typing.Protocol):
    """The part of an answer in progress that renewals report."""

    @property
    def count(self) -> int:
        """Number of events received so far."""

    @property
    def first_at(self) -> float:
        """Time of the first event; seconds on this clock."""


class ServerReports(typing.Protocol):
    """What servers have reported about themselves."""

    def blocking_cause(self, server: str, is_charged: bool) -> str:
        """Return why a request may not be sent to a server now; empty if it may."""

    def excluded_servers(self) -> list[str]:
        """Return the servers that want no request of this instance now."""

    def send_to(self, link: shards.Replier, server: str) -> None:
        """Send the state of a server that concerns all instances to one of them."""


class Sent:
    """A dispatched request whose progress is reported to its keeper.

    Parameters
    ----------
    item : Outstanding
        The request as the dispatcher describes it.
    answer : Counted or None
        Counts the events of its answer.
    """

    def __init__(self, item: messages.Outstanding, answer: Counted | None):
        self.item = item
        self.answer = answer
        self.dispatched_at = clock.now()
        self.has_reported_dispatch = False
        self.has_reported_first_event = False

    @property
    def renewed(self) -> messages.Outstanding:
        """The request as a renewal reports it."""
        if self.answer is None or not self.answer.count:
            return self.item
        age_ms = (clock.now() - self.answer.first_at) * 1000.0
        return self.item._replace(produced=self.answer.count, age_ms=age_ms)

    def step(self, now: float) -> messages.Step | None:
        """Return a step that is not reported yet, or None; each step only once."""
        item = self.item
        if not self.has_reported_dispatch:
            self.has_reported_dispatch = True
            age_ms = (now - self.dispatched_at) * 1000.0
            return messages.Step(item.id, item.server, False, age_ms)
        if (
            self.has_reported_first_event
            or self.answer is None
            or not self.answer.count
        ):
            return None
        self.has_reported_first_event = True
        age_ms = (now - self.answer.first_at) * 1000.0
        return messages.Step(item.id, item.server, True, age_ms)
