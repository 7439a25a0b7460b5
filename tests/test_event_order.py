"""Events of one stream arrive in order, each once, whatever its servers send."""

import asyncio
import re

import gateway_fakes as fakes
import pytest

from cassiaquay_dev.standins import platform_standins as standins
from cassiaquay_dev.standins import raw_servers

PIECE = re.compile(rb"data: (?:piece )?(\d+)")


def _event(number: int, event_id: str | None = None) -> bytes:
    """Return an event whose id is its number, or another text; none if empty."""
    shown = str(number) if event_id is None else event_id
    line = f"id: {shown}\n" if shown else ""
    return f"{line}data: {number}\n\n".encode()


async def _write(writer: raw_servers.Writer, *parts: bytes) -> None:
    """Write chunks that are read one by one."""
    for part in parts:
        writer.write(b"%x\r\n%b\r\n" % (len(part), part))
        await writer.drain()
        await asyncio.sleep(0.02)


def _pieces(got: fakes.CallerResponse) -> list[int]:
    return [int(text) for text in PIECE.findall(got.body)]


@pytest.mark.parametrize("event_id", ["", "a", "-1", "1e3", "9" * 13, "+2", "0x1"])
@pytest.mark.parametrize("broken", [(0, 1), (1,)])
def test_stream_is_not_repeated_after_an_event_without_a_number(
    event_id: str, broken: tuple[int, ...]
) -> None:
    """Guards against events that come twice, since no server knows where to go on."""

    async def work(site: fakes.Site) -> None:
        async def cut(request: raw_servers.Request, writer: raw_servers.Writer) -> None:
            await standins.write_stream_head(request, writer)
            for number in range(2):
                shown = event_id if number in broken else None
                await _write(writer, _event(number, shown))
            raw_servers.reset(writer)

        site.answer_first_run_with(cut)
        got = await site.ask("/stream/x")
        assert _pieces(got) == [0, 1]
        assert not got.complete

    fakes.run(work)


@pytest.mark.parametrize(
    "rest",
    [
        pytest.param([_event(0), _event(1)], id="from the start"),
        pytest.param([_event(1), _event(2)], id="the last one again"),
        pytest.param([_event(3)], id="one skipped"),
        pytest.param([_event(2, "")], id="without an id"),
        pytest.param([_event(2, "a")], id="text"),
        pytest.param([_event(0, "") + _event(2)], id="one before it, without an id"),
        pytest.param([_event(2, "") + _event(0)], id="one after it, without an id"),
        pytest.param([_event(2) + _event(2)], id="twice in one read"),
        pytest.param([_event(2) + _event(4)], id="one skipped in one read"),
        pytest.param([_event(2), _event(4)], id="one skipped later"),
    ],
)
@pytest.mark.parametrize("is_by_caller", [False, True])
def test_rest_of_a_stream_begins_after_its_last_event(
    rest: list[bytes], is_by_caller: bool
) -> None:
    """Guards against a second server that does not go on where the first one ended."""

    async def work(site: fakes.Site) -> None:
        async def go_on(
            request: raw_servers.Request, writer: raw_servers.Writer
        ) -> None:
            await standins.write_stream_head(request, writer)
            if "last-event-id" not in request.headers:
                await _write(writer, _event(0), _event(1))
                raw_servers.reset(writer)
                return
            await _write(writer, *rest)
            writer.write(b"0\r\n\r\n")
            await writer.drain()

        for engine in site.engines:
            engine.responder = go_on
        more = {"Last_Event_Id": "1"} if is_by_caller else {}
        got = await site.ask("/stream/x", **more)
        expected = [2] if is_by_caller else [0, 1, 2]
        assert _pieces(got) == expected[: len(_pieces(got))]
        assert not got.complete

    fakes.run(work)


@pytest.mark.parametrize("is_by_caller", [False, True])
def test_rest_that_ends_with_its_connection_and_has_no_event_is_cut(
    is_by_caller: bool,
) -> None:
    """Guards against a stream that ends as complete where its second server crashed."""

    async def work(site: fakes.Site) -> None:
        async def end(request: raw_servers.Request, writer: raw_servers.Writer) -> None:
            head = {"Connection": "close"} | standins.seal_headers(request)
            raw_servers.write_head(writer, head)
            if "last-event-id" not in request.headers:
                writer.write(_event(0) + _event(1))
                await writer.drain()
                await asyncio.sleep(0.05)
                raw_servers.reset(writer)
                return
            await writer.drain()
            writer.close()

        for engine in site.engines:
            engine.responder = end
        more = {"Last_Event_Id": "1"} if is_by_caller else {}
        got = await site.ask("/stream/x", **more)
        assert _pieces(got) == ([] if is_by_caller else [0, 1])
        assert got.status != 200 or not got.complete

    fakes.run(work)


@pytest.mark.parametrize(
    "asked", ["1", "100000001", "999999999999", "9" * 13, "a", "-1", "1,2", "+1"]
)
def test_server_gets_the_event_that_the_caller_names(asked: str) -> None:
    """Guards against a stream that begins anew, or elsewhere, behind its first part."""

    async def work(site: fakes.Site) -> None:
        got = await site.ask("/stream/x", Last_Event_Id=asked)
        sent = []
        for engine in site.engines:
            sent += [item.headers["last-event-id"] for item in engine.requests]
        assert set(sent) == {asked}
        assert got.status == 200 or not asked.isdigit()

    fakes.run(work)


@pytest.mark.parametrize("is_copy_of_other", [False, True])
def test_late_copy_of_a_stream_is_not_joined_to_the_next_one(
    is_copy_of_other: bool,
) -> None:
    """Guards against an answer that a kept connection brings a second time."""

    async def work(site: fakes.Site) -> None:
        copied: list[raw_servers.Request] = []

        async def whole(
            request: raw_servers.Request, writer: raw_servers.Writer
        ) -> None:
            await standins.write_stream_head(request, writer)
            await standins.write_events(request, writer, standins.EVENT_COUNT)
            writer.write(b"0\r\n\r\n")

        async def respond(
            request: raw_servers.Request, writer: raw_servers.Writer
        ) -> None:
            earlier = copied[-1:] if is_copy_of_other else []
            copied.append(request)
            for item in [*earlier, request]:
                await whole(item, writer)
            if not is_copy_of_other:
                await whole(request, writer)
            await writer.drain()

        for engine in site.engines:
            engine.responder = respond
        for _ in range(6):
            got = await site.ask("/stream/x")
            if got.status != 200 or not got.complete:
                continue
            assert got.body == standins.stream_events()
            assert got.headers["cassiaquay-response-seal"] == f"seal-{got.attempt}"

    fakes.run(work)


def test_event_that_is_split_over_reads_is_passed_on_once() -> None:
    """Guards against parts of an event that go out before a second server begins."""

    async def work(site: fakes.Site) -> None:
        async def cut(request: raw_servers.Request, writer: raw_servers.Writer) -> None:
            await standins.write_stream_head(request, writer)
            text = _event(0) + _event(1) + _event(2)[:-1]
            await _write(writer, *(bytes([item]) for item in text))
            raw_servers.reset(writer)

        site.answer_first_run_with(cut)
        got = await site.ask("/stream/x")
        assert got.complete
        ids = [int(text) for text in re.findall(rb"id: (\d+)", got.body)]
        assert ids == list(range(standins.EVENT_COUNT))

    fakes.run(work)
