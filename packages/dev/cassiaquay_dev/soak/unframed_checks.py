"""Checks of answers that end too early and look whole to their callers."""

import collections
import collections.abc
import typing

from . import checks, endless_checks, records, silence_checks, unframed

ENDS_PROCESS = "end of the process"


class Counts(typing.NamedTuple):
    """Counts of complete answers without a length or chunks.

    Attributes
    ----------
    unmarked : int
        All of them.
    short : int
        Those that end early, as the engine closed its connection in order, and whose
        request may not be sent again, or is a plain one.
    agreed : int
        Streams that may be resumed and that all engines asked have ended alike.
    unproven : int
        Streams that may be resumed and were broken off: one engine had cut them, or
        the caller had all events, and the end of the rest had no mark.
    """

    unmarked: int
    short: int
    agreed: int
    unproven: int


def count(recorded: records.Records) -> Counts:
    """Count the answers without a mark of their end."""
    unmarked = 0
    reasons: collections.Counter[str] = collections.Counter()
    for attempt, runs in _served(recorded):
        unmarked += not attempt.is_marked
        if _ends_early(attempt, runs):
            reasons[_judge(recorded, attempt, runs)] += 1
    unproven = 0
    for name, runs in _runs_by_attempt(recorded).items():
        asked = recorded.attempts.get(name)
        if asked is not None and not asked.gave_up:
            unproven += silence_checks.is_unproven(recorded, asked, runs)
    return Counts(unmarked, reasons["short"], reasons["agreed"], unproven)


@checks.safety_checks.register("early")
def find_early_ends(recorded: records.Records) -> collections.abc.Iterator[str]:
    """Find answers that end early and look whole.

    The only exceptions have neither a length nor chunks, and the engine has closed the
    connection in order while its process went on: answers to requests that may not be
    sent again, plain answers, and streams that every engine that could be asked has
    ended after the same event.
    """
    for attempt, runs in _served(recorded):
        if not _ends_early(attempt, runs):
            continue
        if _judge(recorded, attempt, runs):
            continue
        forms = [f"{run.engine} {_form_of(recorded, run)}".strip() for run in runs]
        yield (
            f"{attempt.name} ({attempt.kind}) at {attempt.daemon} ended as complete "
            f"{'with' if attempt.is_marked else 'without'} a mark after "
            f"{len(attempt.answer)} bytes, {attempt.event_count} events, "
            f"runs at {forms}"
        )


def _runs_by_attempt(recorded: records.Records) -> dict[str, list[records.Run]]:
    """Return the runs that engines began to work on."""
    runs: dict[str, list[records.Run]] = collections.defaultdict(list)
    for run in recorded.runs:
        if run.executed:
            runs[run.request.attempt].append(run)
    return runs


def _served(
    recorded: records.Records,
) -> collections.abc.Iterator[tuple[records.Attempt, list[records.Run]]]:
    """Yield the complete answers with success, each with its runs."""
    runs = _runs_by_attempt(recorded)
    for name, attempt in recorded.attempts.items():
        if attempt.is_served and name in runs:
            yield attempt, runs[name]


def _ends_early(attempt: records.Attempt, runs: list[records.Run]) -> bool:
    answer = checks.sound_answer(attempt, runs)
    begun = _begun_by(attempt, runs)
    if begun is None:
        return False
    expected = checks.expected_answer(begun, attempt)
    return answer != expected and expected.startswith(answer)


def _begun_by(attempt: records.Attempt, runs: list[records.Run]) -> records.Run | None:
    """Return the run that the head of an answer belongs to."""
    seal = attempt.headers.get(silence_checks.SEAL, "")
    for run in runs:
        if run.seal == seal:
            return run
    return None


def _judge(
    recorded: records.Records, attempt: records.Attempt, runs: list[records.Run]
) -> str:
    """Return why an answer may look whole that ends early; empty if it may not."""
    if attempt.is_marked:
        return ""
    if attempt.kind != "stream":
        begun = _begun_by(attempt, runs)
        if begun is None:
            return ""
        # A plain body has no parts, so that one may end anywhere.
        is_plain = begun.unframed == unframed.WITHIN and begun.service == "plain"
        is_allowed = is_plain or _is_closed_in_order(recorded, begun)
        return "short" if is_allowed else ""
    if not all(_is_closed_in_order(recorded, run) for run in runs):
        return ""
    if any(run.sent_until != attempt.event_count for run in runs):
        return ""
    is_asked = len({run.engine for run in runs}) >= endless_checks.ATTEMPTS
    if is_asked or not _has_other_engine(recorded, attempt, runs):
        return "agreed"
    return ""


def _is_closed_in_order(recorded: records.Records, run: records.Run) -> bool:
    """Return whether an engine closed in order between two parts and went on."""
    return _form_of(recorded, run) in unframed.IN_ORDER


def _form_of(recorded: records.Records, run: records.Run) -> str:
    """Return the form in which a run's answer has ended."""
    is_open = run.answered_at == run.broke_off_at == records.FOREVER
    if is_open and run.engine in recorded.process_ends:
        return ENDS_PROCESS
    return run.unframed


def _has_other_engine(
    recorded: records.Records, attempt: records.Attempt, runs: list[records.Run]
) -> bool:
    """Return whether an engine that has not run a stream could have been asked."""
    asked = {run.engine for run in runs}
    software = recorded.engine_times[runs[0].engine].software
    for engine in recorded.engine_times.values():
        if engine.engine in asked or engine.service != runs[0].service:
            continue
        if engine.software != software:
            continue
        if endless_checks.is_sound(recorded, attempt, engine.engine):
            return True
    return False
