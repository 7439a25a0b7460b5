"""Weight store of the platform stand-in, with limits on concurrency and rate."""

import asyncio
import time
import typing

from starlette import requests, responses, routing

from . import platform_settings


class Transfer(typing.TypedDict):
    """Log entry of one call; ``at`` is seconds since 1970."""

    model: str
    version: str
    at: float
    status: int


class WeightStore:
    """Serves weights; limits concurrent transfers and transfer starts per second."""

    def __init__(self, settings: platform_settings.PlatformSettings) -> None:
        self.transfers: list[Transfer] = []
        self._settings = settings
        self._running = 0
        self._refuse_all = False
        self._rate_tokens = max(1.0, settings.weights_per_second)
        self._refilled_at = time.monotonic()

    def routes(self) -> list[routing.Route]:
        """Return the routes of the store and its control routes."""
        return [
            routing.Route("/v1/weights/{model}/{version}", self._get, methods=["GET"]),
            routing.Route("/control/weights", self._log, methods=["GET"]),
            routing.Route("/control/weights", self._set_refuse, methods=["POST"]),
        ]

    def _admit(self) -> bool:
        rate = self._settings.weights_per_second
        now = time.monotonic()
        refill = (now - self._refilled_at) * rate
        self._refilled_at = now
        self._rate_tokens = min(max(1.0, rate), self._rate_tokens + refill)
        if self._refuse_all or self._running >= self._settings.weights_concurrent:
            return False
        if self._rate_tokens < 1:
            return False
        self._rate_tokens -= 1
        return True

    async def _get(self, request: requests.Request) -> responses.Response:
        model = request.path_params["model"]
        version = request.path_params["version"]
        admitted = self._admit()
        status = 200 if admitted else 429
        self.transfers.append(
            {"model": model, "version": version, "at": time.time(), "status": status}
        )
        if not admitted:
            headers = {"Retry-After": f"{self._settings.weights_retry_seconds:g}"}
            return responses.JSONResponse(
                {"code": "over_rate"}, status_code=status, headers=headers
            )
        self._running += 1
        try:
            await asyncio.sleep(self._settings.weights_transfer_ms / 1000)
        finally:
            self._running -= 1
        return responses.JSONResponse({"model": model, "version": version})

    async def _set_refuse(self, request: requests.Request) -> responses.Response:
        self._refuse_all = bool((await request.json())["refuse"])
        return responses.JSONResponse({"refuse": self._refuse_all})

    async def _log(self, request: requests.Request) -> responses.Response:
        return responses.JSONResponse({"transfers": self.transfers})
