"""Late copies of answers on the own interface."""

import asyncio
import json
import typing
import weakref

import pytest

from cassiaquay_daemon import exceptions
from cassiaquay_daemon.adapters import answers, backends, identified_http
from cassiaquay_dev.standins import echoes, engine, engine_settings, raw_servers
from cassiaquay_schema import fleet

REQUEST_COUNT = 6
# Long enough for the daemon to read a copy before the server's next answer.
LATER_SECONDS = 0.05
EVENTS = b'id: 0\ndata: {"text":"x"}\n\n'
USAGE = {"count": 1, "prompt_tokens": 1, "cached_tokens": 0}
STREAM = EVENTS + b"event: done\ndata: " + json.dumps(USAGE).encode() + b"\n\n"


class CopyingServer(raw_servers.RawServer):
    """Answers each other request of a connection by a copy of the answer before.

    Parameters
    ----------
    echoed : sequence of bool
        Whether the answers to the requests of a connection bear their ids, in turn.
    first_status : int
        Status of the answer that is copied; the server runs no request that it answers
        with a failure itself.
    copy_status : int
        Status of the copy.
    """

    def __init__(
        self, echoed: tuple[bool, ...], first_status: int, copy_status: int
    ) -> None:
        super().__init__()
        self.executed: list[str] = []
        self.copy_count = 0
        self._echoed = echoed
        self._statuses = (first_status, copy_status)
        self._earlier: weakref.WeakKeyDictionary[raw_servers.Writer, list[str]] = (
            weakref.WeakKeyDictionary()
        )

    async def respond(
        self, request: raw_servers.Request, writer: raw_servers.Writer
    ) -> None:
        """Answer one request."""
        key = request.headers["x-request-id"]
        earlier = self._earlier.setdefault(writer, [])
        earlier.append(key)
        if request.method == "GET":
            found = 200 if key in self.executed else 404
            await self._answer(writer, found, key)
            return
        first, copied = self._statuses
        if len(earlier) % 2:
            if first == 200:
                self.executed.append(key)
            await self._answer(writer, first, key if self._echoed[0] else "")
            return
        self.executed.append(key)
        self.copy_count += 1
        await self._answer(writer, copied, earlier[-2] if self._echoed[1] else "")
        await asyncio.sleep(LATER_SECONDS)
        await self._answer(writer, 200, key if self._echoed[0] else "")

    async def _answer(self, writer: raw_servers.Writer, status: int, key: str) -> None:
        headers = {"X-Request-Id": key} if key else {}
        # A body for engines, and one for plain services.
        body = STREAM if self.is_engine else json.dumps(key).encode()
        await raw_servers.send(writer, status, body, headers)

    is_engine = False


class Asked(typing.NamedTuple):
    """What became of a request."""

    key: str
    error: str
    text: bytes


async def _ask(adapter: str, server: CopyingServer) -> list[Asked]:
    server.is_engine = adapter == "engine-http"
    await server.start()
    listed = fleet.Server(name="s-1", address=server.address)
    asked = []
    async with identified_http.create_session(
        {}, trace_configs=[backends.tracing()]
    ) as http:
        backend = backends.backends.get(adapter)(http)
        for number in range(REQUEST_COUNT):
            key = f"k{number}"
            call = backends.Call(key, "m", "", "p", 1, "/p", b"{}")
            answer = answers.Answer()
            error = ""
            try:
                await backend.run(
                    listed,
                    call,
                    answer,
                    lambda: None,
                    lambda found, is_failure: None,
                )
            except exceptions.BackendError as raised:
                error = type(raised).__name__
            text = answer._events[0] if answer.count else b""
            asked.append(Asked(key, error, text))
    await server.stop()
    return asked


@pytest.mark.parametrize("adapter", ["plain-http", "engine-http"])
@pytest.mark.parametrize(
    ("echoed", "first_status", "copy_status"),
    [
        ((True, True), 503, 503),
        ((False, False), 503, 503),
        ((True, True), 400, 400),
        ((True, False), 200, 503),
        ((True, True), 500, 500),
        ((False, False), 500, 500),
    ],
)
def test_copy_of_a_failure_is_no_answer_to_another_request(
    adapter: str, echoed: tuple[bool, ...], first_status: int, copy_status: int
) -> None:
    """Guards against "not run" or "failed", read from another request's answer."""
    server = CopyingServer(echoed, first_status, copy_status)
    asked = asyncio.run(_ask(adapter, server))
    for key, error, _ in asked:
        if key in server.executed:
            assert error not in ("Declined", "Rejected")
    # Connections are kept where answers bear an id, so that there are copies.
    assert bool(server.copy_count) == echoed[0]


def test_copy_of_an_answer_with_success_reaches_no_other_caller() -> None:
    """Guards against the answer of another request."""
    server = CopyingServer((True, True), 200, 200)
    asked = asyncio.run(_ask("plain-http", server))
    assert server.copy_count
    for key, error, text in asked:
        assert error == "StreamInterrupted" or json.dumps(key).encode() in text


def test_stand_ins_repeat_the_id() -> None:
    """Guards against stand-ins that do not speak the protocol of docs/BACKENDS.md."""
    made = engine.Engine(engine_settings.EngineSettings())
    assert echoes.Echoes in [one.cls for one in made.app.user_middleware]
