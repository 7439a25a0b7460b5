"""The lab: days are checked, time is virtual, a seed gives the same day again."""

import asyncio

import msgspec
import pytest

from cassiaquay_daemon import clock
from cassiaquay_daemon.decisions import forecasts, reservations
from cassiaquay_dev.lab import __main__ as lab
from cassiaquay_dev.lab import (
    ablation,
    batching,
    days,
    mechanisms,
    simulation,
    traffic,
    virtual_time,
)
from cassiaquay_schema import exceptions

SMALL = msgspec.structs.replace(days.read("burst"), instances=8, seconds=2.0, load=0.2)


def test_hours_pass_at_once_and_timers_keep_their_order() -> None:
    order = []

    async def sleeper(seconds: float) -> None:
        await asyncio.sleep(seconds)
        order.append(seconds)

    async def work() -> float:
        began = clock.now()
        await asyncio.gather(sleeper(7200.0), sleeper(0.5), sleeper(3600.0))
        return clock.now() - began

    assert virtual_time.run(work()) == pytest.approx(7200.0)
    assert order == [0.5, 3600.0, 7200.0]


def test_a_wait_that_nothing_ends_is_said_so() -> None:
    async def work() -> None:
        await asyncio.Event().wait()

    before = clock.use(clock.machine)
    with pytest.raises(RuntimeError, match="no timer"):
        virtual_time.run(work())
    assert clock.use(before) is clock.machine


def test_a_seed_gives_the_same_day_again() -> None:
    first, second = (virtual_time.run(simulation.play(SMALL, 3)) for _ in range(2))
    assert first == second
    assert first != virtual_time.run(simulation.play(SMALL, 4))


def test_every_request_ends_once() -> None:
    found = virtual_time.run(simulation.play(SMALL, 1))
    names = [item.request.name for item in found.ended]
    assert sorted(names) == sorted(item.name for item in traffic.build(SMALL, 1))
    assert len(names) == len(set(names)) > 50
    assert simulation.worth(found.ended) > 0.95


def test_an_engine_gives_every_running_request_a_token_in_each_step() -> None:
    """One prompt is read in 3 steps of 10 ms, 10 ms each for its reading besides.

    Then two events of two tokens each take four steps of 10 ms.
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
    events = []

    async def work() -> None:
        engine = batching.Engine(settings, 1.0)
        run = batching.Run(30, 2, lambda: events.append(clock.now()))
        engine.submit(run)
        await run.ended

    virtual_time.run(work())
    assert events == pytest.approx([0.08, 0.1])


def test_a_day_with_a_wrong_field_is_refused_by_name(tmp_path, capsys) -> None:
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
def test_the_days_that_come_with_it_can_be_read(path) -> None:
    assert days.read(path.stem).instances > 0


def test_a_mechanism_is_off_only_for_as_long_as_asked() -> None:
    before = reservations.Reservations.above
    with mechanisms.switched_off(["kept-slots", "overrun"]):
        assert reservations.Reservations.above is not before
        assert forecasts.OVERRUN_SHARE == 0.0
    assert reservations.Reservations.above is before
    assert forecasts.OVERRUN_SHARE > 0.0


@pytest.mark.parametrize("name", mechanisms.mechanisms.names())
def test_a_day_can_be_played_without_each_mechanism(name: str) -> None:
    task = ablation.Task(SMALL, 1, (name,))
    assert 0.5 < ablation.play(task) <= 1.0


def test_an_effect_is_told_apart_from_nothing_by_its_seeds() -> None:
    clear = ablation.effect("clear", [0.9, 0.8, 0.7], [0.8, 0.69, 0.61])
    assert clear.worth == pytest.approx(0.1)
    assert clear.verdict == "worth its place"
    noise = ablation.effect("noise", [0.9, 0.8, 0.7], [0.95, 0.7, 0.7])
    assert noise.verdict == "not told apart from nothing"
    assert ablation.effect("one", [0.9], [0.5]).verdict == noise.verdict
    harmful = ablation.effect("bad", [0.5, 0.51, 0.52], [0.7, 0.71, 0.72])
    assert harmful.verdict == "harmful here"


def test_an_unknown_mechanism_is_refused_by_name(capsys) -> None:
    with pytest.raises(SystemExit):
        lab.main("burst", without="nothing")
    assert "kept-slots" in capsys.readouterr().err
