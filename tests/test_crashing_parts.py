"""Prompts with one part that crashes servers, across several daemons."""

import crashing_fakes as crashing
import gateway_fakes as fakes
import pytest

# Requests with the part that may reach servers once all instances can know of it.
MAX_LATE_ARRIVALS = 3
# Sound requests begin at least this share as often as before the crashes.
MIN_SHARE = 0.5


async def _check(site: fakes.Site, load: crashing.Load) -> None:
    servers, callers = await crashing.play(site, load)
    assert servers.crash_times, "no server has crashed"
    learned_at = servers.crash_times[: crashing.CRASHES_TO_LEARN][-1]
    since = learned_at + crashing.CONTACT_SECONDS
    late_count = sum(at > since for at in servers.bad_arrival_times)
    crash_count = len(servers.crash_times)
    assert late_count <= MAX_LATE_ARRIVALS, f"{crash_count} crashes"
    began_at = callers.outcomes[0].sent_at
    before = callers.share_begun(began_at, began_at + load.warm_up_seconds)
    after = callers.share_begun(learned_at + 2 * crashing.CONTACT_SECONDS, float("inf"))
    assert after >= MIN_SHARE * before, f"{crash_count} crashes"
    for made in site.daemons:
        assert made._quarantine.part_count == 1, "sound parts are not held"


def test_prompt_part_that_crashes_servers_is_quarantined_at_all_instances() -> None:
    """Guards against prompts with one crashing part that are sent without end."""
    load = crashing.Load(instances=3, seconds=6.0)
    fakes.run(lambda site: _check(site, load), load.instances)


@pytest.mark.parametrize("instances", [1, 3])
def test_part_is_quarantined_if_answers_end_with_their_connection(instances) -> None:
    """Guards against taking the end of a crashed server's answer for a complete one."""
    load = crashing.Load(instances, seconds=6.0, is_framed=False)
    fakes.run(lambda site: _check(site, load), load.instances)


@pytest.mark.parametrize("instances", [1, 3])
def test_part_is_quarantined_if_crashes_leave_whole_events(instances) -> None:
    """Guards against a part that answers cleared which were cut between two events."""
    whole = b"id: 0\ndata: piece 0\n\n"
    load = crashing.Load(instances, seconds=6.0, is_framed=False, last_bytes=whole)
    fakes.run(lambda site: _check(site, load), load.instances)


@pytest.mark.parametrize("position", [0, 1, 2])
def test_part_is_quarantined_wherever_it_stands(position) -> None:
    """Guards against recognizing a part by what stands before it."""
    load = crashing.Load(1, position, is_reset=True, seconds=6.0)
    fakes.run(lambda site: _check(site, load), load.instances)
