"""Callers' plain HTTP, whole path: what callers and servers see, with faults."""

import asyncio

import gateway_fakes as fakes
import pytest

from cassiaquay_dev.standins import platform_standins as standins
from cassiaquay_dev.standins import raw_servers


async def _reset(request: raw_servers.Request, writer: raw_servers.Writer) -> None:
    raw_servers.reset(writer)


async def _silent(request: raw_servers.Request, writer: raw_servers.Writer) -> None:
    await asyncio.sleep(60)


async def _busy(request: raw_servers.Request, writer: raw_servers.Writer) -> None:
    await raw_servers.send(writer, 503, b"", {"Cassiaquay-Not-Executed": "1"})


async def _failing(request: raw_servers.Request, writer: raw_servers.Writer) -> None:
    await raw_servers.send(writer, 500, b"broken", standins.seal_headers(request))


def test_an_answer_comes_through_unchanged() -> None:
    async def work(site: fakes.Site) -> None:
        got = await site.ask("/book/x?a=%2F&b", Cassiaquay_Tenant="other")
        assert (got.status, got.complete) == (200, True)
        assert got.body == b"body of " + got.attempt.encode()
        assert got.headers["cassiaquay-response-seal"] == f"seal-{got.attempt}"
        [engine] = site.engine_of(got.attempt)
        [request] = engine.requests
        assert (request.method, request.target) == ("POST", "/book/x?a=%2F&b")
        assert request.body == b"b"
        assert request.headers["cassiaquay-tenant"] == "blue"
        assert "api-key" not in request.headers
        assert 3000 < int(request.headers["cassiaquay-deadline-ms"]) < 4000

    fakes.run(work)


def test_a_stream_comes_through_event_by_event() -> None:
    async def work(site: fakes.Site) -> None:
        got = await site.ask("/stream/x")
        assert (got.status, got.complete) == (200, True)
        assert got.body == standins.stream_events()

    fakes.run(work)


def test_what_the_configuration_does_not_allow_reaches_no_server() -> None:
    async def work(site: fakes.Site) -> None:
        assert (await site.ask("/nowhere/x")).status == 404
        assert (await site.ask("/book/x", Api_Key="wrong")).status == 401
        assert (await site.ask("/book/x", Host="other.example")).status == 404
        assert (await site.ask("/book/x", body=b"x" * 100_001)).status == 413
        assert not any(engine.requests for engine in site.engines)

    fakes.run(work)


def test_a_booking_whose_answer_is_lost_is_not_sent_again() -> None:
    """The server ran the booking and its connection was reset.

    Sent to the other server it would be made twice; "not run" would be a lie that
    lets the caller send it again. The caller gets 502, which promises nothing.
    """

    async def work(site: fakes.Site) -> None:
        site.let(_reset)
        got = await site.ask("/book/x")
        assert got.status == 502
        assert len(site.engine_of(got.attempt)) == 1

    fakes.run(work)


def test_a_read_whose_answer_is_lost_is_sent_again() -> None:
    async def work(site: fakes.Site) -> None:
        site.let(_reset)
        got = await site.ask("/safe/x", "GET", b"")
        assert got.status == 200
        assert len(site.engine_of(got.attempt)) == 2

    fakes.run(work)


def test_a_kept_connection_that_closes_does_not_repeat_a_booking() -> None:
    """The server has answered on a connection, then resets it under the next request.

    Client libraries send a GET again on their own then. Here GET is the method of a
    route that may not run twice, and the server may have run it.
    """

    async def work(site: fakes.Site) -> None:
        assert (await site.ask("/book/x", "GET", b"")).status == 200
        site.let(_reset)
        got = await site.ask("/book/x", "GET", b"")
        assert got.status == 502
        assert len(site.engine_of(got.attempt)) == 1

    fakes.run(work)


