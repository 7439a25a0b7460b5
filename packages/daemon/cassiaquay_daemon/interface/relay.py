"""Requests whose owner is another instance: passed on, one hop at most."""

import asyncio
import collections.abc

import aiohttp
from starlette import types

from cassiaquay_schema import messages
from cassiaquay_schema import settings as settings_schema

from .. import exceptions, logs
from ..owners import streams

HOP_HEADER = "X-Cassiaquay-Hop"
CONNECT_SECONDS = 1.0
LOOK_SECONDS = 0.25
PASSED_HEADERS = ("authorization", "content-type")


class OwnerUnreachable(exceptions.DaemonError):
    """The owner gave no answer; what became of the request must be found elsewhere."""

    code = "owner_unreachable"


class RelayedResponse:
    """An ASGI response that passes an owner's response on as it arrives.

    Parameters
    ----------
    response : ClientResponse
        The owner's, its body not yet read.
    is_gone : callable
        Tells whether the owner is not heard of any more.
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
        """Pass status, type and body on; end without a last chunk when it breaks."""
        passing = asyncio.create_task(self._pass(send))
        watching = asyncio.create_task(streams.disconnected(receive))
        # A paused owner keeps its connections open and says nothing: its caller would
        # wait for as long as the pause lasts. Cut off, it comes again, and the stream
        # is read on from the engine.
        losing = asyncio.create_task(_until(self._is_gone))
        tasks = {passing, watching, losing}
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
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
    """Passes requests on to their owners.

    Parameters
    ----------
    settings : Settings
        Name of this instance.
    http : ClientSession
        Connections to the other instances.
    find : callable
        Returns a live member by name, or None.
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
        passed = self._passed(headers)

        def is_gone() -> bool:
            member = self._find(owner.instance)
            return member is None or member.incarnation != owner.incarnation

        asking = asyncio.create_task(
            self._ask(method, f"http://{owner.http}{target}", passed, body)
        )
        losing = asyncio.create_task(_until(is_gone))
        try:
            await asyncio.wait({asking, losing}, return_when=asyncio.FIRST_COMPLETED)
            if not asking.done():
                raise OwnerUnreachable("not heard of any more")
            self.passed += 1
            return RelayedResponse(asking.result(), is_gone)
        finally:
            asking.cancel()
            losing.cancel()
            await asyncio.gather(asking, losing, return_exceptions=True)

    async def wait_for_end(
        self, owner: messages.Member, target: str, headers: dict[str, str]
    ) -> None:
        """Read an owner's answer to its end; raise OwnerUnreachable when it breaks."""
        url = f"http://{owner.http}{target}"
        response = await self._ask("GET", url, self._passed(headers), b"")
        try:
            await response.read()
        except (aiohttp.ClientError, OSError) as error:
            raise OwnerUnreachable(repr(error)) from error
        finally:
            response.close()

    def _passed(self, headers: dict[str, str]) -> dict[str, str]:
        passed = {HOP_HEADER: self._settings.instance}
        for name in PASSED_HEADERS:
            if name in headers:
                passed[name] = headers[name]
        return passed

    async def _ask(
        self, method: str, url: str, headers: dict[str, str], body: bytes
    ) -> aiohttp.ClientResponse:
        # A waiting request legitimately holds its status line back, so there is no
        # limit on the wait but the owner's own life.
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_SECONDS)
        try:
            return await self._http.request(
                method, url, headers=headers, data=body or None, timeout=timeout
            )
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise OwnerUnreachable(repr(error)) from error


async def _until(is_gone: collections.abc.Callable[[], bool]) -> None:
    while not is_gone():
        await asyncio.sleep(LOOK_SECONDS)
