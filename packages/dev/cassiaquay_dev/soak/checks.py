"""Invariants, checked on the records of callers and engines.

The checks in `safety_checks` hold under every fault. Those in `timed_checks` have time
bounds, which hold only for daemons that were undisturbed for a while; on a machine that
is too busy to keep the bounds, their findings do not prove a fault of the code.
"""

import collections
import collections.abc
import typing

from cassiaquay_schema import registry

from . import callers, engines, records, site

Check = collections.abc.Callable[[records.Records], collections.abc.Iterator[str]]
safety_checks: registry.Registry[Check] = registry.Registry("check")
timed_checks: registry.Registry[Check] = registry.Registry("timed check")

MAX_ENGINES_PER_ATTEMPT = 2
DEADLINE_SLACK_SECONDS = 0.5
ROLLBACK_SECONDS = 0.25
DRAIN_SECONDS = 2.0
DISCONNECT_SLACK_SECONDS = 0.5
# A request whose connection closes this soon was not accepted: the daemon closed the
# connection while the request was on its way.
CROSSING_SECONDS = 0.2
# Lags of the soak's event loop count until this long before and after a request.
LAG_MARGIN_SECONDS = 1.0
# Number of findings that some of the timed checks tolerate.
MAX_TOLERATED = 3
# Number of engines that a request may crash before daemons must refuse it.
CRASH_LIMIT = 3
# From this long after the last fault, at least this share of requests must be served.
RECOVERY_SECONDS = 5.0
MIN_SERVED_SHARE = 0.9


def _runs_by_attempt(recorded: records.Records) -> dict[str, list[records.Run]]:
    found: dict[str, list[records.Run]] = collections.defaultdict(list)
    for run in recorded.runs:
        found[run.request.attempt].append(run)
    return found


def _executed(runs: list[records.Run]) -> list[records.Run]:
    return [run for run in runs if run.executed]


@safety_checks.register("twice")
def find_double_runs(recorded: records.Records) -> collections.abc.Iterator[str]:
    """Find requests that ran twice although they must not be repeated."""
    for name, runs in _runs_by_attempt(recorded).items():
        attempt = recorded.attempts.get(name)
        if attempt is None or attempt.may_repeat:
            continue
        executed = _executed(runs)
        if len(executed) > 1:
            yield f"{name} ({attempt.kind}) ran at {[run.engine for run in executed]}"


@safety_checks.register("refused")
def find_refused_runs(recorded: records.Records) -> collections.abc.Iterator[str]:
    """Find requests that ran although their answer says that they never will."""
    runs = _runs_by_attempt(recorded)
    for name, attempt in recorded.attempts.items():
        if attempt.may_repeat or attempt.status not in callers.NOT_RUN:
            continue
        if _executed(runs.get(name, [])):
            yield f"{name} ({attempt.kind}) was answered {attempt.status} and ran"


@safety_checks.register("unasked")
def find_altered_requests(recorded: records.Records) -> collections.abc.Iterator[str]:
    """Find requests at engines that no caller sent like this, or for another team."""
    for run in recorded.runs:
        request = run.request
        attempt = recorded.attempts.get(request.attempt)
        if attempt is None:
            yield f"nobody sent {request.attempt!r}"
            continue
        sent = ("POST", attempt.path, attempt.body)
        if (request.method, request.target, request.body) != sent:
            yield f"{attempt.name} was changed: {request.method} {request.target}"
        if request.headers.get("cassiaquay-tenant") != site.TEAMS[attempt.key]:
            yield f"{attempt.name} ran for another team"
        if "api-key" in request.headers:
            yield f"the key of {attempt.name} was passed on"


@safety_checks.register("mixed")
def find_mixed_answers(recorded: records.Records) -> collections.abc.Iterator[str]:
    """Find 200 answers that are not an engine's complete answer to the request."""
    yield from recorded.protocol_errors
    runs = _runs_by_attempt(recorded)
    for name, attempt in recorded.attempts.items():
        if attempt.status != 200:
            continue
        seal = attempt.headers.get("cassiaquay-response-seal", "")
        sealed = [run for run in runs.get(name, []) if run.seal == seal]
        if not sealed or sealed[0].status != 200:
            yield f"{name} has a seal {seal!r} that no engine gave it"
            continue
        answer = sound_answer(attempt, runs.get(name, []))
        expected = expected_answer(sealed[0], attempt)
        # The check `early` judges a part without a mark of its end.
        is_part = not attempt.is_marked and expected.startswith(answer)
        if attempt.complete and answer != expected and not is_part:
            yield f"{name} got another body than {seal!r} stands for"