def test_an_answer_of_failure_is_asked_for_elsewhere_where_that_is_allowed() -> None:
    """One server answers with 500; only what may run twice goes to the other one.

    A booking's 500 is its answer and comes through with the server's own bytes.
    """

    async def work(site: fakes.Site) -> None:
        site.let(_failing)
        assert (await site.ask("/safe/x", "GET", b"")).status == 200
        got = await site.ask("/book/x")
        assert (got.status, got.body) == (500, b"broken")
        assert got.headers["cassiaquay-response-seal"] == f"seal-{got.attempt}"
        assert len(site.engine_of(got.attempt)) == 1

    fakes.run(work)


def test_not_run_is_said_only_of_what_has_not_run() -> None:
    """Both servers say that they are full; none of them runs the booking."""

    async def work(site: fakes.Site) -> None:
        for engine in site.engines:
            engine.responder = _busy
        got = await site.ask("/book/x", Cassiaquay_Deadline_Ms="600")
        assert got.status == 503
        assert b'"outcome":"not_run"' in got.body

    fakes.run(work)


def test_a_full_server_is_left_for_another_one() -> None:
    async def work(site: fakes.Site) -> None:
        site.let(_busy)
        assert (await site.ask("/book/x")).status == 200

    fakes.run(work)


def test_a_request_ends_at_its_routes_bound() -> None:
    """The operator bounds the route to 300 ms; the server says nothing for longer."""

    async def work(site: fakes.Site) -> None:
        site.let(_silent)
        got = await site.ask("/short/x")
        assert got.status == 504

    fakes.run(work)


@pytest.mark.parametrize("path", ["/stream/x", "/string/x"])
def test_a_stream_that_breaks_off_goes_on_where_it_may(path: str) -> None:
    """A server dies in the middle of its fourth event.

    The caller has three whole events. A resumable stream goes on behind them at the
    other server, without a gap or a repeat; another one breaks off, and does not look
    whole.
    """

    async def cut(request: raw_servers.Request, writer: raw_servers.Writer) -> None:
        await standins.write_stream_head(request, writer)
        await standins.write_events(request, writer, 3)
        writer.write(b"a\r\nid: 3\ndata")
        await writer.drain()
        await asyncio.sleep(0.05)
        raw_servers.reset(writer)

    async def work(site: fakes.Site) -> None:
        site.let(cut)
        got = await site.ask(path)
        if path == "/stream/x":
            assert (got.body, got.complete) == (standins.stream_events(), True)
            assert len(site.engine_of(got.attempt)) == 2
            [second] = [
                request
                for engine in site.engines
                for request in engine.requests
                if "last-event-id" in request.headers
            ]
            assert second.headers["last-event-id"] == "2"
        else:
            assert not got.complete
            assert standins.stream_events().startswith(got.body)
            assert len(site.engine_of(got.attempt)) == 1

    fakes.run(work)


def test_a_server_that_falls_silent_is_left_in_time() -> None:
    """Two events come, then nothing; the connection stays open.

    A caller waits two seconds and more between events. The stream goes on elsewhere
    before that, and the silent server's connection is closed so that it stops.
    """

    async def mute(request: raw_servers.Request, writer: raw_servers.Writer) -> None:
        await standins.write_stream_head(request, writer)
        await standins.write_events(request, writer, 2)
        await asyncio.sleep(60)

    async def work(site: fakes.Site) -> None:
        site.let(mute)
        got = await site.ask("/stream/x")
        assert (got.body, got.complete) == (standins.stream_events(), True)
        closed = [name for engine in site.engines for name in engine.aborted_attempts]
        assert closed == [got.attempt]

    fakes.run(work)


