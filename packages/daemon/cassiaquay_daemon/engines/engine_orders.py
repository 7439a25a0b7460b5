"""How orders reach engines. Another protocol needs a class registered here."""

import typing

import aiohttp
import msgspec

from cassiaquay_schema import fleet, registry

from .. import exceptions
from . import orders

ANSWER_SECONDS = 2.0


class EngineOrders(typing.Protocol):
    """A protocol of orders; registered under the name of the pools' adapter."""

    def __init__(self, http: aiohttp.ClientSession): ...

    async def read(self, server: fleet.Server) -> orders.Actual:
        """Return what an engine has; raise BackendError when it does not say."""

    async def send(self, server: fleet.Server, order: orders.Order) -> str:
        """Send an order; raise SupersededOrder when a newer one was obeyed."""


protocols: registry.Registry[type[EngineOrders]] = registry.Registry("order protocol")


class _LoadBody(typing.TypedDict):
    model: str
    version: str
    adapters: list[str]
    role: str
    fence: int
    running: int
    waiting: int


class _StateBody(typing.TypedDict):
    state: str


@protocols.register("engine-http")
class EngineOrdersHttp:
    """Model engines that take orders over HTTP."""

    def __init__(self, http: aiohttp.ClientSession):
        self._http = http

    async def read(self, server: fleet.Server) -> orders.Actual:
        """Return what an engine has."""
        status, body = await self._call("GET", server, "/v1/load", None)
        if status != 200:
            raise exceptions.BackendError(f"{server.name}: status {status}")
        try:
            found = msgspec.json.decode(body, type=_LoadBody)
        except msgspec.DecodeError as error:
            raise exceptions.BackendError(str(error)) from error
        return orders.Actual(
            found["model"],
            found["version"],
            found["adapters"],
            found["role"],
            found["fence"],
            found["running"] + found["waiting"],
        )

    async def send(self, server: fleet.Server, order: orders.Order) -> str:
        """Send an order; return the state that the engine answers."""
        data = msgspec.json.encode(order._asdict())
        status, body = await self._call("POST", server, "/v1/orders", data)
        if status == 409:
            raise exceptions.SupersededOrder(f"{server.name}: {body[:200]!r}")
        if status != 200:
            raise exceptions.BackendError(f"{server.name}: status {status}")
        try:
            return msgspec.json.decode(body, type=_StateBody)["state"]
        except msgspec.DecodeError as error:
            raise exceptions.BackendError(str(error)) from error

    async def _call(
        self, method: str, server: fleet.Server, path: str, data: bytes | None
    ) -> tuple[int, bytes]:
        try:
            async with self._http.request(
                method,
                f"http://{server.address}{path}",
                data=data,
                headers={"Content-Type": "application/json"},
                timeout=aiohttp.ClientTimeout(total=ANSWER_SECONDS),
            ) as response:
                return response.status, await response.read()
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise exceptions.BackendError(repr(error)) from error