def sound_answer(attempt: records.Attempt, runs: list[records.Run]) -> bytes:
    """Return an answer without versions, and without comments of an endless one."""
    answer = engines.without_versions(attempt.answer)
    if any(run.is_endless for run in runs):
        answer = engines.without_comments(answer)
    return answer


def expected_answer(run: records.Run, attempt: records.Attempt) -> bytes:
    """Return the whole answer to an attempt that the engine of a run began."""
    is_plain = run.service == "plain"
    return engines.body_of(run.seal) if is_plain else _expected_events(attempt)


def _expected_events(attempt: records.Attempt) -> bytes:
    numbers = range(attempt.first_event, engines.EVENT_COUNT)
    return b"".join(engines.event_of(attempt.name, number) for number in numbers)


@safety_checks.register("order")
def find_event_order_errors(recorded: records.Records) -> collections.abc.Iterator[str]:
    """Find streams, also incomplete ones, with missing, repeated or swapped events."""
    runs = _runs_by_attempt(recorded)
    for name, attempt in recorded.attempts.items():
        if attempt.status != 200 or attempt.kind not in ("stream", "string"):
            continue
        answer = sound_answer(attempt, runs.get(name, []))
        if not _expected_events(attempt).startswith(answer):
            yield f"{name} got events out of order: {attempt.answer[-200:]!r}"


@safety_checks.register("engines")
def find_excess_engines(recorded: records.Records) -> collections.abc.Iterator[str]:
    """Find attempts that went to more engines than their route allows."""
    for name, runs in _runs_by_attempt(recorded).items():
        tried = {run.engine for run in runs}
        if len(tried) > MAX_ENGINES_PER_ATTEMPT:
            yield f"{name} went to {sorted(tried)}"


@safety_checks.register("repeats")
def find_excess_repeats(recorded: records.Records) -> collections.abc.Iterator[str]:
    """Find services with more repeats than the retry budget allows."""
    for service in ("plain", "chat"):
        first_run_times: list[float] = []
        repeat_times: list[float] = []
        known_attempts: set[str] = set()
        for run in recorded.runs:
            if run.service != service:
                continue
            (
                repeat_times
                if run.request.attempt in known_attempts
                else first_run_times
            ).append(run.at)
            known_attempts.add(run.request.attempt)
        for end in repeat_times:
            since = end - site.WINDOW_SECONDS - 2.0
            spent = sum(1 for at in repeat_times if since < at <= end)
            asked = sum(
                1 for at in first_run_times if since - site.WINDOW_SECONDS < at <= end
            )
            if spent > site.RETRY_SHARE * asked + site.RETRY_EXTRA:
                yield f"{service} got {spent} repeats for {asked} requests"
                break


@safety_checks.register("quota")
def find_quota_excess(recorded: records.Records) -> collections.abc.Iterator[str]:
    """Find a window in which the team `small` got more tokens than its quota allows."""
    spent: list[tuple[float, float]] = []
    counted: set[str] = set()
    for run in recorded.runs:
        attempt = recorded.attempts.get(run.request.attempt)
        if attempt is None or attempt.key != "key-c" or not run.executed:
            continue
        if attempt.name in counted:
            # The quota counts requests, so a repeat at another engine is free.
            continue
        counted.add(attempt.name)
        counts = run.request.headers.get("cassiaquay-token-counts", "")
        tokens = sum(int(part) for part in counts.split(",") if part)
        spent.append((run.at, float(tokens or site.PLAIN_TOKENS)))
    allowed = site.SMALL_RATE * site.WINDOW_SECONDS + site.SMALL_BURST
    allowed = allowed * (1.0 + site.EXCESS) + site.SLACK
    for end, _ in spent:
        found = sum(n for at, n in spent if end - site.WINDOW_SECONDS < at <= end)
        if found > allowed:
            yield f"the small team got {found:.0f} tokens of {allowed:.0f}"
            return


@safety_checks.register("own ends")
def find_unexpected_exits(recorded: records.Records) -> collections.abc.Iterator[str]:
    """Find daemons that exited although the soak had not stopped them."""
    yield from recorded.unexpected_exits


def _possible_versions(
    recorded: records.Records, attempt: records.Attempt, runs: list[records.Run]
) -> set[int] | None:
    """Return the configuration versions that explain an attempt; None for any."""
    path = "/" + attempt.path.split("/")[1] + "/"
    found = set()
    executed = _executed(runs)
    for number, version in enumerate(recorded.changes):
        service = version.services.get(path)
        key = attempt.key in version.keys
        if executed and key and service == executed[-1].service:
            found.add(number)
        if not executed and attempt.status == 401 and service and not key:
            found.add(number)
        if not executed and attempt.status == 404 and not service:
            found.add(number)
    if executed or attempt.status in (401, 404):
        return found
    return None


