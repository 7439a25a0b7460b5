"""Entries of the owner's table: one request each, with its state and answer."""

import asyncio
import enum
import typing

from .. import clock, exceptions
from ..adapters import answers, backends
from ..decisions import contents
from . import requests


class State(enum.Enum):
    """Stage of a request's lifecycle."""

    WAITING = "waiting"
    DISPATCHED = "dispatched"
    FINISHED = "finished"
    REFUSED = "refused"


class RequestStatus(typing.NamedTuple):
    """Reply to a caller that queries an id, without the answer itself.

    Attributes
    ----------
    outcome, code : str
        Empty until the request has ended.
    state : str
        Value of a State, ``unseen`` or ``unknown``.
    """

    outcome: str
    code: str
    state: str


class Entry:
    """One request in the owner's table.

    Parameters
    ----------
    accepted : Accepted
        The checked request.
    ledger : Ledger, optional
        Counts the bytes that the entry holds.
    """

    def __init__(
        self, accepted: requests.Accepted, ledger: answers.Ledger | None = None
    ):
        ledger = ledger or answers.Ledger()
        self.accepted = accepted
        self.fingerprint = requests.fingerprint(accepted.body)
        self.content = contents.digest(
            [accepted.service, accepted.team], self.fingerprint
        )
        self.answer = answers.Answer(ledger)
        self.refusal: exceptions.Refusal | None = None
        self.state = State.WAITING
        self.accepted_at = clock.now()
        self.deadline = self.accepted_at + accepted.deadline_seconds
        self.ended_at = 0.0
        self.server = ""
        self.shard = ""
        self.figures = backends.TokenUsage(accepted.prompt_tokens, 0, 0)
        self.readers = 0
        self.has_reader = asyncio.Event()
        self.no_reader_since = clock.now()
        self.delivered = False
        self.acknowledged = False
        self.stop_reason: exceptions.Refusal | None = None
        self.task: asyncio.Task[None] | None = None
        self._ledger = ledger
        self._body_bytes = len(accepted.body.prompt) + len(accepted.call.payload)
        ledger.add(self._body_bytes)

    @property
    def ended(self) -> bool:
        """Whether the outcome is final."""
        return self.answer.final is not None

    @property
    def status(self) -> RequestStatus:
        """Status that a caller gets when it queries the outcome."""
        final = self.answer.final
        if final is None:
            return RequestStatus("", "", self.state.value)
        return RequestStatus(final["outcome"], final["code"], self.state.value)

    def attach(self) -> None:
        """Count a reader of the answer."""
        self.readers += 1
        self.has_reader.set()

    def detach(self, delivered: bool) -> None:
        """Remove a reader; ``delivered`` if it was sent the final event."""
        self.readers -= 1
        self.delivered = self.delivered or delivered
        if not self.readers:
            self.has_reader.clear()
            self.no_reader_since = clock.now()

    def drop_body(self) -> None:
        """Free the request's body, which is not needed after its end."""
        self._ledger.add(-self._body_bytes)
        self._body_bytes = 0
        self.accepted = requests.without_body(self.accepted)
