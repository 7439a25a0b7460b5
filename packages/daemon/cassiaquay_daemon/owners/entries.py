"""One request in the owner's table."""

import asyncio
import enum
import typing

from .. import clock, exceptions
from ..adapters import answers, backends
from ..decisions import contents
from . import requests


class State(enum.Enum):
    """Where a request is."""

    WAITING = "waiting"
    DISPATCHED = "dispatched"
    FINISHED = "finished"
    REFUSED = "refused"


class Told(typing.NamedTuple):
    """What a caller is told of an id without its answer.

    Attributes
    ----------
    outcome, code : str
        Empty while the request is under way.
    state : str
        A state, ``unseen`` or ``unknown``.
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
        Counts the bytes that it holds.
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
        self.read = asyncio.Event()
        self.unread_since = clock.now()
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
    def told(self) -> Told:
        """What a caller is told that asks for the outcome."""
        final = self.answer.final
        if final is None:
            return Told("", "", self.state.value)
        return Told(final["outcome"], final["code"], self.state.value)

    def attach(self) -> None:
        """Count a reader of the answer."""
        self.readers += 1
        self.read.set()

    def detach(self, delivered: bool) -> None:
        """Count a reader as gone; ``delivered`` when it was sent the final event."""
        self.readers -= 1
        self.delivered = self.delivered or delivered
        if not self.readers:
            self.read.clear()
            self.unread_since = clock.now()

    def drop_body(self) -> None:
        """Let go of the request's own bytes; nothing needs them after its end."""
        self._ledger.add(-self._body_bytes)
        self._body_bytes = 0
        self.accepted = requests.without_body(self.accepted)
