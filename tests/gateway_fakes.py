"""A store, engines and callers for the gateway, byte by byte."""

import asyncio
import base64
import collections.abc
import contextlib
import json
import socket
import struct
import typing
import urllib.parse

import aiohttp
import yarl

from cassiaquay_daemon import daemon
from cassiaquay_daemon.platform import documents, store
from cassiaquay_schema import settings as settings_schema

# Imported for what they register.
ADAPTERS = (documents, store)
HOST = "host.example"
SECONDS = 15.0
PIECES = 6


class Request(typing.NamedTuple):
    """One request as a server or the store got it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def attempt(self) -> str:
        """The caller's id."""
        return self.headers.get("cassiaquay-attempt-id", "")


Writer = asyncio.StreamWriter
Respond = collections.abc.Callable[[Request, Writer], collections.abc.Awaitable[None]]


class RawServer:
    """An HTTP server whose answers are written byte by byte."""

    def __init__(self) -> None:
        self.requests: list[Request] = []
        self.address = ""
        self.closed_under: list[str] = []
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """Close everything."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def respond(self, request: Request, writer: Writer) -> None:
        """Answer one request."""
        raise NotImplementedError

    async def _accept(self, reader: asyncio.StreamReader, writer: Writer) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            while not writer.is_closing():
                request = await _read(reader)
                if request is None:
                    return
                self.requests.append(request)
                work = asyncio.create_task(self.respond(request, writer))
                closed = asyncio.create_task(reader.read(1))
                done, _ = await asyncio.wait(
                    [work, closed], return_when=asyncio.FIRST_COMPLETED
                )
                if work not in done:
                    self.closed_under.append(request.attempt)
                    work.cancel()
                    await asyncio.gather(work, return_exceptions=True)
                    return
                await work
                closed.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    if await closed:
                        raise AssertionError("bytes between requests")
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


async def _read(reader: asyncio.StreamReader) -> Request | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


class Store(RawServer):
    """The platform's store: one configuration and the servers' entries."""

    def __init__(self) -> None:
        super().__init__()
        self.revision = 1
        self.down = False
        self.items: dict[str, tuple[int, bytes]] = {}

    def put(self, key: str, value: object) -> None:
        """Write a key; bytes as they are, anything else as JSON."""
        self.revision += 1
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.items[key] = (self.revision, data)

    def remove(self, key: str) -> None:
        """Remove a key."""
        self.revision += 1
        del self.items[key]

    async def respond(self, request: Request, writer: Writer) -> None:
        """Answer a read."""
        path, _, query = request.target.partition("?")
        asked = dict(urllib.parse.parse_qsl(query))
        status, body = 404, {}
        if self.down:
            status = 503
        elif path == "/cassiaquay/kv-key" and asked["key"] in self.items:
            status, body = 200, self._item(asked["key"])
        elif path == "/cassiaquay/kv-range":
            status, body = 200, self._page(asked)
        data = json.dumps(body | {"current-rev": self.revision}).encode()
        writer.write(
            b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n" % (status, len(data))
        )
        writer.write(data)
        await writer.drain()

    def _item(self, key: str) -> dict:
        revision, value = self.items[key]
        text = base64.b64encode(value).decode()
        return {
            "key": key,
            "value": text,
            "revision": revision,
            "created": revision,
            "lease": 0,
        }

    def _page(self, asked: dict[str, str]) -> dict:
        keys = [key for key in sorted(self.items) if key > asked.get("after", "")]
        keys = [key for key in keys if key.startswith(asked["path-prefix"])]
        return {
            "items": [self._item(key) for key in keys[:2]],
            "truncated": len(keys) > 2,
        }


class Engine(RawServer):
    """A backend server that answers as `act` says."""

    def __init__(self, name: str):
        super().__init__()
        self.name = name
        self.act: Respond = whole

    @property
    def runs(self) -> list[str]:
        """Attempts that it got."""
        return [request.attempt for request in self.requests]

    async def respond(self, request: Request, writer: Writer) -> None:
        """Answer a request, unless it was meant for another server."""
        meant = request.headers["cassiaquay-expect-instance"]
        if meant.removesuffix("-plain") != self.name:
            await send(writer, 421, b"", {"Cassiaquay-Instance-Id": self.name})
            return
        await self.act(request, writer)


async def send(
    writer: Writer, status: int, body: bytes, headers: dict[str, str]
) -> None:
    """Write an answer with a length."""
    head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    writer.write(
        f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{head}\r\n".encode()
    )
    writer.write(body)
    await writer.drain()


def reset(writer: Writer) -> None:
    """Reset a connection, as a crashed server's machine does."""
    bound = writer.get_extra_info("socket")
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def seal(request: Request) -> dict[str, str]:
    """Return the headers of a server's own answer."""
    return {
        "Cassiaquay-Attempt-Id": request.attempt,
        "Cassiaquay-Response-Seal": f"seal-{request.attempt}",
    }


