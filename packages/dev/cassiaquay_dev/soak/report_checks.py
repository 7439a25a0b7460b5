"""Checks of what daemons learn about engines: by their answers, by their absence."""

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
# While daemons are cut off from the engines, this many first tries may fail there, and
# this share of all; more only if they are served this much as often as the others.
CUT_SLACK = 10
CUT_FAILED_SHARE = 1.0 / 50.0
CUT_SERVED_SHARE = 2.0 / 3.0
# Brittle engines of a service that may fall over in one such time: this many, and this
# share of them.
FALL_SLACK = 2
FALL_SHARE = 0.1


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


@checks.timed_checks.register("cut")
def find_unserved_at_cut_daemons(
    recorded: records.Records,
) -> collections.abc.Iterator[str]:
    """Find daemons without a path to the engines whose callers fare far worse."""
    for cut in recorded.cuts:
        since = cut.start + site.CONTACT_SECONDS
        asked = {True: 0, False: 0}
        served = {True: 0, False: 0}
        for attempt in recorded.attempts.values():
            if not since <= attempt.sent_at < cut.end or attempt.status in (401, 404):
                continue
            if attempt.gave_up or attempt.key == "key-c" or attempt.crashing_part:
                continue
            start = attempt.sent_at - site.CONTACT_SECONDS
            if not recorded.is_undisturbed(attempt.daemon, start, attempt.ended_at):
                continue
            is_cut = attempt.daemon in cut.daemons
            asked[is_cut] += 1
            served[is_cut] += attempt.is_served
        failed = asked[True] - served[True]
        if failed <= CUT_SLACK + sum(asked.values()) * CUT_FAILED_SHARE:
            continue
        others = served[False] / max(asked[False], 1)
        if served[True] < asked[True] * others * CUT_SERVED_SHARE:
            yield (
                f"{sorted(cut.daemons)} served {served[True]} of {asked[True]}, "
                f"the others {served[False]} of {asked[False]}"
            )


@checks.timed_checks.register("fell")
def find_fallen_engines(recorded: records.Records) -> collections.abc.Iterator[str]:
    """Find brittle engines that had to reject more requests than they bear."""
    for time in recorded.brittle_times:
        fallen = []
        for fall in recorded.falls:
            if fall.service == time.service and time.start <= fall.at <= time.end:
                fallen.append(fall.engine)
        if len(fallen) > FALL_SLACK + FALL_SHARE * time.engines:
            yield f"{fallen} of {time.engines} brittle engines fell over"
