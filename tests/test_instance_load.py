"""When an instance takes itself for slow: 6.5 times less processor time for 4 s."""

import pytest

from cassiaquay_daemon.decisions import instance_load

PERIOD_SECONDS = 0.1


class _Loop:
    """An event loop whose checks are late as a test wants them."""

    def __init__(self) -> None:
        self.now = 1000.0
        self.load = instance_load.InstanceLoad()

    def run(self, seconds: float, *lags: float) -> bool:
        """Check for some seconds with these lags in turn; return if it is slow."""
        end = self.now + seconds
        number = 0
        while self.now < end:
            lag = lags[number % len(lags)]
            self.now += PERIOD_SECONDS + lag
            self.load.note(self.now, lag)
            number += 1
        return self.load.is_slow


@pytest.mark.parametrize("lag", [0.06, 0.15, 0.3])
def test_lasting_lag_makes_an_instance_slow_and_its_end_fast(lag: float) -> None:
    """Guards against roles that move at once, never, or for ever."""
    loop = _Loop()
    assert not loop.run(5.0, 0.0)
    assert not loop.run(0.3, lag)
    assert loop.run(2.0, lag)
    assert loop.run(2.5, 0.0)
    assert not loop.run(1.0, 0.0)
    assert loop.load.slow_count == 1


@pytest.mark.parametrize("pause", [0.6, 2.0, 20.0])
def test_a_pause_is_not_slowness(pause: float) -> None:
    """Guards against a role that moves after a single pause of the process."""
    loop = _Loop()
    loop.run(5.0, 0.0)
    assert not loop.run(0.1, pause)
    assert not loop.run(0.2, 0.06)
    assert not loop.run(5.0, 0.0)


def test_a_late_check_now_and_then_keeps_no_instance_slow() -> None:
    """Guards against an instance that stays slow on a busy machine."""
    loop = _Loop()
    assert loop.run(2.0, 0.1)
    assert not loop.run(5.0, *[0.0] * 19, 0.06)


def test_lag_that_comes_and_goes_keeps_it_slow() -> None:
    """Guards against a role that moves back and forth every second."""
    loop = _Loop()
    assert loop.run(2.0, 0.1)
    for _ in range(10):
        assert loop.run(1.5, 0.0)
        assert loop.run(0.5, 0.1)
    assert loop.load.slow_count == 1


def test_a_start_is_not_slow_by_its_first_checks() -> None:
    """Guards against a new instance that counts as slow before a second has passed."""
    assert not _Loop().run(0.5, 0.08)
