"""Checks of daemons beside engines whose answers do not end."""

import collections
import collections.abc

from ..standins import platform_standins
from . import checks, records, silence_checks, site

# Memory that an instance has.
MEMORY_BYTES = 300_000_000
_ROUTE = platform_standins.route("", "", "")
# A request waits for its first engine until its objective, and as long for another one.
MIN_SECONDS = 2 * _ROUTE["slo-ms"] / 1000.0
ATTEMPTS: int = _ROUTE["attempts"]
# Part of its share of the retry budget that a daemon spends at least before it refuses
# repeats: its window is not aligned with that of this check.
BUDGET_PART = 0.5
# An engine counts as sound from this long after its last fault on.
RETURN_SECONDS: float = _ROUTE["slo-ms"] / 1000.0
# Statuses of a daemon for a request that an engine had and that it has no answer to.
UNANSWERED_STATUSES = (502, 504)


@checks.safety_checks.register("memory")
def find_outgrown_memory(recorded: records.Records) -> collections.abc.Iterator[str]:
    """Find daemons that used more memory than an instance has."""
    for name, used in recorded.memory_peaks.items():
        if used > MEMORY_BYTES:
            yield f"{name} used {used / 1e6:.0f} MB of {MEMORY_BYTES / 1e6:.0f} MB"


@checks.safety_checks.register("flooded")
def find_flooded_requests(recorded: records.Records) -> collections.abc.Iterator[str]:
    """Find repeatable requests that an endless engine had and that got no answer.

    The only exceptions: the caller left early, or had less than MIN_SECONDS when it
    sent the request; all attempts went to engines in trouble; the daemon's share of the
    retry budget was spent; no sound engine of the service and software was there; a
    fault disturbed the daemon; the grace time of a stop ran out.
    """
    runs: dict[str, list[records.Run]] = collections.defaultdict(list)
    for run in recorded.runs:
        runs[run.request.attempt].append(run)
    for name, attempt in recorded.attempts.items():
        had = runs.get(name, [])
        if not attempt.may_repeat or not any(run.is_endless for run in had):
            continue
        if not _is_unanswered(attempt):
            continue
        if attempt.deadline - attempt.sent_at < MIN_SECONDS:
            continue
        if silence_checks.is_daemon_disturbed(recorded, attempt):
            continue
        if silence_checks.is_grace_over(recorded, attempt, had):
            continue
        if _has_used_attempts(recorded, attempt, had):
            continue
        if not _has_sound_engine(recorded, attempt, had):
            continue
        if _is_budget_spent(recorded, attempt, had[0].service):
            continue
        yield silence_checks.describe(attempt, had)


def _is_unanswered(attempt: records.Attempt) -> bool:
    if attempt.complete:
        return attempt.status in UNANSWERED_STATUSES
    return not attempt.gave_up or silence_checks.is_time_over(attempt)


def _has_used_attempts(
    recorded: records.Records, attempt: records.Attempt, runs: list[records.Run]
) -> bool:
    """Return whether all attempts of the route went to engines in trouble."""
    # An endless engine may close a connection with a request that it has not read.
    receivers = recorded.receivers(attempt.name) | {run.engine for run in runs}
    troubled = {run.engine for run in runs if run.is_endless}
    for name in receivers:
        if not is_sound(recorded, attempt, name):
            troubled.add(name)
    return len(troubled) >= ATTEMPTS


def _is_budget_spent(
    recorded: records.Records, attempt: records.Attempt, service: str
) -> bool:
    """Return whether a daemon had no repeats left, or cannot know it.

    It has an equal part of those that the budget allows beside a share of its requests.
    A process does not know how many the one before it has spent.
    """
    since = attempt.ended_at - site.WINDOW_SECONDS
    asked = set()
    for run in recorded.runs:
        other = recorded.attempts.get(run.request.attempt)
        if other is None or other.daemon != attempt.daemon or run.service != service:
            continue
        if since < run.at <= attempt.ended_at:
            asked.add(other.name)
    repeats = sum(len(recorded.receivers(name)) > 1 for name in asked)
    daemons = {name for name, _ in recorded.daemon_starts}
    start = recorded.daemon_starts.get((attempt.daemon, attempt.daemon_start), 0.0)
    known = min((attempt.ended_at - start) / site.WINDOW_SECONDS, 1.0)
    extra = site.RETRY_EXTRA / max(len(daemons), 1) * known
    return repeats + 1 > BUDGET_PART * (site.RETRY_SHARE * len(asked) + extra)


def _has_sound_engine(
    recorded: records.Records, attempt: records.Attempt, runs: list[records.Run]
) -> bool:
    known = recorded.engine_times
    first = known[runs[0].engine]
    for engine in known.values():
        if (engine.service, engine.software) != (first.service, first.software):
            continue
        if is_sound(recorded, attempt, engine.engine):
            return True
    return False


def is_sound(recorded: records.Records, attempt: records.Attempt, name: str) -> bool:
    """Return whether an engine was there, undisturbed, from before a request on."""
    time = recorded.engine_times[name]
    known_since = attempt.sent_at - site.CONTACT_SECONDS
    if time.start > known_since or time.end < attempt.ended_at:
        return False
    start = attempt.sent_at - RETURN_SECONDS
    return recorded.faults.is_undisturbed(name, start, attempt.ended_at)
