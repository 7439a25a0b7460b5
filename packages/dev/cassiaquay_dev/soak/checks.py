"""What must hold, told from what callers and engines saw.

Checks in `always` hold whatever happens. Those in `in_touch` have time bounds, which
bind daemons that were left alone for a while; on a machine that is too busy to keep
them they say nothing about the code.
"""

import collections
import collections.abc
import typing

from cassiaquay_schema import registry

from . import callers, engines, records, site

Check = collections.abc.Callable[[records.Records], collections.abc.Iterator[str]]
always: registry.Registry[Check] = registry.Registry("check")
in_touch: registry.Registry[Check] = registry.Registry("timed check")

MOST_ENGINES = 2
DEADLINE_SLACK = 0.5
ROLLBACK_SECONDS = 0.25
DRAIN_SECONDS = 2.0
LATE_SECONDS = 0.5
# A request that crosses the close of its connection has not been taken.
CROSSING_SECONDS = 0.2
FEW = 3
# Engines that a request crashes before it must be refused.
CRASHES = 3
# After the faults, and this long for recovery, so many must be served.
RECOVER_SECONDS = 5.0
LEAST_SERVED = 0.9


def _runs_by_attempt(seen: records.Records) -> dict[str, list[records.Run]]:
    found: dict[str, list[records.Run]] = collections.defaultdict(list)
    for run in seen.runs:
        found[run.request.attempt].append(run)
    return found


def _executed(runs: list[records.Run]) -> list[records.Run]:
    return [run for run in runs if run.executed]


@always.register("twice")
def twice(seen: records.Records) -> collections.abc.Iterator[str]:
    """Find requests that ran twice and must not."""
    for name, runs in _runs_by_attempt(seen).items():
        attempt = seen.attempts.get(name)
        if attempt is None or attempt.may_repeat:
            continue
        executed = _executed(runs)
        if len(executed) > 1:
            yield f"{name} ({attempt.kind}) ran at {[run.engine for run in executed]}"


@always.register("refused")
def refused(seen: records.Records) -> collections.abc.Iterator[str]:
    """Find requests that ran, then or later, after an answer that they had not."""
    runs = _runs_by_attempt(seen)
    for name, attempt in seen.attempts.items():
        if attempt.may_repeat or attempt.status not in callers.NOT_RUN:
            continue
        if _executed(runs.get(name, [])):
            yield f"{name} ({attempt.kind}) was answered {attempt.status} and ran"


@always.register("unasked")
def unasked(seen: records.Records) -> collections.abc.Iterator[str]:
    """Engines get what callers sent, for the team whose key it was."""
    for run in seen.runs:
        request = run.request
        attempt = seen.attempts.get(request.attempt)
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


@always.register("mixed")
def mixed(seen: records.Records) -> collections.abc.Iterator[str]:
    """Find good answers that are not an engine's whole answer to the request."""
    yield from seen.unasked_bytes
    runs = _runs_by_attempt(seen)
    for name, attempt in seen.attempts.items():
        if attempt.status != 200:
            continue
        seal = attempt.headers.get("cassiaquay-response-seal", "")
        sealed = [run for run in runs.get(name, []) if run.seal == seal]
        if not sealed or sealed[0].status != 200:
            yield f"{name} has a seal {seal!r} that no engine gave it"
            continue
        if not attempt.complete:
            continue
        if attempt.answer not in _whole_answers(sealed[0], name):
            yield f"{name} got another body than {seal!r} stands for"


def _whole_answers(run: records.Run, name: str) -> list[bytes]:
    if run.service == "plain":
        return [engines.body_of(run.seal)]
    events = [engines.event_of(name, number) for number in range(engines.EVENTS)]
    return [b"".join(events)]


@always.register("order")
def order(seen: records.Records) -> collections.abc.Iterator[str]:
    """Find streams, broken ones too, with events missing, twice or out of order."""
    for name, attempt in seen.attempts.items():
        if attempt.status != 200 or attempt.kind not in ("stream", "string"):
            continue
        events = [engines.event_of(name, number) for number in range(engines.EVENTS)]
        if not b"".join(events).startswith(attempt.answer):
            yield f"{name} got events out of order: {attempt.answer[-200:]!r}"


@always.register("engines")
def engines_tried(seen: records.Records) -> collections.abc.Iterator[str]:
    """No attempt goes to more engines than its route allows."""
    for name, runs in _runs_by_attempt(seen).items():
        tried = {run.engine for run in runs}
        if len(tried) > MOST_ENGINES:
            yield f"{name} went to {sorted(tried)}"


