"""Scripted fake instances on local sockets, for tests of the caller package."""

import asyncio
import collections
import collections.abc
import contextlib
import json
import typing

import uvicorn
import xxhash
from starlette import applications, requests, responses, routing

import cassiaquay

TEXTS = ["Two ", "plus ", "two ", "is ", "fünf."]
DATA = [json.dumps({"text": text}, ensure_ascii=False) for text in TEXTS]
DIGEST = xxhash.xxh3_128_hexdigest("".join(DATA).encode())
TIMEOUT_SECONDS = 20.0


class ReceivedRequest(typing.NamedTuple):
    method: str
    verb: str
    request_id: str
    start: int
    body: dict[str, typing.Any]


class FakeInstances:
    """Fake instances with one shared script.

    Each request or resume takes the next step of the script; the last step repeats.
    """

    def __init__(self, script: list[typing.Any]) -> None:
        self.script = script
        self.received: list[ReceivedRequest] = []
        self.outcome = {"outcome": "outcome_unknown", "code": "lost"}
        self.outcome_status = 200
        self.cancel_outcome = {"outcome": "not_run", "code": "cancelled"}
        self.acknowledged_ids: list[str] = []
        self.cancelled_ids: list[str] = []
        self.keep_seconds = 10.0
        self.lists_addresses = True
        self.ports: list[int] = []
        self.app = applications.Starlette(
            routes=[
                routing.Route("/v1/addresses", self.addresses),
                routing.Route(
                    "/v1/requests/{id}", self.request, methods=["GET", "POST"]
                ),
                routing.Route(
                    "/v1/requests/{id}", self.acknowledge, methods=["DELETE"]
                ),
                routing.Route("/v1/requests/{id}/outcome", self.report_outcome),
                routing.Route(
                    "/v1/requests/{id}/cancel", self.cancel, methods=["POST"]
                ),
            ]
        )

    @property
    def request_ids(self) -> list[str]:
        """Distinct request ids in the order of their first attempt."""
        return list(dict.fromkeys(request.request_id for request in self.received))

    async def addresses(self, _: requests.Request) -> responses.Response:
        listed = [
            {
                "address": f"127.0.0.1:{port}",
                "instance": f"cq-{index}",
                "domain": "east",
                "token": f"cq-{index}.life",
            }
            for index, port in enumerate(self.ports)
        ]
        if not self.lists_addresses:
            return responses.JSONResponse({}, status_code=503)
        return responses.JSONResponse(
            {"keep_seconds": self.keep_seconds, "addresses": listed}
        )

    async def request(self, request: requests.Request) -> responses.Response:
        assert request.headers["authorization"] == "Bearer secret"
        start = int(request.query_params.get("from", 0))
        raw = await request.body()
        body = json.loads(raw) if raw else {}
        request_id = request.path_params["id"]
        self.received.append(
            ReceivedRequest(request.method, "", request_id, start, body)
        )
        step = self.script.pop(0) if len(self.script) > 1 else self.script[0]
        return await step(start)

    async def acknowledge(self, request: requests.Request) -> responses.Response:
        self.acknowledged_ids.append(request.path_params["id"])
        return responses.JSONResponse({})

    async def report_outcome(self, _: requests.Request) -> responses.Response:
        return responses.JSONResponse(self.outcome, status_code=self.outcome_status)

    async def cancel(self, request: requests.Request) -> responses.Response:
        self.cancelled_ids.append(request.path_params["id"])
        return responses.JSONResponse(self.cancel_outcome)


def event(number: int, data: str) -> bytes:
    return f"id: {number}\ndata: {data}\n\n".encode()


def final(count: int = len(DATA), digest: str = DIGEST) -> bytes:
    value = {"outcome": "completed", "code": "completed"}
    text = json.dumps({**value, "count": count, "digest": digest})
    return f"event: final\ndata: {text}\n\n".encode()


def reply(chunks: list[bytes], *, cut: bool = False) -> responses.Response:
    async def body() -> collections.abc.AsyncIterator[bytes]:
        for chunk in chunks:
            yield chunk
        if cut:
            raise ConnectionError("the fake instance cuts the stream here")

    return responses.StreamingResponse(body(), media_type="text/event-stream")


async def send_whole(start: int) -> responses.Response:
    events = [event(n, DATA[n]) for n in range(start, len(DATA))]
    # Split the body inside a multi-byte character.
    joined = b"".join(events)
    offset = joined.find("ü".encode()) + 1
    return reply([joined[:offset], joined[offset:], final()])


async def send_corrupt(start: int) -> responses.Response:
    events = [event(n, DATA[n]) for n in range(start, len(DATA))]
    return reply([*events[:-1], event(len(DATA) - 1, DATA[0]), final()])


async def send_short(start: int) -> responses.Response:
    return reply([*[event(n, DATA[n]) for n in range(start, 2)], final()])


async def send_cut(start: int) -> responses.Response:
    return reply([event(n, DATA[n]) for n in range(start, 2)], cut=True)


async def never_answer(_: int) -> responses.Response:
    await asyncio.sleep(TIMEOUT_SECONDS)
    return responses.JSONResponse({})


def refuse(status: int, outcome: str, code: str, **more: typing.Any) -> typing.Any:
    async def step(_: int) -> responses.Response:
        body = {"outcome": outcome, "code": code, "message": code, **more}
        return responses.JSONResponse(body, status_code=status)

    return step


SHED = refuse(503, "not_run", "shed_overload", retry_after_ms=1)
OWNER_GONE = refuse(502, "outcome_unknown", "owner_gone")


@contextlib.asynccontextmanager
async def serve(
    script: list[typing.Any], count: int = 1, **settings: typing.Any
) -> collections.abc.AsyncIterator[tuple[FakeInstances, cassiaquay.Session]]:
    fake = FakeInstances(script)
    servers = []
    tasks = []
    for _ in range(count):
        config = uvicorn.Config(
            fake.app,
            host="127.0.0.1",
            port=0,
            log_level="critical",
            lifespan="off",
            timeout_graceful_shutdown=1,
        )
        server = uvicorn.Server(config)
        tasks.append(asyncio.create_task(server.serve()))
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while not server.started:
                await asyncio.sleep(0.005)
        fake.ports.append(server.servers[0].sockets[0].getsockname()[1])
        servers.append(server)
    values = {"backoff_base": 0.001, "timeout": TIMEOUT_SECONDS, **settings}
    chosen = cassiaquay.Settings(
        seeds=[f"127.0.0.1:{fake.ports[0]}"],
        domain="east",
        credential="secret",
        **values,
    )
    try:
        async with cassiaquay.Session(chosen) as session:
            yield fake, session
    finally:
        for server in servers:
            server.should_exit = True
        await asyncio.gather(*tasks)


def run(scenario: collections.abc.Coroutine[typing.Any, typing.Any, None]) -> None:
    async def run_with_timeout() -> None:
        async with asyncio.timeout(3 * TIMEOUT_SECONDS):
            await scenario

    asyncio.run(run_with_timeout())
