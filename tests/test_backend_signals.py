"""What backend servers of the own interface say about themselves."""

import asyncio

import aiohttp
import pytest

from cassiaquay_daemon import exceptions
from cassiaquay_daemon.adapters import answers, backends, signals
from cassiaquay_dev.standins import raw_servers
from cassiaquay_schema import fleet

CALL = backends.Call("k", "", "", "", 0, "/p", b"{}")


class Server(raw_servers.RawServer):
    """A server that turns all requests away and says all that it can."""

    async def respond(
        self, request: raw_servers.Request, writer: raw_servers.Writer
    ) -> None:
        """Answer 503."""
        headers = {"Server-Limit": "2.5", "Server-Leaving": "1", "Retry-After": "0.5"}
        await raw_servers.send(writer, 503, b"{}", headers)


@pytest.mark.parametrize("adapter", ["plain-http", "engine-http"])
def test_signals_of_an_answer_are_reported(adapter: str) -> None:
    """Guards against an adapter that reads status and body of an answer only."""
    found = []

    async def work() -> None:
        standin = Server()
        await standin.start()
        server = fleet.Server(name="s-1", address=standin.address)
        async with aiohttp.ClientSession(trace_configs=[backends.tracing()]) as http:
            backend = backends.backends.get(adapter)(http)
            with pytest.raises(exceptions.BackendError):
                await backend.run(
                    server,
                    CALL,
                    answers.Answer(),
                    lambda: None,
                    lambda signal, is_failure: found.append((signal, is_failure)),
                )
        await standin.stop()

    asyncio.run(work())
    expected = signals.Signals(limit=2.5, is_leaving=True, retry_after=0.5)
    assert found == [(expected, True)]
