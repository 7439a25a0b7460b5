"""Schedules of one request at the gateway, and the promises its answer must keep."""

import typing

from cassiaquay_daemon.configured import routing

# Status codes that promise that the request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# What a server does with a request whose bytes reach it.
SERVER_ACTS = [
    "sound",
    "refused",
    "lost",
    "cut",
    "cut_body",
    "silent",
    "declined",
    "deferred",
    "misdirected",
    "failed",
    "busy",
    "late",
    "foreign",
    "invalid",
]
# Of these, those that run the request.
RUNNING_ACTS = {
    "sound",
    "cut",
    "cut_body",
    "silent",
    "failed",
    "busy",
    "late",
    "foreign",
    "invalid",
}
# What a relay does: it sends the request on and passes the answer on, or fails before
# or after that.
RELAY_ACTS = ["sent", "refused", "not_sent", "lost", "broken", "cut", "cut_early"]
KEEPER_ACTS = ["grant", "grant", "shed", "queue", "not_in_force"]
NEVER = float("inf")


class Schedule(typing.NamedTuple):
    """One request and everything that happens to it.

    Attributes
    ----------
    kind : Kind
        Whether it may be repeated.
    attempts : int
        Servers that may get it.
    seconds : float
        Time that its caller has.
    servers : sequence of pairs
        Act of each server, and the time that it takes.
    relays : sequence of str
        Acts of relays.
    is_path_open : bool
        Whether servers are tried without a relay first.
    keeper : sequence of pairs
        Answers to demands, and the time that each takes; after them it grants.
    permit_seconds : float
        Lifetime of permits.
    connect_seconds, delivery_seconds : float
        Time to connect, and from the first byte to the start of the work.
    limit_seconds : float or None
        Wait for the team's limit; None if the limit is reached.
    changed_at, change : float and str
        When a server is "evacuated" or the "route" is removed.
    left_at, is_half_closed : float and bool
        When the caller leaves, and whether it still reads.
    stopped_at : float
        When the grace period of a shutdown ends.
    """

    kind: routing.Kind
    attempts: int = 2
    seconds: float = 3.0
    servers: tuple[tuple[str, float], ...] = (("sound", 0.1),)
    relays: tuple[str, ...] = ()
    is_path_open: bool = True
    keeper: tuple[tuple[str, float], ...] = ()
    permit_seconds: float = 1.0
    connect_seconds: float = 0.01
    delivery_seconds: float = 0.01
    limit_seconds: float | None = 0.0
    changed_at: float = NEVER
    change: str = ""
    left_at: float = NEVER
    is_half_closed: bool = False
    stopped_at: float = NEVER


class Played(typing.NamedTuple):
    """What became of a request.

    Attributes
    ----------
    status : int
        Status that its caller was sent; 0 for none.
    outcome : str
        Outcome by an answer of the gateway itself; empty for one of a server.
    run_count : int
        Times that servers ran it, at any time.
    stale_count : int
        Times that it was sent although the configuration in force forbade it.
    has_left : bool
        Whether its caller left.
    """

    status: int
    outcome: str
    run_count: int
    stale_count: int
    has_left: bool

    def violations(self, schedule: Schedule) -> set[str]:
        """Return the names of the promises that are broken."""
        found = set()
        # Callers of the others repeat them after any failure.
        is_owed = bool(self.outcome) or schedule.kind is routing.Kind.NON_IDEMPOTENT
        is_refused = is_owed and self.status in NOT_RUN_STATUSES
        if self.run_count and (is_refused or self.outcome == "not_run"):
            found.add("refused")
        if self.run_count > 1 and schedule.kind is not routing.Kind.IDEMPOTENT:
            found.add("twice")
        if self.run_count > schedule.attempts:
            found.add("attempts")
        if self.stale_count:
            found.add("stale")
        if not self.status and not self.has_left:
            found.add("unanswered")
        return found