@safety_checks.register("denied")
def find_unexplained_answers(
    recorded: records.Records,
) -> collections.abc.Iterator[str]:
    """Find requests that ran or were denied against every configuration version."""
    runs = _runs_by_attempt(recorded)
    for name, attempt in recorded.attempts.items():
        if attempt.status in (400, 413, 431):
            yield f"{name} was denied as {attempt.status}"
        if _possible_versions(recorded, attempt, runs.get(name, [])) == set():
            yield f"{name} {attempt.path} {attempt.key}: {attempt.status} by no version"


@timed_checks.register("configuration")
def find_outdated_versions(recorded: records.Records) -> collections.abc.Iterator[str]:
    """Find requests handled by a configuration version that was already replaced."""
    runs = _runs_by_attempt(recorded)
    for name, attempt in recorded.attempts.items():
        found = _possible_versions(recorded, attempt, runs.get(name, []))
        if not found:
            continue
        due = -1
        for number, version in enumerate(recorded.changes):
            if version.at + site.APPLY_SECONDS < attempt.sent_at:
                due = number
        start = attempt.sent_at - site.CONTACT_SECONDS - site.APPLY_SECONDS
        if max(found) >= due or not recorded.is_undisturbed(
            attempt.daemon, start, attempt.ended_at
        ):
            continue
        yield f"{name} at {attempt.daemon} was handled by {max(found)}, due {due}"


@timed_checks.register("regress")
def find_version_rollbacks(recorded: records.Records) -> collections.abc.Iterator[str]:
    """Find daemons that return to an older configuration without a restart."""
    runs = _runs_by_attempt(recorded)
    reached: dict[tuple[str, int], list[tuple[float, int]]] = {}
    attempts = sorted(recorded.attempts.values(), key=lambda one: one.sent_at)
    for attempt in attempts:
        found = _possible_versions(recorded, attempt, runs.get(attempt.name, []))
        if not found:
            continue
        handled = reached.setdefault((attempt.daemon, attempt.daemon_start), [])
        for at, version in handled:
            if at + ROLLBACK_SECONDS < attempt.sent_at and max(found) < version:
                yield f"{attempt.name} at {attempt.daemon}: back to {max(found)}"
                break
        handled.append((attempt.ended_at, min(found)))


@timed_checks.register("draining")
def find_late_drain_work(recorded: records.Records) -> collections.abc.Iterator[str]:
    """Find requests that reached an engine too long after it began to drain."""
    for run in recorded.runs:
        left_at = recorded.leaving_since.get(run.engine)
        attempt = recorded.attempts.get(run.request.attempt)
        if left_at is None or attempt is None:
            continue
        late_s = run.at - left_at - DRAIN_SECONDS
        start = left_at - site.CONTACT_SECONDS
        if late_s > 0.0 and recorded.is_undisturbed(attempt.daemon, start, run.at):
            yield f"{attempt.name} reached {run.engine} {late_s:.2f} s late"


@timed_checks.register("lost")
def find_dropped_requests(recorded: records.Records) -> collections.abc.Iterator[str]:
    """Find accepted requests without a complete answer, also from stopping daemons."""
    runs = _runs_by_attempt(recorded)
    found = []
    for name, attempt in recorded.attempts.items():
        if attempt.complete or attempt.gave_up or not attempt.daemon:
            continue
        start = attempt.sent_at - site.CONTACT_SECONDS
        if not recorded.faults.is_undisturbed(attempt.daemon, start, attempt.ended_at):
            continue
        own_runs = _executed(runs.get(name, []))
        # The check `silenced` judges those without a mark of their end.
        if any(run.has_engine_fault or run.unframed for run in own_runs):
            continue
        if not all(_is_engine_undisturbed(recorded, run, attempt) for run in own_runs):
            continue
        if own_runs or attempt.ended_at - attempt.sent_at > CROSSING_SECONDS:
            found.append(
                f"{name} at {attempt.daemon} was dropped, {len(own_runs)} runs"
            )
    if len(found) > MAX_TOLERATED:
        yield from found


def _is_engine_undisturbed(
    recorded: records.Records, run: records.Run, attempt: records.Attempt
) -> bool:
    return recorded.faults.is_undisturbed(run.engine, run.at - 1.0, attempt.ended_at)


