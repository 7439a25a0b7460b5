"""Reads of the platform's store while it is slow, busy, compacted or unreachable."""

import asyncio
import contextlib

import aiohttp
import fleets
import pytest

from cassiaquay_daemon import clock, exceptions, positions
from cassiaquay_daemon.fleet import configuration
from cassiaquay_daemon.links import peers
from cassiaquay_daemon.platform import store
from cassiaquay_dev.sizing import light
from cassiaquay_dev.standins import platform_standins as standins
from cassiaquay_dev.standins import raw_servers


class ScriptedStore(standins.Store):
    """A store that answers with raw bytes given by the test."""

    def __init__(self) -> None:
        super().__init__()
        self.raw: list[bytes | None] = []

    async def respond(
        self, request: raw_servers.Request, writer: raw_servers.Writer
    ) -> None:
        """Write the next raw answer, or a normal one if there is none."""
        if not self.raw:
            await super().respond(request, writer)
            return
        data = self.raw.pop(0)
        if data is None:
            await asyncio.sleep(60)
        else:
            writer.write(data)
            await writer.drain()


def _raw_answer(status: int, body: str = "{}") -> bytes:
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode()


@contextlib.asynccontextmanager
async def _store():
    served = ScriptedStore()
    await served.start()
    async with aiohttp.ClientSession() as http:
        yield served, http
    await served.stop()


def _run(work) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(10.0), _store() as (served, http):
            await work(served, http)

    asyncio.run(bounded())


def test_all_pages_are_read() -> None:
    async def work(served: ScriptedStore, http: aiohttp.ClientSession) -> None:
        for number in range(7):
            served.put(f"servers/i-{number}", {"number": number})
        served.put("other", {})
        found = await store.Store(http, served.address).items("servers/")
        assert [item.key for item in found.items] == [
            f"servers/i-{number}" for number in range(7)
        ]
        assert found.position == (1, served.revision)

    _run(work)


@pytest.mark.parametrize(
    "raw",
    [
        _raw_answer(503),
        _raw_answer(429),
        _raw_answer(200, "["),
        _raw_answer(200, '{"items": 3}'),
        b"\x00\x00\r\n\r\n",
        b"",
    ],
)
def test_unusable_answer_raises_platform_error(raw: bytes) -> None:
    async def work(served: ScriptedStore, http: aiohttp.ClientSession) -> None:
        client = store.Store(http, served.address)
        # Empty bytes stand for a lost answer: the connection stays open and silent.
        served.raw = [raw or None]
        with pytest.raises(exceptions.PlatformError):
            await client.items("servers/")
        served.put("servers/i-1", {})
        assert len((await client.items("servers/")).items) == 1

    _run(work)


def test_unreachable_store_raises_platform_error() -> None:
    async def work(served: ScriptedStore, http: aiohttp.ClientSession) -> None:
        await served.stop()
        with pytest.raises(exceptions.PlatformError):
            await store.Store(http, served.address).item("op/config")

    _run(work)


def test_invalid_value_does_not_affect_other_keys() -> None:
    async def work(served: ScriptedStore, http: aiohttp.ClientSession) -> None:
        body = (
            '{"items": [{"key": "a", "value": "?", "revision": 1},'
            ' {"key": "b", "value": "eA==", "revision": 2}], "current-rev": 9}'
        )
        served.raw = [_raw_answer(200, body)]
        found = await store.Store(http, served.address).items("")
        assert [item.value for item in found.items] == [b"", b"x"]

    _run(work)


def test_compacted_history_is_replaced_by_one_read() -> None:
    """The store has compacted the changes after the revision of a watch (status 410).

    The client reads the key itself and gets the newest configuration.
    """

    async def work(served: ScriptedStore, http: aiohttp.ClientSession) -> None:
        texts = store.ConfigurationStore(http, served.address)
        assert await texts.watch(positions.START, 0.0) is None
        served.put("op/config", b"one")
        first = await texts.watch(positions.START, 0.0)
        assert first is not None
        served.put("op/config", b"two")
        served.raw = [_raw_answer(410)]
        second = await texts.watch(first.position, 1.0)
        assert second is not None
        assert second.text == "two"
        served.raw = [
            _raw_answer(200, f'{{"events":[],"current-rev":{second.revision}}}')
        ]
        assert await texts.watch(second.position, 1.0) is None

    _run(work)


def _page(items: str, epoch: str, truncated: bool = False) -> bytes:
    body = (
        f'{{"items": [{items}], "current-rev": 9,'
        f' "truncated": {"true" if truncated else "false"}}}'
    )
    head = f"HTTP/1.1 200 X\r\nContent-Length: {len(body)}\r\n"
    if epoch:
        head += f"Store-Era: {epoch}\r\n"
    return f"{head}\r\n{body}".encode()


ITEM = '{"key": "a", "value": "eA==", "revision": 1}'


def test_pages_of_two_epochs_are_no_list() -> None:
    """Guards against a list that is half of before a return and half of after it."""

    async def work(served: ScriptedStore, http: aiohttp.ClientSession) -> None:
        served.raw = [_page(ITEM, "1", truncated=True), _page(ITEM, "2")]
        client = store.Store(http, served.address)
        with pytest.raises(exceptions.PlatformError):
            await client.items("")
        served.raw = [_page(ITEM, "2")]
        assert (await client.items("")).position == (2, 9)

    _run(work)


