"""Requests that reach their server by another instance: once at most, and whole."""

import asyncio
import contextlib

import aiohttp
import cut_fakes
import gateway_fakes as fakes
import pytest
import yarl

from cassiaquay_daemon import clock
from cassiaquay_daemon.gateway import relays, service
from cassiaquay_dev.standins import platform_standins as standins
from cassiaquay_dev.standins import raw_servers

OWNER = 0
# Time after which a server may not work for a caller that has left.
GONE_SECONDS = 0.5


def _relay_urls(site: fakes.Site, at: int, token: str = "", software: str = "") -> str:
    """Return the URL of the first server at a daemon's relay."""
    own = site.daemons[OWNER]
    chosen = site.gateway(OWNER)._parts.forwarder._relays
    member = own._membership.find(f"cq-{at + 1}")
    assert member is not None
    target = relays.Target("plain", "i-1-plain", "", software, "/book/x?a=%2F")
    url = chosen.url(member, target)
    return url.replace(url.split("/")[3], token) if token else url


async def _send(site: fakes.Site, url: str, attempt: str) -> aiohttp.ClientResponse:
    headers = {
        "Cassiaquay-Attempt-Id": attempt,
        "Cassiaquay-Expect-Instance": "i-1-plain",
        "Cassiaquay-Deadline-Ms": "2000",
    }
    return await site.http.post(yarl.URL(url, encoded=True), data=b"b", headers=headers)


def test_only_instances_of_the_fleet_may_have_requests_relayed() -> None:
    """Guards against strangers who reach servers past admission."""

    async def work(site: fakes.Site) -> None:
        async with await _send(site, _relay_urls(site, 1, "0" * 32), "a1") as answer:
            assert answer.headers[relays.OUTCOME] == relays.NOT_SENT
        assert not site.engines[0].requests
        async with await _send(site, _relay_urls(site, 1), "a2") as answer:
            assert answer.status == 200
            assert answer.headers[relays.OUTCOME] == relays.SENT
        request = site.engines[0].requests[0]
        assert request.target == "/book/x?a=%2F"
        assert request.body == b"b"
        assert 0 < int(request.headers["cassiaquay-deadline-ms"]) <= 2000

    fakes.run(work, 2)


def test_relay_sends_nothing_to_a_server_of_another_version() -> None:
    """Guards against a detour to a server that was restarted in another version."""

    async def work(site: fakes.Site) -> None:
        url = _relay_urls(site, 1, software="v2")
        async with await _send(site, url, "a1") as answer:
            assert answer.headers[relays.OUTCOME] == relays.NOT_SENT
        assert not site.engines[0].requests

    fakes.run(work, 2)


def test_relayed_request_and_answer_are_unchanged() -> None:
    """Guards against a detour that changes what server or caller get."""

    async def work(site: fakes.Site) -> None:
        direct = await site.ask("/string/x?a=%2F&b", X_Own="kept")
        with cut_fakes.cut(site, OWNER):
            relayed = await site.ask("/string/x?a=%2F&b", X_Own="kept")
        assert relayed.status == direct.status == 200
        assert relayed.body == direct.body == standins.stream_events()
        assert relays.OUTCOME.lower() not in relayed.headers
        assert set(relayed.headers) == set(direct.headers)
        seen = []
        for engine in site.engines:
            seen += engine.requests
        assert len(seen) == 2
        first, second = seen
        assert (first.method, first.target) == (second.method, second.target)
        assert first.body == second.body
        changing = {"cassiaquay-attempt-id", "cassiaquay-deadline-ms"}
        changing.add("cassiaquay-expect-instance")
        for name in set(first.headers) | set(second.headers):
            if name not in changing:
                assert first.headers.get(name) == second.headers.get(name), name

    fakes.run(work, 3)


