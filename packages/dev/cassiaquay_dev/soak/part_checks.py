"""Checks of what becomes of prompts with a part that crashes engines, and of others."""

import collections.abc

from . import checks, records, site

# Engines that a part may crash before daemons must refuse the requests with it.
PART_CRASH_LIMIT = 5
# Requests that a share is computed of, at least.
MIN_ASKED = 20
# Sound streams begin at least this share as often as without the part.
MIN_SOUND_SHARE = 0.5


@checks.timed_checks.register("crashing part")
def find_resent_parts(recorded: records.Records) -> collections.abc.Iterator[str]:
    """Find parts that still reach engines after they have crashed five."""
    for part in recorded.crashing_parts:
        runs = _runs_with(recorded, part)
        learned_at = _learned_at(runs)
        late = []
        for run in runs:
            attempt = recorded.attempts[run.request.attempt]
            if run.at <= learned_at + site.CONTACT_SECONDS:
                continue
            start = run.at - site.CONTACT_SECONDS
            if recorded.is_undisturbed(attempt.daemon, start, run.at):
                late.append(run.engine)
        if len(late) > checks.MAX_TOLERATED:
            yield f"{part} reached {late} after it had crashed {PART_CRASH_LIMIT}"


@checks.timed_checks.register("sound")
def find_refused_sound_parts(
    recorded: records.Records,
) -> collections.abc.Iterator[str]:
    """Find sound streams that begin rarely while requests with a bad part come."""
    for part, span in recorded.crashing_parts.items():
        runs = _runs_with(recorded, part)
        if not runs:
            continue
        crashed_at = min(_learned_at(runs), runs[-1].at)
        since = crashed_at + 2 * site.CONTACT_SECONDS
        asked, begun = _count_sound(recorded, since, span.end)
        asked_before, begun_before = _count_sound(recorded, 0.0, span.start)
        if min(asked, asked_before) < MIN_ASKED:
            continue
        if begun / asked < MIN_SOUND_SHARE * begun_before / asked_before:
            before = f"{begun_before} of {asked_before} before"
            yield f"beside {part} {begun} of {asked} sound streams began, {before}"


def _runs_with(recorded: records.Records, part: str) -> list[records.Run]:
    """Return the runs of the requests with a part, by time."""
    found = []
    for run in recorded.runs:
        attempt = recorded.attempts.get(run.request.attempt)
        if attempt is not None and attempt.crashing_part == part and run.executed:
            found.append(run)
    return sorted(found, key=lambda run: run.at)


def _learned_at(runs: list[records.Run]) -> float:
    """Return the time of the fifth crash; FOREVER if there were fewer."""
    times: dict[str, float] = {}
    for run in runs:
        times.setdefault(run.engine, run.at)
    if len(times) < PART_CRASH_LIMIT:
        return records.FOREVER
    return sorted(times.values())[PART_CRASH_LIMIT - 1]


def _count_sound(
    recorded: records.Records, since: float, until: float
) -> tuple[int, int]:
    """Return how many sound streams were sent in a time, and how many began."""
    asked = begun = 0
    for attempt in recorded.attempts.values():
        if attempt.kind != "stream" or attempt.crashing_part or attempt.is_resumed:
            continue
        if not since <= attempt.sent_at < until or attempt.key == "key-c":
            continue
        if attempt.path in recorded.crashing_targets or attempt.status in (401, 404):
            continue
        start = attempt.sent_at - site.CONTACT_SECONDS
        if not recorded.is_undisturbed(attempt.daemon, start, attempt.ended_at):
            continue
        asked += 1
        begun += bool(attempt.answer) and attempt.status == 200
    return asked, begun