async def whole(request: Request, writer: Writer) -> None:
    """Answer well: events for a stream, a body otherwise."""
    if not request.target.startswith("/s"):
        await send(writer, 200, b"body of " + request.attempt.encode(), seal(request))
        return
    await begin(request, writer)
    await pieces(request, writer, PIECES)
    writer.write(b"0\r\n\r\n")
    await writer.drain()


async def begin(request: Request, writer: Writer) -> None:
    """Write the head of a stream."""
    head = "".join(f"{name}: {value}\r\n" for name, value in seal(request).items())
    writer.write(f"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n{head}\r\n".encode())


async def pieces(request: Request, writer: Writer, until: int) -> None:
    """Write events from where the request goes on until a number."""
    first = int(request.headers.get("last-event-id", "-1")) + 1
    for number in range(first, until):
        event = b"id: %d\ndata: piece %d\n\n" % (number, number)
        writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        await writer.drain()


def stream(until: int = PIECES) -> bytes:
    """Return the events of a whole answer."""
    return b"".join(
        b"id: %d\ndata: piece %d\n\n" % (number, number) for number in range(until)
    )


def route(prefix: str, kind: str, service: str, **more: object) -> dict:
    """Return one route of the configuration."""
    return {
        "name": f"r{prefix}",
        "host": HOST,
        "path-prefix": prefix,
        "kind": kind,
        "service": service,
        "timeout-ms": 5000,
        "slo-ms": 1000,
        "priority": 0,
        "attempts": 2,
        "gap-target-ms": 300,
    } | more


ROUTES = [
    route("/safe/", "idempotent", "plain"),
    route("/book/", "non_idempotent", "plain"),
    route("/stream/", "stream", "chat", **{"can-resume": True}),
    route("/string/", "stream", "chat"),
    route("/short/", "non_idempotent", "plain", **{"timeout-ms": 300}),
]


def configuration(version: int = 1, **more: object) -> dict:
    """Return a configuration document."""
    return {
        "version": version,
        "routes": ROUTES,
        "services": [
            {"name": "chat", "engine": {"slots": 4, "stride": 1}},
            {"name": "plain"},
        ],
        "limits": {"max-body-bytes": 100_000},
        "tenants": [{"name": "blue", "api-keys": ["key"]}],
    } | more


