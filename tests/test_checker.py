"""Each check of the history checker rejects histories that violate its promise."""

import pytest

from cassiaquay_dev.standins import texts
from cassiaquay_dev.trials import checker, history

VALID_HISTORY = history.History(
    [
        history.Started(0.0, "cq-1", "a"),
        history.InForce(0.5, "cq-1", 1),
        history.Attempted(1.0, "t~1", "call-1", "questions", True),
        history.Attempted(1.0, "t~0", "call-2", "questions", False),
        history.Arrived(1.2, "bookings-1", "t~0~questions", "completed"),
        history.Dispatched(1.1, "cq-1", "t~1", "tutor-1"),
        history.Arrived(1.2, "tutor-1", "t~1~questions", "finished"),
        history.Ended(1.9, "cq-1", "t~1", "completed", "completed"),
        history.OutcomeReported(2.0, "t~1", "completed", "completed"),
        history.Answered(
            2.0, "t~1", "questions", texts.expected_answer("t~1~questions", 3), 3
        ),
        history.OutcomeReported(2.0, "t~2", "not_run", "shed_overload"),
        history.ServerLeaving(3.0, "tutor-1"),
        history.InForce(3.0, "cq-1", 2),
        history.Granted(3.0, "cq-1", "engines#0", "t~1", 0),
        history.Shed(3.1, "cq-1", "engines#0", "t~2", 3, "shed_overload", 1.0),
        history.InstanceLeaving(4.0, "cq-1"),
        history.Stopped(5.0, "cq-1"),
    ]
)

VIOLATIONS: list[tuple[str, list[history.Event]]] = [
    (
        "at_most_one_dispatch",
        [history.Arrived(1.3, "tutor-2", "t~1~questions", "finished")],
    ),
    ("at_most_one_dispatch", [history.Dispatched(1.3, "cq-1", "t~1", "tutor-2")]),
    ("not_run_did_not_run", [history.Arrived(9.0, "tutor-2", "t~2~questions", "")]),
    (
        "not_run_did_not_run",
        [history.OutcomeReported(0.9, "t~1", "not_run", "unknown_id")],
    ),
    ("not_run_did_not_run", [history.Ended(1.5, "cq-1", "t~1", "not_run", "leaving")]),
    (
        "own_whole_answer",
        [
            history.Answered(
                2.0, "t~9", "questions", texts.expected_answer("t~1~questions", 3), 3
            )
        ],
    ),
    (
        "own_whole_answer",
        [
            history.Answered(
                2.0, "t~1", "questions", texts.expected_answer("t~1~questions", 2), 3
            )
        ],
    ),
    (
        "non_idempotent_at_most_once",
        [
            history.Attempted(1.4, "t~3", "call-2", "questions", False),
            history.Arrived(1.5, "tutor-2", "t~3~questions", "finished"),
        ],
    ),
    (
        "nothing_to_leaving_servers",
        [history.Arrived(5.5, "tutor-1", "t~4~questions", "finished")],
    ),
    (
        "planned_stops_cut_nothing",
        [history.Dispatched(3.9, "cq-1", "t~5", "tutor-2")],
    ),
    (
        "planned_stops_cut_nothing",
        [history.Ended(4.5, "cq-1", "t~6", "outcome_unknown", "stopped_while_running")],
    ),
    ("planned_stops_cut_nothing", [history.InstanceLeaving(6.0, "cq-2")]),
    ("configuration_monotone", [history.InForce(3.5, "cq-1", 1)]),
    (
        "configuration_monotone",
        [
            history.InForce(4.0, "cq-2", 2),
            history.Started(6.0, "cq-1", "b"),
            history.InForce(6.1, "cq-1", 1),
        ],
    ),
    (
        "tiers_under_shedding",
        [history.Shed(3.2, "cq-1", "engines#0", "t~8", 1, "shed_overload", 0.5)]
        + [history.Granted(3.0, "cq-1", "engines#0", "t~9", 2)],
    ),
    (
        "tiers_under_shedding",
        [history.Shed(3.2, "cq-1", "engines#0", "t~8", 1, "deadline_infeasible", 0.5)]
        + [history.Granted(3.0, "cq-1", "engines#0", "t~9", 2)],
    ),
]


def test_history_without_violations_passes_all_checks():
    assert checker.check(VALID_HISTORY) == []


@pytest.mark.parametrize(("promise", "events"), VIOLATIONS)
def test_violation_is_reported_by_its_own_check_only(
    promise: str, events: list[history.Event]
) -> None:
    violating = history.History([*VALID_HISTORY.events, *events])
    assert {breach.promise for breach in checker.check(violating)} == {promise}


def test_every_check_has_a_history_that_it_rejects():
    assert {promise for promise, _ in VIOLATIONS} == set(checker.checks.names())
