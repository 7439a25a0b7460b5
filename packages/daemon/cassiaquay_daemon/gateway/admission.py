"""Obtains capacity for requests from a keeper, or locally while the keeper is silent.

A keeper admits requests to a shard of backend servers. When it does not reply, the
instance admits requests itself, within its own share of each server's slots.
"""

import asyncio
import collections
import collections.abc
import math
import random
import typing

from cassiaquay_schema import fleet, messages

from .. import clock, exceptions, logs
from ..decisions import (
    rate_budgets,
    software_versions,
    stream_origins,
    version_choice,
)
from ..fleet import members
from ..keepers import demands
from . import calls, progress

# Retry-After while a service has no registered servers: registrations are read again
# several times in this time.
NO_SERVERS_RETRY_MS = 600
# Retry-After while the keeper is silent and this instance's own share is in use:
# another instance has taken over as keeper by then.
NO_KEEPER_RETRY_MS = 500
# Share of the time to its objective for which a request waits for a server that has
# asked for time; the rest is for obtaining a slot and for the first event.
BACKOFF_WAIT_SHARE = 0.5

# Time for which a resumed stream waits for a slot: its events are late anyway, and only
# some servers can go on with it. Callers wait for two seconds or more between events.
RESUME_WAIT_SECONDS = 1.5


class Tally:
    """Counts an answer's events; permit renewals report the count to the keeper."""

    def __init__(self) -> None:
        self.count = 0
        self.first_at = 0.0

    def add(self, events: int) -> None:
        """Add ``events`` to the count."""
        if not self.count:
            self.first_at = clock.now()
        self.count += events


class Ticket(typing.NamedTuple):
    """Permission to dispatch one request to one server.

    Attributes
    ----------
    demand : Demand
        The demand that was sent to the keeper.
    server : Server
        The server to dispatch to.
    expires_at : float
        Time before which the dispatch must begin; seconds on this clock.
    tally : Tally
        Counts the events of the answer.
    is_without_keeper : bool
        Whether this instance admitted the request without the keeper.
    is_charged : bool
        Whether it counts against a limit that the server has named.
    """

    demand: messages.Demand
    server: fleet.Server
    expires_at: float
    tally: Tally
    is_without_keeper: bool
    is_charged: bool = False


class _ShardChoice(typing.NamedTuple):
    """The shard to ask, and whether others have servers of the version, too."""

    name: str
    has_others: bool


class States(typing.Protocol):
    """What servers have reported about themselves."""

    def is_leaving(self, server: str) -> bool:
        """Return whether a server is shutting down and gets no new request."""

    def is_brittle(self, server: str) -> bool:
        """Return whether a server bears few rejections."""

    def backoff_seconds(self, server: str) -> float:
        """Return how long a server wants no request of this instance; 0 for none."""


