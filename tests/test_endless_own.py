"""Backend servers of the own interface that send answers without end."""

import asyncio
import contextlib
import tracemalloc
import typing

import aiohttp
import endless_fakes
import owner_fakes
import pytest

from cassiaquay_daemon import exceptions
from cassiaquay_daemon.adapters import answers, backends
from cassiaquay_daemon.owners import recovery, streams
from cassiaquay_dev.standins import raw_servers
from cassiaquay_schema import fleet

MIB = 1024 * 1024
# What the kernel's buffers of a connection take although they are not read.
SOCKET_BYTES = 6 * MIB
LIMIT_SECONDS = 8.0
# An engine's stream is read once and resumed three times.
READS = 1 + backends.RESUME_TRIES
LARGE_ANSWER = b'"%b"' % (b"x" * (16 * MIB))


class LargeServer(raw_servers.RawServer):
    """A plain server with large sound answers.

    Parameters
    ----------
    body : bytes
        The answer to each request.
    """

    def __init__(self, body: bytes = LARGE_ANSWER) -> None:
        super().__init__()
        self._body = body

    async def respond(
        self, request: raw_servers.Request, writer: raw_servers.Writer
    ) -> None:
        """Send the large answer."""
        await raw_servers.send(writer, 200, self._body, {})


@contextlib.asynccontextmanager
async def _backend(adapter: str, standin: raw_servers.RawServer):
    await standin.start()
    server = fleet.Server(name="s-1", address=standin.address)
    trace_configs = [backends.tracing()]
    try:
        async with aiohttp.ClientSession(trace_configs=trace_configs) as http:
            yield backends.backends.get(adapter)(http), server
    finally:
        await standin.stop()


async def _run(
    backend: backends.Backend, server: fleet.Server, answer: answers.Answer
) -> typing.Any:
    call = backends.Call("k", "m", "", "p", 1, "/p", b"{}")
    return await backend.run(
        server, call, answer, lambda: None, lambda found, is_failure: None
    )


@pytest.mark.parametrize(
    ("adapter", "kind", "error", "max_bytes"),
    [
        ("plain-http", "body", exceptions.StreamInterrupted, 32 * MIB),
        ("plain-http", "unframed", exceptions.StreamInterrupted, 32 * MIB),
        ("plain-http", "length", exceptions.StreamInterrupted, 0),
        ("plain-http", "garbage", exceptions.StreamInterrupted, 0),
        ("plain-http", "failure", exceptions.Rejected, 0),
        ("plain-http", "failure_unframed", exceptions.Rejected, 0),
        ("engine-http", "event", exceptions.StreamInterrupted, READS * MIB),
        ("engine-http", "unframed", exceptions.StreamInterrupted, READS * MIB),
        ("engine-http", "comments", exceptions.StreamInterrupted, 0),
        ("engine-http", "garbage", exceptions.StreamInterrupted, 0),
        ("engine-http", "failure", exceptions.Rejected, 0),
        ("engine-http", "failure_unframed", exceptions.Rejected, 0),
    ],
)
def test_endless_answer_is_given_up(
    adapter: str, kind: str, error: type[Exception], max_bytes: int
) -> None:
    """Guards against an answer that is read until it fills the memory."""
    flood = endless_fakes.Flood(kind)
    ledger = answers.Ledger()

    async def work() -> Exception:
        standin = endless_fakes.FloodServer(flood)
        async with _backend(adapter, standin) as (backend, server):
            async with asyncio.timeout(LIMIT_SECONDS):
                with pytest.raises(error) as caught:
                    await _run(backend, server, answers.Answer(ledger))
        return caught.value

    # A server that sends without end has not crashed.
    assert type(asyncio.run(work())) is error
    assert flood.sent_bytes < max_bytes + flood.count * SOCKET_BYTES
    assert ledger.used == 0


@pytest.mark.parametrize("adapter", ["plain-http", "engine-http"])
def test_failure_whose_body_drips_ends_with_its_status(adapter: str) -> None:
    """Guards against a wait for the end of a body whose status says it all."""
    flood = endless_fakes.Flood("failure", drips=True)

    async def work() -> None:
        standin = endless_fakes.FloodServer(flood)
        async with _backend(adapter, standin) as (backend, server):
            async with asyncio.timeout(LIMIT_SECONDS):
                with pytest.raises(exceptions.Rejected, match="status 500"):
                    await _run(backend, server, answers.Answer())

    asyncio.run(work())


def test_endless_answer_to_a_cancellation_is_given_up() -> None:
    """Guards against a stopped stream whose last figures fill the memory."""
    flood = endless_fakes.Flood("body")

    async def work() -> backends.WastedTokens | None:
        standin = endless_fakes.FloodServer(flood)
        async with _backend("engine-http", standin) as (backend, server):
            return await backend.cancel(server, "k")

    assert asyncio.run(work()) is None
    assert flood.sent_bytes < SOCKET_BYTES


