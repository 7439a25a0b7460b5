"""Requests that a server may have run are never reported as not run."""

import asyncio

import gateway_fakes as fakes

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