@pytest.mark.parametrize("header", ["", "x", "-1", "9" * 40, "\u0663"])
def test_an_answer_without_a_readable_epoch_is_of_the_last_known_one(
    header: str,
) -> None:
    """Guards against a bad header that takes the fleet back to another epoch."""

    async def work(served: ScriptedStore, http: aiohttp.ClientSession) -> None:
        client = store.Store(http, served.address)
        served.raw = [_page(ITEM, "3"), _page(ITEM, header)]
        assert (await client.items("")).position == (3, 9)
        assert (await client.items("")).position == (3, 9)

    _run(work)


def test_an_answer_of_an_epoch_that_has_ended_is_refused() -> None:
    """Guards against an answer that was made before a return and comes late."""

    async def work(served: ScriptedStore, http: aiohttp.ClientSession) -> None:
        client = store.Store(http, served.address)
        served.raw = [_page(ITEM, "3"), _page(ITEM, "2")]
        await client.items("")
        with pytest.raises(exceptions.PlatformError):
            await client.items("")

    _run(work)


def test_the_first_return_is_logged(caplog) -> None:
    """Guards against a return that leaves no line since the first epoch is zero."""

    async def work(served: ScriptedStore, http: aiohttp.ClientSession) -> None:
        client = store.Store(http, served.address)
        served.raw = [_page(ITEM, "0"), _page(ITEM, "1")]
        await client.items("")
        assert "platform_restored" not in caplog.messages
        await client.items("")
        assert "platform_restored" in caplog.messages

    with caplog.at_level("INFO"):
        _run(work)


def test_a_watch_sees_what_was_written_after_a_return() -> None:
    """Guards against a watch from a revision that the new epoch has passed already."""

    async def work(served: ScriptedStore, http: aiohttp.ClientSession) -> None:
        texts = store.ConfigurationStore(http, served.address)
        copy = served.copy()
        served.put("other", {})
        served.put("op/config", b"one")
        first = await texts.watch(positions.START, 0.0)
        served.restore(copy)
        served.put("op/config", b"two")
        for _ in range(5):
            served.put("other", {})
        second = await texts.watch(first.position, 0.2)
        assert second.text == "two"

    _run(work)


def test_a_store_that_ends_all_watches_is_read_with_pauses() -> None:
    """Guards against calls without a pause while the store answers 410."""

    async def work(served: ScriptedStore, http: aiohttp.ClientSession) -> None:
        settings = light.settings_of("cq-1")
        links = peers.Peers(settings, "a" * 12)
        configured = configuration.Configuration(settings, links)
        texts = store.ConfigurationStore(http, served.address)
        served.put("op/config", fleets.text(1).encode())
        await configured.watch_once(texts, 0.0)
        before = served.calls
        for _ in range(3):
            served.raw = [_raw_answer(410)]
            await configured.watch_once(texts, 2.0)
        # One watch, which does not count, and one read for each.
        assert served.calls - before == 3

    began = clock.now()
    _run(work)
    assert clock.now() - began >= 3 * configuration.RETRY_SECONDS


@pytest.mark.parametrize("count", [0, 1, 2, 7, 40, 900])
@pytest.mark.parametrize("kept", [0, 1, 5, 33, 899])
def test_all_changes_that_the_store_still_has_are_read(count: int, kept: int) -> None:
    """Guards against departures that are overlooked in the oldest part of a history."""

    async def work(standin: standins.Store, http: aiohttp.ClientSession) -> None:
        client = store.Store(http, standin.address)
        for number in range(count):
            if number == max(count - kept, 0):
                standin.forget()
            standin.put(f"servers/i-{number}", b"{}")
        if kept == 0:
            standin.forget()
        calls = standin.calls
        found = await client.history(
            "servers/", positions.Position(1, standin.revision)
        )
        expected = [f"servers/i-{n}" for n in range(max(count - kept, 0), count)]
        assert [change.key for change in found] == expected
        assert standin.calls - calls < store.MAX_HISTORY_CALLS

    _run(work)


def test_answer_to_another_call_is_no_empty_list() -> None:
    """Guards against all servers being gone by a late copy of an earlier answer."""
    item = '{"key": "op/config", "value": "e30=", "revision": 5}'
    listing = f'{{"items": [{item}], "truncated": false, "current-rev": 5}}'
    events = f'{{"events": [{item}], "current-rev": 5}}'

    async def work(standin: ScriptedStore, http: aiohttp.ClientSession) -> None:
        client = store.Store(http, standin.address)
        for body, read in [
            (listing, store.ServersStore(http, standin.address).read()),
            (item, client.item("op/other")),
            (events, client.history("servers/", positions.Position(0, 9))),
        ]:
            standin.raw = [_raw_answer(200, body)]
            with pytest.raises(exceptions.PlatformError, match="answered with"):
                await read

    _run(work)


class ReturningStore(standins.Store):
    """A store that returns from a copy before one of its answers."""

    def __init__(self, number: int):
        super().__init__()
        self._number = number

    async def respond(
        self, request: raw_servers.Request, writer: raw_servers.Writer
    ) -> None:
        """Answer as usual, or return from the copy first."""
        if self.calls == self._number:
            self.restore(self.copy())
        await super().respond(request, writer)


@pytest.mark.parametrize("number", [1, 2, 3])
def test_history_of_a_store_that_returns_from_a_copy_is_none(number: int) -> None:
    """Guards against servers of another version that a lost history does not show."""

    async def work() -> None:
        standin = ReturningStore(number)
        await standin.start()
        for count in range(20):
            standin.put(f"servers/i-{count}", {"service": "chat"})
        async with aiohttp.ClientSession() as http:
            past = store.ServersStore(http, standin.address)
            with pytest.raises(exceptions.PlatformError, match="epoch"):
                await past.read_past()
            # The history of the new epoch is read whole.
            await past.read_past()
        await standin.stop()

    asyncio.run(work())
