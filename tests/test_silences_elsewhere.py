"""Sound servers that fall silent, as keepers, relays and connections see them."""

import asyncio
import errno
import os

import cut_fakes
import gateway_fakes
import paused_fakes
import policy_fakes as fakes
import pytest

from cassiaquay_dev.standins import platform_standins as standins
from cassiaquay_dev.standins import raw_servers

PAUSE_SECONDS = 1.4
# Requests that wait for the end of the pause are shed when it comes too late for them.
MAX_LATE_SHEDS = 8
# Idle time at which a server closes a connection that it keeps for a second.
CLOSING_SECONDS = 0.9


@pytest.fixture(name="time")
def _time():
    with fakes.Time().used() as time:
        yield time


@pytest.mark.parametrize("is_plain", [False, True])
@pytest.mark.parametrize("count", [2, 3])
def test_servers_that_were_paused_get_their_work_back(time, count, is_plain) -> None:
    """Guards against a pause of a service's servers after which they count as cold."""
    engines = paused_fakes.Engines(time, 60.0, is_plain)
    assert engines.run(3.0).shed == 0
    engines.stop(paused_fakes.SERVERS[:count], PAUSE_SECONDS)
    engines.run(PAUSE_SECONDS)
    after = engines.run(1.0)
    assert after.shed <= MAX_LATE_SHEDS
    assert after.ended >= 55
    assert engines.run(3.0).shed == 0
    assert not engines.bench.shard.cold.cold_servers()


@pytest.mark.parametrize("is_plain", [False, True])
def test_server_that_loses_its_requests_in_a_silence_is_cold(time, is_plain) -> None:
    """Guards against taking a server that crashed and came back for a paused one."""
    engines = paused_fakes.Engines(time, 60.0, is_plain)
    engines.run(3.0)
    engines.stop(paused_fakes.SERVERS, PAUSE_SECONDS)
    engines.run(PAUSE_SECONDS)
    engines.restart("e1")
    engines.run(0.5)
    assert engines.bench.shard.cold.cold_servers() == ["e1"]


def _fall_silent_after(kind: str) -> raw_servers.Respond:
    """Return a responder that writes a part of an answer and then nothing more."""

    async def respond(request: raw_servers.Request, writer: raw_servers.Writer) -> None:
        if kind == "chunked":
            await standins.write_stream_head(request, writer)
            await standins.write_events(request, writer, 2)
        elif kind == "unframed":
            raw_servers.write_head(writer, standins.seal_headers(request))
            writer.write(standins.stream_events(2))
            await writer.drain()
        await asyncio.sleep(gateway_fakes.TIMEOUT_SECONDS)

    return respond


@pytest.mark.parametrize("kind", ["nothing", "chunked", "unframed"])
@pytest.mark.parametrize(
    ("code", "suspects"),
    [(errno.ETIMEDOUT, 0), (errno.EHOSTUNREACH, 0), (errno.ECONNRESET, 1)],
)
def test_connection_on_which_nothing_came_is_no_crash(kind, code, suspects) -> None:
    """Guards against a quarantine of what ran at sound servers behind a cut path."""

    async def work(site: gateway_fakes.Site) -> None:
        site.answer_first_run_with(_fall_silent_after(kind))
        asked = asyncio.create_task(site.ask("/string/x"))
        while not any(engine.requests for engine in site.engines):
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        site.reset_connections(0, error=OSError(code, os.strerror(code)))
        got = await asked
        # What the caller got before must not look complete.
        assert got.complete == (kind == "nothing")
        assert site.daemons[0]._quarantine.suspect_count == suspects

    gateway_fakes.run(work)


