"""The lab: validation of days, virtual time, reproducibility and ablation."""

import asyncio
import bisect

import msgspec
import pytest

from cassiaquay_daemon import clock
from cassiaquay_daemon.decisions import forecasts, reservations
from cassiaquay_dev.lab import __main__ as lab
from cassiaquay_dev.lab import (
    ablation,
    batching,
    days,
    instances,
    mechanisms,
    simulation,
    traffic,
    virtual_time,
)
from cassiaquay_schema import exceptions
from cassiaquay_schema import settings as settings_schema

SMALL_DAY = msgspec.structs.replace(
    days.read("burst"), instances=8, seconds=2.0, load=0.2
)


def test_timers_fire_in_order_without_real_waiting() -> None:
    order = []

    async def sleep_and_record(seconds: float) -> None:
        await asyncio.sleep(seconds)
        order.append(seconds)

    async def work() -> float:
        started_at = clock.now()
        await asyncio.gather(
            sleep_and_record(7200.0), sleep_and_record(0.5), sleep_and_record(3600.0)
        )
        return clock.now() - started_at

    assert virtual_time.run(work()) == pytest.approx(7200.0)
    assert order == [0.5, 3600.0, 7200.0]


def test_wait_without_timer_raises_and_restores_the_clock() -> None:
    async def work() -> None:
        await asyncio.Event().wait()

    before = clock.use(clock.machine)
    with pytest.raises(RuntimeError, match="no timer"):
        virtual_time.run(work())
    assert clock.use(before) is clock.machine


def test_same_seed_gives_the_same_result() -> None:
    first, second = (virtual_time.run(simulation.play(SMALL_DAY, 3)) for _ in range(2))
    assert first == second
    assert first != virtual_time.run(simulation.play(SMALL_DAY, 4))


def test_every_request_ends_once() -> None:
    found = virtual_time.run(simulation.play(SMALL_DAY, 1))
    names = [item.request.name for item in found.ended]
    assert sorted(names) == sorted(item.name for item in traffic.build(SMALL_DAY, 1))
    assert len(names) == len(set(names)) > 50
    assert simulation.worth(found.ended) > 0.95


def test_engine_generates_one_token_per_request_and_step() -> None:
    """Prefill takes 3 steps of 20 ms: 10 ms base time and 10 ms for a chunk.

    Two events of two tokens each then take four steps of 10 ms.
    """
    settings = days.Engines(
        count=1,
        slots=2,
        step_ms=10.0,
        slot_ms=0.0,
        prompt_tokens_per_ms=1.0,
        chunk_tokens=10,
        event_tokens=2,
        time_factors=[1.0],
    )
    event_times = []

    async def work() -> None:
        engine = batching.Engine(settings, 1.0)
        run = batching.Run(30, 2, lambda: event_times.append(clock.now()))
        engine.submit(run)
        await run.ended

    virtual_time.run(work())
    assert event_times == pytest.approx([0.08, 0.1])


def test_error_names_the_invalid_field_of_a_day(tmp_path, capsys) -> None:
    path = tmp_path / "day.toml"
    text = (days.FOLDER / "burst.toml").read_text()
    path.write_text(text.replace("instances = 195", 'instances = "many"'))
    with pytest.raises(exceptions.SchemaError, match="instances"):
        days.read(str(path))
    with pytest.raises(SystemExit) as ended:
        lab.main(str(path))
    assert ended.value.code == 1
    assert "instances" in capsys.readouterr().err


@pytest.mark.parametrize("path", sorted(days.FOLDER.glob("*.toml")))
def test_included_days_are_valid(path) -> None:
    assert days.read(path.stem).instances > 0


def test_mechanism_is_disabled_only_within_the_context() -> None:
    before = reservations.Reservations.above
    with mechanisms.switched_off(["kept-slots", "overrun"]):
        assert reservations.Reservations.above is not before
        assert forecasts.OVERRUN_SHARE == 0.0
    assert reservations.Reservations.above is before
    assert forecasts.OVERRUN_SHARE > 0.0


@pytest.mark.parametrize("name", mechanisms.mechanisms.names())
def test_day_runs_without_each_mechanism(name: str) -> None:
    task = ablation.Task(SMALL_DAY, 1, (name,))
    assert 0.5 < ablation.play(task) <= 1.0


def test_effect_is_significant_only_outside_its_margin() -> None:
    clear = ablation.effect("clear", [0.9, 0.8, 0.7], [0.8, 0.69, 0.61])
    assert clear.worth == pytest.approx(0.1)
    assert clear.verdict == "worth its place"
    noise = ablation.effect("noise", [0.9, 0.8, 0.7], [0.95, 0.7, 0.7])
    assert noise.verdict == "not told apart from nothing"
    assert ablation.effect("one", [0.9], [0.5]).verdict == noise.verdict
    harmful = ablation.effect("bad", [0.5, 0.51, 0.52], [0.7, 0.71, 0.72])
    assert harmful.verdict == "harmful here"


def test_error_for_unknown_mechanism_lists_known_names(capsys) -> None:
    with pytest.raises(SystemExit):
        lab.main("burst", without="nothing")
    assert "kept-slots" in capsys.readouterr().err


def test_all_instances_keep_to_the_limits_that_engines_name() -> None:
    """Guards against limits that spread too slowly or that a keeper exceeds."""
    day = msgspec.structs.replace(days.read("limits"), instances=24)
    found = virtual_time.run(simulation.play(day, 1))
    [limit] = day.limits
    known_at = found.limits_known_at
    assert len(known_at) == day.instances
    assert known_at[-1] - known_at[0] < 0.1
    settings = settings_schema.Keeper()
    window = settings.limit_window_seconds
    bound = limit.per_second * window * settings.limit_excess + settings.limit_slack
    for number in range(limit.count):
        name = instances.engine_name(number)
        arrivals = [item.at for item in found.arrivals if item.engine == name]
        for first, start in enumerate(arrivals):
            if limit.at + 0.5 <= start and start + window <= limit.at + limit.seconds:
                assert bisect.bisect(arrivals, start + window) - first <= bound
    assert simulation.worth(found.ended) > 0.9


def test_no_instance_sends_requests_to_engines_that_leave() -> None:
    """Guards against departures that spread too slowly or that a keeper ignores."""
    day = msgspec.structs.replace(days.read("departures"), instances=24, seconds=8.0)
    found = virtual_time.run(simulation.play(day, 1))
    [departure] = day.departures
    known_at = found.departures_known_at
    assert len(known_at) == day.instances
    assert known_at[-1] - known_at[0] < 0.1
    for number in range(day.engines.count - departure.count, day.engines.count):
        name = instances.engine_name(number)
        arrivals = [item.at for item in found.arrivals if item.engine == name]
        later = [at for at in arrivals if at >= departure.at]
        assert not later or later[-1] < later[0] + 2.0
    assert simulation.worth(found.ended) > 0.9
