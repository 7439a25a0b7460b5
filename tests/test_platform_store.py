"""Reads of the platform's store while it is slow, busy, compacted or unreachable."""

import asyncio
import contextlib

import aiohttp
import pytest

from cassiaquay_daemon import exceptions, positions
from cassiaquay_daemon.platform import store
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
