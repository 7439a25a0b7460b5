"""Requests that arrive while an instance starts and has no configuration."""

import asyncio
import typing

import pytest

from cassiaquay_daemon import clock, exceptions, pause
from cassiaquay_daemon.configured import routing
from cassiaquay_daemon.decisions import return_visits
from cassiaquay_daemon.gateway import accepting, body_room
from cassiaquay_daemon.platform import headers

HEADERS = [(b"host", b"a.example"), (b"cassiaquay-attempt-id", b"a1")]
SCOPE = {"method": "GET", "raw_path": b"/none/", "query_string": b"", "headers": []}


class Routes:
    """Routes that match no request."""

    def find(self, host: str, target: str) -> None:
        """Return no route."""


class Snapshot(typing.NamedTuple):
    """An active configuration."""

    routes: Routes | routing.Routing


class Configured:
    """Holds no configuration until a test sets one."""

    current: Snapshot | None = None


class CurrentServers:
    """A server list that is up to date."""

    is_behind = False


async def _receive() -> typing.NoReturn:
    raise AssertionError("no body is read of a request without a route")


async def _accept(acceptor: accepting.Acceptor) -> None:
    parsed = headers.read(HEADERS)
    hold = body_room.Hold(body_room.BodyRoom())
    await acceptor.accept(SCOPE, _receive, parsed, clock.now(), hold)


def test_request_waits_for_configuration_after_start() -> None:
    """All instances restart, and a request arrives before the configuration.

    Refused at once, the caller would retry only half a second later. Instead the
    request waits for the configuration and is checked against it.
    """

    async def run() -> None:
        configured = Configured()
        pauses = pause.Pauses(60.0)
        pauses.hold()
        acceptor = accepting.Acceptor(configured, CurrentServers(), pauses)
        accept_task = asyncio.create_task(_accept(acceptor))
        await asyncio.sleep(0.0)
        assert not accept_task.done()
        configured.current = Snapshot(Routes())
        pauses.release()
        with pytest.raises(exceptions.NoRoute):
            await accept_task

    asyncio.run(run())


def test_request_is_refused_when_no_configuration_arrives(monkeypatch) -> None:
    """Neither the store nor a peer answers; another instance may serve the caller."""
    monkeypatch.setattr(accepting, "RENEWAL_WAIT_SECONDS", 0.01)

    async def run() -> None:
        pauses = pause.Pauses(60.0)
        pauses.hold()
        acceptor = accepting.Acceptor(Configured(), CurrentServers(), pauses)
        with pytest.raises(exceptions.NotReady):
            await _accept(acceptor)

    asyncio.run(run())


def test_retry_is_accepted_with_the_age_that_its_deadline_tells() -> None:
    """A refused caller returns; a stream that its caller resumes is no retry."""
    kind = routing.Kind.STREAM
    shares = (routing.Share("chat", 1),)
    route = routing.Route("r", "h", "/", kind, shares, 9.0, 0.4, 0.4, 0, 2, True, True)
    bounds = routing.Bounds(0, 0, 0.0, 0.0)
    configured = Configured()
    routes = routing.Routing(1, {"h": [route]}, {}, {}, False, {}, bounds)
    configured.current = Snapshot(routes)
    visits = return_visits.ReturnVisits()
    acceptor = accepting.Acceptor(
        configured, CurrentServers(), pause.Pauses(60.0), visits
    )

    async def receive() -> dict[str, object]:
        return {"type": "http.request", "body": b""}

    async def age_seconds(deadline_ms: int, last_event: int = -1) -> float:
        parsed = headers.read([(b"host", b"h"), (b"cassiaquay-attempt-id", b"a1")])
        parsed = parsed._replace(deadline_ms=deadline_ms, last_event=last_event)
        scope = {**SCOPE, "raw_path": b"/"}
        hold = body_room.Hold(body_room.BodyRoom())
        call = await acceptor.accept(scope, receive, parsed, 0.0, hold)
        return call.age_seconds

    async def run() -> None:
        for _ in range(4):
            assert await age_seconds(9_000) == 0.0
        assert await age_seconds(6_000) == pytest.approx(3.0, abs=0.01)
        assert await age_seconds(6_000, last_event=7) == 0.0

    asyncio.run(run())
