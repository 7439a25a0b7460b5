"""Fuzz tests of every parser in the daemon that reads external input."""

import asyncio
import typing

import aiohttp
import hypothesis
import msgpack
import owner_fakes
import pytest
from hypothesis import strategies

from cassiaquay_daemon import bounded_http, exceptions
from cassiaquay_daemon.links import frames, peers
from cassiaquay_daemon.owners import requests, tokens
from cassiaquay_dev.network import listening
from cassiaquay_schema import exceptions as schema_exceptions
from cassiaquay_schema import messages, texts

REPEATABLE = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=200, print_blob=True
)
TOKEN = tokens.mint("key", "cq-1", "0123456789ab", 60.0)
VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**63 - 1)
    | strategies.floats()
    | strategies.text(max_size=8)
    | strategies.binary(max_size=8),
    lambda inner: strategies.lists(inner, max_size=4),
    max_leaves=12,
)
FRAMES = strategies.tuples(
    strategies.sampled_from(sorted(messages.BY_CODE)),
    strategies.lists(VALUES, max_size=12),
)
RESPONSE_PARTS = [
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"Content-Length: 5\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"\r\n",
    b"\n",
    b"5\r\nhello\r\n",
    b"5;a=",
    b"0\r\n\r\n",
    b"0\r\nX: ",
    b"hello",
    b"id: 0\ndata: ",
]
RESPONSE_STARTS = [
    b"",
    b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n",
]
PIECES = strategies.lists(
    strategies.sampled_from(RESPONSE_PARTS) | strategies.binary(min_size=1, max_size=9),
    min_size=1,
    max_size=4,
)
MAX_BODY_BYTES = 100_000
FLOOD_BYTES = 64 * 1024 * 1024


@REPEATABLE
@hypothesis.given(strategies.text(max_size=120))
def test_an_arbitrary_id_is_refused_with_a_code(text):
    with pytest.raises(exceptions.BadId):
        tokens.parse(["key"], text)


@REPEATABLE
@hypothesis.given(strategies.integers(0, len(TOKEN) - 1), strategies.characters())
def test_a_token_with_one_changed_character_is_refused(place, character):
    changed = TOKEN[:place] + character + TOKEN[place + 1 :]
    hypothesis.assume(changed != TOKEN)
    with pytest.raises(exceptions.BadId):
        tokens.parse(["key"], f"{changed}~1")


@REPEATABLE
@hypothesis.given(strategies.binary(max_size=200))
def test_an_arbitrary_body_is_refused_with_a_code_or_read(data):
    try:
        body = requests.read(data)
    except exceptions.BadRequest:
        return
    assert requests.fingerprint(body)


@REPEATABLE
@hypothesis.given(strategies.binary(max_size=200) | FRAMES)
def test_an_arbitrary_frame_raises_invalid_frame_or_is_a_message(content):
    data = content
    if isinstance(content, tuple):
        data = msgpack.packb([content[0], *content[1]])
    try:
        decoded = frames.Decoder().feed(data)
    except exceptions.InvalidFrame:
        return
    for message in decoded:
        assert type(message) in messages.CODES


@REPEATABLE
@hypothesis.given(
    strategies.sampled_from([owner_fakes.FLEET, owner_fakes.SETTINGS]),
    strategies.integers(0, 1000),
    strategies.integers(0, 40),
    strategies.text(max_size=20),
)
def test_a_damaged_text_raises_a_schema_error_or_is_read(text, place, length, inserted):
    damaged = text[: place % len(text)] + inserted + text[place % len(text) + length :]
    read: typing.Callable[[str], object] = texts.read_settings
    if text is owner_fakes.FLEET:
        read = texts.read_fleet
    try:
        assert read(damaged) is not None
    except schema_exceptions.SchemaError as error:
        assert error.code


@pytest.mark.parametrize(
    "garbage", [b"\xc1", b"GET / HTTP/1.1\r\n\r\n", msgpack.packb([99]), b"\x91\xa1x"]
)
def test_a_bad_frame_closes_its_own_connection_only(garbage):
    """One peer is refused; links to other instances are not affected."""

    async def work() -> None:
        settings = texts.read_settings(owner_fakes.SETTINGS)
        named = texts.read_settings(owner_fakes.SETTINGS.replace("cq-1", "cq-2"))
        listening = peers.Peers(settings, "0123456789ab")
        dialling = peers.Peers(named, "ba9876543210")
        received: list[object] = []
        listening.on(messages.NotKeeper, lambda link, message: received.append(message))
        await listening.start()
        try:
            await owner_fakes.until(
                lambda: dialling.link("cq-1", listening.address) is not None
            )
            host, _, port = listening.address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(garbage)
            async with asyncio.timeout(10.0):
                while await reader.read(1000):
                    continue
            writer.close()
            link = dialling.link("cq-1", listening.address)
            assert link is not None
            assert link.send(messages.NotKeeper("1"))
            await owner_fakes.until(lambda: bool(received))
        finally:
            await dialling.stop()
            await listening.stop()

    asyncio.run(work())


class _Sender(listening.Listener):
    """Answers with pieces; repeats the last one until the client closes."""

    def __init__(self) -> None:
        super().__init__()
        self.pieces: list[bytes] = []
        self.is_endless = False
        self.sent_bytes = 0

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            for piece in self.pieces:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0)
            block = self.pieces[-1] * (65536 // len(self.pieces[-1]))
            while self.is_endless and self.sent_bytes < FLOOD_BYTES:
                writer.write(block)
                self.sent_bytes += len(block)
                await writer.drain()
                await asyncio.sleep(0)
        except ConnectionError:
            return


def test_arbitrary_bytes_of_a_server_end_in_a_whole_response_or_an_error():
    """Guards against a response that is awaited, or buffered, without a bound."""

    async def fetch(sender: _Sender, http: aiohttp.ClientSession) -> None:
        async with asyncio.timeout(5.0):
            try:
                async with http.get(f"http://{sender.address}/") as response:
                    await bounded_http.read_body(response, MAX_BODY_BYTES)
            except aiohttp.ClientError:
                return

    with asyncio.Runner() as runner:
        sender = _Sender()
        runner.run(sender.start())
        http = runner.run(_open())

        @REPEATABLE
        @hypothesis.given(
            strategies.sampled_from(RESPONSE_STARTS), PIECES, strategies.booleans()
        )
        def check(start: bytes, pieces: list[bytes], is_endless: bool) -> None:
            sender.pieces, sender.is_endless = [start, *pieces], is_endless
            sender.sent_bytes = 0
            runner.run(fetch(sender, http))
            assert sender.sent_bytes < FLOOD_BYTES

        try:
            check()
        finally:
            runner.run(http.close())
            runner.run(sender.stop())


async def _open() -> aiohttp.ClientSession:
    return bounded_http.create_session(bounded_http.create_connector())