def test_a_server_that_begins_anew_does_not_join_two_runs() -> None:
    """Asked to go on behind event 1, the other server sends event 0 again."""

    async def cut(request: raw_servers.Request, writer: raw_servers.Writer) -> None:
        await standins.write_stream_head(request, writer)
        await standins.write_events(request, writer, 2)
        raw_servers.reset(writer)

    async def anew(request: raw_servers.Request, writer: raw_servers.Writer) -> None:
        if "last-event-id" not in request.headers:
            await cut(request, writer)
            return
        bare = request._replace(headers={"cassiaquay-attempt-id": request.attempt})
        await standins.write_stream_head(bare, writer)
        await standins.write_events(bare, writer, standins.EVENT_COUNT)
        writer.write(b"0\r\n\r\n")

    async def work(site: fakes.Site) -> None:
        for engine in site.engines:
            engine.responder = anew
        got = await site.ask("/stream/x")
        assert not got.complete
        assert standins.stream_events(2).startswith(got.body)

    fakes.run(work)


def test_a_late_second_answer_reaches_nobody() -> None:
    """A server sends a second answer after a whole one, on the kept connection.

    The next request on that connection would read the other one's answer. Whichever
    connection it takes, it gets its own answer or none.
    """

    async def twice(request: raw_servers.Request, writer: raw_servers.Writer) -> None:
        await standins.send_complete_answer(request, writer)
        await raw_servers.send(writer, 200, b"stray", standins.seal_headers(request))

    async def work(site: fakes.Site) -> None:
        for engine in site.engines:
            engine.responder = twice
        for _ in range(12):
            got = await site.ask("/book/x")
            assert got.status in (200, 502)
            if got.status == 200:
                assert got.body == b"body of " + got.attempt.encode()

    fakes.run(work)


@pytest.mark.parametrize("reset", [True, False])
def test_an_answer_without_length_is_whole_only_at_a_clean_end(reset: bool) -> None:
    """The answer ends with its connection; a reset on the way must not look whole."""

    async def unframed(
        request: raw_servers.Request, writer: raw_servers.Writer
    ) -> None:
        head = "".join(
            f"{k}: {v}\r\n" for k, v in standins.seal_headers(request).items()
        )
        writer.write(f"HTTP/1.1 200 X\r\n{head}\r\npart".encode())
        await writer.drain()
        await asyncio.sleep(0.05)
        if reset:
            raw_servers.reset(writer)
        else:
            writer.close()

    async def work(site: fakes.Site) -> None:
        site.let(unframed)
        got = await site.ask("/book/x")
        if reset:
            assert got.status == 502
        else:
            assert (got.status, got.body, got.complete) == (200, b"part", True)

    fakes.run(work)


def test_bytes_that_are_no_answer_are_not_passed_on() -> None:
    async def garbage(request: raw_servers.Request, writer: raw_servers.Writer) -> None:
        writer.write(b"\x00\x01 what is this\r\n\r\n")
        await writer.drain()

    async def work(site: fakes.Site) -> None:
        site.let(garbage)
        assert (await site.ask("/book/x")).status == 502
        assert (await site.ask("/safe/x", "GET", b"")).status == 200

    fakes.run(work)


@pytest.mark.parametrize("path", ["/stream/x", "/book/x"])
def test_work_for_a_caller_that_has_gone_is_stopped_where_it_may(path: str) -> None:
    """The caller closes its connection while its request runs.

    A stream's server must not work on for nobody. A booking under way is left to its
    end: cut off, it would be half done.
    """

    async def work(site: fakes.Site) -> None:
        for engine in site.engines:
            engine.responder = _silent
        asking = asyncio.create_task(site.ask(path))
        while not any(engine.requests for engine in site.engines):
            await asyncio.sleep(0.01)
        asking.cancel()
        await asyncio.gather(asking, return_exceptions=True)
        if path == "/stream/x":
            while not any(engine.aborted_attempts for engine in site.engines):
                await asyncio.sleep(0.01)
        else:
            await asyncio.sleep(0.3)
            assert not any(engine.aborted_attempts for engine in site.engines)

    fakes.run(work)


