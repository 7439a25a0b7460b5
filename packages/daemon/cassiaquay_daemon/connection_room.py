"""Decides which connections of clients stay, so that all of them fit into the process.

Load pattern: clients open connections without end, send heads that never end and many
requests ahead, and read no answer. Each connection is small by itself;
together they would take up the memory and the descriptors of the instance, which would
then be killed with all its requests.

Under pressure a connection without a whole request gives way before any request that is
being served: for descriptors the one that has waited longest, for memory the one that
holds most. One whose client reads nothing of its answer gives way before those that
have begun to wait a moment ago.
"""

import collections
import typing

# What an idle instance, the answers that it holds and the requests in progress take up.
OTHER_BYTES = 100_000_000
# Of the rest, what connections may hold; bodies have two thirds of it.
SHARE = 1 / 6
MIN_BYTES = 8_000_000
# Memory of the smallest instances, if the settings name none.
DEFAULT_MEMORY_MB = 200
# Bytes that each connection may hold without being counted.
UNCOUNTED_BYTES = 8 * 1024
# Memory of a connection that holds nothing, and what it may hold uncounted.
CONNECTION_BYTES = 16 * 1024
# Descriptors for servers, other instances, the platform and files.
RESERVED_SHARE = 0.25
# Of these, what requests in progress leave for all but their servers.
OTHER_SHARE = 0.125
DEFAULT_DESCRIPTORS = 4096
MIN_CONNECTIONS = 16
# Checks after which a client without a sign of life counts as idle, or as one that does
# not read. The kernel takes the bytes of slow readers in large steps.
IDLE_CHECKS = 5

TOO_MANY = "connections"
TOO_LARGE = "memory"


class Client(typing.Protocol):
    """A connection that can give way to others."""

    def give_way(self, cause: str) -> None:
        """Refuse what the client has not sent whole, and close the connection."""

    def check(self, now: float) -> None:
        """Close the connection if its client takes too long."""


class Limits(typing.NamedTuple):
    """What one client may send, and how long it may take or stay idle.

    Attributes
    ----------
    head_bytes : int
        Bytes of the request line, and of the fields.
    head_seconds : float
        Time from the first byte of a head to its end.
    idle_seconds : float
        Time for which an idle connection stays open.
    """

    head_bytes: int
    head_seconds: float
    idle_seconds: float


# Before the operators' limits are known, so that no larger one of theirs is violated.
DEFAULT_LIMITS = Limits(128 * 1024, 30.0, 60.0)


