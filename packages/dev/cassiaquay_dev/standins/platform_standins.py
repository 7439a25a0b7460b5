"""Minimal stand-ins for the users' platform: store, engines, configuration document."""

import asyncio
import base64
import contextlib
import json
import typing
import urllib.parse

from . import raw_servers

HOST = "host.example"
# Events of a complete answer.
EVENT_COUNT = 6


class Copy(typing.NamedTuple):
    """The content of the store at one revision."""

    revision: int
    items: dict[str, tuple[int, bytes]]


class Store(raw_servers.RawServer):
    """The platform's key-value store: the configuration and the servers' entries.

    Attributes
    ----------
    epoch : str
        Value of the header that counts the returns from a copy; empty for no header.
    calls : int
        Number of answered calls.
    """

    def __init__(self) -> None:
        super().__init__()
        self.revision = 1
        self.epoch = "1"
        self.down = False
        self.calls = 0
        self.items: dict[str, tuple[int, bytes]] = {}
        # Revision, key and new value (None: removed) of each change since the last
        # return from a copy.
        self._history: list[tuple[int, str, bytes | None]] = []
        self._history_start = 0
        # Revision at which each key was created, by the revision of each change.
        self._created: dict[int, int] = {}
        self._changed = asyncio.Event()

    def put(self, key: str, value: object) -> None:
        """Write a key; bytes are stored unchanged, other values as JSON."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._note_change(key, data)
        self.items[key] = (self.revision, data)

    def remove(self, key: str) -> None:
        """Remove a key."""
        self._note_change(key, None)
        del self.items[key]

    def forget(self) -> None:
        """Discard the history of changes."""
        self._history = []
        self._history_start = self.revision
        self._wake_watches()

    def copy(self) -> Copy:
        """Return a copy of the content."""
        return Copy(self.revision, dict(self.items))

    def restore(self, copy: Copy) -> None:
        """Return from a copy, in a new epoch and without history."""
        self.revision = copy.revision
        self.items = dict(copy.items)
        self.epoch = str(int(self.epoch or "1") + 1)
        self._history = []
        self._history_start = copy.revision
        self._wake_watches()

    async def respond(
        self, request: raw_servers.Request, writer: raw_servers.Writer
    ) -> None:
        """Answer a read of a key or of a range of keys, or a watch."""
        self.calls += 1
        path, _, query = request.target.partition("?")
        parameters = dict(urllib.parse.parse_qsl(query))
        status, body = 404, {}
        if self.down:
            status = 503
        elif path == "/cassiaquay/kv-key" and parameters["key"] in self.items:
            status, body = 200, self._item(parameters["key"])
        elif path == "/cassiaquay/kv-range":
            status, body = 200, self._page(parameters)
        elif path == "/cassiaquay/kv-watch":
            status, body = await self._watch(parameters)
        data = json.dumps(body | {"current-rev": self.revision}).encode()
        writer.write(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n" % (status, len(data)))
        if self.epoch:
            writer.write(b"Store-Era: %b\r\n" % self.epoch.encode())
        writer.write(b"\r\n")
        writer.write(data)
        await writer.drain()

    def _note_change(self, key: str, value: bytes | None) -> None:
        self.revision += 1
        created = self.revision
        if key in self.items:
            created = self._created.get(self.items[key][0], created)
        self._created[self.revision] = created
        self._history.append((self.revision, key, value))
        self._wake_watches()

    def _wake_watches(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _item(self, key: str) -> dict[str, typing.Any]:
        revision, value = self.items[key]
        return _item(key, revision, value, self._created.get(revision, revision))

    def _page(self, parameters: dict[str, str]) -> dict[str, typing.Any]:
        keys = [key for key in sorted(self.items) if key > parameters.get("after", "")]
        keys = [key for key in keys if key.startswith(parameters["path-prefix"])]
        return {
            "items": [self._item(key) for key in keys[:2]],
            "truncated": len(keys) > 2,
        }

    async def _watch(
        self, parameters: dict[str, str]
    ) -> tuple[int, dict[str, typing.Any]]:
        after = int(parameters["after"])
        prefix = parameters["path-prefix"]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(parameters["wait-ms"]) / 1000):
                while True:
                    if not self._history_start <= after <= self.revision:
                        return 410, {}
                    events = []
                    for revision, key, value in self._history:
                        if revision > after and key.startswith(prefix):
                            created = self._created.get(revision, revision)
                            events.append(_item(key, revision, value, created))
                    if events:
                        return 200, {"events": events}
                    await self._changed.wait()
        return 200, {"events": []}


def _item(
    key: str, revision: int, value: bytes | None, created: int
) -> dict[str, typing.Any]:
    """Return an item as it was written, or that it was removed."""
    if value is None:
        return {"key": key, "revision": revision, "tombstone": True}
    return {
        "key": key,
        "value": base64.b64encode(value).decode(),
        "revision": revision,
        "created": created,
        "lease": 0,
    }


class Engine(raw_servers.RawServer):
    """A backend server whose answers the callable `responder` writes.

    Attributes
    ----------
    born : int
        Start time of its process as it reports it, Unix milliseconds.
    """

    def __init__(self, name: str):
        super().__init__()
        self.name = name
        self.born = 1
        self.responder: raw_servers.Respond = send_complete_answer

    @property
    def runs(self) -> list[str]:
        """Attempt ids of the requests that it received."""
        return [request.attempt for request in self.requests]

    async def respond(
        self, request: raw_servers.Request, writer: raw_servers.Writer
    ) -> None:
        """Answer a request; send 421 if it is addressed to another server."""
        if request.target == "/cassiaquay/report":
            self.requests.remove(request)
            report = json.dumps({"stage": "mixed", "born": self.born}).encode()
            await raw_servers.send(writer, 200, report, {})
            return
        expected_instance = request.headers["cassiaquay-expect-instance"]
        if expected_instance.removesuffix("-plain") != self.name:
            await raw_servers.send(
                writer, 421, b"", {"Cassiaquay-Instance-Id": self.name}
            )
            return
        await self.responder(request, writer)


def seal_headers(request: raw_servers.Request) -> dict[str, str]:
    """Return the headers that mark an answer as the server's own."""
    return {
        "Cassiaquay-Attempt-Id": request.attempt,
        "Cassiaquay-Response-Seal": f"seal-{request.attempt}",
    }


