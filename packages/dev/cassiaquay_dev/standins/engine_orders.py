"""Orders to the model engine stand-in: load a model or adapter, set the role."""

import asyncio
import typing

import aiohttp

from . import engine_model, engine_settings

LOAD_MODEL = "load_model"
LOAD_ADAPTER = "load_adapter"
SET_ROLE = "set_role"
KINDS = frozenset({LOAD_MODEL, LOAD_ADAPTER, SET_ROLE})

READY = "ready"
LOADING = "loading"

MAX_FETCH_ATTEMPTS = 1000
DEFAULT_RETRY_SECONDS = 1.0
MAX_RETRY_SECONDS = 5.0


class Order(typing.NamedTuple):
    """One order with its fencing number."""

    fence: int
    kind: str
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""


class OldFence(Exception):
    """The order's fencing number is lower than that of an accepted order."""

    code = "old_fence"


class EngineOrders:
    """Model, adapters and role of an engine, and the orders that change them."""

    def __init__(
        self,
        settings: engine_settings.EngineSettings,
        model: engine_model.EngineModel,
    ) -> None:
        self.model = settings.model
        self.version = str(settings.version)
        self.adapters = [name for name in settings.adapters.split(",") if name]
        self.role = settings.role
        self.fence = 0
        self.orders: list[Order] = []
        self._settings = settings
        self._engine = model
        self._model_task: asyncio.Task[None] | None = None
        self._adapter_tasks: set[asyncio.Task[None]] = set()

    @property
    def loading(self) -> bool:
        """Whether a model is being loaded."""
        return self._model_task is not None and not self._model_task.done()

    def execute(self, order: Order) -> str:
        """Start to execute an order and return ``loading`` or ``ready``.

        Raises
        ------
        OldFence
            If the fencing number is old and ``refuse_old_fence`` is set.
        """
        if self._settings.refuse_old_fence and order.fence < self.fence:
            raise OldFence(f"fence {order.fence} is older than {self.fence}")
        self.fence = order.fence
        self.orders.append(order)
        if order.kind == SET_ROLE:
            self.role = order.role
            return READY
        if order.kind == LOAD_ADAPTER:
            return self._start_adapter_load(order)
        return self._start_model_load(order)

    async def stop(self) -> None:
        """Cancel the loads that are in progress."""
        tasks = list(self._adapter_tasks)
        if self._model_task is not None:
            tasks.append(self._model_task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _start_adapter_load(self, order: Order) -> str:
        if order.adapter in self.adapters:
            return READY
        task = asyncio.create_task(self._load_adapter(order))
        self._adapter_tasks.add(task)
        task.add_done_callback(self._adapter_tasks.discard)
        return LOADING

    def _start_model_load(self, order: Order) -> str:
        if self._model_task is not None:
            self._model_task.cancel()
            self._model_task = None
        if (order.model, order.version) == (self.model, self.version):
            return READY
        self._model_task = asyncio.create_task(self._load_model(order))
        return LOADING

    async def _load_adapter(self, order: Order) -> None:
        await asyncio.sleep(self._settings.adapter_load_ms / 1000)
        if order.adapter not in self.adapters:
            self.adapters.append(order.adapter)

    async def _load_model(self, order: Order) -> None:
        await self._engine.wait_idle()
        if self._settings.weights:
            await self._fetch_weights(order)
        await asyncio.sleep(self._settings.load_ms / 1000)
        self._engine.cache.clear()
        self.adapters = []
        self.model = order.model
        self.version = order.version

    async def _fetch_weights(self, order: Order) -> None:
        address = self._settings.weights
        url = f"http://{address}/v1/weights/{order.model}/{order.version}"
        async with aiohttp.ClientSession() as session:
            for _ in range(MAX_FETCH_ATTEMPTS):
                retry_seconds = DEFAULT_RETRY_SECONDS
                try:
                    async with session.get(url) as response:
                        if response.status == 200:
                            await response.read()
                            return
                        retry_seconds = float(
                            response.headers.get("Retry-After", retry_seconds)
                        )
                except aiohttp.ClientError:
                    pass  # Retry an unreachable store as a busy one.
                await asyncio.sleep(min(retry_seconds, MAX_RETRY_SECONDS))
        raise RuntimeError(f"the weight store refused {MAX_FETCH_ATTEMPTS} fetches")
