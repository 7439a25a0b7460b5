"""The stand-ins for engines, plain servers and the platform follow docs/BACKENDS.md."""

import asyncio
import collections.abc
import contextlib
import json
import typing

import aiohttp
import pytest

from cassiaquay_dev.standins import (
    blocks,
    engine,
    engine_settings,
    plain,
    platform,
    platform_settings,
    serving,
    texts,
)

TIMEOUT_SECONDS = 20
FAST = engine_settings.EngineSettings(
    step_ms=1.0, report_lag_ms=0, event_lag_ms=0, load_ms=1.0
)
PROMPT = "one two three " * 200


class Client:
    """HTTP client of one stand-in."""

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self.address = address
        self._session = session
        self._base = f"http://{address}"

    async def read_one_event(self, path: str, body: typing.Any) -> bytes:
        """Send a POST and close the connection after the first event."""
        async with self._session.post(self._base + path, json=body) as answer:
            return await answer.content.readuntil(b"\n\n")

    async def call(
        self,
        method: str,
        path: str,
        body: typing.Any = None,
        text: str | None = None,
        request_id: str = "",
    ) -> tuple[int, typing.Any]:
        data: dict[str, typing.Any] = {"headers": {"X-Request-Id": request_id}}
        data |= {"data": text} if text is not None else {"json": body}
        async with self._session.request(method, self._base + path, **data) as answer:
            content = await answer.text()
        if answer.content_type == "application/json":
            return answer.status, json.loads(content)
        return answer.status, content

    async def wait_until(
        self,
        path: str,
        condition: collections.abc.Callable[[typing.Any], bool],
    ) -> typing.Any:
        while True:
            _, content = await self.call("GET", path)
            if condition(content):
                return content
            await asyncio.sleep(0.005)


@contextlib.asynccontextmanager
async def serve(stand_in: serving.StandIn) -> collections.abc.AsyncIterator[Client]:
    served = serving.Served(stand_in)
    await served.start()
    try:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            async with aiohttp.ClientSession() as session:
                yield Client(session, served.address)
    finally:
        await served.stop()


def event_text(count: int, first: int = 0, stream: str = "a") -> str:
    lines = []
    for index in range(first, count):
        data = json.dumps({"text": texts.expected_text(stream, index)})
        lines.append(f"id: {index}\ndata: {data}\n\n")
    return "".join(lines)


def done_event(text: str) -> dict[str, int]:
    return json.loads(text.rsplit("event: done\ndata: ", 1)[1])


def new_body(
    max_tokens: int, prompt: str = PROMPT, **overrides: str
) -> dict[str, typing.Any]:
    return {"prompt": prompt, "max_tokens": max_tokens, **overrides}


def test_stream_is_complete_and_resumable():
    async def scenario() -> None:
        async with serve(engine.Engine(FAST)) as client:
            status, text = await client.call("POST", "/v1/streams/a", new_body(20))
            assert status == 200
            assert text.startswith(event_text(20) + "event: done")
            tokens = blocks.count_tokens(PROMPT)
            expected = {"count": 20, "prompt_tokens": tokens, "cached_tokens": 0}
            assert done_event(text) == expected
            _, rest = await client.call("GET", "/v1/streams/a?from=7")
            assert rest.startswith(event_text(20, 7) + "event: done")
            assert (await client.call("GET", "/v1/streams/b"))[0] == 404

    asyncio.run(scenario())


def test_duplicate_is_refused_and_logged():
    async def scenario() -> None:
        async with serve(engine.Engine(FAST)) as client:
            await client.call("POST", "/v1/streams/a", new_body(2))
            status, _ = await client.call("POST", "/v1/streams/a", new_body(2))
            assert status == 409
            await client.call("POST", "/control/drop", {"id": "a"})
            status, _ = await client.call("POST", "/v1/streams/a", new_body(2))
            assert status == 200
            _, log = await client.call("GET", "/control/log")
            seen = [(one["state"], one["repeat"]) for one in log["dispatches"]]
            assert seen == [("finished", False), ("refused", True), ("finished", True)]

    asyncio.run(scenario())


