"""What became of requests, for metrics and the burn report."""

import collections.abc

from .. import clock, exceptions
from ..operators import reports
from ..platform import headers
from . import progress

Note = collections.abc.Callable[[reports.Finished], None]
# Gets the refusal, the caller's id of the request and its team, which is not known.
RefusalNote = collections.abc.Callable[[exceptions.Refusal, str, str], None]


class Accounting:
    """Tells whoever listens of each request that has ended."""

    def __init__(self) -> None:
        self._listeners: list[Note] = []
        self._refusal_listeners: list[RefusalNote] = []

    def on_ended(self, note: Note) -> None:
        """Call ``note`` with each request that has ended."""
        self._listeners.append(note)

    def on_refused(self, note: RefusalNote) -> None:
        """Call ``note`` with each refusal that came before the request had a route."""
        self._refusal_listeners.append(note)

    def refused(self, facts: headers.Facts, refusal: exceptions.Refusal) -> None:
        """Note a refusal of a request that has no route, key or sound body."""
        for note in self._refusal_listeners:
            note(refusal, facts.attempt, "")

    def abandoned(self, known: progress.Progress) -> None:
        """Note that a caller has gone before its request had ended."""
        lost = (
            exceptions.CallerDisconnectedWhileRunning
            if known.sent
            else exceptions.CallerDisconnected
        )
        self.ended(known, lost.outcome or "not_run", lost.code, 0.0)

    def ended(
        self, known: progress.Progress, outcome: str, code: str, first_seconds: float
    ) -> None:
        """Note the end of a request."""
        call = known.call
        found = reports.Finished(
            call.service,
            f"rank-{call.rank}",
            call.team_name,
            known.server,
            outcome,
            code,
            clock.now() - call.began_at,
            first_seconds,
            call.route.objective_seconds,
            call.facts.prompt_tokens,
            call.facts.output_tokens,
        )
        for note in self._listeners:
            note(found)
