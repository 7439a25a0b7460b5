"""A stream goes on only at a server that still runs the process that is listed."""

import asyncio
import json

import gateway_fakes as fakes
import pytest

from cassiaquay_daemon import exceptions
from cassiaquay_daemon.decisions import paths
from cassiaquay_daemon.gateway import connections, process_checks
from cassiaquay_dev.standins import platform_standins as standins
from cassiaquay_dev.standins import raw_servers
from cassiaquay_schema import fleet


class _Capacity:
    def __init__(self) -> None:
        self.returned = []

    def return_unused(self, ticket) -> None:
        self.returned.append(ticket)


class _State:
    def __init__(self, software) -> None:
        self.software = software
        self.tried = []
        self.add_tried = self.tried.append
        self.call = type("Call", (), {"parsed": type("P", (), {"attempt": "a"})})


class _Engine(standins.Engine):
    """A server whose reports `report` holds; None for a server that never answers."""

    def __init__(self, report) -> None:
        super().__init__("i-1")
        self.report = report

    async def respond(self, request, writer) -> None:
        if self.report is None:
            await asyncio.sleep(60.0)
        status, body = self.report
        await raw_servers.send(writer, status, body, {})


def _check(report, software="v1", listed_ms=5) -> tuple[_State, _Capacity, bool]:
    """Check a server; return the state, the capacity and whether it was allowed."""

    async def run():
        engine = _Engine(report)
        await engine.start()
        observed = paths.Paths(lambda: {"chat": [engine.address]})
        session = connections.Dialer(observed).create_session()
        capacity, state = _Capacity(), _State(software)
        checks = process_checks.ProcessChecks(session, observed, capacity)
        server = fleet.Server(
            name="i-1", address=engine.address, model="m", started_ms=listed_ms
        )
        ticket = type("Ticket", (), {"server": server})
        try:
            await checks.check(state, ticket)
            is_allowed = True
        except exceptions.NotSent:
            is_allowed = False
        await session.close()
        await engine.stop()
        return state, capacity, is_allowed

    return asyncio.run(run())


@pytest.mark.parametrize(
    ("report", "is_allowed", "tried"),
    [
        ((200, b'{"born": 5, "stage": "mixed"}'), True, []),
        ((200, b'{"born": 6}'), False, ["i-1"]),
        ((200, b'{"stage": "mixed"}'), True, []),
        ((404, b""), True, []),
        ((200, b'{"born": "5"}'), False, []),
        ((200, b"\xff\xfe"), False, []),
        (None, False, []),
    ],
)
def test_stream_goes_on_only_at_a_confirmed_process(report, is_allowed, tried) -> None:
    """Guards against streams that go on at a server that restarted unlisted."""
    state, capacity, was_allowed = _check(report)
    assert (was_allowed, state.tried) == (is_allowed, tried)
    assert len(capacity.returned) == (not is_allowed)


@pytest.mark.parametrize(("software", "listed_ms"), [(None, 5), ("v1", 0)])
def test_servers_are_not_asked_without_need(software, listed_ms) -> None:
    """Guards against a question for each new stream, and for servers without times."""
    assert _check(None, software, listed_ms)[2]


def test_report_does_not_count_as_a_request() -> None:
    """Guards against stand-ins that count questions as runs."""

    async def work(site: fakes.Site) -> None:
        engine = site.engines[0]
        async with site.http.get(f"http://{engine.address}/cassiaquay/report") as reply:
            assert json.loads(await reply.read())["born"] == 1
        assert engine.runs == []

    fakes.run(work, 1)