def test_prefix_cache_saves_prefill_and_moves_between_engines():
    async def scenario() -> None:
        hashes = blocks.block_hashes(PROMPT)
        cached = len(hashes) * blocks.TOKENS_PER_BLOCK
        async with (
            serve(engine.Engine(FAST)) as first,
            serve(engine.Engine(FAST)) as other,
        ):
            await first.call("POST", "/v1/streams/a", new_body(2))
            _, text = await first.call(
                "POST", "/v1/streams/b", new_body(2, PROMPT + "x")
            )
            assert done_event(text)["cached_tokens"] == cached
            _, totals = await first.call("GET", "/control/totals")
            prompt_tokens = 2 * blocks.count_tokens(PROMPT)
            assert totals["prefilled"] <= prompt_tokens - cached + 1
            _, cache_log = await first.call("GET", "/v1/kv/events?after=0")
            stored = [block for one in cache_log["events"] for block in one["blocks"]]
            assert stored == hashes
            _, kv = await first.call("POST", "/v1/kv/export", {"blocks": [*hashes, 5]})
            assert kv["blocks"] == hashes
            await other.call("POST", "/v1/kv/import", {"blob": kv["blob"]})
            _, text = await other.call("POST", "/v1/streams/c", new_body(2))
            assert done_event(text)["cached_tokens"] == cached

    asyncio.run(scenario())


def test_cache_evicts_above_its_capacity():
    async def scenario() -> None:
        settings = FAST._replace(cache_tokens=4 * blocks.TOKENS_PER_BLOCK)
        async with serve(engine.Engine(settings)) as client:
            await client.call("POST", "/v1/streams/a", new_body(1))
            _, cache_log = await client.call("GET", "/v1/kv/events?after=0")
            held: set[int] = set()
            for event in cache_log["events"]:
                if event["kind"] == "stored":
                    held |= set(event["blocks"])
                    continue
                held -= set(event["blocks"])
            assert len(held) == 4
            hashes = blocks.block_hashes(PROMPT)
            _, kv = await client.call("POST", "/v1/kv/export", {"blocks": hashes})
            assert set(kv["blocks"]) == held

    asyncio.run(scenario())


def test_cut_stream_continues_and_resumes():
    """The engine closes the connection of an answer after three events.

    The caller reads three events and an error. The engine continues the stream, so a
    resume from event 3 returns the rest and no token is generated twice.
    """

    async def scenario() -> None:
        async with serve(engine.Engine(FAST)) as client:
            await client.call("POST", "/control/cut", {"id": "a", "after": 3})
            with pytest.raises(aiohttp.ClientPayloadError):
                await client.call("POST", "/v1/streams/a", new_body(30))
            _, rest = await client.call("GET", "/v1/streams/a?from=3")
            assert rest.startswith(event_text(30, 3) + "event: done")
            _, log = await client.call("GET", "/control/log")
            assert [one["generated_tokens"] for one in log["dispatches"]] == [30]

    asyncio.run(scenario())


def test_disconnect_does_not_stop_the_stream():
    """The caller closes the connection of its POST after one event.

    The engine continues the stream, so that concurrent later reads from event 0 return
    the complete answer.
    """

    async def scenario() -> None:
        async with serve(engine.Engine(FAST)) as client:
            first = await client.read_one_event("/v1/streams/a", new_body(50))
            assert first.decode() == event_text(1)
            both = await asyncio.gather(
                client.call("GET", "/v1/streams/a"),
                client.call("GET", "/v1/streams/a?from=0"),
            )
            for _, text in both:
                assert text.startswith(event_text(50) + "event: done")

    asyncio.run(scenario())


def test_finished_stream_is_removed_after_hold_time():
    async def scenario() -> None:
        async with serve(engine.Engine(FAST._replace(hold_seconds=0.01))) as client:
            await client.call("POST", "/v1/streams/a", new_body(1))
            await client.wait_until(
                "/v1/streams/a", lambda content: content == {"code": "not_held"}
            )

    asyncio.run(scenario())


def test_lost_cache_events_leave_gaps_in_the_sequence():
    async def scenario() -> None:
        settings = FAST._replace(event_gap_share=0.5, cache_tokens=64)
        async with serve(engine.Engine(settings)) as client:
            for number in range(20):
                body = new_body(1, f"{number} {PROMPT}")
                await client.call("POST", f"/v1/streams/s{number}", body)
            _, cache_log = await client.call("GET", "/v1/kv/events?after=0")
            numbers = [event["sequence"] for event in cache_log["events"]]
            assert numbers == sorted(set(numbers))
            assert 0 < len(numbers) < cache_log["sequence"]

    asyncio.run(scenario())