@timed_checks.register("deadline")
def find_extended_deadlines(recorded: records.Records) -> collections.abc.Iterator[str]:
    """Find requests whose engine was granted more time than the caller has."""
    for run in recorded.runs:
        attempt = recorded.attempts.get(run.request.attempt)
        if attempt is None:
            continue
        handed = float(run.request.headers["cassiaquay-deadline-ms"]) / 1000.0
        over = run.at + handed - attempt.deadline
        start = attempt.sent_at - site.CONTACT_SECONDS
        # A disturbed link delayed the request after the daemon had sent it.
        if not recorded.faults.is_undisturbed(run.engine, start, run.at):
            continue
        if over > DEADLINE_SLACK_SECONDS and recorded.is_undisturbed(
            attempt.daemon, start, run.at
        ):
            waited_s = run.at - recorded.sent_at(run)
            yield (
                f"{attempt.name} was handed {over:.2f} s too much, "
                f"read by the proxy {waited_s:.3f} s before it arrived"
            )


@timed_checks.register("gone")
def find_work_after_disconnect(
    recorded: records.Records,
) -> collections.abc.Iterator[str]:
    """Find requests sent to an engine after their caller has disconnected.

    One that a daemon has sent may arrive later, when its engine wakes; what counts is
    when it reached the proxy before the engine.
    """
    late = []
    for run in recorded.runs:
        attempt = recorded.attempts.get(run.request.attempt)
        if attempt is None or not attempt.gave_up:
            continue
        start = attempt.sent_at - site.CONTACT_SECONDS
        sent_at = recorded.sent_at(run)
        if (
            sent_at > attempt.ended_at + DISCONNECT_SLACK_SECONDS
            and recorded.is_undisturbed(attempt.daemon, start, sent_at)
        ):
            late.append(f"{attempt.name} reached {run.engine} after its caller left")
    if len(late) > MAX_TOLERATED:
        yield from late


@timed_checks.register("crashing")
def find_resent_crashers(recorded: records.Records) -> collections.abc.Iterator[str]:
    """Find requests that still reach engines after they have crashed three."""
    for path in sorted(recorded.crashing_targets):
        runs = [run for run in recorded.runs if run.request.target == path]
        crashes = _executed(runs)
        if len(crashes) < CRASH_LIMIT:
            continue
        since = crashes[CRASH_LIMIT - 1].at + site.CONTACT_SECONDS
        late = []
        for run in runs:
            attempt = recorded.attempts.get(run.request.attempt)
            if attempt is None or run.at <= since:
                continue
            if recorded.is_undisturbed(
                attempt.daemon, run.at - site.CONTACT_SECONDS, run.at
            ):
                late.append(run.engine)
        if len(late) > MAX_TOLERATED:
            yield f"{path} reached {late} after it had crashed {CRASH_LIMIT} engines"


@timed_checks.register("recovered")
def find_missing_recovery(recorded: records.Records) -> collections.abc.Iterator[str]:
    """Find a low share of served requests after the faults have ended."""
    since = recorded.faults_ended_at + RECOVERY_SECONDS
    asked = served = 0
    for attempt in recorded.attempts.values():
        if attempt.sent_at < since or attempt.sent_at == records.FOREVER:
            continue
        if attempt.gave_up or attempt.status in (401, 404) or attempt.key == "key-c":
            continue
        if attempt.path in recorded.crashing_targets or attempt.crashing_part:
            continue
        asked += 1
        served += attempt.is_served
    if asked and served < MIN_SERVED_SHARE * asked:
        yield f"{served} of {asked} requests were served after the faults"


class Finding(typing.NamedTuple):
    """One violation that a check has found.

    Attributes
    ----------
    check : str
        The check.
    text : str
        What it has found.
    lag : float
        Seconds by which the soak's event loop was late at most around the request that
        the text begins with; 0 for other texts.
    """

    check: str
    text: str
    lag: float = 0.0


def run(recorded: records.Records, timed: bool) -> list[Finding]:
    """Run the checks, with `timed` also the timed ones, and return the findings."""
    found = []
    registries = [safety_checks, timed_checks] if timed else [safety_checks]
    for checks in registries:
        for name in checks.names():
            for text in checks.get(name)(recorded):
                found.append(Finding(name, text, _lag_around(recorded, text)))
    return found


def _lag_around(recorded: records.Records, text: str) -> float:
    attempt = recorded.attempts.get(text.partition(" ")[0])
    if attempt is None:
        return 0.0
    start, end = attempt.sent_at, attempt.ended_at
    return recorded.max_lag(start - LAG_MARGIN_SECONDS, end + LAG_MARGIN_SECONDS)