class Room:
    """The connections of all clients of a process.

    Parameters
    ----------
    memory_mb : float
        Memory of the process; 0 if it is not known.
    descriptors : int
        Descriptors that the process may open; 0 if it is not known.

    Attributes
    ----------
    limits : Limits
        The operators' limits in force.
    held : int
        Bytes that connections hold.
    counts : Counter of str
        Connections that gave way or broke a limit so far, by cause.
    """

    def __init__(self, memory_mb: float = 0.0, descriptors: int = 0):
        self.limits = DEFAULT_LIMITS
        self.held = 0
        self.counts: collections.Counter[str] = collections.Counter()
        self._max_held = max_held_bytes(memory_mb)
        self._max_count = max_connections(memory_mb, descriptors)
        self._max_descriptors = max_descriptors(descriptors)
        self._clients: dict[Client, None] = {}
        self._sizes: dict[Client, int] = {}
        self._check_count = 0
        # Connections without a whole request, and the last check before they began to
        # wait, in that order.
        self._waiting: dict[Client, int] = {}
        # The same of those whose answers are not read.
        self._unread: dict[Client, int] = {}

    @property
    def _is_full(self) -> bool:
        """Whether a connection has to give way."""
        count = len(self._clients)
        # A request in progress may have a connection to a server, too.
        used = 2 * count - len(self._waiting)
        return count > self._max_count or used > self._max_descriptors

    def add(self, client: Client) -> None:
        """Add a new connection; another one, or itself, may have to give way."""
        self._clients[client] = None
        self._waiting[client] = self._check_count
        self._keep_bounds()

    def remove(self, client: Client) -> None:
        """Remove a connection that has been closed."""
        self._clients.pop(client, None)
        self._waiting.pop(client, None)
        self._unread.pop(client, None)
        self.held -= self._sizes.pop(client, 0)

    def begin(self, client: Client) -> None:
        """Record a whole request; another connection may have to give way."""
        self._waiting.pop(client, None)
        self._keep_bounds()

    def end(self, client: Client) -> None:
        """Record that a connection waits for its next request."""
        self._waiting[client] = self._check_count

    def pause(self, client: Client) -> None:
        """Record that an answer waits for its client to read."""
        self._unread[client] = self._check_count

    def advance(self, client: Client) -> None:
        """Record that a client has read a part of what waits for it."""
        if self._unread.pop(client, None) is not None:
            self.pause(client)

    def resume(self, client: Client) -> None:
        """Record that nothing waits for a client to read."""
        self._unread.pop(client, None)

    def hold(self, client: Client, size: int) -> bool:
        """Set what a connection holds.

        Returns
        -------
        bool
            Whether there is room; others that hold more give way first.
        """
        counted = size if size > UNCOUNTED_BYTES and client in self._clients else 0
        previous = self._sizes.get(client, 0)
        if counted == previous:
            return True
        self.held += counted - previous
        if counted:
            self._sizes[client] = counted
        else:
            del self._sizes[client]
        return counted <= previous or self._make_room(client)

    def check(self, now: float) -> None:
        """Close the connections whose clients take too long.

        A process that wakes late must have read what came meanwhile.
        """
        self._check_count += 1
        for client in list(self._clients):
            client.check(now)

    def _keep_bounds(self) -> None:
        """Let one connection give way if there are too many."""
        if not self._is_full:
            return
        chosen = self._find_idle(self._waiting) or self._find_idle(self._unread)
        chosen = chosen or next(iter(self._waiting), None)
        if chosen is None:
            return
        # It may be closed later, and the next one must not wait for that.
        self._waiting.pop(chosen, None)
        self._unread.pop(chosen, None)
        chosen.give_way(TOO_MANY)

    def _find_idle(self, clients: dict[Client, int]) -> Client | None:
        """Return the first one if it has been there for some checks."""
        for client, since in clients.items():
            return client if self._check_count - since > IDLE_CHECKS else None
        return None

    def _make_room(self, client: Client) -> bool:
        """Let others give way that hold more than ``client``; return if that helped."""
        while self.held > self._max_held:
            largest = self._find_largest()
            if largest is None or largest is client:
                return False
            if self._sizes[largest] < self._sizes[client]:
                return False
            del self._waiting[largest]
            largest.give_way(TOO_LARGE)
            # What it has not freed yet, it frees soon.
            self.hold(largest, 0)
        return True

    def _find_largest(self) -> Client | None:
        """Return the connection without a whole request that holds most."""
        found = None
        most = 0
        for client, size in self._sizes.items():
            if size > most and client in self._waiting:
                found, most = client, size
        return found


def max_held_bytes(memory_mb: float) -> float:
    """Return how many bytes connections may hold in an instance with some memory."""
    return share_of_memory(memory_mb, SHARE)


def share_of_memory(memory_mb: float, share: float) -> float:
    """Return a share, in bytes, of the memory that nothing else takes up."""
    memory_bytes = (memory_mb or DEFAULT_MEMORY_MB) * 1e6
    return max((memory_bytes - OTHER_BYTES) * share, MIN_BYTES)


def max_connections(memory_mb: float, descriptors: int) -> int:
    """Return how many connections of clients an instance may have."""
    by_descriptors = (descriptors or DEFAULT_DESCRIPTORS) * (1.0 - RESERVED_SHARE)
    by_memory = 2 * max_held_bytes(memory_mb) / CONNECTION_BYTES
    return int(max(min(by_descriptors, by_memory), MIN_CONNECTIONS))


def max_descriptors(descriptors: int) -> int:
    """Return how many descriptors clients and their requests may take up."""
    return int((descriptors or DEFAULT_DESCRIPTORS) * (1.0 - OTHER_SHARE))
