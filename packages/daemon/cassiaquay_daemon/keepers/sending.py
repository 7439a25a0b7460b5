"""A dispatched request, as it is reported to its keeper."""

import typing

from cassiaquay_schema import messages

from .. import clock


class Counted(typing.Protocol):
    """An answer in progress, as far as renewals report it."""

    @property
    def count(self) -> int:
        """Events so far."""

    @property
    def first_at(self) -> float:
        """Seconds on this clock of the first event."""


class Sent:
    """A dispatched request, with what has not been reported to its keeper yet.

    Parameters
    ----------
    item : Outstanding
        As stated by the caller.
    answer : Counted or None
        Where its events are counted.
    """

    def __init__(self, item: messages.Outstanding, answer: Counted | None):
        self.item = item
        self.answer = answer
        self.sent_at = clock.now()
        self.told_sent = False
        self.told_first = False

    @property
    def renewed(self) -> messages.Outstanding:
        """The request as a renewal reports it."""
        produced = self.answer.count if self.answer is not None else 0
        return self.item._replace(produced=produced)

    def step(self, now: float) -> messages.Step | None:
        """Return what is new, once."""
        item = self.item
        if not self.told_sent:
            self.told_sent = True
            age_ms = (now - self.sent_at) * 1000.0
            return messages.Step(item.id, item.server, False, age_ms)
        if self.told_first or self.answer is None or not self.answer.count:
            return None
        self.told_first = True
        age_ms = (now - self.answer.first_at) * 1000.0
        return messages.Step(item.id, item.server, True, age_ms)
