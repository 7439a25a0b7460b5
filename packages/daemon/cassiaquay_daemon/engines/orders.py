"""Desired state of engines by the configuration, and the next order to reach it.

Pure functions without I/O; :mod:`reconciler` reads engines and sends orders. The design
is described in docs/design/orders.md.
"""

import typing

from cassiaquay_schema import fleet

from ..configured import snapshots

LOAD_MODEL = "load_model"
LOAD_ADAPTER = "load_adapter"
SET_ROLE = "set_role"


class Desired(typing.NamedTuple):
    """Model, version, adapters and role that one engine should serve."""

    model: str
    version: str
    adapters: dict[str, str]
    role: str


class Actual(typing.NamedTuple):
    """State that one engine last reported."""

    model: str
    version: str
    adapters: list[str]
    role: str
    fence: int
    running: int


class Order(typing.NamedTuple):
    """One order to one engine; its ``fence`` is the configuration's revision."""

    fence: int
    kind: str
    model: str
    version: str
    adapter: str
    role: str


class Engine(typing.NamedTuple):
    """Desired and reported state of one engine.

    Attributes
    ----------
    name : str
        Name of the backend server.
    desired : Desired
        By the configuration.
    actual : Actual or None
        As the engine reported it; None when it did not respond.
    is_load_ordered : bool
        Whether a load has been ordered and the engine does not yet report its result.
    """

    name: str
    desired: Desired
    actual: Actual | None
    is_load_ordered: bool

    @property
    def has_desired_model(self) -> bool:
        """Whether the engine serves the desired model, in any version."""
        return self.actual is not None and self.actual.model == self.desired.model

    @property
    def has_desired_version(self) -> bool:
        """Whether the engine serves the desired model in the desired version."""
        if self.actual is None or not self.has_desired_model:
            return False
        return self.actual.version == self.desired.version

    @property
    def is_serving(self) -> bool:
        """Whether the engine serves its model now and is not about to reload it."""
        return self.has_desired_model and (
            self.has_desired_version or not self.is_load_ordered
        )


def desired(snapshot: snapshots.Snapshot, server: fleet.Server) -> Desired:
    """Return the desired state of an engine under a configuration."""
    model = snapshot.fleet.models[server.model]
    return Desired(server.model, model.version, dict(model.adapters), server.role)


def fence(snapshot: snapshots.Snapshot) -> int:
    """Return the fencing number of all orders under a configuration.

    Two keepers with the same text send identical orders, so an equal number does no
    harm. Engines refuse the orders of a keeper with an older text.
    """
    return snapshot.fence


def may_load(engines: list[Engine], minimum: int, at_once: int) -> list[str]:
    """Return the names of the engines of one model that may be loaded next.

    The result depends only on the state that engines report. The keepers of several
    shards therefore compute the same list and hold the minimum without coordination.

    Parameters
    ----------
    engines : list of Engine
        All engines of the model.
    minimum : int
        Number of engines that must keep serving the model.
    at_once : int
        Number of concurrent loads that the weight store can sustain.
    """
    serving = sum(1 for engine in engines if engine.is_serving)
    loading = sum(
        1
        for engine in engines
        if engine.is_load_ordered and not engine.has_desired_version
    )
    remaining_loads = at_once - loading
    spare_engines = serving - minimum
    names = []
    for engine in sorted(engines, key=_load_priority):
        if remaining_loads <= 0:
            break
        if (
            engine.actual is None
            or engine.has_desired_version
            or engine.is_load_ordered
        ):
            continue
        if engine.is_serving:
            if spare_engines <= 0:
                continue
            spare_engines -= 1
        remaining_loads -= 1
        names.append(engine.name)
    return names


def next_order(fence_number: int, wanted: Desired, actual: Actual) -> Order | None:
    """Return the next order towards the desired state, None when it is reached."""
    if (actual.model, actual.version) != (wanted.model, wanted.version):
        return Order(fence_number, LOAD_MODEL, wanted.model, wanted.version, "", "")
    for adapter, version in sorted(wanted.adapters.items()):
        if adapter not in actual.adapters:
            return Order(fence_number, LOAD_ADAPTER, wanted.model, version, adapter, "")
    if wanted.role and wanted.role != actual.role:
        return Order(fence_number, SET_ROLE, "", "", "", wanted.role)
    return None


def _load_priority(engine: Engine) -> tuple[bool, str]:
    # Engines that do not serve the model come first: loading them costs no capacity.
    return engine.is_serving, engine.name
