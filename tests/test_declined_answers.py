"""Late copies of answers that say a request was not run."""

import asyncio
import contextlib
import typing

import cut_fakes
import gateway_fakes as fakes
import pytest

from cassiaquay_daemon.decisions import paths
from cassiaquay_daemon.gateway import connections, process_checks
from cassiaquay_dev.standins import platform_standins as standins
from cassiaquay_dev.standins import raw_servers
from cassiaquay_schema import fleet

NOT_EXECUTED = {"Cassiaquay-Not-Executed": "1"}
# Long enough for the daemon to read a copy before the server's next answer.
LATER_SECONDS = 0.05


class Declined(typing.NamedTuple):
    """An answer by which a server declines a request.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : dict of str to str
        Headers besides the id.
    is_identified : bool
        Whether it names the request.
    """

    status: int
    headers: dict[str, str]
    is_identified: bool = True


class CopyingServer:
    """Declines the first request of each connection and sends a copy of that later.

    Parameters
    ----------
    declined : Declined
        The answer.
    is_together : bool
        Whether the copy and the next answer arrive in one read.
    """

    def __init__(self, declined: Declined, is_together: bool = False):
        self.executed: list[str] = []
        self.copy_count = 0
        self._declined = declined
        self._is_together = is_together
        self._copies: dict[raw_servers.Writer, dict[str, str]] = {}

    async def respond(
        self, request: raw_servers.Request, writer: raw_servers.Writer
    ) -> None:
        """Decline the first request of a connection; run the second one."""
        copied = self._copies.get(writer)
        if copied is None:
            headers = dict(self._declined.headers)
            if self._declined.is_identified:
                headers["Cassiaquay-Attempt-Id"] = request.attempt
            self._copies[writer] = headers
            await self._decline(writer, headers)
            return
        self.copy_count += 1
        self.executed.append(request.attempt)
        await self._decline(writer, copied)
        if not self._is_together:
            await asyncio.sleep(LATER_SECONDS)
        await standins.send_complete_answer(request, writer)

    async def _decline(
        self, writer: raw_servers.Writer, headers: dict[str, str]
    ) -> None:
        await raw_servers.send(writer, self._declined.status, b"", headers)


DECLINED = [
    Declined(503, NOT_EXECUTED),
    Declined(429, NOT_EXECUTED),
    Declined(421, {}),
    Declined(503, NOT_EXECUTED, is_identified=False),
    Declined(421, {}, is_identified=False),
]


async def _book(
    site: fakes.Site, server: CopyingServer
) -> list[tuple[fakes.CallerResponse, int]]:
    """Send bookings in turn; return the answers and how often each one ran."""
    for engine in site.engines:
        engine.responder = server.respond
    answers = [await site.ask("/book/x") for _ in range(8)]
    return [(got, server.executed.count(got.attempt)) for got in answers]


def _check_bookings(booked: list[tuple[fakes.CallerResponse, int]]) -> None:
    for got, run_count in booked:
        assert run_count <= 1
        if got.status == 503:
            assert not run_count
        if got.status == 200:
            assert got.body == b"body of " + got.attempt.encode()


@pytest.mark.parametrize("declined", DECLINED)
def test_late_copy_of_declined_answer_refuses_no_booking_that_runs(
    declined: Declined,
) -> None:
    """Guards against "not run" for a booking, read from another request's answer."""

    async def work(site: fakes.Site) -> None:
        server = CopyingServer(declined)
        booked = await _book(site, server)
        _check_bookings(booked)
        # Connections are kept after answers with an id only, and not after a 421.
        is_kept = declined.is_identified and declined.status != 421
        assert bool(server.copy_count) == is_kept

    fakes.run(work)


@pytest.mark.parametrize("is_together", [True, False])
def test_booking_gets_its_own_answer_behind_a_late_copy(is_together: bool) -> None:
    """Guards against an unknown outcome for a booking whose answer has arrived."""

    async def work(site: fakes.Site) -> None:
        server = CopyingServer(Declined(503, NOT_EXECUTED), is_together)
        booked = await _book(site, server)
        _check_bookings(booked)
        assert server.copy_count
        for got, run_count in booked:
            assert got.status == (200 if run_count else 503)

    fakes.run(work)


def _plain_answer(status: int, *lines: str) -> bytes:
    head = "\r\n".join([f"HTTP/1.1 {status} X", "Content-Length: 0", *lines])
    return f"{head}\r\n\r\n".encode()


@pytest.mark.parametrize("interim", [b"", b"HTTP/1.1 102 Processing\r\n\r\n"])
@pytest.mark.parametrize("relayed", [False, True])
def test_answer_behind_one_that_failed_refuses_no_booking(
    interim: bytes, relayed: bool
) -> None:
    """Guards against "not run" for a booking, read after its answer has failed."""
    other = _plain_answer(200, "Cassiaquay-Attempt-Id: other")
    declined = _plain_answer(503, "Cassiaquay-Not-Executed: 1")

    async def respond(request: raw_servers.Request, writer: raw_servers.Writer) -> None:
        writer.write(interim + other + declined * 2)
        await writer.drain()

    async def work(site: fakes.Site) -> None:
        for engine in site.engines:
            engine.responder = respond
        with contextlib.ExitStack() as stack:
            if relayed:
                stack.enter_context(cut_fakes.cut(site, 0))
            got = await site.ask("/book/x")
        assert got.status == 502
        assert len(site.engines_of(got.attempt)) == 1

    fakes.run(work, 2)


def test_late_copy_of_declined_answer_behind_a_relay() -> None:
    """Guards against the same where another instance sends the booking."""

    async def work(site: fakes.Site) -> None:
        server = CopyingServer(Declined(503, NOT_EXECUTED))
        with cut_fakes.cut(site, 0):
            booked = await _book(site, server)
        _check_bookings(booked)
        assert server.copy_count

    fakes.run(work, 2)


def test_late_copy_is_not_read_as_the_report_of_a_server() -> None:
    """Guards against streams that go on at a restarted server that seems confirmed."""

    async def respond(request: raw_servers.Request, writer: raw_servers.Writer) -> None:
        if request.attempt:
            await standins.send_complete_answer(request, writer)
            return
        copied = {"Cassiaquay-Attempt-Id": "a1"} | NOT_EXECUTED
        await raw_servers.send(writer, 503, b"", copied)
        await raw_servers.send(writer, 200, b'{"born": 6}', {})

    class Server(raw_servers.RawServer):
        async def respond(
            self, request: raw_servers.Request, writer: raw_servers.Writer
        ) -> None:
            await respond(request, writer)

    async def run() -> int | None:
        server = Server()
        await server.start()
        observed = paths.Paths(lambda: {"chat": [server.address]})
        session = connections.Dialer(observed).create_session()
        checks = process_checks.ProcessChecks(
            session, observed, typing.cast("typing.Any", None)
        )
        attempt = {"Cassiaquay-Attempt-Id": "a1"}
        async with session.get(f"http://{server.address}/x", headers=attempt) as got:
            await got.read()
        listed = fleet.Server(
            name="i-1", address=server.address, model="m", started_ms=5
        )
        started_ms = await checks._ask(listed)
        await session.close()
        await server.stop()
        return started_ms

    assert asyncio.run(run()) == 6
