"""Outstanding grants of a keeper: permits, and the dispatches that used them."""

import math
import typing

from cassiaquay_schema import messages


class Running(typing.NamedTuple):
    """An outstanding permit, or a dispatch that an owner reported.

    Attributes
    ----------
    owner, server : str
        Instance that holds it, and backend server.
    tokens : int
        Estimated tokens that it occupies on the server.
    expires_at : float
        Seconds on this clock; each renewal extends it.
    demand : Demand or None
        The granted demand; None when only an owner's renewal reported the dispatch.
    dispatched : bool
        Whether the owner has used the permit.
    cached_tokens : int
        Prompt tokens that the engine's cache probably held at the grant.
    produced : int
        Tokens of the answer at the last renewal.
    produced_at : float
        Time of that renewal; seconds on this clock.
    produced_age : float
        Seconds from the first token to that renewal, as its owner measured them.
    is_charged : bool
        Whether the grant counts against a limit that the server has named.
    sent_at : float
        When its server certainly had it; infinity before the owner has reported the
        dispatch. Seconds on this clock.
    """

    owner: str
    server: str
    tokens: int
    expires_at: float
    demand: messages.Demand | None = None
    dispatched: bool = False
    cached_tokens: int = 0
    produced: int = 0
    produced_at: float = 0.0
    produced_age: float = 0.0
    is_charged: bool = False
    sent_at: float = math.inf

    def note_sent(self, at: float) -> "Running":
        """Return it as dispatched; ``at`` counts if it is the first report of that."""
        return self._replace(dispatched=True, sent_at=min(self.sent_at, at))

    def seconds_until(self, item: messages.Outstanding, now: float) -> float:
        """Return the seconds from the last renewal to the one with ``item``.

        They are the owner's if it reports them. Renewals that wait for a paused keeper
        are read at the same moment: by the keeper's clock, engines would seem to be
        many times slower before the pause and many times faster after it.
        """
        if item.age_ms > 0.0:
            return item.age_ms / 1000.0 - self.produced_age
        return now - self.produced_at
