"""The callers' HTTP interface: invalid input, queries about ids, relays."""

import asyncio
import contextlib
import json
import types
import typing

import aiohttp
import owner_fakes
import pytest
import uvicorn

from cassiaquay_daemon import exceptions
from cassiaquay_daemon.adapters import backends
from cassiaquay_daemon.interface import relay, web
from cassiaquay_daemon.owners import recovery
from cassiaquay_schema import messages, texts

AUTH = {"Authorization": "Bearer secret"}
JSON = {**AUTH, "Content-Type": "application/json"}
BODY = json.dumps({"service": "tutor", "prompt": "why?", "max_tokens": 3}).encode()


class Members:
    """A fake membership: live members and last membership records, by name."""

    def __init__(self) -> None:
        self.alive: dict[str, messages.Member] = {}
        self.heard: dict[str, messages.Member] = {}

    def find(self, instance: str) -> messages.Member | None:
        return self.alive.get(instance)

    def last_known(self, instance: str) -> messages.Member | None:
        return self.heard.get(instance)


class ServedInstance:
    """The callers' interface of one instance, served on a free port."""

    def __init__(self, bench: owner_fakes.Bench, members: Members, http):
        settings = texts.read_settings(owner_fakes.SETTINGS + "body_seconds = 0.3")
        self.recovery = recovery.Recovery(typing.cast(typing.Any, bench.servers))
        self.server = uvicorn.Server(
            uvicorn.Config(
                web.Web(
                    settings,
                    typing.cast(
                        typing.Any, types.SimpleNamespace(current=owner_fakes.SNAPSHOT)
                    ),
                    typing.cast(typing.Any, members),
                    bench.owner,
                    relay.Relay(settings, http, members.find),
                    self.recovery,
                ).application(),
                port=0,
                log_level="critical",
                lifespan="off",
                timeout_graceful_shutdown=1,
            )
        )
        self.address = ""

    async def start(self) -> asyncio.Task[None]:
        task = asyncio.create_task(self.server.serve())
        await owner_fakes.until(lambda: self.server.started)
        port = self.server.servers[0].sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return task


@contextlib.asynccontextmanager
async def serve():
    """Yield an owner's bench, its interface, a second instance's, members, client."""
    bench, other, members = owner_fakes.Bench(), owner_fakes.Bench(), Members()
    other.owner._incarnation = "ba9876543210"
    async with aiohttp.ClientSession() as http:
        first, second = (
            ServedInstance(bench, members, http),
            ServedInstance(other, members, http),
        )
        tasks = [await first.start(), await second.start()]
        members.alive["cq-1"] = messages.Member(
            "cq-1",
            "0123456789ab",
            "",
            first.address,
            "",
            1,
            False,
            0.0,
            1,
            0.0,
            "",
            0.0,
        )
        try:
            yield bench, first, second, members, http
        finally:
            for instance in (first, second):
                instance.server.should_exit = True
            await asyncio.gather(*tasks)


