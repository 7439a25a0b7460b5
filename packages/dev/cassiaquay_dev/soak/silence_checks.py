"""Checks of requests whose engine is silent: daemons wait while they may."""

import collections
import collections.abc

from ..standins import platform_standins
from . import checks, daemons, engines, records, site

SEAL = "cassiaquay-response-seal"
FAILURE_STATUS = 500
ROUTE_TIMEOUT_SECONDS: float = (
    platform_standins.route("", "", "")["timeout-ms"] / 1000.0
)
# A daemon ends a request this long before its time at most: callers name whole
# milliseconds, and its answer needs some to reach them.
DEADLINE_MARGIN_SECONDS = 0.02
# A daemon that stops may break off what an engine works on in this last part of its
# grace time, if the request was sent before it could act on SIGTERM: what it takes
# later ends within the grace time.
LAST_GRACE_SHARE = 1.0 / 6.0
# Time for which a daemon knows that a service marks the ends of its streams.
MARK_SECONDS = 60.0
MAX_SENT_AFTER_STOP_SECONDS = 0.3


@checks.safety_checks.register("silenced")
def find_silenced_requests(recorded: records.Records) -> collections.abc.Iterator[str]:
    """Find requests that an engine had and that end without its whole answer.

    The only exceptions: the caller left, or its deadline or the route's timeout was
    reached; the engine that had the request last broke off, or a fault broke its
    connections, or it failed the rest of a stream, or its end of a stream that another
    engine had cut has no mark; a fault disturbed the daemon; the
    grace time of a stop ran out while the engine was at work. The store's disturbances
    and an engine's silence are none.
    """
    runs: dict[str, list[records.Run]] = collections.defaultdict(list)
    for run in recorded.runs:
        if not run.rejected:
            runs[run.request.attempt].append(run)
    for name, attempt in recorded.attempts.items():
        had = runs.get(name, [])
        if not had or attempt.gave_up or (attempt.complete and SEAL in attempt.headers):
            continue
        if is_time_over(attempt) or is_daemon_disturbed(recorded, attempt):
            continue
        if _has_broken_off(recorded, attempt, had):
            continue
        if _has_failed_midway(attempt, had) or is_unproven(recorded, attempt, had):
            continue
        if is_grace_over(recorded, attempt, had):
            continue
        yield describe(attempt, had)


def _began_at(run: records.Run) -> float:
    return run.at


def _has_failed_midway(attempt: records.Attempt, runs: list[records.Run]) -> bool:
    """Return whether a stream had begun and its last engine answered with a failure.

    No failure can be passed on then, as the head of the answer was that of a success.
    """
    has_begun = attempt.status == 200 and not attempt.complete
    return has_begun and max(runs, key=_began_at).status >= FAILURE_STATUS


def is_unproven(
    recorded: records.Records, attempt: records.Attempt, runs: list[records.Run]
) -> bool:
    """Return whether a stream was broken off at an end that nothing shows to be one.

    Its engine has marked no end, and engines of its service mark those of others, or
    the stream may be resumed and another engine has cut it: a whole rest looks like one
    that is cut as well.
    """
    last = max(runs, key=_began_at)
    if attempt.complete or not last.unframed or last.service != "chat":
        return False
    if _marks_ends(recorded, attempt, last.service):
        return True
    if attempt.kind != "stream":
        return False
    if any(run.has_engine_fault for run in runs if run is not last):
        return True
    if attempt.first_event == engines.EVENT_COUNT:
        # A head without events looks like that of an engine that crashes.
        return True
    start = attempt.sent_at - site.CONTACT_SECONDS
    for name in recorded.receivers(attempt.name) | {run.engine for run in runs}:
        if name == last.engine:
            continue
        if not recorded.breaks.is_undisturbed(name, start, attempt.ended_at):
            return True
    return False


def _marks_ends(
    recorded: records.Records, attempt: records.Attempt, service: str
) -> bool:
    """Return whether engines of a service have marked the ends of recent streams."""
    for run in recorded.runs:
        if run.service != service or run.unframed or run.has_engine_fault:
            continue
        if 0.0 <= attempt.ended_at - run.answered_at < MARK_SECONDS:
            return True
    return False


def describe(attempt: records.Attempt, runs: list[records.Run]) -> str:
    """Return how a request ended, and the engines that had it."""
    engines = []
    for run in runs:
        engines.append(f"{run.engine} {run.endless_kind or run.unframed}".strip())
    seconds = attempt.ended_at - attempt.sent_at
    end = f"with {attempt.status}" if attempt.complete else "broken off"
    return (
        f"{attempt.name} ({attempt.kind}) at {attempt.daemon} ended {end} after "
        f"{seconds:.2f} s, {attempt.deadline - attempt.ended_at:.2f} s early, "
        f"{attempt.event_count} events, runs at {engines}"
    )


def is_time_over(attempt: records.Attempt) -> bool:
    """Return whether a request ended at its deadline or its route's timeout."""
    limit = min(attempt.deadline, attempt.sent_at + ROUTE_TIMEOUT_SECONDS)
    return attempt.ended_at >= limit - DEADLINE_MARGIN_SECONDS


def is_daemon_disturbed(recorded: records.Records, attempt: records.Attempt) -> bool:
    """Return whether a fault disturbed a request's daemon or its callers' link."""
    start = attempt.sent_at - site.CONTACT_SECONDS
    return not recorded.faults.is_undisturbed(attempt.daemon, start, attempt.ended_at)


def _has_broken_off(
    recorded: records.Records, attempt: records.Attempt, runs: list[records.Run]
) -> bool:
    """Return whether an engine broke off, or was cut off, since the last run began.

    Breaks before it have been answered by that run, which has to end well itself.
    """
    last = max(runs, key=_began_at)
    for run in runs:
        if last.at <= run.broke_off_at < records.FOREVER:
            return True
        start = attempt.sent_at - site.CONTACT_SECONDS if run is last else last.at
        if not recorded.breaks.is_undisturbed(run.engine, start, attempt.ended_at):
            return True
    return False


def is_grace_over(
    recorded: records.Records, attempt: records.Attempt, runs: list[records.Run]
) -> bool:
    """Return whether an engine was at work in the last part of a stop's grace time."""
    return any(_is_last_grace(recorded, attempt, run) for run in runs)


def _is_last_grace(
    recorded: records.Records, attempt: records.Attempt, run: records.Run
) -> bool:
    for stop in recorded.planned.overlapping(
        attempt.daemon, attempt.sent_at, attempt.ended_at
    ):
        last_part = stop.start + daemons.GRACE_SECONDS * (1.0 - LAST_GRACE_SHARE)
        if attempt.sent_at > stop.start + MAX_SENT_AFTER_STOP_SECONDS:
            continue
        if min(attempt.ended_at, _delivered_at(recorded, run)) >= last_part:
            return True
    return False


def _delivered_at(recorded: records.Records, run: records.Run) -> float:
    """Return when an engine's whole answer was on its way, after pauses."""
    at = run.answered_at
    for pause in recorded.pauses.overlapping(run.engine, at, at):
        at = max(at, pause.end)
    return at
