"""Background tasks that meet an unexpected error."""

import asyncio
import logging

import gateway_fakes as fakes
import pytest

from cassiaquay_daemon import logs, supervision
from cassiaquay_daemon.decisions import paths
from cassiaquay_daemon.fleet import configuration, members, renewal, servers
from cassiaquay_daemon.keepers import demands, keeper
from cassiaquay_dev.standins import platform_standins as standins

FAILURES = 3
# What each task calls each time.
STEPS = {
    "pauses": (members.Membership, "note_lag"),
    "renewal": (renewal.Renewal, "_refresh_once"),
    "heartbeats": (members.Membership, "send_heartbeats_once"),
    "keeper": (keeper.Keeper, "tick_once"),
    "leases": (demands.Demands, "renew_once"),
    "progress": (demands.Demands, "_report_progress"),
    "servers": (servers.Servers, "_next_read_at"),
    "probes": (paths.Paths, "seconds_to_probe"),
}


class _Alarms(logging.Handler):
    """Collects the tasks named in `task_failed`."""

    def __init__(self) -> None:
        super().__init__(logging.WARNING)
        self.tasks: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Note a line."""
        if record.getMessage() == "task_failed":
            self.tasks.append(record.__dict__["task"])


@pytest.fixture
def alarms():
    """Yield the alarms of a test."""
    handler = _Alarms()
    logs.add_handler(handler)
    yield handler
    logging.getLogger("cassiaquay").removeHandler(handler)


def _fail_at_first(monkeypatch, owner: type, name: str) -> None:
    usual = getattr(owner, name)
    left = [FAILURES]

    def fail(self, *args):
        if left[0]:
            left[0] -= 1
            raise RuntimeError("injected")
        return usual(self, *args)

    monkeypatch.setattr(owner, name, fail)


@pytest.mark.parametrize("task", STEPS)
def test_instance_goes_on_after_an_error_in_a_background_task(
    task: str, monkeypatch, alarms
) -> None:
    """Guards against a task that ends without a line, in an instance that is ready."""
    _fail_at_first(monkeypatch, *STEPS[task])

    async def work(site: fakes.Site) -> None:
        while alarms.tasks.count(task) < FAILURES:
            assert (await site.ask("/stream/x")).status == 200
            await asyncio.sleep(0.02)
        site.store.put("op/config", standins.configuration(2, tenants=[]))
        for at in range(len(site.daemons)):
            while (await site.ask("/book/x", at=at)).status != 401:
                await asyncio.sleep(0.05)

    fakes.run(work, 2)
    assert alarms.tasks == [task] * FAILURES


def test_message_that_fails_costs_no_link(monkeypatch, alarms) -> None:
    """Guards against heartbeats that stop for one message that cannot be handled."""

    def fail(self, link, message) -> None:
        raise RuntimeError("injected")

    monkeypatch.setattr(configuration.Configuration, "_handle_query", fail)

    async def work(site: fakes.Site) -> None:
        made = site.daemons[0]
        links = set(made._peers.open_links())
        for number in range(2, 5):
            site.store.put("op/config", standins.configuration(number))
            while made._configuration.revision != number:
                await asyncio.sleep(0.02)
        assert set(made._peers.open_links()) == links
        assert len(made._membership.serving()) == len(site.daemons)

    fakes.run(work, 2)
    assert set(alarms.tasks) <= {"message ConfigurationQuery"}


def test_task_that_always_fails_is_not_started_all_the_time(alarms) -> None:
    """Guards against a log that fills with the lines of one task."""

    async def fail() -> None:
        raise RuntimeError("injected")

    async def run() -> None:
        supervisor = supervision.Supervisor()
        supervisor.start("failing", fail)
        await asyncio.sleep(1.0)
        await supervisor.stop()

    asyncio.run(run())
    assert 2 <= len(alarms.tasks) <= 4
