"""Protocols that deliver orders to engines; a further protocol registers its class.

An order tells an engine which model, adapter or role to load.
"""

import typing

import aiohttp
import msgspec

from cassiaquay_schema import fleet, registry

from .. import bounded_http, decoding, exceptions
from . import orders

RESPONSE_TIMEOUT_SECONDS = 2.0
# A state names the adapters that an engine has loaded.
MAX_RESPONSE_BYTES = 1024 * 1024


class EngineOrders(typing.Protocol):
    """A protocol for orders, registered under the adapter name that pools refer to."""

    def __init__(self, http: aiohttp.ClientSession): ...

    async def read(self, server: fleet.Server) -> orders.Actual:
        """Return an engine's state; raise BackendError when it cannot be read."""

    async def send(self, server: fleet.Server, order: orders.Order) -> str:
        """Send an order and return the engine's state.

        Raise SupersededOrder when the engine has already accepted a higher fence.
        """


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
    """Reads the state of engines and sends them orders over HTTP."""

    def __init__(self, http: aiohttp.ClientSession):
        self._http = http

    async def read(self, server: fleet.Server) -> orders.Actual:
        """Return the model, adapters, role and load that an engine reports."""
        status, body = await self._call("GET", server, "/v1/load", None)
        if status != 200:
            raise exceptions.BackendError(f"{server.name}: status {status}")
        try:
            decoded: _LoadBody = decoding.decode_json(body, _LoadBody)
        except exceptions.UndecodableText as error:
            raise exceptions.BackendError(str(error)) from error
        return orders.Actual(
            decoded["model"],
            decoded["version"],
            decoded["adapters"],
            decoded["role"],
            decoded["fence"],
            decoded["running"] + decoded["waiting"],
        )

    async def send(self, server: fleet.Server, order: orders.Order) -> str:
        """Send an order and return the state that the engine responds with."""
        data = msgspec.json.encode(order._asdict())
        status, body = await self._call("POST", server, "/v1/orders", data)
        if status == 409:
            raise exceptions.SupersededOrder(f"{server.name}: {body[:200]!r}")
        if status != 200:
            raise exceptions.BackendError(f"{server.name}: status {status}")
        try:
            answer: _StateBody = decoding.decode_json(body, _StateBody)
        except exceptions.UndecodableText as error:
            raise exceptions.BackendError(str(error)) from error
        return answer["state"]

    async def _call(
        self, method: str, server: fleet.Server, path: str, data: bytes | None
    ) -> tuple[int, bytes]:
        try:
            async with self._http.request(
                method,
                f"http://{server.address}{path}",
                data=data,
                headers={"Content-Type": "application/json"},
                timeout=aiohttp.ClientTimeout(total=RESPONSE_TIMEOUT_SECONDS),
            ) as response:
                body = await bounded_http.read_body(response, MAX_RESPONSE_BYTES)
                return response.status, body
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise exceptions.BackendError(repr(error)) from error
