"""Requests that come while an instance learns what is true."""

import asyncio
import typing

import pytest

from cassiaquay_daemon import clock, exceptions, pause
from cassiaquay_daemon.gateway import accepting
from cassiaquay_daemon.platform import headers

HEADERS = [(b"host", b"a.example"), (b"cassiaquay-attempt-id", b"a1")]
SCOPE = {"method": "GET", "raw_path": b"/none/", "query_string": b"", "headers": []}


class Routes:
    """Routes of which none is the caller's."""

    def find(self, host: str, target: str) -> None:
        """Find nothing."""


class Snapshot(typing.NamedTuple):
    """A configuration in force."""

    routes: Routes


class Configured:
    """Has no configuration at first."""

    current: Snapshot | None = None


class Known:
    """Servers of which all is known."""

    is_behind = False


async def _receive() -> typing.NoReturn:
    raise AssertionError("no body is read of a request without a route")


async def _accept(accepted: accepting.Acceptor) -> None:
    parsed = headers.read(HEADERS)
    await accepted.accept(SCOPE, _receive, parsed, clock.now())


def test_a_request_waits_while_the_instance_learns_what_is_true() -> None:
    """All instances were killed and start again; a caller is there before the text is.

    The text comes a moment later. Refused at once, the caller would be back half a
    second after it; as it is, its request is judged by the text.
    """

    async def run() -> None:
        configured = Configured()
        pauses = pause.Pauses(60.0)
        pauses.hold()
        accepted = accepting.Acceptor(configured, Known(), pauses)
        asked = asyncio.create_task(_accept(accepted))
        await asyncio.sleep(0.0)
        assert not asked.done()
        configured.current = Snapshot(Routes())
        pauses.release()
        with pytest.raises(exceptions.NoRoute):
            await asked

    asyncio.run(run())


def test_a_request_does_not_wait_for_a_text_that_does_not_come(monkeypatch) -> None:
    """Neither the store nor a neighbour answers: another instance may know more."""
    monkeypatch.setattr(accepting, "RENEWAL_WAIT_SECONDS", 0.01)

    async def run() -> None:
        pauses = pause.Pauses(60.0)
        pauses.hold()
        accepted = accepting.Acceptor(Configured(), Known(), pauses)
        with pytest.raises(exceptions.NotReady):
            await _accept(accepted)

    asyncio.run(run())