def test_endless_answers_together_stay_within_the_bound() -> None:
    """Guards against many endless answers that are each within their bound."""
    ledger = answers.Ledger(64 * MIB)
    held = []

    async def one(backend: backends.Backend, server: fleet.Server) -> None:
        with pytest.raises(exceptions.StreamInterrupted):
            await _run(backend, server, answers.Answer(ledger))

    async def watch() -> None:
        while True:
            held.append(ledger.used)
            await asyncio.sleep(0.001)

    async def work() -> None:
        standin = endless_fakes.FloodServer(endless_fakes.Flood("unframed"))
        async with _backend("plain-http", standin) as (backend, server):
            watching = asyncio.create_task(watch())
            async with asyncio.timeout(3 * LIMIT_SECONDS):
                await asyncio.gather(*[one(backend, server) for _ in range(24)])
            watching.cancel()

    asyncio.run(work())
    assert 16 * MIB < max(held) < 64 * MIB
    assert ledger.used == 0


def test_large_answers_at_once_are_all_received() -> None:
    """Guards against a bound that gives sound answers up or stops them for good."""
    ledger = answers.Ledger(64 * MIB)

    async def one(backend: backends.Backend, server: fleet.Server) -> None:
        answer = answers.Answer(ledger)
        await _run(backend, server, answer)
        chunk, count = answer.chunk(0)
        assert (chunk, count) == (b"id: 0\ndata: %b\n\n" % LARGE_ANSWER, 1)
        answer.forget()

    async def work() -> None:
        async with _backend("plain-http", LargeServer()) as (backend, server):
            async with asyncio.timeout(3 * LIMIT_SECONDS):
                await asyncio.gather(*[one(backend, server) for _ in range(10)])

    asyncio.run(work())
    assert ledger.used == 0


def test_large_answer_of_many_values_is_not_decoded() -> None:
    """Guards against an answer within its bound whose values fill the memory."""
    body = b"[%b[]]" % (b"[]," * (MIB // 3))

    async def work() -> int:
        async with _backend("plain-http", LargeServer(body)) as (backend, server):
            tracemalloc.start()
            await _run(backend, server, answers.Answer())
            peak = tracemalloc.get_traced_memory()[1]
            tracemalloc.stop()
        return peak

    assert asyncio.run(work()) < 8 * len(body)


@pytest.mark.parametrize(
    "body", [b"[1,", b'"\xff"', b"[" * 5000 + b"]" * 5000], ids=["cut", "text", "deep"]
)
def test_answer_that_is_not_json_is_rejected(body: bytes) -> None:
    """Guards against an answer that callers cannot read and that looks complete."""

    async def work() -> None:
        async with _backend("plain-http", LargeServer(body)) as (backend, server):
            with pytest.raises(exceptions.Rejected, match="not JSON"):
                await _run(backend, server, answers.Answer())

    asyncio.run(work())


def test_slow_reader_is_sent_small_pieces() -> None:
    """Guards against a copy of a large answer for each of its slow readers."""
    answer = answers.Answer()
    answer.append(b"x" * MIB)
    for _ in range(20000):
        answer.append(b'{"text":"token"}')
    answer.finish("completed", "completed")
    expected = b""
    after = 0
    while after < answer.count:
        chunk, after = answer.chunk(after)
        expected += chunk
    sent: list[bytes] = []

    async def send(message: typing.Any) -> None:
        sent.append(message.get("body", b""))

    async def work() -> None:
        response = streams.AnswerResponse(
            answer, 0, lambda: None, lambda: None, lambda delivered: None
        )
        await response({}, asyncio.Event().wait, send)

    asyncio.run(work())
    assert b"".join(sent) == expected + answer.final_event()
    assert max(len(piece) for piece in sent) < 2 * answers.CHUNK_BYTES


def test_recovered_streams_together_stay_within_the_bound(monkeypatch) -> None:
    """Guards against streams of failed owners that are kept whatever they hold."""
    event = b"x" * (20 * MIB)

    async def resume(
        self: typing.Any, server: fleet.Server, key: str, answer: answers.Answer
    ) -> backends.TokenUsage:
        answer.open()
        answer.append(event)
        return backends.TokenUsage(1, 0, 1)

    async def work() -> None:
        monkeypatch.setattr(owner_fakes.FakeEngine, "resume", resume)
        servers: typing.Any = owner_fakes.Servers()
        recovering = recovery.Recovery(servers)
        first = None
        for number in range(6):
            found = await recovering.find(f"k{number}", owner_fakes.SNAPSHOT, "tutor")
            first = first or found
            # A stream that is being read is kept.
            first.readers = 1
            await owner_fakes.until(lambda found=found: found.answer.final is not None)
            kept = [stream.answer.size for stream in recovering._streams.values()]
            assert sum(kept) < recovery.MAX_RECOVERED_BYTES
        assert first is not None
        assert first.answer.chunk(0) == (b"id: 0\ndata: %b\n\n" % event, 1)

    asyncio.run(work())
