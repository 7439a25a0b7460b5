"""Configuration service of the platform stand-in, with faults set over HTTP."""

import asyncio
import collections
import pathlib
import time

from starlette import requests, responses, routing

from . import platform_settings

MAX_WAIT_SECONDS = 60.0


class ConfigService:
    """Stores revisions of one text and serves them by long polling.

    A budget limits the calls per time window. Control routes make the service answer
    503 (down) or serve an old revision (stale).
    """

    def __init__(self, settings: platform_settings.PlatformSettings) -> None:
        self.calls = 0
        self.refused = 0
        self._settings = settings
        self._texts: dict[int, str] = {}
        self._revision = 0
        self._stale_revision: int | None = None
        self._down = False
        self._changed = asyncio.Event()
        self._allowed_call_times: collections.deque[float] = collections.deque()
        if settings.config_file:
            self._revision = 1
            self._texts[1] = pathlib.Path(settings.config_file).read_text()

    @property
    def served_revision(self) -> int:
        """The newest revision, or the one set by ``/control/stale``; 0 for none."""
        return self._revision if self._stale_revision is None else self._stale_revision

    def routes(self) -> list[routing.Route]:
        """Return the routes of the service and its control routes."""
        return [
            routing.Route("/v1/config", self._get, methods=["GET"]),
            routing.Route("/control/config", self._put, methods=["PUT"]),
            routing.Route("/control/down", self._set_down, methods=["POST"]),
            routing.Route("/control/stale", self._set_stale, methods=["POST"]),
            routing.Route("/control/calls", self._calls, methods=["GET"]),
        ]

    def _notify(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _count_call(self) -> float:
        """Count a call; return 0 if allowed, else the seconds until the next is."""
        self.calls += 1
        if self._settings.config_calls <= 0:
            return 0.0
        now = time.monotonic()
        window = self._settings.config_window_seconds
        while self._allowed_call_times and self._allowed_call_times[0] <= now - window:
            self._allowed_call_times.popleft()
        if len(self._allowed_call_times) >= self._settings.config_calls:
            self.refused += 1
            return self._allowed_call_times[0] + window - now
        self._allowed_call_times.append(now)
        return 0.0

    async def _get(self, request: requests.Request) -> responses.Response:
        retry_seconds = self._count_call()
        if retry_seconds > 0:
            headers = {"Retry-After": f"{retry_seconds:.3f}"}
            content = {"code": "over_budget"}
            return responses.JSONResponse(content, status_code=429, headers=headers)
        try:
            after = int(request.query_params.get("after", "0"))
            wait = float(request.query_params.get("wait", "0"))
        except ValueError:
            return responses.JSONResponse({"code": "bad_request"}, status_code=400)
        try:
            async with asyncio.timeout(min(max(wait, 0.0), MAX_WAIT_SECONDS)):
                while self.served_revision <= after and not self._down:
                    await self._changed.wait()
        except TimeoutError:
            pass
        if self._down:
            return responses.JSONResponse(
                {"code": "down"}, status_code=503, headers={"Connection": "close"}
            )
        revision = self.served_revision
        if revision <= after:
            return responses.Response(status_code=204)
        return responses.JSONResponse(
            {"revision": revision, "text": self._texts[revision]}
        )

    async def _put(self, request: requests.Request) -> responses.Response:
        text = (await request.body()).decode()
        requested = request.query_params.get("revision")
        self._revision = self._revision + 1 if requested is None else int(requested)
        self._texts[self._revision] = text
        self._notify()
        return responses.JSONResponse({"revision": self._revision})

    async def _set_down(self, request: requests.Request) -> responses.Response:
        self._down = bool((await request.json())["on"])
        self._notify()
        return responses.JSONResponse({"on": self._down})

    async def _set_stale(self, request: requests.Request) -> responses.Response:
        revision = (await request.json())["revision"]
        if revision is not None and revision not in self._texts:
            return responses.JSONResponse({"code": "unknown"}, status_code=404)
        self._stale_revision = revision
        self._notify()
        return responses.JSONResponse({"revision": revision})

    async def _calls(self, request: requests.Request) -> responses.Response:
        content = {"calls": self.calls, "refused": self.refused}
        return responses.JSONResponse(content)
