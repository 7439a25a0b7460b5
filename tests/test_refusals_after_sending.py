"""Requests that a server may have run are never reported as not run."""

import asyncio

import gateway_fakes as fakes

from cassiaquay_daemon import logs
from cassiaquay_dev.standins import platform_standins as standins
from cassiaquay_dev.standins import raw_servers


def test_request_that_ran_is_not_refused_when_no_server_is_left() -> None:
    """Guards against a 503 that says "not run" for a request whose server was lost."""

    async def work(site: fakes.Site) -> None:
        async def lose_all_servers(
            request: raw_servers.Request, writer: raw_servers.Writer
        ) -> None:
            for key in list(site.store.items):
                if key.startswith("servers/"):
                    site.store.remove(key)
            while site.daemons[0]._servers.count:
                await asyncio.sleep(0.01)
            raw_servers.reset(writer)

        site.answer_first_run_with(lose_all_servers)
        got = await site.ask("/safe/x")
        assert len(site.engines_of(got.attempt)) == 1
        assert got.status == 502
        assert b'"outcome_unknown"' in got.body

    fakes.run(work)


def test_failure_that_is_passed_on_late_names_its_server(monkeypatch) -> None:
    """Guards against an end of a request that names a server which never had it."""
    ended: list[object] = []

    def record(name: str, **fields: object) -> None:
        if name == "ended":
            ended.append(fields["server"])

    async def work(site: fakes.Site) -> None:
        async def fail_alone(
            request: raw_servers.Request, writer: raw_servers.Writer
        ) -> None:
            for engine in site.engines:
                if not engine.runs:
                    await engine.stop()
            await raw_servers.send(writer, 500, b"", standins.seal_headers(request))

        site.answer_first_run_with(fail_alone)
        monkeypatch.setattr(logs, "event", record)
        got = await site.ask("/safe/x")
        [engine] = site.engines_of(got.attempt)
        assert got.status == 500
        assert ended == [f"{engine.name}-plain"]

    fakes.run(work)