class _ClosingServer:
    """Answers of a server that closes connections which were idle for some time.

    A request that arrives on one at that moment is not read.
    """

    def __init__(self, stated: str):
        self._stated = stated
        self._used_at: dict[raw_servers.Writer, float] = {}

    async def respond(
        self, request: raw_servers.Request, writer: raw_servers.Writer
    ) -> None:
        """Answer a request, or close its connection."""
        now = asyncio.get_running_loop().time()
        if now - self._used_at.get(writer, now) > CLOSING_SECONDS:
            writer.close()
            return
        stated = {"Keep-Alive": self._stated}
        pairs = standins.seal_headers(request) | stated
        await raw_servers.send(writer, 200, b"x", pairs)
        self._used_at[writer] = asyncio.get_running_loop().time()


@pytest.mark.parametrize("stated", ["timeout=1", "max=9, Timeout=1"])
def test_connection_is_not_used_when_its_server_may_close_it(stated) -> None:
    """Guards against a request that crosses the close which its server announced."""

    async def work(site: gateway_fakes.Site) -> None:
        site.store.remove("servers/i-2-plain")
        closing = _ClosingServer(stated)
        site.engines[0].responder = closing.respond
        while site.daemons[0]._servers.count != 3:
            await asyncio.sleep(0.02)
        for seconds, count in ((0.2, 1), (CLOSING_SECONDS, 1), (0.05, 2)):
            assert (await site.ask("/book/x")).status == 200
            assert len(closing._used_at) == count
            await asyncio.sleep(seconds)
        assert not site.daemons[0]._quarantine.suspect_count

    gateway_fakes.run(work)


@pytest.mark.parametrize("path", ["/book/x", "/string/x"])
def test_relay_waits_for_a_silent_server_as_its_owner_does(path) -> None:
    """Guards against a second timer on the way that fires before the owner's."""

    async def respond(request: raw_servers.Request, writer: raw_servers.Writer) -> None:
        if path == "/book/x":
            await asyncio.sleep(PAUSE_SECONDS)
            await standins.send_complete_answer(request, writer)
            return
        await standins.write_stream_head(request, writer)
        await standins.write_events(request, writer, 2)
        await asyncio.sleep(PAUSE_SECONDS)
        for number in range(2, standins.EVENT_COUNT):
            data = standins.event(number)
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def work(site: gateway_fakes.Site) -> None:
        for engine in site.engines:
            engine.responder = respond
        with cut_fakes.cut(site, 0):
            got = await site.ask(path)
        assert got.status == 200
        assert got.complete
        assert site.gateway(1)._relay.sent_count == 1
        assert len(site.engines_of(got.attempt)) == 1

    gateway_fakes.run(work, 2)


def _targets(engine: standins.Engine) -> list[str]:
    return [request.target for request in engine.requests]


@pytest.mark.parametrize("path", ["/book/", "/stream/"])
def test_daemons_take_a_paused_server_for_warm(path) -> None:
    """Guards against answers after a silence that do not reach the doubt of a crash."""

    async def work(site: gateway_fakes.Site) -> None:
        released = asyncio.Event()

        async def respond(
            request: raw_servers.Request, writer: raw_servers.Writer
        ) -> None:
            if request.target.endswith("held"):
                await released.wait()
            await standins.send_complete_answer(request, writer)

        for engine in site.engines:
            engine.responder = respond
        cold = {"cold-start-s": 5, "cold-per-s": 4}
        services = [{"name": name} | cold for name in ("chat", "plain")]
        site.store.put("op/config", standins.configuration(2, services=services))
        kept = site.daemons[0]._keeper.cold
        while not kept._terms:
            await asyncio.sleep(0.02)
        held = []
        for _ in range(4):
            held.append(asyncio.create_task(site.ask(f"{path}held")))
            await asyncio.sleep(0.02)
        # Both servers answer after they have got the held requests.
        while not all(f"{path}quick" in _targets(engine) for engine in site.engines):
            await asyncio.gather(*(site.ask(f"{path}quick") for _ in range(4)))
        while not kept.cold_servers():
            await asyncio.sleep(0.02)
        released.set()
        for task in held:
            assert (await task).status == 200
        await asyncio.sleep(0.1)
        assert not kept.cold_servers()

    gateway_fakes.run(work)