@always.register("repeats")
def repeats(seen: records.Records) -> collections.abc.Iterator[str]:
    """Repeats stay below a share of the requests and a little."""
    for service in ("plain", "chat"):
        first: list[float] = []
        again: list[float] = []
        known: set[str] = set()
        for run in seen.runs:
            if run.service != service:
                continue
            (again if run.request.attempt in known else first).append(run.at)
            known.add(run.request.attempt)
        for end in again:
            since = end - site.WINDOW_SECONDS - 2.0
            spent = sum(1 for at in again if since < at <= end)
            asked = sum(1 for at in first if since - site.WINDOW_SECONDS < at <= end)
            if spent > site.RETRY_SHARE * asked + site.RETRY_EXTRA:
                yield f"{service} got {spent} repeats for {asked} requests"
                break


@always.register("quota")
def quota(seen: records.Records) -> collections.abc.Iterator[str]:
    """Find windows in which the team with little ran more than it may."""
    spent: list[tuple[float, float]] = []
    counted: set[str] = set()
    for run in seen.runs:
        attempt = seen.attempts.get(run.request.attempt)
        if attempt is None or attempt.key != "key-c" or not run.executed:
            continue
        if attempt.name in counted:
            # Limits are for requests: a repeat at another engine is no second one.
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


@always.register("own ends")
def own_ends(seen: records.Records) -> collections.abc.Iterator[str]:
    """No daemon ends by itself."""
    yield from seen.own_ends


def _versions(
    seen: records.Records, attempt: records.Attempt, runs: list[records.Run]
) -> set[int] | None:
    """Return the versions by which an attempt may have been handled; None for any."""
    path = "/" + attempt.path.split("/")[1] + "/"
    found = set()
    executed = _executed(runs)
    for number, version in enumerate(seen.changes):
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


@always.register("denied")
def denied(seen: records.Records) -> collections.abc.Iterator[str]:
    """Nothing runs, and nothing is denied, that no configuration ever asked for."""
    runs = _runs_by_attempt(seen)
    for name, attempt in seen.attempts.items():
        if attempt.status in (400, 413, 431):
            yield f"{name} was denied as {attempt.status}"
        if _versions(seen, attempt, runs.get(name, [])) == set():
            yield f"{name} {attempt.path} {attempt.key}: {attempt.status} by no version"


@in_touch.register("configuration")
def configuration(seen: records.Records) -> collections.abc.Iterator[str]:
    """Find requests handled by a version that should be out of force."""
    runs = _runs_by_attempt(seen)
    for name, attempt in seen.attempts.items():
        found = _versions(seen, attempt, runs.get(name, []))
        if not found:
            continue
        due = -1
        for number, version in enumerate(seen.changes):
            if version.at + site.APPLY_SECONDS < attempt.sent_at:
                due = number
        start = attempt.sent_at - site.CONTACT_SECONDS - site.APPLY_SECONDS
        if max(found) >= due or not seen.is_calm(
            attempt.daemon, start, attempt.ended_at
        ):
            continue
        yield f"{name} at {attempt.daemon} was handled by {max(found)}, due {due}"


@in_touch.register("regress")
def regress(seen: records.Records) -> collections.abc.Iterator[str]:
    """No life of a daemon goes back to an older configuration."""
    runs = _runs_by_attempt(seen)
    reached: dict[tuple[str, int], list[tuple[float, int]]] = {}
    attempts = sorted(seen.attempts.values(), key=lambda one: one.sent_at)
    for attempt in attempts:
        found = _versions(seen, attempt, runs.get(attempt.name, []))
        if not found:
            continue
        mine = reached.setdefault((attempt.daemon, attempt.life), [])
        for at, version in mine:
            if at + ROLLBACK_SECONDS < attempt.sent_at and max(found) < version:
                yield f"{attempt.name} at {attempt.daemon}: back to {max(found)}"
                break
        mine.append((attempt.ended_at, min(found)))


@in_touch.register("draining")
def draining(seen: records.Records) -> collections.abc.Iterator[str]:
    """Find work that reached an engine too long after it began to leave."""
    for run in seen.runs:
        left_at = seen.leaving.get(run.engine)
        attempt = seen.attempts.get(run.request.attempt)
        if left_at is None or attempt is None:
            continue
        late = run.at - left_at - DRAIN_SECONDS
        start = left_at - site.CONTACT_SECONDS
        if late > 0.0 and seen.is_calm(attempt.daemon, start, run.at):
            yield f"{attempt.name} reached {run.engine} {late:.2f} s late"


