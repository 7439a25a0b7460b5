"""Model engine stand-in: continuous batching behind the HTTP of docs/BACKENDS.md.

Run as ``python -m cassiaquay_dev.standins.engine --model tutor-7b --max_batch 16`` with
the fields of `engine_settings.EngineSettings` as flags. ``--config FILE.json`` hosts
several engines in one process: ``{"engines": [{settings}, …]}``; flags then give the
settings that an entry leaves out.
"""

import asyncio
import base64
import binascii
import json
import pathlib
import typing

import fire
from starlette import applications, requests, responses, routing

from . import (
    blocks,
    echoes,
    engine_answers,
    engine_control,
    engine_model,
    engine_orders,
    engine_settings,
    engine_stream,
    serving,
)


def _bad_request_response(message: str) -> responses.Response:
    content = {"code": "bad_request", "message": message}
    return responses.JSONResponse(content, status_code=400)


def _not_held_response() -> responses.Response:
    return responses.JSONResponse({"code": "not_held"}, status_code=404)


class Engine:
    """HTTP interface of one engine."""

    def __init__(self, settings: engine_settings.EngineSettings) -> None:
        self.settings = settings
        self.model = engine_model.EngineModel(settings)
        self.orders = engine_orders.EngineOrders(settings, self.model)
        self.cuts = engine_answers.Cuts()
        self.app = applications.Starlette(
            routes=[
                routing.Route("/v1/streams/{id}", self._start, methods=["POST"]),
                routing.Route("/v1/streams/{id}", self._resume, methods=["GET"]),
                routing.Route("/v1/streams/{id}", self._cancel, methods=["DELETE"]),
                routing.Route("/v1/kv/export", self._export, methods=["POST"]),
                routing.Route("/v1/kv/import", self._import, methods=["POST"]),
                routing.Route("/v1/kv/events", self._events, methods=["GET"]),
                routing.Route("/v1/load", self._load, methods=["GET"]),
                routing.Route("/v1/orders", self._order, methods=["POST"]),
                *engine_control.routes(self.model, self.cuts),
            ]
        )
        self.app.add_middleware(echoes.Echoes)
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the task that runs the batching steps."""
        self._task = asyncio.create_task(self.model.run())

    async def stop(self) -> None:
        """Cancel the batching steps and any load of a model or adapter."""
        await self.orders.stop()
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _start(self, request: requests.Request) -> typing.Any:
        try:
            body = await request.json()
            prompt = body["prompt"]
            max_tokens = body["max_tokens"]
            model = body.get("model")
            adapter = body.get("adapter")
        except (ValueError, KeyError, TypeError, AttributeError):
            return _bad_request_response("prompt and max_tokens are needed")
        if not isinstance(prompt, str) or not isinstance(max_tokens, int):
            return _bad_request_response("prompt is a string and max_tokens an integer")
        if max_tokens < 1 or not prompt:
            return _bad_request_response("prompt and max_tokens may not be empty")
        stream_request = engine_stream.StreamRequest(
            request.path_params["id"], prompt, max_tokens
        )
        # A known id skips these checks and gets 409 below, so that a repeat always
        # gets the answer for a duplicate.
        if not self.model.is_held(stream_request.id):
            if self.orders.loading:
                return responses.JSONResponse({"code": "loading"}, status_code=503)
            if model and model != self.orders.model:
                return _bad_request_response(f"the model is {self.orders.model}")
            if adapter and adapter not in self.orders.adapters:
                return _bad_request_response(f"the adapter {adapter} is not loaded")
            if not self.model.fits(stream_request):
                return _bad_request_response("larger than the KV memory")
        stream = self.model.submit(stream_request)
        if stream is None:
            return responses.JSONResponse({"code": "duplicate"}, status_code=409)
        return engine_answers.Answer(stream, 0, self.cuts)

    async def _resume(self, request: requests.Request) -> typing.Any:
        stream = self.model.find(request.path_params["id"])
        if stream is None:
            return _not_held_response()
        try:
            first = int(request.query_params.get("from", "0"))
        except ValueError:
            return _bad_request_response("from is an integer")
        if first < 0:
            return _bad_request_response("from is 0 or more")
        return engine_answers.Answer(stream, first, self.cuts)

    async def _cancel(self, request: requests.Request) -> responses.Response:
        stream = self.model.cancel(request.path_params["id"])
        if stream is None:
            return _not_held_response()
        content = {
            "prefilled_tokens": stream.dispatch["prefilled_tokens"],
            "generated_tokens": stream.dispatch["generated_tokens"],
        }
        return responses.JSONResponse(content)

    async def _export(self, request: requests.Request) -> responses.Response:
        try:
            hashes = [int(block) for block in (await request.json())["blocks"]]
        except (ValueError, KeyError, TypeError):
            return _bad_request_response("blocks is a list of hashes")
        cached = self.model.cache.cached(hashes)
        blob = b"".join(block.to_bytes(blocks.HASH_BYTES, "big") for block in cached)
        content = {"blob": base64.b64encode(blob).decode(), "blocks": cached}
        return responses.JSONResponse(content)

    async def _import(self, request: requests.Request) -> responses.Response:
        try:
            blob = base64.b64decode((await request.json())["blob"], validate=True)
        except (ValueError, KeyError, TypeError, binascii.Error):
            return _bad_request_response("blob is base64")
        hashes = []
        for start in range(0, len(blob), blocks.HASH_BYTES):
            block = blob[start : start + blocks.HASH_BYTES]
            hashes.append(int.from_bytes(block, "big"))
        self.model.cache.store(hashes)
        content = {"blocks": self.model.cache.cached(hashes)}
        return responses.JSONResponse(content)

    async def _events(self, request: requests.Request) -> responses.Response:
        try:
            after = int(request.query_params.get("after", "0"))
        except ValueError:
            return _bad_request_response("after is an integer")
        sequence, events = self.model.events.read(after)
        return responses.JSONResponse({"sequence": sequence, "events": events})

    async def _load(self, request: requests.Request) -> responses.Response:
        sample = self.model.load()
        content = {
            "age_ms": self.settings.report_lag_ms,
            "running": sample.running,
            "waiting": sample.waiting,
            "tokens_in_flight": sample.tokens_in_flight,
            "model": self.orders.model,
            "version": self.orders.version,
            "adapters": self.orders.adapters,
            "role": self.orders.role,
            "fence": self.orders.fence,
        }
        return responses.JSONResponse(content)

    async def _order(self, request: requests.Request) -> responses.Response:
        try:
            body = await request.json()
            order = engine_orders.Order(
                int(body["fence"]),
                body["kind"],
                str(body.get("model") or ""),
                str(body.get("version") or ""),
                str(body.get("adapter") or ""),
                str(body.get("role") or ""),
            )
        except (ValueError, KeyError, TypeError, AttributeError):
            return _bad_request_response("fence and kind are needed")
        if order.kind not in engine_orders.KINDS:
            return _bad_request_response(f"unknown kind {order.kind}")
        try:
            state = self.orders.execute(order)
        except engine_orders.OldFence:
            content = {"fence": self.orders.fence}
            return responses.JSONResponse(content, status_code=409)
        return responses.JSONResponse({"state": state})


def read_config(
    path: str, flags: dict[str, typing.Any]
) -> list[engine_settings.EngineSettings]:
    """Return the settings of the engines that a file lists."""
    text = pathlib.Path(path).read_text()
    engines = json.loads(text)["engines"]
    return [engine_settings.EngineSettings(**{**flags, **entry}) for entry in engines]


def main(config: str = "", **flags: typing.Any) -> None:
    """Run one engine, or those of the file ``config``, until SIGTERM."""
    settings = [engine_settings.EngineSettings(**flags)]
    if config:
        settings = read_config(config, flags)
    serving.run(lambda: [(Engine(one), one.port) for one in settings])


if __name__ == "__main__":
    fire.Fire(main)
