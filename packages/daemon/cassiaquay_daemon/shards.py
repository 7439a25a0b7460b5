"""One shard of a pool at its keeper: who waits, what is out, what fits."""

import typing

from cassiaquay_schema import fleet, messages
from cassiaquay_schema import settings as settings_schema

from . import clock, peers


class Replier(typing.Protocol):
    """Where answers to an owner go: a link, or this process itself."""

    instance: str

    def send(self, message: messages.Message) -> bool:
        """Send a message; return False when it cannot be sent."""


class Waiting(typing.NamedTuple):
    """A demand in the queue.

    Attributes
    ----------
    demand : Demand
        As the owner sent it.
    replier : Replier
        Where the answer goes.
    arrived_at, deadline : float
        Seconds on this clock.
    """

    demand: messages.Demand
    replier: Replier
    arrived_at: float
    deadline: float


class Running(typing.NamedTuple):
    """A permit given, or a dispatch that an owner told of.

    Attributes
    ----------
    owner : str
        Instance that holds it.
    server : str
        Backend server.
    tokens : int
        Tokens that it is taken to occupy.
    expires_at : float
        Seconds on this clock; renewals move it on.
    """

    owner: str
    server: str
    tokens: int
    expires_at: float


class Shard:
    """The keeper's state of one shard. All of it is soft: owners can tell it anew.

    Parameters
    ----------
    name : str
        Pool and number, as in ``tutor#0``.
    settings : Settings
        Lives of permits and leases, limits.
    """

    def __init__(self, name: str, settings: settings_schema.Settings):
        self.name = name
        self.settings = settings
        self.queue: dict[str, Waiting] = {}
        self.running: dict[str, Running] = {}
        self.servers: dict[str, fleet.Server] = {}
        self.gone: set[str] = set()
        self._opens_at = 0.0
        self.reopen()

    @property
    def is_open(self) -> bool:
        """Whether this keeper may grant yet."""
        return clock.now() >= self._opens_at

    def reopen(self) -> None:
        """Grant nothing until the owners have told what is out."""
        # A new keeper that granted at once would put a second load on engines that
        # are full already.
        self._opens_at = clock.now() + self.settings.keeper.renew_seconds * 1.5

    def add(self, demand: messages.Demand, replier: Replier) -> None:
        """Queue a demand; one that is queued or running already changes nothing."""
        if demand.id in self.running:
            return
        waiting = self.queue.get(demand.id)
        arrived_at = waiting.arrived_at if waiting else clock.now()
        deadline = clock.now() + demand.remaining_ms / 1000.0
        self.queue[demand.id] = Waiting(demand, replier, arrived_at, deadline)

    def drop(self, request_id: str) -> None:
        """Forget a demand or a permit."""
        self.queue.pop(request_id, None)
        self.running.pop(request_id, None)

    def drop_owner(self, link: peers.Link) -> None:
        """Forget the demands that came over a closed link.

        Permits and dispatches stay until their leases end: the owner may be alive
        behind another link, and its engine work goes on in any case.
        """
        for request_id in list(self.queue):
            if self.queue[request_id].replier is link:
                del self.queue[request_id]

    def renew(self, owner: str, outstanding: list[messages.Outstanding]) -> None:
        """Take an owner's dispatched requests as they are, whoever permitted them."""
        lease = clock.now() + self.settings.keeper.lease_seconds
        for item in outstanding:
            tokens = item.prompt_tokens + item.output_tokens
            self.queue.pop(item.id, None)
            self.running[item.id] = Running(owner, item.server, tokens, lease)

    def grant(self, waiting: Waiting, server: str) -> None:
        """Give a permit."""
        demand = waiting.demand
        del self.queue[demand.id]
        keeper = self.settings.keeper
        lease = clock.now() + keeper.permit_ms / 1000.0 + keeper.lease_seconds
        tokens = demand.prompt_tokens + demand.output_tokens
        self.running[demand.id] = Running(
            waiting.replier.instance, server, tokens, lease
        )
        waiting.replier.send(messages.Permit(demand.id, server, keeper.permit_ms))

    def shed(self, waiting: Waiting, code: str, retry_after_ms: int) -> None:
        """Give a demand up; the owner tells its caller at once."""
        del self.queue[waiting.demand.id]
        waiting.replier.send(messages.Shed(waiting.demand.id, code, retry_after_ms))

    def expire(self) -> None:
        """Drop leases that nobody renewed."""
        now = clock.now()
        for request_id in list(self.running):
            if self.running[request_id].expires_at < now:
                del self.running[request_id]

    def open_servers(self) -> list[fleet.Server]:
        """Return the servers that may get new work."""
        return [item for item in self.servers.values() if item.name not in self.gone]

    def tokens_on(self, server: str) -> int:
        """Return the tokens in flight on a server."""
        return sum(r.tokens for r in self.running.values() if r.server == server)

    def count_on(self, server: str) -> int:
        """Return the requests in flight on a server."""
        return sum(1 for r in self.running.values() if r.server == server)
