"""Relays requests to the instance that owns them, over one hop at most."""

import asyncio
import collections.abc

import aiohttp
from starlette import types

from cassiaquay_schema import messages
from cassiaquay_schema import settings as settings_schema

from .. import bounded_http, exceptions, logs
from ..owners import streams

HOP_HEADER = "X-Cassiaquay-Hop"
CONNECT_TIMEOUT_SECONDS = 1.0
POLL_SECONDS = 0.25
# The final event of an answer.
MAX_FINAL_BYTES = 64 * 1024
FORWARDED_HEADERS = ("authorization", "content-type")


class OwnerUnreachable(exceptions.DaemonError):
    """The owner gave no answer; the outcome must be recovered from the engines."""

    code = "owner_unreachable"


class RelayedResponse:
    """An ASGI response that forwards an owner's response as it arrives.

    Parameters
    ----------
    response : ClientResponse
        The owner's response; its body has not been read.
    is_gone : callable
        Returns whether the owner has left the membership or restarted.
    """

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        is_gone: collections.abc.Callable[[], bool],
    ):
        self._response = response
        self._is_gone = is_gone

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Forward status, type and body; omit the last chunk if the relay is cut."""
        forwarding = asyncio.create_task(self._forward_response(send))
        watching_caller = asyncio.create_task(streams.disconnected(receive))
        # A paused owner keeps its connections open and sends nothing, so the caller
        # would wait for the whole pause. When the relay is cut, the caller reconnects
        # and the stream is resumed from the engine.
        watching_owner = asyncio.create_task(_wait_until(self._is_gone))
        tasks = {forwarding, watching_caller, watching_owner}
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            self._response.close()

    async def _forward_response(self, send: types.Send) -> None:
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
        try:
            async for data in response.content.iter_any():
                await send(
                    {"type": "http.response.body", "body": data, "more_body": True}
                )
        except (aiohttp.ClientError, OSError) as error:
            logs.detail("relay_cut", cause=repr(error))
            return
        await send({"type": "http.response.body", "body": b""})


class Relay:
    """Relays requests to their owners.

    Parameters
    ----------
    settings : Settings
        Gives the name of this instance.
    http : ClientSession
        Client session for the other instances.
    find : callable
        Returns a live member by its instance name, or None.
    """

    def __init__(
        self,
        settings: settings_schema.Settings,
        http: aiohttp.ClientSession,
        find: collections.abc.Callable[[str], messages.Member | None],
    ):
        self.passed = 0
        self._settings = settings
        self._http = http
        self._find = find

    async def forward(
        self,
        owner: messages.Member,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
    ) -> RelayedResponse:
        """Return the owner's response; raise OwnerUnreachable when there is none."""
        forwarded_headers = self._forwarded_headers(headers)

        def is_gone() -> bool:
            member = self._find(owner.instance)
            return member is None or member.incarnation != owner.incarnation

        request_task = asyncio.create_task(
            self._send_request(
                method, f"http://{owner.http}{target}", forwarded_headers, body
            )
        )
        watching_owner = asyncio.create_task(_wait_until(is_gone))
        try:
            await asyncio.wait(
                {request_task, watching_owner}, return_when=asyncio.FIRST_COMPLETED
            )
            if not request_task.done():
                raise OwnerUnreachable("not heard of any more")
            self.passed += 1
            return RelayedResponse(request_task.result(), is_gone)
        finally:
            request_task.cancel()
            watching_owner.cancel()
            await asyncio.gather(request_task, watching_owner, return_exceptions=True)

    async def wait_for_end(
        self, owner: messages.Member, target: str, headers: dict[str, str]
    ) -> None:
        """Read an owner's answer to its end; raise OwnerUnreachable if it is cut."""
        url = f"http://{owner.http}{target}"
        response = await self._send_request(
            "GET", url, self._forwarded_headers(headers), b""
        )
        try:
            await bounded_http.read_body(response, MAX_FINAL_BYTES)
        except (aiohttp.ClientError, OSError) as error:
            raise OwnerUnreachable(repr(error)) from error
        finally:
            response.close()

    def _forwarded_headers(self, headers: dict[str, str]) -> dict[str, str]:
        forwarded = {HOP_HEADER: self._settings.instance}
        for name in FORWARDED_HEADERS:
            if name in headers:
                forwarded[name] = headers[name]
        return forwarded

    async def _send_request(
        self, method: str, url: str, headers: dict[str, str], body: bytes
    ) -> aiohttp.ClientResponse:
        # The owner sends the status line of a queued request only when it starts, so
        # there is no read timeout; `forward` stops if the owner leaves the membership.
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_SECONDS
        )
        try:
            return await self._http.request(
                method, url, headers=headers, data=body or None, timeout=timeout
            )
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise OwnerUnreachable(repr(error)) from error


async def _wait_until(is_gone: collections.abc.Callable[[], bool]) -> None:
    while not is_gone():
        await asyncio.sleep(POLL_SECONDS)