@in_touch.register("lost")
def lost(seen: records.Records) -> collections.abc.Iterator[str]:
    """No request that was taken is dropped, also by a daemon that stops."""
    runs = _runs_by_attempt(seen)
    found = []
    for name, attempt in seen.attempts.items():
        if attempt.complete or attempt.gave_up or not attempt.daemon:
            continue
        start = attempt.sent_at - site.CONTACT_SECONDS
        if not seen.faults.is_calm(attempt.daemon, start, attempt.ended_at):
            continue
        mine = _executed(runs.get(name, []))
        if any(run.harmed for run in mine):
            continue
        if not all(_engine_calm(seen, run, attempt) for run in mine):
            continue
        if mine or attempt.ended_at - attempt.sent_at > CROSSING_SECONDS:
            found.append(f"{name} at {attempt.daemon} was dropped, {len(mine)} runs")
    if len(found) > FEW:
        yield from found


def _engine_calm(
    seen: records.Records, run: records.Run, attempt: records.Attempt
) -> bool:
    return seen.faults.is_calm(run.engine, run.at - 1.0, attempt.ended_at)


@in_touch.register("deadline")
def deadline(seen: records.Records) -> collections.abc.Iterator[str]:
    """Engines are not handed more time than the caller has."""
    for run in seen.runs:
        attempt = seen.attempts.get(run.request.attempt)
        if attempt is None:
            continue
        handed = float(run.request.headers["cassiaquay-deadline-ms"]) / 1000.0
        over = run.at + handed - attempt.deadline
        start = attempt.sent_at - site.CONTACT_SECONDS
        # What a harmed link held up was handed on in time.
        if not seen.faults.is_calm(run.engine, start, run.at):
            continue
        if over > DEADLINE_SLACK and seen.is_calm(attempt.daemon, start, run.at):
            yield f"{attempt.name} was handed {over:.2f} s too much"


@in_touch.register("gone")
def gone(seen: records.Records) -> collections.abc.Iterator[str]:
    """Nothing is sent to an engine for a caller that has left."""
    late = []
    for run in seen.runs:
        attempt = seen.attempts.get(run.request.attempt)
        if attempt is None or not attempt.gave_up:
            continue
        start = attempt.sent_at - site.CONTACT_SECONDS
        if run.at > attempt.ended_at + LATE_SECONDS and seen.is_calm(
            attempt.daemon, start, run.at
        ):
            late.append(f"{attempt.name} reached {run.engine} after its caller left")
    if len(late) > FEW:
        yield from late


@in_touch.register("crashing")
def crashing(seen: records.Records) -> collections.abc.Iterator[str]:
    """Find requests that are sent on after they have crashed three engines."""
    for path in sorted(seen.crashing):
        runs = [run for run in seen.runs if run.request.target == path]
        crashes = _executed(runs)
        if len(crashes) < CRASHES:
            continue
        since = crashes[CRASHES - 1].at + site.CONTACT_SECONDS
        late = []
        for run in runs:
            attempt = seen.attempts.get(run.request.attempt)
            if attempt is None or run.at <= since:
                continue
            if seen.is_calm(attempt.daemon, run.at - site.CONTACT_SECONDS, run.at):
                late.append(run.engine)
        if len(late) > FEW:
            yield f"{path} reached {late} after it had crashed {CRASHES} engines"


@in_touch.register("recovered")
def recovered(seen: records.Records) -> collections.abc.Iterator[str]:
    """After the faults have ended, requests are served again."""
    since = seen.calm_from + RECOVER_SECONDS
    asked = served = 0
    for attempt in seen.attempts.values():
        if attempt.sent_at < since or attempt.sent_at == records.FOREVER:
            continue
        if attempt.gave_up or attempt.status in (401, 404) or attempt.key == "key-c":
            continue
        if attempt.path in seen.crashing:
            continue
        asked += 1
        served += attempt.is_served
    if asked and served < LEAST_SERVED * asked:
        yield f"{served} of {asked} requests were served after the faults"


class Finding(typing.NamedTuple):
    """One thing that must not be."""

    check: str
    text: str


def run(seen: records.Records, timed: bool) -> list[Finding]:
    """Return what was found."""
    found = []
    registries = [always, in_touch] if timed else [always]
    for checks in registries:
        for name in checks.names():
            for text in checks.get(name)(seen):
                found.append(Finding(name, text))
    return found
