"""Instance list of the platform stand-in, whose changes become visible with a lag."""

import collections
import time
import typing

from starlette import requests, responses, routing

from . import platform_settings


class Instance(typing.TypedDict):
    """One entry of the list, as in docs/BACKENDS.md."""

    name: str
    kind: str
    domain: str
    http: str
    peer: str
    state: str


class InstanceList:
    """Instances by name; a change is visible ``instances_lag_ms`` after its call."""

    def __init__(self, settings: platform_settings.PlatformSettings) -> None:
        self._lag_s = settings.instances_lag_ms / 1000
        self._visible: dict[str, Instance] = {}
        self._pending: collections.deque[tuple[float, str, Instance | None]]
        self._pending = collections.deque()

    def routes(self) -> list[routing.Route]:
        """Return the routes of the list and its control routes."""
        return [
            routing.Route("/v1/instances", self._get, methods=["GET"]),
            routing.Route("/control/instances", self._put, methods=["PUT"]),
            routing.Route(
                "/control/instances/{name}", self._delete, methods=["DELETE"]
            ),
        ]

    async def _get(self, request: requests.Request) -> responses.Response:
        now = time.monotonic()
        while self._pending and self._pending[0][0] <= now:
            _, name, entry = self._pending.popleft()
            if entry is None:
                self._visible.pop(name, None)
                continue
            self._visible[name] = entry
        return responses.JSONResponse({"instances": list(self._visible.values())})

    async def _put(self, request: requests.Request) -> responses.Response:
        body = await request.json()
        entry: Instance = {
            "name": body["name"],
            "kind": body["kind"],
            "domain": body["domain"],
            "http": body["http"],
            "peer": body.get("peer", ""),
            "state": body.get("state", "live"),
        }
        self._pending.append((time.monotonic() + self._lag_s, entry["name"], entry))
        return responses.JSONResponse(entry)

    async def _delete(self, request: requests.Request) -> responses.Response:
        name = request.path_params["name"]
        self._pending.append((time.monotonic() + self._lag_s, name, None))
        return responses.JSONResponse({"name": name})