def test_cancel_reports_the_processed_tokens():
    """A caller cancels a stream in a hung engine.

    The answer ends without a done event. The engine reports the prefilled tokens and
    counts them as wasted. A late repeat of the id is refused.
    """

    async def scenario() -> None:
        async with serve(engine.Engine(FAST)) as client:
            post = asyncio.create_task(
                client.call("POST", "/v1/streams/a", new_body(100_000))
            )
            await client.wait_until(
                "/control/log",
                lambda log: any(one["generated_tokens"] for one in log["dispatches"]),
            )
            await client.call("POST", "/control/hang", {"on": True})
            status, spent = await client.call("DELETE", "/v1/streams/a")
            _, text = await post
            assert status == 200
            assert spent["prefilled_tokens"] == blocks.count_tokens(PROMPT)
            assert text == event_text(spent["generated_tokens"])
            _, totals = await client.call("GET", "/control/totals")
            assert totals["prefill_wasted"] == spent["prefilled_tokens"]
            assert (await client.call("DELETE", "/v1/streams/a"))[0] == 404
            assert (await client.call("POST", "/v1/streams/a", new_body(1)))[0] == 409

    asyncio.run(scenario())


def test_streams_run_in_arrival_order_up_to_batch_limit():
    async def scenario() -> None:
        async with serve(engine.Engine(FAST._replace(max_batch=1))) as client:
            await client.call("POST", "/control/hang", {"on": True})
            posts = []
            for number in range(4):
                path = f"/v1/streams/s{number}"
                posts.append(
                    asyncio.create_task(client.call("POST", path, new_body(3)))
                )
                await client.wait_until(
                    "/v1/load",
                    lambda load, n=number: load["running"] + load["waiting"] == n + 1,
                )
            _, load = await client.call("GET", "/v1/load")
            assert load["running"] <= 1
            await client.call("POST", "/control/hang", {"on": False})
            await asyncio.gather(*posts)
            _, log = await client.call("GET", "/control/log")
            ends = [one["finished_at"] for one in log["dispatches"]]
            assert ends == sorted(ends)

    asyncio.run(scenario())


@pytest.mark.parametrize("refuse", [True, False])
def test_old_fence_is_refused_if_set(refuse: bool):
    async def scenario() -> None:
        settings = FAST._replace(refuse_old_fence=refuse)
        async with serve(engine.Engine(settings)) as client:
            order = {"fence": 5, "kind": "set_role", "role": "prefill"}
            assert await client.call("POST", "/v1/orders", order) == (
                200,
                {"state": "ready"},
            )
            old = {"fence": 4, "kind": "set_role", "role": "decode"}
            status, content = await client.call("POST", "/v1/orders", old)
            _, load = await client.call("GET", "/v1/load")
            if refuse:
                assert (status, content) == (409, {"fence": 5})
                assert load["role"] == "prefill"
            else:
                assert status == 200
                assert load["role"] == "decode"

    asyncio.run(scenario())


def test_loading_refuses_new_streams_and_finishes_running_ones():
    """An order to load another model arrives while a stream runs.

    The running stream completes and new ones get 503. The weight store answers 429
    until the test ends its refusal; after the load, a request for the old model gets
    400.
    """

    async def scenario() -> None:
        weights = platform_settings.PlatformSettings(
            weights_transfer_ms=1, weights_retry_seconds=0.01
        )
        async with contextlib.AsyncExitStack() as stack:
            store = await stack.enter_async_context(serve(platform.Platform(weights)))
            await store.call("POST", "/control/weights", {"refuse": True})
            settings = FAST._replace(weights=store.address)
            client = await stack.enter_async_context(serve(engine.Engine(settings)))
            await client.call("POST", "/control/hang", {"on": True})
            post = asyncio.create_task(
                client.call("POST", "/v1/streams/a", new_body(5))
            )
            await client.wait_until("/control/log", lambda log: log["dispatches"])
            order = {"fence": 1, "kind": "load_model", "model": "m2", "version": "2"}
            _, content = await client.call("POST", "/v1/orders", order)
            assert content == {"state": "loading"}
            refused = await client.call("POST", "/v1/streams/b", new_body(1))
            assert refused == (503, {"code": "loading"})
            await client.call("POST", "/control/hang", {"on": False})
            assert done_event((await post)[1])["count"] == 5
            await store.wait_until("/control/weights", lambda log: log["transfers"])
            assert (await client.call("POST", "/v1/streams/b", new_body(1)))[0] == 503
            await store.call("POST", "/control/weights", {"refuse": False})
            await client.wait_until("/v1/load", lambda load: load["model"] == "m2")
            _, log = await store.call("GET", "/control/weights")
            statuses = [one["status"] for one in log["transfers"]]
            assert statuses == [429] * (len(statuses) - 1) + [200]
            old = await client.call(
                "POST", "/v1/streams/c", new_body(1, model=settings.model)
            )
            assert old[0] == 400
            new = await client.call("POST", "/v1/streams/d", new_body(1, model="m2"))
            assert new[0] == 200

    asyncio.run(scenario())