class Admission:
    """Obtains capacity for requests and reports its use to the keepers.

    Parameters
    ----------
    demand_client : Demands
        Sends demands to the keepers.
    membership : Membership
        Lists the instances that share the servers.
    rate_limits : sequence of Source
        Reasons to limit servers; only a keeper may admit requests to limited ones.
    states : States
        What servers have reported about themselves.
    """

    def __init__(
        self,
        demand_client: demands.Demands,
        membership: members.Membership,
        rate_limits: collections.abc.Sequence[rate_budgets.Source],
        states: States,
    ):
        self._demands = demand_client
        self._membership = membership
        self._rate_limits = rate_limits
        self._states = states
        self._outstanding: collections.Counter[str] = collections.Counter()
        # Services of which all servers were leaving at the last look.
        self._services_leaving: set[str] = set()

    async def obtain(self, state: progress.RequestState) -> Ticket:
        """Return a ticket to dispatch the request; raise Refusal for no capacity."""
        call = state.call
        servers = self._open_servers(state)
        if not servers:
            raise exceptions.NoServers(retry_after_ms=NO_SERVERS_RETRY_MS)
        servers = software_versions.matching(servers, state.software)
        if not servers:
            raise exceptions.NoMatchingServers(retry_after_ms=NO_SERVERS_RETRY_MS)
        state.begins_at = _first_version(state, servers)
        servers = software_versions.matching(servers, state.begins_at)
        demand = _demand(state)
        await self._wait_for_backoffs(call, servers)
        try:
            permission = await self._demands.obtain(
                demand, call.deadline, demands.ACKNOWLEDGE_TIMEOUT_SECONDS
            )
        except exceptions.KeeperUnresponsive:
            return self._obtain_without_keeper(state, demand)
        demand = demand._replace(shard=permission.shard)
        server = state.snapshot.open_server(call.service, permission.server)
        if server is None or not software_versions.matching([server], state.software):
            self._demands.give_back(demand)
            raise exceptions.NotSent("the server is not in force here")
        return Ticket(
            demand,
            server,
            permission.expires_at,
            Tally(),
            False,
            permission.is_charged,
        )

    def report_dispatched(self, ticket: Ticket) -> None:
        """Report that the request of a ticket was dispatched."""
        self._outstanding[ticket.server.name] += 1
        demand = ticket.demand
        item = messages.Outstanding(
            demand.id,
            demand.service,
            demand.team,
            demand.rank,
            ticket.server.name,
            demand.prompt_tokens,
            demand.output_tokens,
        )
        self._demands.dispatched(demand.shard, item, ticket.tally)

    def return_unused(self, ticket: Ticket) -> None:
        """Return the capacity of a ticket that was not used."""
        if not ticket.is_without_keeper:
            self._demands.give_back(ticket.demand)

    def report_ended(self, ticket: Ticket, sent_at: float, outcome: str) -> None:
        """Report that a dispatched request has ended."""
        self._outstanding[ticket.server.name] -= 1
        now = clock.now()
        tally = ticket.tally
        first_ms = max(tally.first_at - sent_at, 0.0) * 1000.0
        self._demands.release(
            messages.Release(
                ticket.demand.id,
                ticket.demand.shard,
                ticket.server.name,
                outcome,
                ticket.demand.prompt_tokens,
                0,
                tally.count,
                first_ms,
                (now - sent_at) * 1000.0,
            )
        )

    async def _wait_for_backoffs(
        self, call: calls.Call, servers: list[fleet.Server]
    ) -> None:
        """Wait until one of the servers takes requests; refuse if that is too late."""
        seconds = min(self._states.backoff_seconds(item.name) for item in servers)
        if seconds <= 0.0:
            return
        if seconds > call.objective_seconds_left * BACKOFF_WAIT_SHARE:
            raise exceptions.ServersBusy(retry_after_ms=math.ceil(seconds * 1000.0))
        await asyncio.sleep(seconds)

    def _open_servers(self, state: progress.RequestState) -> list[fleet.Server]:
        """Return the servers of a request's service that may get new requests."""
        call = state.call
        servers = state.snapshot.open_servers(call.service)
        staying = [item for item in servers if not self._states.is_leaving(item.name)]
        if staying:
            self._services_leaving.discard(call.service)
        elif servers and call.service not in self._services_leaving:
            self._services_leaving.add(call.service)
            logs.trouble(
                "all_servers_leaving", service=call.service, servers=len(servers)
            )
        return staying

    def _obtain_without_keeper(
        self, state: progress.RequestState, demand: messages.Demand
    ) -> Ticket:
        # The keeper has crashed, is paused or is partitioned off. Each instance then
        # uses only its own share of each server's slots, so that all instances together
        # do not overload it.
        live = max(len(self._membership.serving()), 1)
        best: fleet.Server | None = None
        servers = software_versions.matching(self._open_servers(state), demand.software)
        servers = software_versions.matching(servers, demand.begins_at) or servers
        # All instances lose a keeper at the same time: without shuffling, all of them
        # would send to the same server.
        random.shuffle(servers)
        for server in servers:
            share = max(server.slots // live, 1)
            if server.name in demand.avoid or server.name in demand.tried:
                continue
            if self._states.backoff_seconds(server.name) > 0.0:
                continue
            # The limit covers all instances, and this one does not see what the others
            # send.
            if rate_budgets.is_limited(self._rate_limits, server.name):
                continue
            # What all instances send together may be more than it has slots.
            if self._states.is_brittle(server.name):
                continue
            if self._outstanding[server.name] >= share:
                continue
            if (
                best is None
                or self._outstanding[server.name] < self._outstanding[best.name]
            ):
                best = server
        logs.event(
            "keeper_silent",
            id=demand.id,
            shard=demand.shard,
            live=live,
            server=best.name if best else None,
        )
        if best is None:
            raise exceptions.Shed(retry_after_ms=NO_KEEPER_RETRY_MS)
        return Ticket(demand, best, state.call.deadline, Tally(), True)


def _first_version(
    state: progress.RequestState, usable: list[fleet.Server]
) -> str | None:
    """Return the version that a new stream should begin at; None for any."""
    call = state.call
    if state.software is not None or not call.is_stream or not call.route.is_resumable:
        return None
    pool = state.snapshot.fleet.pools.get(call.service)
    if pool is None:
        return None
    # Also servers of evacuated domains: an instance that takes the stream up does not
    # know which were in use when it began.
    key = stream_origins.key_of(call.team_name, call.parsed.attempt)
    software = version_choice.choose(key, pool.servers)
    return software if software_versions.matching(usable, software) else None


def _choose_shard(state: progress.RequestState) -> _ShardChoice:
    """Return the shard to ask for capacity."""
    snapshot = state.snapshot
    parsed = state.call.parsed
    key = str(parsed.parts[-1].key) if parsed.parts else parsed.attempt
    shard = snapshot.shard_of(state.call.service, key)
    software = state.begins_at if state.software is None else state.software
    if software is None:
        return _ShardChoice(shard, False)
    # Only some shards may have servers of the version; the usual one wins a tie.
    shards = [shard, *snapshot.siblings(shard)]
    counts = {}
    for name in shards:
        members = software_versions.matching(snapshot.shard_servers(name), software)
        counts[name] = sum(item.name not in state.unreachable for item in members)
    chosen = max(shards, key=counts.__getitem__)
    if state.software is None and counts[shard]:
        # Else one shard would get all new streams of a version.
        chosen = shard
    return _ShardChoice(chosen, sum(counts.values()) > counts[chosen])


def _patience_seconds(state: progress.RequestState) -> float:
    """Return how long the first event may take."""
    if state.software is None:
        return state.call.first_event_seconds_left
    return min(RESUME_WAIT_SECONDS, state.call.seconds_left)


def _demand(state: progress.RequestState) -> messages.Demand:
    call = state.call
    shard = _choose_shard(state)
    parsed = call.parsed
    number = state.tries
    name = parsed.attempt if number == 1 else f"{parsed.attempt}.{number}"
    return messages.Demand(
        name,
        shard.name,
        call.service,
        call.team_name,
        call.rank,
        parsed.prompt_tokens,
        -(-parsed.output_tokens // call.event_tokens),
        max(int(call.seconds_left * 1000.0), 0),
        "",
        [],
        list(state.unreachable),
        first_ms=max(int(_patience_seconds(state) * 1000.0), 1),
        pause_ms=int(call.route.pause_seconds * 1000.0),
        parts=parsed.parts,
        tried=list(state.tried),
        software=state.software,
        begins_at=state.begins_at,
        has_others=shard.has_others and state.begins_at is not None,
    )
