"""Instance list of the platform stand-in, published with a lag."""

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
    """Entries by name; a change is visible ``instances_lag_ms`` after its order."""

    def __init__(self, settings: platform_settings.PlatformSettings) -> None:
        self._lag = settings.instances_lag_ms / 1000
        self._visible: dict[str, Instance] = {}
        self._due: collections.deque[tuple[float, str, Instance | None]]
        self._due = collections.deque()

    def routes(self) -> list[routing.Route]:
        """Return the routes of the list and of its control."""
        return [
            routing.Route("/v1/instances", self._get, methods=["GET"]),
            routing.Route("/control/instances", self._put, methods=["PUT"]),
            routing.Route(
                "/control/instances/{name}", self._delete, methods=["DELETE"]
            ),
        ]

    async def _get(self, request: requests.Request) -> responses.Response:
        now = time.monotonic()
        while self._due and self._due[0][0] <= now:
            _, name, entry = self._due.popleft()
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
        self._due.append((time.monotonic() + self._lag, entry["name"], entry))
        return responses.JSONResponse(entry)

    async def _delete(self, request: requests.Request) -> responses.Response:
        name = request.path_params["name"]
        self._due.append((time.monotonic() + self._lag, name, None))
        return responses.JSONResponse({"name": name})
