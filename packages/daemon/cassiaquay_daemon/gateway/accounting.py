"""What became of requests, for metrics and the burn report."""

import collections.abc

from .. import clock, exceptions
from ..operators import reports
from ..platform import headers
from . import progress

EndedListener = collections.abc.Callable[[reports.Finished], None]
# Gets the refusal, the caller's id of the request and its team, which is not known.
RefusedListener = collections.abc.Callable[[exceptions.Refusal, str, str], None]


class Accounting:
    """Tells whoever listens of each request that has ended."""

    def __init__(self) -> None:
        self._listeners: list[EndedListener] = []
        self._refusal_listeners: list[RefusedListener] = []

    def on_ended(self, note: EndedListener) -> None:
        """Call ``note`` with each request that has ended."""
        self._listeners.append(note)

    def on_refused(self, note: RefusedListener) -> None:
        """Call ``note`` with each refusal that came before the request had a route."""
        self._refusal_listeners.append(note)

    def record_refused(
        self, parsed: headers.ParsedHeaders, refusal: exceptions.Refusal
    ) -> None:
        """Note a refusal of a request that has no route, key or sound body."""
        for note in self._refusal_listeners:
            note(refusal, parsed.attempt, "")

    def record_abandoned(self, state: progress.RequestState) -> None:
        """Note that a caller has gone before its request had ended."""
        lost = (
            exceptions.CallerGoneRunning
            if state.may_have_run
            else exceptions.CallerGone
        )
        self.record_ended(state, lost.outcome or "not_run", lost.code, 0.0)

    def record_ended(
        self,
        state: progress.RequestState,
        outcome: str,
        code: str,
        first_seconds: float,
    ) -> None:
        """Note the end of a request."""
        call = state.call
        found = reports.Finished(
            call.service,
            f"rank-{call.rank}",
            call.team_name,
            state.server,
            outcome,
            code,
            clock.now() - call.began_at,
            first_seconds,
            call.route.objective_seconds,
            call.parsed.prompt_tokens,
            call.parsed.output_tokens,
        )
        for note in self._listeners:
            note(found)