async def send_complete_answer(
    request: raw_servers.Request, writer: raw_servers.Writer
) -> None:
    """Send a complete 200 answer: all events for a stream, a body otherwise."""
    if not request.target.startswith("/s"):
        await raw_servers.send(
            writer, 200, b"body of " + request.attempt.encode(), seal_headers(request)
        )
        return
    await write_stream_head(request, writer)
    await write_events(request, writer, EVENT_COUNT)
    writer.write(b"0\r\n\r\n")
    await writer.drain()


async def write_stream_head(
    request: raw_servers.Request, writer: raw_servers.Writer
) -> None:
    """Write the response head of a stream."""
    raw_servers.write_head(
        writer, {"Transfer-Encoding": "chunked"} | seal_headers(request)
    )


async def write_events(
    request: raw_servers.Request, writer: raw_servers.Writer, until: int
) -> None:
    """Write the events up to ``until``, from the first one that the request lacks."""
    first = int(request.headers.get("last-event-id", "-1")) + 1
    for number in range(first, until):
        data = event(number)
        writer.write(b"%x\r\n%b\r\n" % (len(data), data))
        await writer.drain()


def event(number: int) -> bytes:
    """Return one event of a stream."""
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


def stream_events(until: int = EVENT_COUNT) -> bytes:
    """Return the events 0 to ``until - 1`` as event-stream bytes."""
    return b"".join(event(number) for number in range(until))


def route(
    prefix: str, kind: str, service: str, **overrides: object
) -> dict[str, typing.Any]:
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
    } | overrides


ROUTES = [
    route("/safe/", "idempotent", "plain"),
    route("/book/", "non_idempotent", "plain"),
    route("/stream/", "stream", "chat", **{"can-resume": True}),
    route("/string/", "stream", "chat"),
    route("/short/", "non_idempotent", "plain", **{"timeout-ms": 300}),
]


def configuration(version: int = 1, **overrides: object) -> dict[str, typing.Any]:
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
    } | overrides