def test_relay_takes_each_body_that_its_owner_has_taken() -> None:
    """Guards against a relay that has not read the newest bounds of bodies."""

    async def work(site: fakes.Site) -> None:
        configured = site.daemons[1]._configuration
        routes = configured.current.routes
        old_bounds = routes.bounds._replace(body_bytes=1000)
        routes = routes._replace(bounds=old_bounds)
        configured.current = configured.current._replace(routes=routes)
        with cut_fakes.cut(site, OWNER):
            answer = await site.ask("/book/x", body=b"b" * 90_000)
        assert answer.status == 200
        [engine] = site.engines_of(answer.attempt)
        assert len(engine.requests[0].body) == 90_000

    fakes.run(work, 2)


def test_request_that_crashes_servers_behind_relays_is_held() -> None:
    """Guards against a crashing request whose owner does not see the crashes."""

    async def work(site: fakes.Site) -> None:
        async def respond(
            request: raw_servers.Request, writer: raw_servers.Writer
        ) -> None:
            raw_servers.reset(writer)

        for engine in site.engines:
            engine.responder = respond
        with cut_fakes.cut(site, OWNER):
            answer = await site.ask("/book/x")
        assert answer.status == 502
        [suspect] = site.daemons[OWNER]._quarantine._suspects.values()
        assert len(suspect.servers) == 1

    fakes.run(work, 3)


@pytest.mark.parametrize("path", ["/book/x", "/safe/x"])
def test_relay_that_dies_after_sending_leaves_the_outcome_unknown(path: str) -> None:
    """Guards against a second run, or "not run", when the relay's answer is lost."""

    async def work(site: fakes.Site) -> None:
        received = asyncio.Event()

        async def respond(
            request: raw_servers.Request, writer: raw_servers.Writer
        ) -> None:
            received.set()
            await asyncio.sleep(0.2)
            await standins.send_complete_answer(request, writer)

        site.answer_first_run_with(respond)
        with cut_fakes.cut(site, OWNER):
            asking = asyncio.create_task(site.ask(path))
            await received.wait()
            # Both possible relays lose their connections to the owner.
            for at in (1, 2):
                relay_address = site.settings[at].gateway.relay
                site.reset_connections(OWNER, {relay_address})
            answer = await asking
        runs = len(site.engines_of(answer.attempt))
        if path == "/safe/x":
            assert answer.status == 200
            assert runs == 2
        else:
            assert answer.status == 502
            assert runs == 1

    fakes.run(work, 3)


def test_relay_without_a_path_sends_nothing_and_another_one_does() -> None:
    """Guards against circles, and runs counted for what no server received."""

    async def work(site: fakes.Site) -> None:
        with contextlib.ExitStack() as stack:
            for at in (OWNER, 1):
                stack.enter_context(cut_fakes.cut(site, at))
            answers = []
            for _ in range(6):
                answers.append(await site.ask("/book/x"))
        assert {answer.status for answer in answers} == {200}
        for answer in answers:
            assert len(site.engines_of(answer.attempt)) == 1
        assert site.gateway(2)._relay.sent_count >= 6

    fakes.run(work, 3)


def test_request_without_any_path_is_refused_as_not_run() -> None:
    """Guards against a false outcome when neither owner nor relays reach a server."""

    async def work(site: fakes.Site) -> None:
        with contextlib.ExitStack() as stack:
            for at in range(3):
                stack.enter_context(cut_fakes.cut(site, at))
            answer = await site.ask("/book/x")
        assert answer.status == 503
        assert not site.engines_of(answer.attempt)

    fakes.run(work, 3)


def test_server_stops_when_the_caller_of_a_relayed_stream_leaves() -> None:
    """Guards against servers that work on behind a relay for callers that have left."""

    async def work(site: fakes.Site) -> None:
        started = asyncio.Event()

        async def respond(
            request: raw_servers.Request, writer: raw_servers.Writer
        ) -> None:
            await standins.write_stream_head(request, writer)
            await standins.write_events(request, writer, 2)
            started.set()
            await asyncio.sleep(10.0)

        for engine in site.engines:
            engine.responder = respond
        with cut_fakes.cut(site, OWNER):
            asking = asyncio.create_task(site.ask("/string/x"))
            await started.wait()
            asking.cancel()
            left_at = clock.now()
            while not any(engine.aborted_attempts for engine in site.engines):
                await asyncio.sleep(0.01)
        assert clock.now() - left_at < GONE_SECONDS

    fakes.run(work, 3)


