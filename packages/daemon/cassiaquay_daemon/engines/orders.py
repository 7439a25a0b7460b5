"""What engines should serve, purely by the configuration, and the next step to it.

Nothing here asks or sends; :mod:`reconciler` does. docs/design/orders.md tells why.
"""

import typing

from cassiaquay_schema import fleet

from ..configured import snapshots

LOAD_MODEL = "load_model"
LOAD_ADAPTER = "load_adapter"
SET_ROLE = "set_role"


class Desired(typing.NamedTuple):
    """What one engine should have."""

    model: str
    version: str
    adapters: dict[str, str]
    role: str


class Actual(typing.NamedTuple):
    """What one engine says that it has, a moment ago."""

    model: str
    version: str
    adapters: list[str]
    role: str
    fence: int
    running: int


class Order(typing.NamedTuple):
    """One order to one engine; ``fence`` grows with the configuration's revision."""

    fence: int
    kind: str
    model: str
    version: str
    adapter: str
    role: str


class Engine(typing.NamedTuple):
    """One engine as a reconciler sees it; ``actual`` is None when it is silent.

    Attributes
    ----------
    name : str
        Name of the backend server.
    desired : Desired
        From the configuration.
    actual : Actual or None
        From the engine.
    ordered : bool
        Whether its load has been ordered and is not over, as far as can be seen.
    """

    name: str
    desired: Desired
    actual: Actual | None
    ordered: bool

    @property
    def has_model(self) -> bool:
        """Whether it serves the right model, in whatever version."""
        return self.actual is not None and self.actual.model == self.desired.model

    @property
    def has_version(self) -> bool:
        """Whether it serves the right model in the right version."""
        if self.actual is None or not self.has_model:
            return False
        return self.actual.version == self.desired.version

    @property
    def serves(self) -> bool:
        """Whether it serves its model now."""
        return self.has_model and (self.has_version or not self.ordered)


def desired(snapshot: snapshots.Snapshot, server: fleet.Server) -> Desired:
    """Return what an engine should have under a configuration."""
    model = snapshot.fleet.models[server.model]
    return Desired(server.model, model.version, dict(model.adapters), server.role)


def fence(snapshot: snapshots.Snapshot) -> int:
    """Return the fencing number of all orders under a configuration.

    Two keepers that follow one revision send the same orders, so the same number is
    harmless; a keeper that still follows an older one is outranked.
    """
    return snapshot.revision


def may_load(engines: list[Engine], minimum: int, at_once: int) -> list[str]:
    """Return the names of the engines of one model that may be loaded next.

    Every keeper that reads the engines' own state comes to the same list, so the
    keepers of several shards together keep the minimum without talking.

    Parameters
    ----------
    engines : list of Engine
        All engines of the model.
    minimum : int
        Engines that must go on serving it.
    at_once : int
        Loads at a time that the weight store stands.
    """
    serving = sum(1 for engine in engines if engine.serves)
    loading = sum(1 for engine in engines if engine.ordered and not engine.has_version)
    left = at_once - loading
    spare = serving - minimum
    names = []
    for engine in sorted(engines, key=_urgency):
        if left <= 0:
            break
        if engine.actual is None or engine.has_version or engine.ordered:
            continue
        if engine.serves:
            if spare <= 0:
                continue
            spare -= 1
        left -= 1
        names.append(engine.name)
    return names


def next_order(number: int, wanted: Desired, actual: Actual) -> Order | None:
    """Return the next order that brings an engine nearer to what is wanted."""
    if (actual.model, actual.version) != (wanted.model, wanted.version):
        return Order(number, LOAD_MODEL, wanted.model, wanted.version, "", "")
    for adapter, version in sorted(wanted.adapters.items()):
        if adapter not in actual.adapters:
            return Order(number, LOAD_ADAPTER, wanted.model, version, adapter, "")
    if wanted.role and wanted.role != actual.role:
        return Order(number, SET_ROLE, "", "", "", wanted.role)
    return None


def _urgency(engine: Engine) -> tuple[bool, str]:
    # An engine that serves nothing of use is loaded first: it costs no capacity.
    return engine.serves, engine.name
