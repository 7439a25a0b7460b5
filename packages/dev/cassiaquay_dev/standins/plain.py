"""Plain service stand-in: a queue, a number of slots and a service time.

Run as ``python -m cassiaquay_dev.standins.plain --slots 8`` with the fields of
`PlainSettings` as flags. It answers any POST outside ``/control`` and does not detect
repeats: it runs and logs each request that it receives.
"""

import asyncio
import random
import time
import typing

import fire
from starlette import applications, requests, responses, routing

from . import echoes, serving

RUNNING = "running"
COMPLETED = "completed"
FAILED = "failed"


class PlainSettings(typing.NamedTuple):
    """Settings of a plain service; each is a flag of the same name.

    The service time is uniform between ``1 - spread`` and ``1 + spread`` times
    ``service_ms``.
    """

    port: int = 0
    slots: int = 8
    service_ms: float = 20.0
    spread: float = 0.2
    seed: int = 1


class Run(typing.TypedDict):
    """Log entry of one run; ``at`` and ``finished_at`` are seconds since 1970."""

    id: str
    path: str
    at: float
    finished_at: float | None
    state: str
    repeat: bool


class Plain:
    """One plain service and its HTTP interface."""

    def __init__(self, settings: PlainSettings) -> None:
        self.runs: list[Run] = []
        self.app = applications.Starlette(
            routes=[
                routing.Route("/control/slow", self._slow, methods=["POST"]),
                routing.Route("/control/fail", self._fail, methods=["POST"]),
                routing.Route("/control/hang", self._hang, methods=["POST"]),
                routing.Route("/control/log", self._log, methods=["GET"]),
                routing.Route("/{path:path}", self._run, methods=["POST"]),
            ]
        )
        self.app.add_middleware(echoes.Echoes)
        self._settings = settings
        self._random = random.Random(settings.seed)
        self._slots = asyncio.Semaphore(settings.slots)
        self._not_hung = asyncio.Event()
        self._not_hung.set()
        self._slow_factor = 1.0
        self._fail_share = 0.0
        self._seen_ids: set[str] = set()

    def start(self) -> None:
        """Do nothing: a plain service has no background task."""

    async def stop(self) -> None:
        """Release the runs that a hang suspended."""
        self._not_hung.set()

    async def _run(self, request: requests.Request) -> responses.Response:
        try:
            payload = await request.json()
        except ValueError:
            return responses.JSONResponse({"code": "bad_request"}, status_code=400)
        request_id = request.headers.get("X-Request-Id", "")
        async with self._slots:
            run = self._log_run(request_id, request.url.path)
            await asyncio.sleep(self._service_seconds())
            await self._not_hung.wait()
            failed = self._random.random() < self._fail_share
            run["state"] = FAILED if failed else COMPLETED
            run["finished_at"] = time.time()
        if failed:
            content = {"ok": False, "id": request_id, "code": "failed"}
            return responses.JSONResponse(content, status_code=500)
        content = {"ok": True, "id": request_id, "path": run["path"], "echo": payload}
        return responses.JSONResponse(content)

    def _log_run(self, request_id: str, path: str) -> Run:
        run: Run = {
            "id": request_id,
            "path": path,
            "at": time.time(),
            "finished_at": None,
            "state": RUNNING,
            "repeat": bool(request_id) and request_id in self._seen_ids,
        }
        self._seen_ids.add(request_id)
        self.runs.append(run)
        return run

    def _service_seconds(self) -> float:
        spread = self._random.uniform(-self._settings.spread, self._settings.spread)
        return self._settings.service_ms / 1000 * (1 + spread) * self._slow_factor

    async def _slow(self, request: requests.Request) -> responses.Response:
        self._slow_factor = float((await request.json())["factor"])
        return responses.JSONResponse({"factor": self._slow_factor})

    async def _fail(self, request: requests.Request) -> responses.Response:
        self._fail_share = float((await request.json())["share"])
        return responses.JSONResponse({"share": self._fail_share})

    async def _hang(self, request: requests.Request) -> responses.Response:
        on = bool((await request.json())["on"])
        if on:
            self._not_hung.clear()
        else:
            self._not_hung.set()
        return responses.JSONResponse({"on": on})

    async def _log(self, request: requests.Request) -> responses.Response:
        return responses.JSONResponse({"runs": self.runs})


def main(**flags: typing.Any) -> None:
    """Run a plain service until SIGTERM."""
    settings = PlainSettings(**flags)
    serving.run(lambda: [(Plain(settings), settings.port)])


if __name__ == "__main__":
    fire.Fire(main)
