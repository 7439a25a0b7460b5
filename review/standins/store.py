"""Stand-in of the platform's metadata store."""

import asyncio
import base64
import collections.abc
import json
import typing
import urllib.parse

from . import http

PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000


class Store:
    """Keys with values and revisions, read over HTTP.

    Attributes
    ----------
    address : str
        Listen address once it is started.
    """

    def __init__(self) -> None:
        self.address = ""
        self._revision = 1
        self._items: dict[str, tuple[int, bytes]] = {}
        self._history: list[tuple[int, str]] = []
        self._changed = asyncio.Condition()

    async def start(self, host: str) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, host, 0)
        port = server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    async def put(self, key: str, value: collections.abc.Mapping[str, object]) -> None:
        """Write a key; the return is the acknowledgement."""
        async with self._changed:
            self._revision += 1
            self._items[key] = (self._revision, json.dumps(value).encode())
            self._history.append((self._revision, key))
            self._changed.notify_all()

    async def remove(self, key: str) -> None:
        """Remove a key."""
        async with self._changed:
            self._revision += 1
            self._items.pop(key, None)
            self._history.append((self._revision, key))
            self._changed.notify_all()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                asked = await http.read(reader)
                status, body = await self._answer(asked.target)
                data = json.dumps(body).encode()
                kind = {"Content-Type": "application/json"}
                writer.write(http.response(status, data, kind))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    async def _answer(self, target: str) -> tuple[int, dict[str, typing.Any]]:
        path, _, text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        if path == "/cassiaquay/kv-range":
            return 200, self._page(query["path-prefix"], query.get("after", ""))
        if path == "/cassiaquay/kv-watch":
            return 200, await self._watch(query)
        if path == "/cassiaquay/kv-key" and query["key"] in self._items:
            return 200, self._item(query["key"]) | {"current-rev": self._revision}
        return 404, {"current-rev": self._revision}

    def _item(self, key: str) -> dict[str, typing.Any]:
        revision, value = self._items[key]
        return {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": revision,
            "created": revision,
            "lease": 0,
        }

    def _page(self, prefix: str, after: str) -> dict[str, typing.Any]:
        keys = [key for key in sorted(self._items) if key > after]
        keys = [key for key in keys if key.startswith(prefix)]
        items = []
        size = 0
        for key in keys[:PAGE_ITEMS]:
            size += len(self._items[key][1])
            if items and size > PAGE_BYTES:
                break
            items.append(self._item(key))
        return {
            "items": items,
            "truncated": len(keys) > len(items),
            "current-rev": self._revision,
        }

    async def _watch(self, query: dict[str, str]) -> dict[str, typing.Any]:
        after, prefix = int(query["after"]), query["path-prefix"]
        events: list[dict[str, typing.Any]] = []

        def find() -> bool:
            for revision, key in self._history:
                if revision <= after or not key.startswith(prefix):
                    continue
                if key in self._items:
                    events.append(self._item(key))
                else:
                    events.append({"key": key, "revision": revision, "tombstone": True})
            return bool(events)

        async with self._changed:
            try:
                async with asyncio.timeout(int(query["wait-ms"]) / 1000):
                    await self._changed.wait_for(find)
            except TimeoutError:
                pass
        return {"events": events, "current-rev": self._revision}
