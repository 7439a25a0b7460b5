"""One shard of a pool at its keeper: who waits, what is out, what fits."""

import collections.abc
import typing

from cassiaquay_schema import fleet, messages
from cassiaquay_schema import settings as settings_schema

from .. import clock, logs
from . import loads, prefixes, priority_cutoffs, slow_start

# Time for the news of a dispatch to reach the keeper after a permit's last moment.
NEWS_SECONDS = 0.4
# Owners repeat unanswered demands every renewal period; one not repeated for this
# many periods is an owner's that has gone, or was read after a pause of this process.
STALE_PERIODS = 4.0
# How long a server that refused connections is taken for down without other news.
REFUSED_SECONDS = 2.0
DOWN_RETRY_MS = 2000


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
    renewed_at : float
        When the owner sent it last; seconds on this clock.
    """

    demand: messages.Demand
    replier: Replier
    arrived_at: float
    deadline: float
    renewed_at: float = 0.0


class Running(typing.NamedTuple):
    """A permit given, or a dispatch that an owner reported.

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
    demand : Demand or None
        What was granted; None where only an owner's renewal reported it.
    dispatched : bool
        Whether the owner has put the permit to use.
    cached_tokens : int
        Prompt tokens that the engine was taken to have in its cache.
    produced : int
        Tokens of the answer at the last renewal.
    produced_at : float
        When that was; seconds on this clock.
    """

    owner: str
    server: str
    tokens: int
    expires_at: float
    demand: messages.Demand | None = None
    dispatched: bool = False
    cached_tokens: int = 0
    produced: int = 0
    produced_at: float = 0.0


class Observer(typing.Protocol):
    """Follows the changes of a shard, so that nobody need walk through all of it."""

    def queued(self, waiting: Waiting) -> None:
        """Take in a demand that is new in the queue."""

    def unqueued(self, waiting: Waiting) -> None:
        """Take in that a demand has left the queue."""

    def advanced(self, server: str, tokens: int, seconds: float) -> None:
        """Take in that one answer grew by ``tokens`` (perhaps 0) in ``seconds``."""

    def started(self, running: Running, found: loads.Started) -> None:
        """Take in that a prompt has been read."""

    def stopped(self, running: Running) -> None:
        """Take in that a permit or a dispatch has ended, however it did."""


class Shard:
    """The keeper's state of one shard: soft state that owners can report again.

    Parameters
    ----------
    name : str
        Pool and number, as in ``tutor#0``.
    settings : Settings
        Lives of permits and leases, limits.
    cold : SlowStart, optional
        Which servers are cold.
    """

    def __init__(
        self,
        name: str,
        settings: settings_schema.Settings,
        cold: slow_start.SlowStart | None = None,
    ):
        self.name = name
        self.settings = settings
        self.queue: dict[str, Waiting] = {}
        self.running: dict[str, Running] = {}
        self.servers: dict[str, fleet.Server] = {}
        self.closed_servers: set[str] = set()
        self.weights: dict[str, float] = {}
        self.margins: dict[int, float] = {}
        self.may_shed: collections.abc.Callable[[int], bool] = _always
        # Returns the shard of the pool in which a demand waits less than so many
        # seconds, or nothing; and what demands would wait here.
        self.find_sibling: collections.abc.Callable[[Waiting, float], str] = _nowhere
        self.waits: collections.abc.Callable[[], list[messages.RankWait]] = list
        self.cutoffs = priority_cutoffs.PriorityCutoffs()
        self.cold_budgets = slow_start.ColdBudgets(
            cold or slow_start.SlowStart(settings)
        )
        self._refused: dict[str, float] = {}
        self._loads: dict[str, loads.Load] = {}
        self._observers: list[Observer] = []
        self._unheard: set[str] = set()
        self._opens_at = 0.0
        self.close()

    @property
    def is_open(self) -> bool:
        """Whether this keeper may grant yet."""
        return not self._unheard or clock.now() >= self._opens_at

    def close(self, owners: typing.Collection[str] | None = None) -> None:
        """Grant nothing until the owners have reported what is outstanding.

        Parameters
        ----------
        owners : collection of str, optional
            Live instances; the shard opens early when all of them have reported.
        """
        # A new keeper that granted at once would put a second load on engines that
        # are full already: callers would see every answer come late.
        self._unheard = {"nobody"} if owners is None else set(owners)
        self._opens_at = clock.now() + self.settings.keeper.renew_seconds * 1.5
        self.cold_budgets.forget()

    @property
    def unreported_owners(self) -> set[str]:
        """Owners that have not reported what is outstanding; empty once open."""
        return set() if self.is_open else self._unheard

    def observe(self, observer: Observer) -> None:
        """Let ``observer`` follow the changes of this shard."""
        self._observers.append(observer)

    def load(self, server: str) -> loads.Load:
        """Return the running totals of a server."""
        found = self._loads.get(server)
        if found is None:
            found = self._loads[server] = loads.Load()
        return found

    def add(self, demand: messages.Demand, replier: Replier) -> None:
        """Queue a demand, or take in that its owner repeats it."""
        now = clock.now()
        for server in demand.avoid:
            self._refused[server] = now
            self.cold_budgets.cold.suspect_restart(server)
        if not prefixes.consistent(demand.blocks, demand.block_count):
            # An owner of another version samples otherwise: no affinity is better
            # than a wrong one.
            demand = demand._replace(blocks=[], block_count=0)
        running = self.running.get(demand.id)
        if running is not None:
            # The owner asks again and so has no permit: the one sent was lost with a
            # connection. It would wait for the permit's end otherwise.
            left = running.expires_at - NEWS_SECONDS - now
            if not running.dispatched and left > 0:
                permit = messages.Permit(
                    demand.id, running.server, int(left * 1000), self.name
                )
                replier.send(permit)
            return
        waiting = self.queue.get(demand.id)
        deadline = now + demand.remaining_ms / 1000.0
        if waiting is not None:
            self.queue[demand.id] = waiting._replace(
                demand=demand, replier=replier, deadline=deadline, renewed_at=now
            )
            return
        waiting = Waiting(demand, replier, now, deadline, now)
        self.queue[demand.id] = waiting
        for observer in self._observers:
            observer.queued(waiting)

    def drop(self, request_id: str) -> None:
        """Forget a demand or a permit."""
        self._unqueue(request_id)
        self._stop(request_id)

    def drop_owner(self, link: Replier) -> None:
        """Forget the demands that came over a closed link.

        Permits and dispatches stay until their leases end: the owner may be alive
        behind another link, and its engine work goes on in any case.
        """
        for request_id in list(self.queue):
            if self.queue[request_id].replier is link:
                self._unqueue(request_id)

    def drop_queue(self) -> None:
        """Forget all demands; their owners send those that still wait again."""
        for request_id in list(self.queue):
            self._unqueue(request_id)

    def renew(self, owner: str, outstanding: list[messages.Outstanding]) -> None:
        """Take an owner's dispatched requests as they are, whoever permitted them."""
        now = clock.now()
        lease = now + self.settings.keeper.lease_seconds
        named = set()
        for item in outstanding:
            named.add(item.id)
            self._unqueue(item.id)
            self._renew(owner, item, now, lease)
        for request_id, running in list(self.running.items()):
            # Told of before and not any more: it has ended and the news was lost.
            if running.owner == owner and running.dispatched:
                if request_id not in named:
                    self._stop(request_id)
        self._unheard.discard(owner)

    def progress(self, message: messages.Progress) -> None:
        """Take in which permits were put to use and which prompts were read."""
        now = clock.now()
        for step in message.steps:
            running = self.running.get(step.id)
            if running is None:
                continue
            at = now - step.age_ms / 1000.0
            lease = now + self.settings.keeper.lease_seconds
            self.running[step.id] = running._replace(dispatched=True, expires_at=lease)
            if not step.started:
                continue
            found = self.load(running.server).start(step.id, at)
            self._refused.pop(running.server, None)
            self.cold_budgets.cold.confirm_alive(running.server)
            if found is None:
                continue
            self.running[step.id] = self.running[step.id]._replace(
                produced=1, produced_at=at
            )
            for observer in self._observers:
                observer.started(running, found)

    def grant(
        self,
        waiting: Waiting,
        server: str,
        cached_tokens: int = 0,
        expected_seconds: float = 0.0,
    ) -> None:
        """Give a permit.

        Parameters
        ----------
        waiting : Waiting
            A demand of the queue.
        server : str
            Backend server.
        cached_tokens : int
            Prompt tokens that its cache is taken to hold.
        expected_seconds : float
            Estimated time to the first event.
        """
        demand = waiting.demand
        self._unqueue(demand.id)
        now = clock.now()
        keeper = self.settings.keeper
        # Nobody renews a permit that is not in use; without news of a dispatch the
        # capacity comes back right after the permit's end.
        permit_ms = self.cold_budgets.granted(server, keeper.permit_ms)
        expires_at = now + permit_ms / 1000.0 + NEWS_SECONDS
        tokens = demand.prompt_tokens + demand.output_tokens
        running = Running(
            waiting.replier.instance,
            server,
            tokens,
            expires_at,
            demand,
            cached_tokens=cached_tokens,
        )
        self._begin(demand.id, running)
        uncached = max(demand.prompt_tokens - cached_tokens, 0)
        self.load(server).begin(demand.id, uncached, now, expected_seconds)
        logs.detail("granted", id=demand.id, shard=self.name, rank=demand.rank)
        permit = messages.Permit(demand.id, server, permit_ms, self.name)
        waiting.replier.send(permit)

    def shed(self, waiting: Waiting, code: str, retry_after_ms: int) -> None:
        """Give a demand up; the owner refuses it at once."""
        self._unqueue(waiting.demand.id)
        logs.event(
            "shed",
            id=waiting.demand.id,
            shard=self.name,
            rank=waiting.demand.rank,
            code=code,
            waited_ms=round((clock.now() - waiting.arrived_at) * 1000.0, 1),
        )
        waiting.replier.send(messages.Shed(waiting.demand.id, code, retry_after_ms))

    def move(self, waiting: Waiting, limit: float) -> bool:
        """Send a demand to a shard where it waits less; False when there is none."""
        target = self.find_sibling(waiting, limit)
        if not target:
            return False
        demand = waiting.demand
        self._unqueue(demand.id)
        logs.event(
            "moved",
            id=demand.id,
            shard=self.name,
            target=target,
            rank=demand.rank,
            moves=demand.moves,
        )
        waiting.replier.send(messages.Moved(demand.id, self.name, target))
        return True

    def expire(self) -> None:
        """Drop leases that nobody renewed, and demands that nobody repeats."""
        now = clock.now()
        for request_id in list(self.running):
            if self.running[request_id].expires_at < now:
                self._stop(request_id)
        horizon = now - self.settings.keeper.renew_seconds * STALE_PERIODS
        for request_id in list(self.queue):
            if self.queue[request_id].renewed_at < horizon:
                self._unqueue(request_id)

    def health(self) -> tuple[int, int]:
        """Return the rank from which on requests are refused, and when to ask again.

        The rank is -1 when all get through, 0 when no server can be reached.
        """
        up = [item for item in self.open_servers() if not self.is_refusing(item.name)]
        if not up:
            return 0, DOWN_RETRY_MS
        return self.cutoffs.floor

    def is_refusing(self, server: str) -> bool:
        """Tell whether a server refused a connection and has done nothing since."""
        since = clock.now() - self._refused.get(server, float("-inf"))
        return since < REFUSED_SECONDS

    def open_servers(self) -> list[fleet.Server]:
        """Return the servers that may get new work."""
        return [
            item
            for item in self.servers.values()
            if item.name not in self.closed_servers
        ]

    def tokens_on(self, server: str) -> int:
        """Return the tokens in flight on a server."""
        return self.load(server).tokens

    def count_on(self, server: str) -> int:
        """Return the requests in flight on a server."""
        return self.load(server).count

    def _renew(
        self, owner: str, item: messages.Outstanding, now: float, lease: float
    ) -> None:
        known = self.running.get(item.id)
        if known is not None and known.server != item.server:
            self._stop(item.id)
            known = None
        if known is None:
            tokens = item.prompt_tokens + item.output_tokens
            known = Running(owner, item.server, tokens, lease, produced_at=now)
            self._begin(item.id, known)
        known = known._replace(owner=owner, expires_at=lease, dispatched=True)
        self.running[item.id] = self._grow(item, known, now)

    def _grow(self, item: messages.Outstanding, known: Running, now: float) -> Running:
        if not item.produced:
            return known
        found = self.load(known.server).start(item.id, now)
        if found is not None:
            for observer in self._observers:
                observer.started(known, found)
        if known.produced:
            grown = item.produced - known.produced
            for observer in self._observers:
                observer.advanced(known.server, grown, now - known.produced_at)
            if grown <= 0:
                return known
        return known._replace(produced=item.produced, produced_at=now)

    def _unqueue(self, request_id: str) -> None:
        waiting = self.queue.pop(request_id, None)
        if waiting is None:
            return
        for observer in self._observers:
            observer.unqueued(waiting)

    def _begin(self, request_id: str, running: Running) -> None:
        self.running[request_id] = running
        load = self.load(running.server)
        load.count += 1
        load.tokens += running.tokens

    def _stop(self, request_id: str) -> None:
        running = self.running.pop(request_id, None)
        if running is None:
            return
        load = self.load(running.server)
        load.count -= 1
        load.tokens -= running.tokens
        load.forget(request_id, clock.now())
        for observer in self._observers:
            observer.stopped(running)


def _nowhere(waiting: Waiting, limit: float) -> str:
    """Return nothing: there is no other shard."""
    return ""


def _always(rank: int) -> bool:
    """Shed any rank: the pool has one shard."""
    return True