def test_a_server_at_a_reused_address_is_not_taken_for_the_old_one() -> None:
    """A server's address belongs to another server now, and the list lags.

    The other one says that it is not meant; the request goes to a right one.
    """

    async def work(site: fakes.Site) -> None:
        site.engines[0].name = "i-9"
        for _ in range(6):
            got = await site.ask("/book/x")
            assert got.status == 200
            assert site.engine_of(got.attempt)[-1] is site.engines[1]

    fakes.run(work)


def test_a_dead_servers_requests_go_elsewhere() -> None:
    """A server has crashed; it is listed for seconds, and nothing listens there."""

    async def work(site: fakes.Site) -> None:
        await site.engines[0].stop()
        for _ in range(6):
            assert (await site.ask("/book/x")).status == 200

    fakes.run(work)


def test_a_server_that_leaves_gets_nothing_new() -> None:
    async def work(site: fakes.Site) -> None:
        site.enlist(site.engines[0], state="draining")
        await _until(lambda: len(_pool(site)) == 1)
        before = len(site.engines[0].requests)
        for _ in range(6):
            assert (await site.ask("/book/x")).status == 200
        assert len(site.engines[0].requests) == before

    fakes.run(work)


def test_a_change_of_routes_and_keys_is_in_force_soon() -> None:
    async def work(site: fakes.Site) -> None:
        teams = [{"name": "blue", "api-keys": ["other"]}]
        routes = [*standins.ROUTES[1:], standins.route("/new/", "idempotent", "plain")]
        changed = standins.configuration(2, routes=routes, tenants=teams)
        site.store.put("op/config", changed)
        await _until(lambda: _routing(site).version == 2)
        assert (await site.ask("/book/x")).status == 401
        assert (await site.ask("/new/x", Api_Key="other")).status == 200
        assert (await site.ask("/safe/x", Api_Key="other")).status == 404

    fakes.run(work)


def test_refusals_before_a_route_and_callers_that_left_are_counted() -> None:
    """A caller shows an unknown key; another one leaves while its server is silent.

    On-call engineers see both on the metrics page, each with its code.
    """

    async def work(site: fakes.Site) -> None:
        assert (await site.ask("/book/x", Api_Key="unknown")).status == 401
        site.let(_silent)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.3):
                await site.ask("/safe/x")
        admin = site.daemons[0]._membership.admin_address
        async with site.http.get(f"http://{admin}/metrics") as response:
            page = await response.text()
        assert 'cassiaquay_early_refusals_total{code="unauthorized"} 1' in page
        [line] = [line for line in page.splitlines() if "caller_gone_running" in line]
        assert line.startswith("cassiaquay_requests_total{")
        assert line.endswith(" 1")

    fakes.run(work)


def test_an_instance_that_may_be_behind_says_not_now() -> None:
    """The store answers nobody; a key that is unknown here may be new.

    "Unknown key" would be final for the caller; 503 lets it come back.
    """

    async def work(site: fakes.Site) -> None:
        site.store.down = True
        await asyncio.sleep(2.5)
        assert (await site.ask("/book/x", Api_Key="new")).status == 503
        assert (await site.ask("/new/x")).status == 503
        assert (await site.ask("/book/x")).status == 200

    fakes.run(work)


def test_entries_of_other_writers_harm_nobody() -> None:
    async def work(site: fakes.Site) -> None:
        site.store.put("servers/odd", b"\xff\x00")
        site.store.put("servers/other", {"service": 3})
        site.store.put("servers/mad", {"service": "chat", "addr": "x", "state": "on"})
        await asyncio.sleep(0.4)
        assert len(_pool(site)) == 2
        assert (await site.ask("/book/x")).status == 200

    fakes.run(work)


def test_callers_learn_the_addresses_of_all_ready_instances() -> None:
    async def work(site: fakes.Site) -> None:
        fronts = {one.gateway.front for one in site.settings}
        url = f"http://{site.settings[0].gateway.directory}/cassiaquay/resolve"
        query = {"name": standins.HOST, "region": "r", "zone": "a"}
        while True:
            async with site.http.get(url, params=query) as response:
                answer = await response.json()
            if set(answer["addrs"]) == fronts:
                break
            await asyncio.sleep(0.05)
        assert 0 < answer["ttl-s"] <= 5

    fakes.run(work, 3)