def run(work: typing.Coroutine[typing.Any, typing.Any, None]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(30.0):
            await work

    asyncio.run(bounded())


async def send_slowly() -> typing.AsyncIterator[bytes]:
    for _ in range(100):
        yield b" "
        await asyncio.sleep(0.02)


async def send_too_much() -> typing.AsyncIterator[bytes]:
    for _ in range(100):
        yield b" " * 65536


INVALID_INPUTS = [
    ({"data": BODY, "headers": {**AUTH, "Content-Type": "text/plain"}}, 415),
    ({"data": b"{", "headers": JSON}, 400),
    ({"data": b"[" * 50000, "headers": JSON}, 400),
    ({"data": b"\xff\xfe", "headers": JSON}, 400),
    ({"data": b'{"service":"tutor","nope":1}', "headers": JSON}, 400),
    ({"data": b" " * 1048577, "headers": JSON}, 413),
    ({"data": send_too_much(), "headers": JSON}, 413),
    ({"data": send_slowly(), "headers": JSON}, 408),
    ({"data": BODY, "headers": {**JSON, "X-Large": "x" * 20000}}, 431),
    ({"data": BODY, "headers": {"Content-Type": "application/json"}}, 401),
    ({"data": BODY, "headers": {**JSON, "Authorization": "Bearer no"}}, 401),
    ({"data": BODY, "headers": JSON, "params": {"from": "-1"}}, 400),
]


@pytest.mark.parametrize(("call", "status"), INVALID_INPUTS)
def test_invalid_input_is_refused_with_code_and_not_dispatched(call, status):
    """The caller gets a 4xx with a code, and the request is not dispatched.

    The outcome is "not run" only if the owner refused the request; a call refused
    before that states no outcome for the id.
    """

    async def work() -> None:
        async with serve() as (bench, first, _, _, http):
            name = bench.new_id()
            url = f"http://{first.address}/v1/requests/{name.text}"
            async with http.post(url, **call) as response:
                body = await response.json()
            assert response.status == status
            assert body["code"] not in ("", "daemon", "refused")
            known = bench.owner.outcome(name, "questions").outcome
            assert body["outcome"] == known
            assert not bench.servers.seen

    run(work())


@pytest.mark.parametrize("text", ["x", "cq-1.0123456789ab.1.0123456789abcdef~a"])
def test_unsigned_ids_are_refused_as_bad(text):
    async def work() -> None:
        async with serve() as (bench, first, _, _, http):
            url = f"http://{first.address}/v1/requests/{text}"
            async with http.post(url, data=BODY, headers=JSON) as response:
                assert response.status == 400
                assert (await response.json())["code"] == "bad_id"
            assert not bench.servers.seen

    run(work())


def test_queries_about_an_id_return_200_with_its_state():
    """Each outcome of an id, also an unknown one, is in the body of a 200."""

    async def work() -> None:
        async with serve() as (bench, first, second, members, http):
            unseen, expired = bench.new_id(), bench.new_id(seconds=0.0)

            async def ask(instance, name, verb, method="GET") -> dict[str, str]:
                url = f"http://{instance.address}/v1/requests/{name.text}/{verb}"
                async with http.request(method, url, headers=AUTH) as response:
                    assert response.status == 200
                    return await response.json()

            assert (await ask(first, unseen, "outcome"))["state"] == "unseen"
            outcome = await ask(second, unseen, "cancel", "POST")
            assert (outcome["outcome"], outcome["state"]) == ("not_run", "refused")
            assert await ask(first, unseen, "outcome") == outcome
            outcome = await ask(first, expired, "outcome")
            assert outcome["outcome"] == "outcome_unknown"
            members.alive.clear()
            outcome = await ask(second, unseen, "outcome")
            assert (outcome["outcome"], outcome["code"]) == (
                "outcome_unknown",
                "owner_gone",
            )

    run(work())


def test_request_at_another_instance_is_relayed_with_its_credential():
    """A caller may send to any instance and reads the owner's answer."""

    async def work() -> None:
        async with serve() as (bench, _, second, _, http):
            url = f"http://{second.address}/v1/requests/{bench.new_id().text}"
            async with http.post(url, data=BODY, headers=JSON) as response:
                assert response.status == 200
                assert b"event: final" in await response.read()
            assert len(bench.servers.seen) == 1

    run(work())


def test_relay_ends_when_owner_leaves_membership():
    """A paused owner keeps its connections open and sends nothing, not even heartbeats.

    The relaying instance answers outcome_unknown instead of waiting for the owner.
    """

    async def work() -> None:
        async with serve() as (bench, _, second, members, http):
            bench.keepers.open = False
            url = f"http://{second.address}/v1/requests/{bench.new_id().text}"
            response_task = asyncio.create_task(http.post(url, data=BODY, headers=JSON))
            await owner_fakes.until(lambda: bool(bench.keepers.demands_received))
            members.alive.clear()
            async with await response_task as response:
                assert response.status == 502
                assert (await response.json())["code"] == "owner_gone"

    run(work())


def test_stream_in_prefill_is_recovered_from_engine(monkeypatch):
    """The owner has failed, and an engine holds its stream without any event yet.

    Prefill takes longer than the other engines need to report that they do not hold the
    stream. The caller must wait for the answer instead of getting "unknown".
    """

    async def work() -> None:
        async with serve() as (bench, _, second, members, http):
            members.alive.clear()
            prefilled = asyncio.Event()
            calls = []

            async def resume(self, server, key, answer) -> backends.TokenUsage:
                calls.append(server.name)
                if server.name != "e-2":
                    raise exceptions.StreamNotFound(key)
                answer.open()
                await prefilled.wait()
                answer.append(b'{"text":"a"}')
                return backends.TokenUsage(1, 0, 1)

            monkeypatch.setattr(owner_fakes.FakeEngine, "resume", resume)
            name = bench.new_id()
            url = f"http://{second.address}/v1/requests/{name.text}"
            response_task = asyncio.create_task(http.post(url, data=BODY, headers=JSON))
            await owner_fakes.until(lambda: len(second.recovery._streams) == 1)
            prefilled.set()
            async with await response_task as response:
                assert b'"outcome":"completed"' in await response.read()
            assert sorted(calls) == ["e-1", "e-2"]
            assert not bench.servers.seen

    run(work())


def test_recovered_owner_keeps_stream_that_another_instance_reads(monkeypatch):
    """An owner is paused, and its caller continues to read at another instance.

    When the owner recovers, its caller has disconnected, and without a hold it would
    stop the engine's stream after the grace period.
    """

    async def work() -> None:
        async with serve() as (bench, first, second, members, http):
            finish = asyncio.Event()

            async def finish_late(answer) -> None:
                await finish.wait()
                answer.append(b'{"text":"a"}')

            async def resume(self, server, key, answer) -> backends.TokenUsage:
                answer.open()
                await finish_late(answer)
                return backends.TokenUsage(1, 0, 1)

            monkeypatch.setattr(owner_fakes.FakeEngine, "resume", resume)
            bench.servers.script = [finish_late]
            name = bench.new_id()
            path = f"/v1/requests/{name.text}"
            response_task = asyncio.create_task(
                http.post(f"http://{first.address}{path}", data=BODY, headers=JSON)
            )
            await owner_fakes.until(lambda: bool(bench.servers.seen))
            member = members.alive.pop("cq-1")
            response_task.cancel()
            entry = bench.owner.table[name.text]
            await owner_fakes.until(lambda: not entry.readers)
            reading_task = asyncio.create_task(
                http.get(f"http://{second.address}{path}", headers=AUTH)
            )
            await owner_fakes.until(lambda: bool(second.recovery._streams))
            members.heard["cq-1"] = member
            await owner_fakes.until(lambda: bool(entry.readers))
            with owner_fakes.later(monkeypatch, 60.0):
                bench.owner.sweep_once()
            finish.set()
            async with await reading_task as response:
                assert b'"outcome":"completed"' in await response.read()
            assert (await owner_fakes.ended(entry))["outcome"] == "completed"
            assert not bench.servers.stopped

    run(work())
