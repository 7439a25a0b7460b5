"""Requests whose owner is another instance: passed on, one hop at most."""

import asyncio

import aiohttp
from starlette import types

from cassiaquay_schema import messages
from cassiaquay_schema import settings as settings_schema

from . import exceptions

HOP_HEADER = "X-Cassiaquay-Hop"
CONNECT_SECONDS = 1.0
CHUNK_BYTES = 65536
PASSED_HEADERS = ("Authorization", "Content-Type")


class OwnerUnreachable(exceptions.DaemonError):
    """The owner gave no answer; what became of the request must be found elsewhere."""

    code = "owner_unreachable"


class RelayedResponse:
    """An ASGI response that passes an owner's response on as it arrives.

    Parameters
    ----------
    response : ClientResponse
        The owner's, its body not yet read.
    """

    def __init__(self, response: aiohttp.ClientResponse):
        self._response = response

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Pass status, type and body on; end without a last chunk when it breaks."""
        passing = asyncio.create_task(self._pass(send))
        watching = asyncio.create_task(_disconnected(receive))
        try:
            await asyncio.wait({passing, watching}, return_when=asyncio.FIRST_COMPLETED)
            if passing.done():
                passing.result()
        finally:
            passing.cancel()
            watching.cancel()
            await asyncio.gather(passing, watching, return_exceptions=True)
            self._response.close()

    async def _pass(self, send: types.Send) -> None:
        response = self._response
        headers = [(b"content-type", response.content_type.encode())]
        retry_after = response.headers.get("Retry-After")
        if retry_after:
            headers.append((b"retry-after", retry_after.encode()))
        await send(
            {
                "type": "http.response.start",
                "status": response.status,
                "headers": headers,
            }
        )
        async for data in response.content.iter_any():
            await send({"type": "http.response.body", "body": data, "more_body": True})
        await send({"type": "http.response.body", "body": b""})


class Relay:
    """Passes requests on to their owners.

    Parameters
    ----------
    settings : Settings
        Name of this instance.
    http : ClientSession
        Connections to the other instances.
    """

    def __init__(self, settings: settings_schema.Settings, http: aiohttp.ClientSession):
        self.passed = 0
        self._settings = settings
        self._http = http

    async def forward(
        self,
        owner: messages.Member,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
    ) -> RelayedResponse:
        """Return the owner's response; raise OwnerUnreachable when there is none."""
        passed = {HOP_HEADER: self._settings.instance}
        for name in PASSED_HEADERS:
            if name in headers:
                passed[name] = headers[name]
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_SECONDS)
        try:
            response = await self._http.request(
                method,
                f"http://{owner.http}{target}",
                headers=passed,
                data=body or None,
                timeout=timeout,
            )
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise OwnerUnreachable(repr(error)) from error
        self.passed += 1
        return RelayedResponse(response)


async def _disconnected(receive: types.Receive) -> None:
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return
