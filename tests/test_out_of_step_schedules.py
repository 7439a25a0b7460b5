"""No schedule around an instance out of step joins a stream of two versions."""

import out_of_step_choices as choices
import out_of_step_instances as instances
import out_of_step_plans as plans
import out_of_step_schedules as schedules
import pytest

SEEDS = 40
KILLED_SEEDS = 30
CALM_SEEDS = 12
# Time after which all instances list a server, and a server is asked for its report.
LISTING_SECONDS = 2.0
SENDING_SECONDS = 1.0
# Seeds of releases that an instance misses; it has joined streams in each of them.
RELEASES = {
    (plans.PAUSE, 0.3): (0, 6),
    (plans.PAUSE, 1.0): (6,),
    (plans.PAUSE, 3.0): (1, 2),
    (plans.PAUSE, 10.0): (2, 6),
    (plans.STORE, 0.3): (0, 1),
    (plans.STORE, 1.0): (0, 1),
    (plans.STORE, 3.0): (1, 2),
    (plans.STORE, 10.0): (1, 6),
    (plans.OTHERS, 0.3): (0, 2),
    (plans.OTHERS, 1.0): (0, 6),
    (plans.OTHERS, 3.0): (1, 2),
    (plans.OTHERS, 10.0): (1, 2),
    (plans.DOMAIN, 0.3): (0, 6),
    (plans.DOMAIN, 1.0): (0, 10),
    (plans.DOMAIN, 3.0): (6,),
    (plans.DOMAIN, 10.0): (1, 2),
    (plans.DEAF, 0.3): (0, 6),
    (plans.DEAF, 1.0): (0, 2),
    (plans.DEAF, 3.0): (6, 7),
    (plans.DEAF, 10.0): (1, 2),
    (plans.MUTE, 0.3): (0, 6),
    (plans.MUTE, 1.0): (0, 6),
    (plans.MUTE, 3.0): (2, 3),
    (plans.MUTE, 10.0): (1, 3),
}


def _joined(plan: plans.Plan) -> list[instances.Outcome]:
    """Return the streams that went on at another version than they began at."""
    outcomes = schedules.play(plan)
    return [item for item in outcomes if item.result == instances.JOINED]


def _refused(plan: plans.Plan) -> list[instances.Outcome]:
    """Return the streams that did not go on although a server could be used."""
    found = []
    for item in schedules.play(plan):
        assert item.result != instances.JOINED
        is_open = item.stream.is_recorded and not item.is_settled
        if item.result == instances.WENT_ON or is_open:
            continue
        since = item.at - LISTING_SECONDS
        if plan.has_usable(item.began_version, since, item.at + SENDING_SECONDS):
            found.append(item)
    return found


@pytest.mark.parametrize("case", RELEASES, ids=lambda case: f"{case[0]}-{case[1]}")
def test_instance_that_missed_a_release_joins_no_stream(
    case: tuple[str, float],
) -> None:
    """Guards against its list's version taken for the only one of the service."""
    for seed in RELEASES[case]:
        assert not _joined(choices.make_release(seed, *case))


@pytest.mark.parametrize("seconds", plans.SECONDS)
def test_request_read_in_the_pass_of_the_wake_up_is_not_joined(seconds: float) -> None:
    """Guards against a list of before the pause, which no timer has checked yet."""
    for seed in range(2):
        plan = choices.make_wake_up(seed, seconds)
        outcomes = schedules.play(plan)
        ended_at = plan.faults[0].ended_at
        assert any(abs(item.at - ended_at) < 1e-9 for item in outcomes)
        assert not [item for item in outcomes if item.result == instances.JOINED]


def test_no_schedule_joins_a_stream() -> None:
    """Guards against streams joined of two versions at any instance."""
    for seed in range(SEEDS):
        assert not _joined(choices.make(seed)), seed


def test_no_schedule_with_killed_instances_joins_a_stream() -> None:
    """Guards against the same where all others answer that they know nothing."""
    for seed in range(KILLED_SEEDS):
        assert not _joined(choices.make_killed(seed)), seed


def test_calm_schedules_refuse_no_stream_of_known_origin() -> None:
    """Guards against refusals while the origin is on record."""
    for seed in range(CALM_SEEDS):
        assert not _refused(choices.make_calm(seed, ("v1", "v2"))), seed


def test_calm_schedules_with_one_version_refuse_no_stream() -> None:
    """Guards against refusals of streams of unknown origin where one version served."""
    for seed in range(CALM_SEEDS):
        plan = choices.make_calm(seed, ("v1",), False, ("join",))
        assert not _refused(plan), seed


def test_streams_of_unknown_origin_are_refused_while_a_server_is_silent_only() -> None:
    """Guards against refusals long after a server has crashed or restarted."""
    for seed in range(CALM_SEEDS):
        plan = choices.make_calm(seed, ("v1",), is_recorded=False)
        refused = [item for item in _refused(plan) if not plan.has_silent(item.at)]
        assert not refused, seed
