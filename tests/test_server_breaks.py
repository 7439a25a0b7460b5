"""Servers that break answers off, as all instances hear of it."""

import policy_fakes as fakes
import test_crash_reports as crashes

from cassiaquay_daemon.fleet import server_breaks

NAMES = crashes.NAMES


def _broken_at(fleet: crashes.Fleet, server: str) -> set[float]:
    return {fleet.reports[name].breaks.broken_at(server) for name in NAMES}


def test_all_instances_hear_of_each_break() -> None:
    """Guards against breaks that are not reported as no request is suspected."""
    with fakes.Time().used() as time:
        fleet = crashes.Fleet()
        # It has completed before, so that it is not the cause.
        fleet.reports["cq-1"].completed("request")
        for _ in range(2):
            fleet.reports["cq-1"].crashed("request", "i-1/1")
            fleet.deliver()
            assert _broken_at(fleet, "i-1") == {time.now}
            assert _broken_at(fleet, "i-2") == {server_breaks.NEVER}
            time.now += 1.0
        assert not any(fleet.held[name].suspect_count for name in NAMES)


def test_one_break_is_passed_on_once() -> None:
    """Guards against messages for each answer that a crash ends, and in circles."""
    with fakes.Time().used():
        fleet = crashes.Fleet()
        fleet.reports["cq-1"].completed("request")
        for _ in range(20):
            fleet.reports["cq-1"].crashed("request", "i-1/1")
        while fleet.flushes:
            fleet.flushes.pop(0)()
        assert len(fleet.queue) == len(NAMES) - 1
        fleet.deliver()
        counts = [fleet.reports[name].breaks.count for name in NAMES]
        assert counts == [20, 1, 1]
        # Answers of the others end with the same crash.
        fleet.reports["cq-2"].completed("other")
        fleet.deliver()
        fleet.reports["cq-2"].crashed("other", "i-1/1")
        assert not fleet.flushes
