"""What operators see of real requests whose servers are silent."""

import asyncio
import collections.abc
import logging
import pathlib

import gateway_fakes as fakes
import pytest

from cassiaquay_cli import log_lines, trace
from cassiaquay_daemon import logs
from cassiaquay_dev.standins import platform_standins as standins
from cassiaquay_dev.standins import raw_servers

OBJECTIVE_MS = 300
SILENCE_SECONDS = 1.0


class LogFile(logging.Handler):
    """Writes the events of the daemons in a test to a file, as pairs."""

    def __init__(self, path: pathlib.Path):
        super().__init__(logging.INFO)
        self.path = path
        self.setFormatter(
            logs.PairsFormatter(
                "%(created)f %(levelname)s %(message)s",
                rename_fields={
                    "created": "at",
                    "levelname": "level",
                    "message": "event",
                },
                static_fields={"instance": "cq-1"},
            )
        )

    def emit(self, record: logging.LogRecord) -> None:
        """Append one line."""
        with self.path.open("a") as file:
            file.write(self.format(record) + "\n")

    def trace(self, attempt: str) -> trace.Traced:
        """Return the traced request."""
        return trace.trace(attempt, log_lines.read([str(self.path)]))


async def _be_silent(request: raw_servers.Request, writer: raw_servers.Writer) -> None:
    await asyncio.sleep(SILENCE_SECONDS)
    await standins.send_complete_answer(request, writer)


async def _be_silent_for_long(
    request: raw_servers.Request, writer: raw_servers.Writer
) -> None:
    await asyncio.sleep(60.0)


async def _reset_connection(
    request: raw_servers.Request, writer: raw_servers.Writer
) -> None:
    raw_servers.reset(writer)


async def _publish(site: fakes.Site, **overrides: object) -> None:
    routes = [
        standins.route("/safe/", "idempotent", "plain", **overrides),
        standins.route("/book/", "non_idempotent", "plain"),
    ]
    site.store.put("op/config", standins.configuration(2, routes=routes))
    while site.gateway(0)._parts.configured.current.routes.version < 2:
        await asyncio.sleep(0.01)


async def _page(site: fakes.Site) -> str:
    admin = site.daemons[0]._membership.admin_address
    async with site.http.get(f"http://{admin}/metrics") as response:
        return await response.text()


@pytest.fixture(name="log")
def _log(tmp_path) -> collections.abc.Iterator[LogFile]:
    handler = LogFile(tmp_path / "cq-1.log")
    logger = logging.getLogger("cassiaquay")
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    yield handler
    logger.removeHandler(handler)


def test_waits_for_silent_servers_are_counted_and_traced(log) -> None:
    """Guards against waits of which neither the metrics nor the log tell."""

    async def work(site: fakes.Site) -> None:
        await _publish(site, **{"slo-ms": OBJECTIVE_MS, "attempts": 1})
        for engine in site.engines:
            engine.responder = _be_silent
        got = await site.ask("/safe/x")
        assert got.status == 200
        page = await _page(site)
        labels = '{outcome="answered",service="plain"}'
        assert f"cassiaquay_gateway_silence_seconds_count{labels} 1" in page
        labels = '{cause="attempts",service="plain"}'
        assert f"cassiaquay_gateway_kept_servers_total{labels} 1" in page
        found = log.trace(got.attempt)
        assert "then answered after all" in found.cause

    fakes.run(work)


def test_requests_that_end_at_silent_servers_raise_the_alarm(log) -> None:
    """Guards against ended requests whose servers answer others unnoticed."""

    async def work(site: fakes.Site) -> None:
        await _publish(site, **{"slo-ms": OBJECTIVE_MS, "timeout-ms": 800})
        for engine in site.engines:
            engine.responder = _be_silent_for_long
        answers = await asyncio.gather(*[site.ask(f"/safe/{n}") for n in range(3)])
        assert {got.status for got in answers} == {504}
        for engine in site.engines:
            engine.responder = standins.send_complete_answer
        while "answers_given_up" not in await _page(site):
            assert (await site.ask("/safe/y")).status in (200, 503)
        labels = '{outcome="ended",service="plain"}'
        page = await _page(site)
        assert f"cassiaquay_gateway_silence_seconds_count{labels} 3" in page
        found = log.trace(answers[0].attempt)
        assert "had sent nothing for" in found.cause
        assert found.alike is not None and found.alike.request_count == 2

    fakes.run(work)


def test_lost_answers_are_counted_by_the_cause_in_the_log(log) -> None:
    """Guards against a code that stands for several causes in the metrics."""

    async def work(site: fakes.Site) -> None:
        await _publish(site)
        for engine in site.engines:
            engine.responder = _reset_connection
        got = await site.ask("/book/x")
        assert got.status == 502
        cause = "no other server may get it"
        labels = f'{{cause="{cause}",service="plain"}}'
        assert f"cassiaquay_gateway_lost_answers_total{labels} 1" in await _page(site)
        found = log.trace(got.attempt)
        assert cause in found.cause

    fakes.run(work)


def test_caller_that_leaves_a_silent_server_is_counted(log) -> None:
    async def work(site: fakes.Site) -> None:
        await _publish(site, **{"slo-ms": OBJECTIVE_MS})
        for engine in site.engines:
            engine.responder = _be_silent_for_long
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(1.0):
                await site.ask("/safe/x")
        labels = '{outcome="left",service="plain"}'
        line = f"cassiaquay_gateway_silence_seconds_count{labels} 1"
        while line not in await _page(site):
            await asyncio.sleep(0.02)

    fakes.run(work)
