"""The lab: days are checked, time is virtual, a seed gives the same day again."""

import asyncio

import msgspec
import pytest

from cassiaquay_daemon import clock
from cassiaquay_dev.lab import __main__ as lab
from cassiaquay_dev.lab import batching, days, played, traffic, virtual_time
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
    first, second = (virtual_time.run(played.play(SMALL, 3)) for _ in range(2))
    assert first == second
    assert first != virtual_time.run(played.play(SMALL, 4))


def test_every_request_ends_once() -> None:
    found = virtual_time.run(played.play(SMALL, 1))
    names = [item.request.name for item in found.ended]
    assert sorted(names) == sorted(item.name for item in traffic.build(SMALL, 1))
    assert len(names) == len(set(names)) > 50
    assert lab.worth(found.ended) > 0.95


def test_an_engine_gives_every_running_request_a_token_in_each_step() -> None:
    """One prompt is read in 3 steps of 10 ms, 10 ms each for its reading besides.

    Then two events of two tokens each take four steps of 10 ms.
    """
    settings = batching.EngineSettings("e", 2, 10.0, 0.0, 1.0, 10, 2, 1.0)
    events = []

    async def work() -> None:
        engine = batching.Engine(settings)
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