def test_a_planned_stop_cuts_nothing_off() -> None:
    """One of two instances is told to stop while a stream runs there.

    The stream ends whole. New requests on the kept connection are served and told
    that it closes; readiness and the directory stop naming the instance.
    """

    async def slow(request: raw_servers.Request, writer: raw_servers.Writer) -> None:
        await standins.write_stream_head(request, writer)
        for until in range(1, standins.EVENT_COUNT + 1):
            bare = dict(request.headers)
            bare["last-event-id"] = str(until - 2)
            await standins.write_events(request._replace(headers=bare), writer, until)
            await asyncio.sleep(0.1)
        writer.write(b"0\r\n\r\n")

    async def work(site: fakes.Site) -> None:
        for engine in site.engines:
            engine.responder = slow
        asking = asyncio.create_task(site.ask("/stream/x"))
        while not any(engine.requests for engine in site.engines):
            await asyncio.sleep(0.01)
        site.daemons[0]._stopping.set()
        await asyncio.sleep(0.1)
        for engine in site.engines:
            engine.responder = standins.send_complete_answer
        late = await site.ask("/book/x")
        assert late.status == 200
        assert late.headers["connection"] == "close"
        ready = f"http://{site.settings[0].gateway.ready}/cassiaquay/ready"
        async with site.http.get(ready) as response:
            assert response.status == 503
        directory = f"http://{site.settings[1].gateway.directory}/cassiaquay/resolve"
        gone = site.settings[0].gateway.front
        while True:
            async with site.http.get(directory) as response:
                if gone not in (await response.json())["addrs"]:
                    break
            await asyncio.sleep(0.02)
        got = await asking
        assert (got.body, got.complete) == (standins.stream_events(), True)

    fakes.run(work, 2)


@pytest.mark.parametrize(
    "raw",
    [
        b"POST /book/x HTTP/1.1\r\nHost: host.example\r\nContent-Length: 3\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"POST /book/x HTTP/1.1\r\nHost: host.example\r\nContent-Length: 3\r\n"
        b"Content-Length: 4\r\n\r\nabcd",
        b"POST /book/x HTTP/1.1\r\nHost: host.example\r\nContent-Length: +3\r\n\r\nabc",
        b"POST /book/x HTTP/1.1\r\nHost: host.example\r\n Content-Length: 3\r\n\r\nabc",
        b"POST /book/x HTTP/1.1\r\nHost: host.example\r\n"
        b"Transfer-Encoding: xchunked\r\n\r\nabc",
        b"POST /book/x HTTP/1.1\r\nHost : host.example\r\nContent-Length: 0\r\n\r\n",
        b"nonsense\r\n\r\n",
    ],
)
def test_requests_whose_end_is_unclear_reach_no_server(raw: bytes) -> None:
    """Two readers of such bytes see two different requests.

    The second one of them would be somebody else's, with this caller's key.
    """

    async def work(site: fakes.Site) -> None:
        host, _, port = site.settings[0].gateway.front.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head, end, rest = raw.partition(b"\r\n")
        own = b"Cassiaquay-Attempt-Id: raw\r\nApi-Key: key\r\n"
        writer.write(head + end + own + rest if b"HTTP/1.1" in head else raw)
        writer.write_eof()
        answer = await reader.read()
        writer.close()
        assert b" 400 " in answer.split(b"\r\n")[0]
        assert not any(engine.requests for engine in site.engines)

    fakes.run(work)


def _pool(site: fakes.Site) -> list:
    return site.daemons[0]._configuration.current.fleet.pools["plain"].servers


def _routing(site: fakes.Site):
    return site.daemons[0]._configuration.current.routes


async def _until(condition) -> None:
    while not condition():
        await asyncio.sleep(0.02)
