"""Repeats the id of each request in its answer, as docs/BACKENDS.md describes."""

from starlette import types

NAME = b"x-request-id"


class Echoes:
    """ASGI middleware that adds the request's id to the answer.

    Parameters
    ----------
    app : ASGIApp
        The application that answers.
    """

    def __init__(self, app: types.ASGIApp) -> None:
        self._app = app

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Answer one request."""
        sent = [pair for pair in scope.get("headers", []) if pair[0] == NAME]

        async def send_named(message: types.Message) -> None:
            if message["type"] == "http.response.start":
                message["headers"] = [*message.get("headers", []), *sent]
            await send(message)

        await self._app(scope, receive, send_named)