class Site:
    """A store, two engines and some daemons before them."""

    def __init__(self) -> None:
        self.store = Store()
        self.engines = [Engine("i-1"), Engine("i-2")]
        self.daemons: list[daemon.Daemon] = []
        self.settings: list[settings_schema.Settings] = []
        self.http: aiohttp.ClientSession
        self._count = 0
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self, count: int = 1) -> None:
        """Start everything and wait until it serves."""
        self.http = aiohttp.ClientSession()
        await self.store.start()
        for engine in self.engines:
            await engine.start()
            self.enlist(engine)
        self.store.put("op/config", configuration())
        seeds = [f"127.0.0.1:{free_port()}" for _ in range(count)]
        for number in range(count):
            await self.add(f"cq-{number + 1}", seeds[number], seeds)
        for found in self.settings:
            await self.until_ready(found)

    def enlist(self, engine: Engine, **more: object) -> None:
        """Register an engine for both services."""
        for service in ("chat", "plain"):
            entry = {
                "service": service,
                "addr": engine.address,
                "zone": "a",
                "slots": 4,
                "state": "ready",
                "born": 1,
            }
            name = engine.name if service == "chat" else f"{engine.name}-plain"
            self.store.put(f"servers/{name}", entry | more)

    async def add(self, name: str, peer: str, seeds: list[str]) -> None:
        """Start a daemon."""
        address = self.store.address
        settings = settings_schema.Settings(
            instance=name,
            domain="a",
            keys=["key"],
            peer_listen=peer,
            seeds=seeds,
            platform=settings_schema.Platform(
                configuration=address,
                configuration_adapter="store",
                instances=address,
                instances_adapter="none",
                text_format="store",
                servers=address,
                servers_seconds=0.1,
            ),
            membership=settings_schema.Membership(period=0.1, refresh_seconds=0.5),
            keeper=settings_schema.Keeper(policy="objectives", renew_seconds=0.1),
            gateway=settings_schema.Gateway(
                front=f"127.0.0.1:{free_port()}",
                ready=f"127.0.0.1:{free_port()}",
                directory=f"127.0.0.1:{free_port()}",
                grace_seconds=3.0,
                retry_extra=1000.0,
                first_start=True,
            ),
        )
        made = daemon.Daemon(settings)
        self.daemons.append(made)
        self.settings.append(settings)
        self._tasks.append(asyncio.create_task(made.run()))

    async def until_ready(self, settings: settings_schema.Settings) -> None:
        """Wait until a daemon is ready and knows its servers."""
        url = f"http://{settings.gateway.ready}/cassiaquay/ready"
        while True:
            with contextlib.suppress(aiohttp.ClientError):
                async with self.http.get(url) as response:
                    if response.status == 200:
                        break
            await asyncio.sleep(0.02)
        made = self.daemons[self.settings.index(settings)]
        while not made._servers.entries:
            await asyncio.sleep(0.02)

    async def ask(
        self, path: str, method: str = "POST", body: bytes = b"b", **headers: str
    ) -> "Got":
        """Send a request as a caller and read its answer to the end."""
        self._count += 1
        attempt = f"attempt{self._count}"
        pairs = {
            "Host": HOST,
            "Cassiaquay-Attempt-Id": attempt,
            "Cassiaquay-Deadline-Ms": "4000",
            "Api-Key": "key",
        }
        if path.startswith("/s") and not path.startswith(("/safe", "/short")):
            pairs |= {
                "Cassiaquay-Model": "m",
                "Cassiaquay-Token-Counts": "100,6",
                "Cassiaquay-Prompt-Prefix": "aa:100",
            }
        for name, value in headers.items():
            pairs[name.replace("_", "-")] = value
        url = yarl.URL(f"http://{self.settings[0].gateway.front}{path}", encoded=True)
        async with self.http.request(method, url, data=body, headers=pairs) as response:
            read = b""
            try:
                async for part in response.content.iter_any():
                    read += part
                complete = True
            except aiohttp.ClientPayloadError:
                complete = False
            found = {name.lower(): value for name, value in response.headers.items()}
            return Got(attempt, response.status, found, read, complete)

    def engine_of(self, attempt: str) -> list[Engine]:
        """Return the engines that got an attempt, as often as they did."""
        found = []
        for engine in self.engines:
            found += [engine] * engine.runs.count(attempt)
        return found

    def let(self, act: Respond) -> None:
        """Let the first run of each attempt be answered by ``act``, others well."""
        seen: set[str] = set()

        async def once(request: Request, writer: Writer) -> None:
            if request.attempt in seen:
                await whole(request, writer)
                return
            seen.add(request.attempt)
            await act(request, writer)

        for engine in self.engines:
            engine.act = once

    async def stop(self) -> None:
        """Stop everything."""
        for made in self.daemons:
            made._stopping.set()
        await asyncio.gather(*self._tasks)
        for server in [self.store, *self.engines]:
            await server.stop()
        await self.http.close()


class Got(typing.NamedTuple):
    """What a caller got."""

    attempt: str
    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


def free_port() -> int:
    """Return a port that is free now."""
    with socket.create_server(("127.0.0.1", 0)) as bound:
        return int(bound.getsockname()[1])


@contextlib.asynccontextmanager
async def site(count: int = 1) -> collections.abc.AsyncIterator[Site]:
    """Give a site that serves."""
    made = Site()
    async with asyncio.timeout(SECONDS):
        await made.start(count)
    try:
        yield made
    finally:
        await made.stop()


def run(work: collections.abc.Callable[[Site], typing.Any], count: int = 1) -> None:
    """Run a test's work at a site."""

    async def bounded() -> None:
        async with site(count) as made, asyncio.timeout(SECONDS):
            await work(made)

    asyncio.run(bounded())