def test_relayed_events_arrive_as_they_are_made() -> None:
    """Guards against a relay that buffers a stream."""

    async def work(site: fakes.Site) -> None:
        release = asyncio.Event()

        async def respond(
            request: raw_servers.Request, writer: raw_servers.Writer
        ) -> None:
            await standins.write_stream_head(request, writer)
            await standins.write_events(request, writer, 1)
            await release.wait()
            writer.write(b"0\r\n\r\n")
            await writer.drain()

        for engine in site.engines:
            engine.responder = respond
        front = site.settings[OWNER].gateway.front
        headers = {
            "Host": standins.HOST,
            "Cassiaquay-Attempt-Id": "a1",
            "Api-Key": "key",
        }
        with cut_fakes.cut(site, OWNER):
            async with site.http.post(
                f"http://{front}/string/x", data=b"b", headers=headers
            ) as answer:
                assert await answer.content.readany() == standins.stream_events(1)
                release.set()
                assert await answer.content.readany() == b""

    fakes.run(work, 3)


def test_answer_that_is_cut_behind_a_relay_does_not_look_complete() -> None:
    """Guards against a relay that ends a truncated answer properly."""

    async def work(site: fakes.Site) -> None:
        async def respond(
            request: raw_servers.Request, writer: raw_servers.Writer
        ) -> None:
            await standins.write_stream_head(request, writer)
            await standins.write_events(request, writer, 2)
            raw_servers.reset(writer)

        for engine in site.engines:
            engine.responder = respond
        with cut_fakes.cut(site, OWNER):
            answer = await site.ask("/string/x")
        assert not answer.complete
        assert len(site.engines_of(answer.attempt)) == 1
        while not site.daemons[OWNER]._quarantine.suspect_count:
            await asyncio.sleep(0.01)
        for made in site.daemons:
            for report in made._quarantine._suspects.values():
                assert len(report.servers) == 1, "one crash, reported by the relay"

    fakes.run(work, 3)


def test_paused_relay_sends_nothing() -> None:
    """Guards against requests that a relay sends after it has slept through them."""

    async def work(site: fakes.Site) -> None:
        site.daemons[1]._pauses.hold()
        async with await _send(site, _relay_urls(site, 1), "a1") as answer:
            assert answer.headers[relays.OUTCOME] == relays.NOT_SENT
        assert not site.engines[0].requests
        site.daemons[1]._pauses.release()

    fakes.run(work, 2)


def test_callers_are_directed_to_instances_that_reach_the_servers() -> None:
    """Guards against callers sent to an instance that needs others to serve them."""

    async def addresses(site: fakes.Site, at: int) -> set[str]:
        url = f"http://{site.settings[at].gateway.directory}/cassiaquay/resolve?name=h"
        async with site.http.get(url) as answer:
            return set((await answer.json())["addrs"])

    async def work(site: fakes.Site) -> None:
        fronts = {settings.gateway.front for settings in site.settings}
        cut_front = site.settings[OWNER].gateway.front
        while await addresses(site, 1) != fronts:
            await asyncio.sleep(0.02)
        with cut_fakes.cut(site, OWNER):
            while cut_front in await addresses(site, 1):
                assert (await site.ask("/safe/x", "GET", b"")).status == 200
                await asyncio.sleep(0.02)
            async with site.http.get(
                f"http://{site.settings[OWNER].gateway.ready}/cassiaquay/ready"
            ) as answer:
                assert answer.status == 200, "it serves callers that still come"
        while await addresses(site, 1) != fronts:
            await asyncio.sleep(0.02)

    fakes.run(work, 3)


def test_draining_instance_completes_what_it_relays() -> None:
    """Guards against relayed requests that a planned stop of the relay cuts off."""
    gateway = service.Gateway.__new__(service.Gateway)
    gateway._front = type("Front", (), {"open_count": 0})()
    gateway._relay = type("Relay", (), {"open_count": 1})()
    assert gateway._open_count == 1
