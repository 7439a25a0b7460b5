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
    """Find repeatable requests that an endless engine had and that nobody answers.

    The only exceptions: the caller left early, or had less than MIN_SECONDS when it
    sent the request; all attempts went to engines in trouble; no sound engine of the
    service and software was there; a fault disturbed the daemon; the grace time of a
    stop ran out.
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
        yield silence_checks.describe(attempt, had)


def _is_unanswered(attempt: records.Attempt) -> bool:
    if attempt.complete:
        return attempt.status in UNANSWERED_STATUSES
    return not attempt.gave_up or silence_checks.is_time_over(attempt)


def _has_used_attempts(
    recorded: records.Records, attempt: records.Attempt, runs: list[records.Run]
) -> bool:
    """Return whether all attempts of the route went to engines in trouble."""
    troubled = set()
    for run in runs:
        if run.is_endless or not _is_sound(recorded, attempt, run.engine):
            troubled.add(run.engine)
    return len(troubled) >= ATTEMPTS


def _has_sound_engine(
    recorded: records.Records, attempt: records.Attempt, runs: list[records.Run]
) -> bool:
    known = recorded.engine_times
    first = known[runs[0].engine]
    for engine in known.values():
        if (engine.service, engine.software) != (first.service, first.software):
            continue
        if _is_sound(recorded, attempt, engine.engine):
            return True
    return False


def _is_sound(recorded: records.Records, attempt: records.Attempt, name: str) -> bool:
    """Return whether an engine was there, undisturbed, from before a request on."""
    time = recorded.engine_times[name]
    known_since = attempt.sent_at - site.CONTACT_SECONDS
    if time.start > known_since or time.end < attempt.ended_at:
        return False
    start = attempt.sent_at - RETURN_SECONDS
    return recorded.faults.is_undisturbed(name, start, attempt.ended_at)
