"""Fake links between instances, which queue messages until a test delivers them."""

import collections

import policy_fakes as fakes

from cassiaquay_schema import messages

NAMES = ("cq-1", "cq-2", "cq-3")


class Wire(fakes.Links):
    """The links of one instance to all others."""

    def __init__(self, mesh: "Mesh", name: str):
        super().__init__()
        self._mesh = mesh
        self._name = name

    def link(self, instance: str, address: str) -> "End":
        """Return the link to an instance."""
        return self._mesh.end(self._name, instance)


class End:
    """The sender's end of a link."""

    def __init__(self, mesh: "Mesh", sender: str, instance: str):
        self.instance = instance
        self._mesh = mesh
        self._sender = sender

    def send(self, message: messages.Message) -> bool:
        """Queue a message."""
        self._mesh.queue.append((self._sender, self.instance, message))
        return True


class Members(fakes.Membership):
    """A membership in which all instances are neighbours."""

    def __init__(self, own: str, names: tuple[str, ...] = NAMES):
        super().__init__("", [fakes.Owner(name) for name in names])
        self.heartbeat_callbacks: list = []
        self._own = own

    def on_heartbeat(self, call) -> None:
        """Register a callback for heartbeats."""
        self.heartbeat_callbacks.append(call)

    def serving(self) -> list:
        """Return all instances."""
        return list(self.owners.values())

    def neighbours(self) -> dict[str, str]:
        """Return the addresses of the other instances."""
        return {name: "h:1" for name in self.owners if name != self._own}

    def has_older_instances(self) -> bool:
        """Return whether an instance ran before this one."""
        return True


class Mesh:
    """All instances, the links between them and the queue of sent messages."""

    def __init__(self, names: tuple[str, ...] = NAMES) -> None:
        self.queue: collections.deque = collections.deque()
        self.members: dict[str, Members] = {}
        self.wires: dict[str, Wire] = {}
        self._ends: dict[tuple[str, str], End] = {}
        for name in names:
            self.members[name] = Members(name, names)
            self.wires[name] = Wire(self, name)

    def end(self, sender: str, receiver: str) -> End:
        """Return the sender's end of a link."""
        key = (sender, receiver)
        return self._ends.setdefault(key, End(self, sender, receiver))

    def send_heartbeat(self, sender: str, heartbeat: messages.Heartbeat) -> None:
        """Queue a heartbeat from one instance to all others."""
        for name in self.members:
            if name != sender:
                self.queue.append((sender, name, heartbeat))

    def deliver(self, paused: str = "") -> None:
        """Deliver all queued messages, and those sent in response.

        Messages to the instance ``paused`` stay in the queue.
        """
        waiting = []
        while self.queue:
            sender, receiver, message = self.queue.popleft()
            if receiver == paused:
                waiting.append((sender, receiver, message))
                continue
            link = self.end(receiver, sender)
            if isinstance(message, messages.Heartbeat):
                for call in self.members[receiver].heartbeat_callbacks:
                    call(link, message)
                continue
            self.wires[receiver].handlers[type(message)](link, message)
        self.queue.extend(waiting)
