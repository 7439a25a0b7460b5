"""What became of requests, for metrics and the burn report."""

import collections.abc

from .. import clock, reports
from . import progress

Note = collections.abc.Callable[[reports.Passed], None]


class Accounts:
    """Tells whoever listens of each request that has ended."""

    def __init__(self) -> None:
        self._listeners: list[Note] = []

    def on_ended(self, note: Note) -> None:
        """Call ``note`` with each request that has ended."""
        self._listeners.append(note)

    def ended(
        self, known: progress.Progress, outcome: str, code: str, first_seconds: float
    ) -> None:
        """Note the end of a request."""
        call = known.call
        found = reports.Passed(
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
