"""Checks that daemons heed what engines say about themselves in their answers."""

import bisect
import collections.abc

from . import checks, records, site

# Requests that an engine may get within a window while it names a limit.
LIMIT_WINDOW_SECONDS = 4.0
LIMIT_EXCESS = 1.5
LIMIT_SLACK = 5
# Requests that may reach an engine within the time that it asked for, and the time for
# which others may be under way.
BACKOFF_SLACK = 2
IN_FLIGHT_SECONDS = 0.5


@checks.timed_checks.register("limit")
def find_exceeded_limits(recorded: records.Records) -> collections.abc.Iterator[str]:
    """Find engines that got more requests than the limit that they had named."""
    for limit in recorded.limits:
        arrivals = []
        for run in recorded.runs:
            attempt = recorded.attempts.get(run.request.attempt)
            if run.engine != limit.engine or attempt is None:
                continue
            if recorded.is_undisturbed(
                attempt.daemon, run.at - site.CONTACT_SECONDS, run.at
            ):
                arrivals.append(run.at)
        bound = limit.rate * LIMIT_WINDOW_SECONDS * LIMIT_EXCESS + LIMIT_SLACK
        since = limit.start + site.CONTACT_SECONDS
        for first, start in enumerate(arrivals):
            end = start + LIMIT_WINDOW_SECONDS
            if start < since or end > limit.end:
                continue
            count = bisect.bisect(arrivals, end) - first
            if count > bound:
                yield f"{limit.engine} got {count} requests, allowed {bound:.0f}"
                break


@checks.timed_checks.register("departure")
def find_requests_after_departures(
    recorded: records.Records,
) -> collections.abc.Iterator[str]:
    """Find requests to an engine that has reported to the daemon that it leaves."""
    for report in recorded.departures:
        since = report.at + checks.DRAIN_SECONDS
        for run in _runs_after(recorded, report, since, records.FOREVER):
            if recorded.attempts[run.request.attempt].sent_at > since:
                yield f"{report.engine} got {run.request.attempt} after it left"


@checks.timed_checks.register("backoff")
def find_ignored_backoffs(recorded: records.Records) -> collections.abc.Iterator[str]:
    """Find daemons that send requests to an engine within the time it asked for."""
    for report in recorded.backoffs:
        end = report.at + report.seconds
        runs = _runs_after(recorded, report, report.at + IN_FLIGHT_SECONDS, end)
        if len(runs) > BACKOFF_SLACK:
            yield f"{report.engine} got {len(runs)} requests within {report.seconds} s"


def _runs_after(
    recorded: records.Records, report: records.Report, start: float, end: float
) -> list[records.Run]:
    """Return the runs at a report's engine from the undisturbed daemon that got it."""
    runs = []
    for run in recorded.runs:
        attempt = recorded.attempts.get(run.request.attempt)
        if run.engine != report.engine or attempt is None:
            continue
        sender = (attempt.daemon, attempt.daemon_start)
        if sender != (report.daemon, report.daemon_start) or not start <= run.at < end:
            continue
        if recorded.faults.is_undisturbed(attempt.daemon, report.at, run.at):
            runs.append(run)
    return runs
