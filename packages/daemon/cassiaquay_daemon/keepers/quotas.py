"""Fleet-wide token limits (quotas) of teams, which hold in any partition.

Load pattern: a team sends many times its usual load through every instance at once,
while instances crash or are partitioned. Part of what the limit allows in a window is
split into equal shares, one for each instance, which it spends without a round trip.
The rest is granted by the limit's keeper to instances that need more than their share.
The shares and the rest together never exceed what the fleet may run, in any partition,
and ordinary requests don't depend on the keeper.

If units become available soon, a request waits for them: if it were refused, its caller
would retry no sooner than a fifth of a second later.

Under overload, requests that were given units are shed for lack of a slot, and their
callers retry. The units of a shed request are returned. If each attempt counted, sheds
would use up the limit, and a team below its limit would be refused for exceeding it.
"""

import asyncio
import collections
import math
import typing

from cassiaquay_schema import messages
from cassiaquay_schema import settings as settings_schema

from .. import clock, exceptions, pause
from ..configured import routing
from ..decisions import buckets, shards
from ..fleet import configuration, members
from ..links import peers

# Share of the bound that is given out: windows here and at the servers do not start at
# the same moment.
USED_SHARE = 0.9
# Share of that which instances may spend without the keeper, in a fleet of up to this
# many. In larger fleets an instance's share would be smaller than one long request, and
# units that no instance can spend are lost to the team: there the share shrinks, and
# more is requested from the keeper. The keeper has the larger part because the longest
# prompt must fit its depth.
OWN_SHARE = 0.3
OWN_SHARE_MAX_INSTANCES = 12
# A live keeper answers within a few round trips, including those that open the
# connection. After that an instance continues without its answer.
QUERY_TIMEOUT_SECONDS = 0.15
# Grants are used at once, but may reach a server this much later, in another window.
USE_DELAY_SECONDS = 1.0
# How long a keeper accepts returns of a grant: no request waits longer for a slot.
RETURN_WINDOW_SECONDS = 15.0
# Least share of the bound that may be spent at once, since requests arrive in bursts.
MIN_DEPTH_SHARE = 0.25
# Greatest share: for a limit far below the team's load, the slack is most of the bound;
# as bucket depth it would be spent only once instead of in every window.
MAX_DEPTH_SHARE = 0.35
MIN_RETRY_MS = 200
MAX_RETRY_MS = 4000
# On the first start of a fleet no units have been spent.
NEVER_SPENT = -math.inf


class _PendingQuery(typing.NamedTuple):
    """A query to a limit's keeper, and the future of its answer."""

    keeper: str
    query: messages.QuotaQuery
    answer: asyncio.Future[messages.QuotaAnswer]


class Taken(typing.NamedTuple):
    """Units of a limit that a request has taken.

    Attributes
    ----------
    units : int
        Number of units.
    own : Bucket or None
        Bucket of this instance's own share, if they were taken from it.
    keeper : str
        Instance that granted them otherwise.
    number : int
        Number of the query that they were granted for.
    """

    units: int
    own: buckets.Bucket | None = None
    keeper: str = ""
    number: int = 0


class _Grant(typing.NamedTuple):
    """Units that this instance has granted as a limit's keeper."""

    bucket: buckets.Bucket
    units: int
    at: float


class TokenCounts(typing.Protocol):
    """Token counts that a request states."""

    @property
    def prompt_tokens(self) -> int:
        """Number of tokens of the prompt."""

    @property
    def most_output_tokens(self) -> int:
        """Maximum number of tokens of the answer."""

    @property
    def counts_tokens(self) -> bool:
        """Whether the request states its tokens."""


