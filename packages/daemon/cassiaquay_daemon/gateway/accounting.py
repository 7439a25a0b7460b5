"""Reports the outcome of each request to metrics and the budget burn report."""

import collections.abc

from .. import clock, exceptions
from ..operators import reports, unanswered
from ..platform import headers
from . import progress

EndedListener = collections.abc.Callable[[reports.Finished], None]
# Called with the refusal, the caller's attempt id and an empty team name.
RefusedListener = collections.abc.Callable[[exceptions.Refusal, str, str], None]
SilenceListener = collections.abc.Callable[[reports.Silence], None]
KeptListener = collections.abc.Callable[[reports.Kept], None]
UnansweredListener = collections.abc.Callable[[unanswered.Unanswered], None]


class Accounting:
    """Calls the registered listeners for each request that ends."""

    def __init__(self) -> None:
        self._listeners: list[EndedListener] = []
        self._refusal_listeners: list[RefusedListener] = []
        self._silence_listeners: list[SilenceListener] = []
        self._kept_listeners: list[KeptListener] = []
        self._unanswered_listeners: list[UnansweredListener] = []

    def on_ended(self, listener: EndedListener) -> None:
        """Call ``listener`` for each accepted request that ends."""
        self._listeners.append(listener)

    def on_refused(self, listener: RefusedListener) -> None:
        """Call ``listener`` for each request refused before it had a route."""
        self._refusal_listeners.append(listener)

    def on_silence(self, listener: SilenceListener) -> None:
        """Call ``listener`` for each silence of a server that owed an answer."""
        self._silence_listeners.append(listener)

    def on_kept(self, listener: KeptListener) -> None:
        """Call ``listener`` each time that a silent server could not be replaced."""
        self._kept_listeners.append(listener)

    def on_unanswered(self, listener: UnansweredListener) -> None:
        """Call ``listener`` for each whole request without a complete answer."""
        self._unanswered_listeners.append(listener)

    def record_unanswered(self, ended: unanswered.Unanswered) -> None:
        """Report a request that was read whole and got no complete answer."""
        for listener in self._unanswered_listeners:
            listener(ended)

    def record_silence(self, silence: reports.Silence) -> None:
        """Report how long a server was silent, and how that silence ended."""
        for listener in self._silence_listeners:
            listener(silence)

    def record_kept(self, kept: reports.Kept) -> None:
        """Report why no other server could replace a silent one."""
        for listener in self._kept_listeners:
            listener(kept)

    def record_refused(
        self, parsed: headers.ParsedHeaders, refusal: exceptions.Refusal
    ) -> None:
        """Report a request refused for its route, its key or its body."""
        for listener in self._refusal_listeners:
            listener(refusal, parsed.attempt, "")

    def record_abandoned(self, state: progress.RequestState) -> None:
        """Report a request whose caller disconnected before it ended."""
        lost = (
            exceptions.CallerDisconnectedWhileRunning
            if state.may_have_run
            else exceptions.CallerDisconnected
        )
        self.record_ended(state, lost.outcome or "not_run", lost.code, 0.0)

    def record_ended(
        self,
        state: progress.RequestState,
        outcome: str,
        code: str,
        first_seconds: float,
        cause: str = "",
    ) -> None:
        """Report the end of an accepted request; ``cause`` is a refusal's message."""
        state.end_code = code
        call = state.call
        finished = reports.Finished(
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
            cause,
            state.was_offered,
        )
        for listener in self._listeners:
            listener(finished)
