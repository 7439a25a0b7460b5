"""Links and members of the lab: messages between instances of one process.

They stand where the daemon has connections and heartbeats. Each message takes its time
on the way, and those of one link arrive in order.
"""

import asyncio
import collections.abc
import typing

from cassiaquay_daemon import rendezvous
from cassiaquay_schema import messages

Handler = collections.abc.Callable[["Wire", typing.Any], None]
# Messages of one link that would arrive at the same moment keep their order.
SPACING_SECONDS = 1e-9


class Links:
    """One instance's handlers, as its roles register them."""

    def __init__(self) -> None:
        self.handlers: dict[type, Handler] = {}
        self.received = 0

    def on(self, kind: type, handler: Handler) -> None:
        """Let a handler take the messages of one type."""
        self.handlers[kind] = handler

    def on_up(self, call: collections.abc.Callable[["Wire"], None]) -> None:
        """Do nothing: wires are there from the start."""

    def on_down(self, call: collections.abc.Callable[["Wire"], None]) -> None:
        """Do nothing: wires do not break."""


class Wire:
    """The way from one instance to another.

    Parameters
    ----------
    network : Network
        All instances.
    source, target : str
        Names of the two.
    """

    def __init__(self, network: "Network", source: str, target: str):
        self.instance = target
        self._network = network
        self._source = source
        self._last_at = 0.0

    def send(self, message: messages.Message) -> bool:
        """Send a message; it is lost when the target is gone by then."""
        loop = asyncio.get_running_loop()
        delay = self._network.delay(self._source, self.instance)
        self._last_at = max(loop.time() + delay, self._last_at + SPACING_SECONDS)
        loop.call_at(self._last_at, self._deliver, message)
        return True

    def _deliver(self, message: messages.Message) -> None:
        links = self._network.links[self.instance]
        links.received += 1
        handler = links.handlers.get(type(message))
        if handler is not None:
            handler(self._network.wire(self.instance, self._source), message)


class Named(typing.NamedTuple):
    """A live instance, as far as the keeper roles ask."""

    instance: str


class Network:
    """All instances of a day.

    Parameters
    ----------
    zones : dict of str to str
        Zone of each instance.
    crossing_seconds : float
        One way between zones.
    """

    def __init__(self, zones: dict[str, str], crossing_seconds: float):
        self.zones = zones
        self.links = {name: Links() for name in zones}
        self.members = [Named(name) for name in zones]
        self._crossing_seconds = crossing_seconds
        self._wires: dict[tuple[str, str], Wire] = {}
        self._keepers: dict[str, str] = {}

    def delay(self, source: str, target: str) -> float:
        """Return the seconds of the way between two instances."""
        if self.zones[source] == self.zones[target]:
            return self._crossing_seconds / 10.0
        return self._crossing_seconds

    def wire(self, source: str, target: str) -> Wire:
        """Return the way from one instance to another."""
        found = self._wires.get((source, target))
        if found is None:
            found = self._wires[(source, target)] = Wire(self, source, target)
        return found

    def keeper_of(self, key: str) -> str:
        """Return the instance that keeps a key."""
        if key not in self._keepers:
            self._keepers[key] = rendezvous.first(key, self.zones)
        return self._keepers[key]


class Members:
    """One instance's view of the network: all live and known.

    Parameters
    ----------
    network : Network
        All instances.
    instance : str
        Name of this one.
    """

    def __init__(self, network: Network, instance: str):
        self.listed: dict[str, typing.Any] = {}
        self._network = network
        self._instance = instance

    def keeper_of(self, key: str) -> str:
        """Return the instance that keeps a key."""
        return self._network.keeper_of(key)

    def alive(self) -> list[Named]:
        """Return all instances."""
        return self._network.members

    def serving(self) -> list[Named]:
        """Return all instances."""
        return self._network.members

    def fleet_size(self) -> int:
        """Return how many share a budget."""
        return len(self._network.members)

    def link(self, instance: str) -> Wire | None:
        """Return the way to another instance; None when there is none of that name."""
        if instance not in self._network.zones:
            return None
        return self._network.wire(self._instance, instance)

    def on_change(self, call: collections.abc.Callable[[], None]) -> None:
        """Do nothing: nobody comes or goes."""