class Quotas:
    """Both sides of teams' limits at one instance: taking units and granting them.

    Parameters
    ----------
    settings : Settings
        The window, and how far the limit may be exceeded in it.
    links : Peers
        Connections to other instances.
    membership : Membership
        The keeper of each limit, and the number of instances that share it.
    configured : Configuration
        The limits in force.
    pauses : Pauses, optional
        Reports pauses of this process, in which others may have granted in its place.
    """

    def __init__(
        self,
        settings: settings_schema.Settings,
        links: peers.Peers,
        membership: members.Membership,
        configured: configuration.Configuration,
        pauses: pause.Pauses | None = None,
    ):
        self._settings = settings
        self._gateway = settings.gateway
        self._membership = membership
        self._configured = configured
        self._own_buckets: dict[str, buckets.Bucket] = {}
        self._granted: dict[str, buckets.Bucket] = {}
        # Grants by querying instance and its query number, oldest first.
        self._returnable: collections.OrderedDict[tuple[str, int], _Grant]
        self._returnable = collections.OrderedDict()
        self._pending_queries: dict[int, _PendingQuery] = {}
        self._query_number = 0
        # Units spent earlier are unknown: those spent by this instance's previous
        # process, and those granted by the keeper before the last membership change.
        self._own_from = NEVER_SPENT
        if not settings.gateway.first_start:
            self._own_from = clock.now()
        self._granted_from = self._own_from
        links.on(messages.QuotaQuery, self._on_query)
        links.on(messages.QuotaAnswer, self._on_answer)
        links.on(messages.QuotaReturn, self._on_return)
        links.on_up(self._on_link_up)
        membership.on_change(self._on_members_changed)
        self._pauses = pauses
        if pauses is not None:
            pauses.on_resume(self._on_pause)

    def adopt(self, settings: settings_schema.Settings) -> None:
        """Apply changed settings."""
        self._gateway = settings.gateway

    async def take(
        self, team: routing.Team | None, facts: TokenCounts, patience: float = 0.0
    ) -> Taken | None:
        """Take a request's units from its team's limit; raise LimitReached when over.

        If the request is not run, pass the result to :meth:`give_back`. The result is
        None if the team has no limit.

        Parameters
        ----------
        team : Team or None
            The team that sent the request.
        facts : TokenCounts
            The token counts that it states.
        patience : float
            Seconds that it may wait for units.
        """
        if team is None or team.quota is None:
            return None
        units = units_of(team.quota, facts)
        own_bucket = _bucket_of(self._own_buckets, team.name, self._own_from)
        share = self._own_part() / self._membership.fleet_size()
        flow = self._flow(team.quota).scaled(share)
        own_wait = own_bucket.reserve(units, flow, 0.0)
        if not own_wait:
            return Taken(units, own_bucket)
        keeper = self._membership.keeper_of(_limit_key(team.name))
        answer = await self._query_keeper(
            keeper, team.name, units, min(patience, own_wait)
        )
        if answer.units:
            taken = Taken(units, keeper=keeper, number=answer.number)
            return await self._wait_reserved(taken, answer.wait_ms / 1000.0)
        own_wait = own_bucket.reserve(units, flow, patience)
        if own_wait <= patience:
            return await self._wait_reserved(Taken(units, own_bucket), own_wait)
        raise _refusal(team.name, own_wait * 1000.0, answer.wait_ms)

    def give_back(self, taken: Taken) -> None:
        """Return the units of a request that was not run; call it once per request."""
        if taken.own is not None:
            taken.own.refund(taken.units)
            return
        message = messages.QuotaReturn(taken.number)
        if taken.keeper == self._settings.instance:
            self._accept_return(taken.keeper, message)
            return
        link = self._membership.link(taken.keeper)
        if link is not None:
            link.send(message)

    async def _wait_reserved(self, taken: Taken, seconds: float) -> Taken:
        """Wait until units that were reserved ahead become available."""
        try:
            await asyncio.sleep(seconds)
        except asyncio.CancelledError:
            self.give_back(taken)
            raise
        return taken

    def _own_part(self) -> float:
        """Return the share of a limit that instances spend without the keeper."""
        return OWN_SHARE * min(
            OWN_SHARE_MAX_INSTANCES / self._membership.fleet_size(), 1.0
        )

    def _flow(self, quota: routing.Quota) -> buckets.Flow:
        """Return the flow that keeps the fleet under the team's bound in any window.

        Its rate is about the team's rate or more; what the bound leaves besides is the
        depth, which may be spent at once.
        """
        gateway = self._gateway
        seconds = gateway.quota_window_seconds
        bound = (quota.rate * seconds + quota.burst) * (1.0 + gateway.quota_excess)
        if quota.counts_tokens:
            bound += gateway.quota_slack
        bound *= USED_SHARE
        seconds += USE_DELAY_SECONDS
        depth = max(bound - quota.rate * seconds, bound * MIN_DEPTH_SHARE)
        depth = min(depth, bound * MAX_DEPTH_SHARE)
        return buckets.Flow((bound - depth) / seconds, depth)

    def _on_members_changed(self) -> None:
        self._granted_from = clock.now()
        for team in list(self._granted):
            if self._membership.keeper_of(_limit_key(team)) != self._settings.instance:
                del self._granted[team]

    def _on_pause(self) -> None:
        # Others took this instance for failed, and the next keeper has granted what
        # these buckets have gained meanwhile. This instance has seen no change of the
        # members: it heard nothing.
        self._granted_from = clock.now()
        self._granted.clear()

    async def _query_keeper(
        self, keeper: str, team: str, units: int, patience: float
    ) -> messages.QuotaAnswer:
        """Return the keeper's answer; zero units if it grants none or is silent."""
        self._query_number += 1
        query = messages.QuotaQuery(
            self._query_number, team, units, int(patience * 1000.0)
        )
        if keeper == self._settings.instance:
            return self._grant(keeper, query)
        pending = _PendingQuery(
            keeper, query, asyncio.get_running_loop().create_future()
        )
        self._pending_queries[query.number] = pending
        link = self._membership.link(keeper)
        if link is not None:
            link.send(query)
        # Without a link, a connection is being opened; the query is sent once it is up.
        try:
            if await pause.wait_answered(pending.answer, QUERY_TIMEOUT_SECONDS):
                return pending.answer.result()
            return messages.QuotaAnswer(query.number, 0)
        finally:
            del self._pending_queries[query.number]

    def _on_link_up(self, link: peers.Link) -> None:
        for pending in self._pending_queries.values():
            if pending.keeper == link.instance:
                link.send(pending.query)

    def _grant(self, instance: str, query: messages.QuotaQuery) -> messages.QuotaAnswer:
        """Grant units of the keeper's part, as the limit's keeper."""
        if self._pauses is not None:
            self._pauses.check()
        quota = self._quota(query.team)
        if quota is None:
            return messages.QuotaAnswer(query.number, 0)
        # In a partition each side has its own keeper: each grants only the share of the
        # keeper's part that corresponds to the instances on its side.
        alive_share = len(self._membership.alive()) / self._membership.fleet_size()
        flow = self._flow(quota).scaled(
            (1.0 - self._own_part()) * min(alive_share, 1.0)
        )
        bucket = _bucket_of(self._granted, query.team, self._granted_from)
        patience = query.patience_ms / 1000.0
        wait = bucket.reserve(query.units, flow, patience)
        wait_ms = math.ceil(min(wait * 1000.0, MAX_RETRY_MS))
        if wait > patience:
            return messages.QuotaAnswer(query.number, 0, wait_ms)
        self._record_grant(instance, query, bucket)
        return messages.QuotaAnswer(query.number, query.units, wait_ms)

    def _record_grant(
        self, instance: str, query: messages.QuotaQuery, bucket: buckets.Bucket
    ) -> None:
        now = clock.now()
        while self._returnable:
            oldest = next(iter(self._returnable))
            if self._returnable[oldest].at > now - RETURN_WINDOW_SECONDS:
                break
            del self._returnable[oldest]
        grant = _Grant(bucket, query.units, now)
        self._returnable[(instance, query.number)] = grant

    def _accept_return(self, instance: str, message: messages.QuotaReturn) -> None:
        # Accept only grants of this process, and each once: the previous keeper had its
        # own bucket, and crediting units that this one never granted would let the team
        # exceed its limit. A grant made before the role was lost is returned to the
        # dropped bucket, which no request spends from.
        grant = self._returnable.pop((instance, message.number), None)
        if grant is not None:
            grant.bucket.refund(grant.units)

    def _quota(self, team: str) -> routing.Quota | None:
        snapshot = self._configured.current
        if snapshot is None or snapshot.routes is None:
            return None
        return snapshot.routes.quotas.get(team)

    def _on_query(self, link: peers.Link, query: messages.QuotaQuery) -> None:
        link.send(self._grant(link.instance, query))

    def _on_return(self, link: shards.Replier, message: messages.QuotaReturn) -> None:
        self._accept_return(link.instance, message)

    def _on_answer(self, link: shards.Replier, answer: messages.QuotaAnswer) -> None:
        pending = self._pending_queries.get(answer.number)
        if pending is not None and not pending.answer.done():
            pending.answer.set_result(answer)
        elif answer.units:
            # Its request went on without these units.
            link.send(messages.QuotaReturn(answer.number))


def units_of(quota: routing.Quota, facts: TokenCounts) -> int:
    """Return the units that a request takes from a limit."""
    if not quota.counts_tokens:
        return 1
    if not facts.counts_tokens:
        return quota.plain_units
    return facts.prompt_tokens + facts.most_output_tokens


def _refusal(team: str, own_ms: float, keeper_ms: int) -> exceptions.LimitReached:
    wait_ms = min(own_ms, keeper_ms) if keeper_ms else own_ms
    return exceptions.LimitReached(
        f"the limit of team {team} is reached",
        retry_after_ms=int(min(max(wait_ms, MIN_RETRY_MS), MAX_RETRY_MS)),
    )


def _limit_key(team: str) -> str:
    """Return the key that assigns a team's limit to a keeper."""
    return f"quota {team}"


def _bucket_of(
    existing: dict[str, buckets.Bucket], team: str, empty_at: float
) -> buckets.Bucket:
    bucket = existing.get(team)
    if bucket is None:
        bucket = existing[team] = buckets.Bucket(empty_at)
    return bucket
