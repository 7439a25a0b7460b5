"""Control routes of the model engine stand-in: faults, dispatch log and totals."""

from starlette import requests, responses, routing

from . import engine_answers, engine_model


class _Control:
    def __init__(
        self, model: engine_model.EngineModel, cuts: engine_answers.Cuts
    ) -> None:
        self._model = model
        self._cuts = cuts

    async def slow(self, request: requests.Request) -> responses.Response:
        self._model.slow_factor = float((await request.json())["factor"])
        return responses.JSONResponse({"factor": self._model.slow_factor})

    async def hang(self, request: requests.Request) -> responses.Response:
        on = bool((await request.json())["on"])
        self._model.hang(on)
        return responses.JSONResponse({"on": on})

    async def cut(self, request: requests.Request) -> responses.Response:
        body = await request.json()
        count = self._cuts.cut(body.get("id"), int(body.get("after", 0)))
        return responses.JSONResponse({"open": count})

    async def drop(self, request: requests.Request) -> responses.Response:
        held = self._model.drop((await request.json())["id"])
        return responses.JSONResponse({"held": held})

    async def log(self, request: requests.Request) -> responses.Response:
        return responses.JSONResponse({"dispatches": self._model.dispatches})

    async def totals(self, request: requests.Request) -> responses.Response:
        return responses.JSONResponse(self._model.totals())


def routes(
    model: engine_model.EngineModel, cuts: engine_answers.Cuts
) -> list[routing.Route]:
    """Return the routes below ``/control``."""
    control = _Control(model, cuts)
    return [
        routing.Route("/control/slow", control.slow, methods=["POST"]),
        routing.Route("/control/hang", control.hang, methods=["POST"]),
        routing.Route("/control/cut", control.cut, methods=["POST"]),
        routing.Route("/control/drop", control.drop, methods=["POST"]),
        routing.Route("/control/log", control.log, methods=["GET"]),
        routing.Route("/control/totals", control.totals, methods=["GET"]),
    ]
