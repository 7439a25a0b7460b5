"""Sound servers that fall silent, as keepers and the own interface see them."""

import policy_fakes as fakes
import pytest
import silence_fakes

PAUSE_SECONDS = 1.4
# Requests that wait for the end of the pause are shed when it comes too late for them.
MAX_LATE_SHEDS = 8


@pytest.fixture(name="time")
def _time():
    with fakes.Time().used() as time:
        yield time


@pytest.mark.parametrize("is_plain", [False, True])
@pytest.mark.parametrize("count", [2, 3])
def test_servers_that_were_paused_get_their_work_back(time, count, is_plain) -> None:
    """Guards against a pause of a service's servers after which they count as cold."""
    engines = silence_fakes.Engines(time, 60.0, is_plain)
    assert engines.run(3.0).shed == 0
    engines.stop(silence_fakes.SERVERS[:count], PAUSE_SECONDS)
    engines.run(PAUSE_SECONDS)
    after = engines.run(1.0)
    assert after.shed <= MAX_LATE_SHEDS
    assert after.ended >= 55
    assert engines.run(3.0).shed == 0
    assert not engines.bench.shard.cold.cold_servers()


@pytest.mark.parametrize("is_plain", [False, True])
def test_server_that_loses_its_requests_in_a_silence_is_cold(time, is_plain) -> None:
    """Guards against taking a server that crashed and came back for a paused one."""
    engines = silence_fakes.Engines(time, 60.0, is_plain)
    engines.run(3.0)
    engines.stop(silence_fakes.SERVERS, PAUSE_SECONDS)
    engines.run(PAUSE_SECONDS)
    engines.restart("e1")
    engines.run(0.5)
    assert engines.bench.shard.cold.cold_servers() == ["e1"]