def test_plain_service_answers_fails_and_logs_repeats():
    async def scenario() -> None:
        settings = plain.PlainSettings(slots=1, service_ms=1)
        async with serve(plain.Plain(settings)) as client:
            status, content = await client.call(
                "POST", "/book", {"seat": 4}, request_id="r1"
            )
            assert status == 200
            answer = {"ok": True, "id": "r1", "path": "/book", "echo": {"seat": 4}}
            assert content == answer
            await client.call("POST", "/control/fail", {"share": 1})
            status, _ = await client.call("POST", "/book", {}, request_id="r1")
            assert status == 500
            _, log = await client.call("GET", "/control/log")
            seen = [(one["state"], one["repeat"]) for one in log["runs"]]
            assert seen == [("completed", False), ("failed", True)]

    asyncio.run(scenario())


def test_config_watch_returns_changes_and_faults():
    async def scenario() -> None:
        stand_in = platform.Platform(platform_settings.PlatformSettings())
        async with serve(stand_in) as client:
            assert (await client.call("GET", "/v1/config?after=0"))[0] == 204
            watch = asyncio.create_task(
                client.call("GET", "/v1/config?after=0&wait=15")
            )
            await client.wait_until("/control/calls", lambda calls: calls["calls"] == 2)
            await client.call("PUT", "/control/config", text="one")
            assert await watch == (200, {"revision": 1, "text": "one"})
            large = "é" * 500_000
            await client.call("PUT", "/control/config", text=large)
            _, content = await client.call("GET", "/v1/config?after=1")
            assert content == {"revision": 2, "text": large}
            await client.call("POST", "/control/stale", {"revision": 1})
            _, content = await client.call("GET", "/v1/config?after=0")
            assert content == {"revision": 1, "text": "one"}
            await client.call("POST", "/control/down", {"on": True})
            assert (await client.call("GET", "/v1/config"))[0] == 503

    asyncio.run(scenario())


def test_config_call_over_budget_is_refused():
    async def scenario() -> None:
        settings = platform_settings.PlatformSettings(config_calls=2)
        async with serve(platform.Platform(settings)) as client:
            statuses = []
            for _ in range(3):
                statuses.append((await client.call("GET", "/v1/config"))[0])
            assert statuses == [204, 204, 429]
            _, calls = await client.call("GET", "/control/calls")
            assert calls == {"calls": 3, "refused": 1}

    asyncio.run(scenario())


def test_instance_list_shows_added_and_removed_entries():
    async def scenario() -> None:
        settings = platform_settings.PlatformSettings(instances_lag_ms=20)
        entry = {
            "name": "cq-1",
            "kind": "entry",
            "domain": "east",
            "http": "127.0.0.1:1",
            "peer": "127.0.0.1:2",
            "state": "live",
        }
        async with serve(platform.Platform(settings)) as client:
            await client.call("PUT", "/control/instances", entry)
            expected = {"instances": [entry]}
            await client.wait_until(
                "/v1/instances", lambda content: content == expected
            )
            await client.call("DELETE", "/control/instances/cq-1")
            empty: dict[str, list[str]] = {"instances": []}
            await client.wait_until("/v1/instances", lambda content: content == empty)

    asyncio.run(scenario())
