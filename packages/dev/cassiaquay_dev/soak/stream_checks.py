"""Checks of streams that callers take up again, on what callers have received."""

import collections.abc

from . import checks, engines, records, site

# Streams that callers take up from which on their share is compared with new ones.
MIN_RESUMED = 12
MIN_RESUMED_SHARE = 0.5
# Engines of a stream's version that must serve.
MIN_ENGINES = 2


def joined_streams(recorded: records.Records) -> list[str]:
    """Return the streams with events of several software versions, over all tries."""
    parts: dict[str, list[str]] = {}
    for attempt in recorded.attempts.values():
        if attempt.kind in ("stream", "string"):
            for version in sorted(engines.versions_of(attempt.answer)):
                found = parts.setdefault(attempt.stream, [])
                if not any(part.startswith(f"{version} ") for part in found):
                    found.append(f"{version} by {attempt.daemon}")
    joined = []
    for name, found in sorted(parts.items()):
        if len(found) > 1:
            joined.append(f"{name} ({', '.join(found)})")
    return joined


@checks.safety_checks.register("versions")
def find_mixed_versions(recorded: records.Records) -> collections.abc.Iterator[str]:
    """Find streams with events of several software versions, over all tries."""
    joined = joined_streams(recorded)
    if joined:
        yield f"{len(joined)} streams of several versions, the first {joined[:3]}"


@checks.timed_checks.register("resumed")
def find_streams_that_do_not_go_on(
    recorded: records.Records,
) -> collections.abc.Iterator[str]:
    """Find a low share of resumed streams that get an event, beside that of new ones.

    Only attempts at undisturbed daemons count, and only resumed ones whose version two
    engines serve all the while.
    """
    begun = asked = resumed = resumed_asked = 0
    cut = {run.request.attempt for run in recorded.runs if run.is_unframed_cut}
    for attempt in recorded.attempts.values():
        start = attempt.sent_at - site.CONTACT_SECONDS
        if attempt.kind != "stream" or attempt.path in recorded.crashing_targets:
            continue
        if attempt.crashing_part or attempt.name in cut:
            continue
        if attempt.first_event >= engines.EVENT_COUNT:
            # It was broken off behind its last event.
            continue
        if not recorded.is_undisturbed(attempt.daemon, start, attempt.ended_at):
            continue
        if attempt.key == "key-c" or attempt.status in (401, 404):
            continue
        if not attempt.is_resumed:
            asked += 1
            begun += bool(attempt.answer) and attempt.status == 200
        elif _has_engines(recorded, attempt):
            resumed_asked += 1
            resumed += bool(attempt.answer) and attempt.status == 200
    if resumed_asked < MIN_RESUMED or not asked:
        return
    if resumed / resumed_asked < MIN_RESUMED_SHARE * begun / asked:
        yield f"{resumed} of {resumed_asked} streams went on, {begun} of {asked} began"


def _has_engines(recorded: records.Records, attempt: records.Attempt) -> bool:
    versions = engines.versions_of(recorded.attempts[attempt.stream].answer)
    count = 0
    for engine in recorded.engine_times.values():
        if engine.service != "chat" or engine.software not in versions:
            continue
        if not recorded.faults.is_undisturbed(
            engine.engine, attempt.sent_at - site.CONTACT_SECONDS, attempt.ended_at
        ):
            continue
        since = attempt.sent_at - site.CONTACT_SECONDS
        count += engine.start <= since and engine.end >= attempt.ended_at
    return count >= MIN_ENGINES
