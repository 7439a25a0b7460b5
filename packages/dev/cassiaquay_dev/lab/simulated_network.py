"""Simulated links and membership between instances in one process.

They replace the daemon's connections and heartbeats. Messages are delayed by the
distance between zones; those of one channel arrive in order.
"""

import asyncio
import collections
import collections.abc
import typing

from cassiaquay_daemon import rendezvous
from cassiaquay_daemon.fleet import failure_detector
from cassiaquay_schema import messages
from cassiaquay_schema import settings as settings_schema

Handler = collections.abc.Callable[["Channel", typing.Any], None]
# Minimum time between messages of a channel, so that they arrive in order.
MIN_SPACING_SECONDS = 1e-9


class Links:
    """Message handlers of one instance, registered by its roles.

    Parameters
    ----------
    network : Network
        All instances.
    instance : str
        Name of the instance.
    """

    def __init__(self, network: "Network", instance: str):
        self.handlers: dict[type, Handler] = {}
        self.received = 0
        # Messages received by type, for measurements.
        self.received_by_kind: collections.Counter[type] = collections.Counter()
        self._network = network
        self._instance = instance

    def link(self, instance: str, address: str) -> "Channel":
        """Return the channel to an instance."""
        return self._network.channel(self._instance, instance)

    def on(self, kind: type, handler: Handler) -> None:
        """Register the handler for messages of one type."""
        self.handlers[kind] = handler

    def on_up(self, call: collections.abc.Callable[["Channel"], None]) -> None:
        """Do nothing: channels are up from the start."""

    def on_down(self, call: collections.abc.Callable[["Channel"], None]) -> None:
        """Do nothing: channels never break."""


class Channel:
    """A channel from one instance to another.

    Parameters
    ----------
    network : Network
        All instances.
    source, target : str
        Names of the sending and the receiving instance.
    """

    def __init__(self, network: "Network", source: str, target: str):
        self.instance = target
        self._network = network
        self._source = source
        self._last_at = 0.0

    def send(self, message: messages.Message) -> bool:
        """Send a message; it is dropped if the target has no handler for its type."""
        loop = asyncio.get_running_loop()
        delay = self._network.delay(self._source, self.instance)
        self._last_at = max(loop.time() + delay, self._last_at + MIN_SPACING_SECONDS)
        loop.call_at(self._last_at, self._deliver, message)
        return True

    def _deliver(self, message: messages.Message) -> None:
        links = self._network.links[self.instance]
        links.received += 1
        links.received_by_kind[type(message)] += 1
        handler = links.handlers.get(type(message))
        if handler is not None:
            handler(self._network.channel(self.instance, self._source), message)


class LiveInstance(typing.NamedTuple):
    """A live instance, reduced to the field that the keeper roles use."""

    instance: str


class Network:
    """All instances of a day.

    Parameters
    ----------
    zones : dict of str to str
        Zone (failure domain) of each instance.
    crossing_seconds : float
        One-way delay between zones; a tenth of it within a zone.
    """

    def __init__(self, zones: dict[str, str], crossing_seconds: float):
        self.zones = zones
        self.links = {name: Links(self, name) for name in zones}
        self.members = [LiveInstance(name) for name in zones]
        self._crossing_seconds = crossing_seconds
        self._channels: dict[tuple[str, str], Channel] = {}
        self._keepers: dict[str, str] = {}

    def delay(self, source: str, target: str) -> float:
        """Return the one-way delay between two instances in seconds."""
        if self.zones[source] == self.zones[target]:
            return self._crossing_seconds / 10.0
        return self._crossing_seconds

    def channel(self, source: str, target: str) -> Channel:
        """Return the channel from one instance to another."""
        found = self._channels.get((source, target))
        if found is None:
            found = self._channels[(source, target)] = Channel(self, source, target)
        return found

    def keeper_of(self, key: str) -> str:
        """Return the instance that keeps a key."""
        if key not in self._keepers:
            self._keepers[key] = rendezvous.first(key, self.zones)
        return self._keepers[key]


class Members:
    """One instance's view of the membership, in which all instances are live.

    Parameters
    ----------
    network : Network
        All instances.
    instance : str
        Name of the instance whose view this is.
    """

    def __init__(self, network: Network, instance: str):
        self.listed: dict[str, typing.Any] = {}
        self.table_digests: dict[str, collections.abc.Callable[[], int]] = {}
        self._neighbour_count = settings_schema.Membership().neighbours
        self._network = network
        self._instance = instance

    def keeper_of(self, key: str) -> str:
        """Return the instance that keeps a key."""
        return self._network.keeper_of(key)

    def alive(self) -> list[LiveInstance]:
        """Return all instances."""
        return self._network.members

    def serving(self) -> list[LiveInstance]:
        """Return all instances."""
        return self._network.members

    def fleet_size(self) -> int:
        """Return the number of instances that share a budget."""
        return len(self._network.members)

    def link(self, instance: str) -> Channel | None:
        """Return the channel to an instance, or None if no instance has that name."""
        if instance not in self._network.zones:
            return None
        return self._network.channel(self._instance, instance)

    def neighbours(self) -> dict[str, str]:
        """Return the addresses of the instances that this one sends heartbeats to."""
        others = [name for name in self._network.zones if name != self._instance]
        ranked = failure_detector.rank(self._instance, others)
        return {name: name for name in ranked[: self._neighbour_count]}

    def on_heartbeat(self, call: collections.abc.Callable[..., None]) -> None:
        """Do nothing: no message is ever lost, so heartbeats would repair nothing."""

    def on_change(self, call: collections.abc.Callable[[], None]) -> None:
        """Do nothing: membership never changes."""
