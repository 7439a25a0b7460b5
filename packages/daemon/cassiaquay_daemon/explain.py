"""Why a request is where it is, or where a described request would go."""

import typing

import aiohttp
import msgspec

from cassiaquay_schema import messages
from cassiaquay_schema import settings as settings_schema

from . import (
    clock,
    exceptions,
    owner,
    policies,
    reports,
    shards,
    snapshots,
    tokens,
    viewers,
    views,
)

ASK_SECONDS = 3.0


class Description(typing.NamedTuple):
    """A request that somebody describes."""

    service: str
    team: str
    tier: str
    prompt_tokens: int
    output_tokens: int


class ServerVerdict(typing.TypedDict):
    """Why a backend server would or would not get a request.

    ``limit_tokens`` and ``finish_ms`` are 0 where the policy does not estimate them.
    """

    server: str
    verdict: str
    requests: int
    slots: int
    tokens: int
    limit_tokens: int
    cached_tokens: int
    finish_ms: float


class Placement(typing.TypedDict):
    """What the keeper of a shard says of a request."""

    shard: str
    keeper: str
    keeper_since_open: bool
    state: str
    ahead_higher: int
    ahead_same: int
    server: str
    servers: list[ServerVerdict]


class Explanation(typing.TypedDict):
    """Which limits, tier, keeper and engine apply to a request, and why."""

    id: str
    state: str
    service: str
    team: str
    tier: str
    rank: int
    deadline_ms: int
    revision: int
    owner: str
    shard: str
    keeper: str
    reasons: list[str]
    placement: Placement | None


class Explainer:
    """Explains requests, with the help of their owner and their shard's keeper.

    Parameters
    ----------
    settings : Settings
        Name of this instance, keys.
    parts : Parts
        What is known here.
    http : ClientSession
        Connections to other instances' operators' addresses.
    """

    def __init__(
        self,
        settings: settings_schema.Settings,
        parts: reports.Parts,
        http: aiohttp.ClientSession,
    ):
        self._settings = settings
        self._parts = parts
        self._http = http

    async def by_id(
        self, text: str, viewer: viewers.Viewer, authorization: str
    ) -> Explanation:
        """Return the explanation of a request by its id; its owner is asked."""
        try:
            request_id = tokens.parse(self._settings.keys, text)
        except exceptions.BadId as error:
            raise exceptions.AdminBadRequest("not an id of this fleet") from error
        if self._parts.owned.owns(request_id):
            return await self._owned(text, viewer, authorization)
        member = self._parts.membership.find(request_id.instance)
        if member is None or member.incarnation != request_id.incarnation:
            raise exceptions.AdminUnknown(
                f"its owner, {request_id.instance} in its life"
                f" {request_id.incarnation}, is gone; with it went what it knew"
            )
        body = await self._ask(member, f"/v1/explain?id={text}", authorization)
        return msgspec.json.decode(body, type=Explanation)

    async def described(
        self, description: Description, authorization: str
    ) -> Explanation:
        """Return where a described request would go, and why."""
        snapshot = self._parts.configured.current
        if snapshot is None:
            raise exceptions.AdminUnknown("no configuration is in force here yet")
        service = snapshot.fleet.services.get(description.service)
        if service is None:
            raise exceptions.AdminBadRequest(f"no service {description.service!r}")
        team = snapshot.fleet.teams.get(description.team)
        if team is None:
            raise exceptions.AdminBadRequest(f"no team {description.team!r}")
        tier = description.tier or team.tiers[0]
        if tier not in snapshot.fleet.tiers:
            raise exceptions.AdminBadRequest(f"no tier {tier!r}")
        reasons = _limits(snapshot, description.service, description.team)
        if not description.tier:
            reasons.append(f"tier {tier}: the first of the team's tiers")
        allowed = tier in team.tiers
        if not allowed:
            reasons.append(f"refused with `forbidden`: the team may not use {tier}")
        rank = snapshot.fleet.tiers[tier].rank
        demand = messages.Demand(
            "",
            f"{service.pool}#0",
            description.service,
            description.team,
            rank,
            description.prompt_tokens,
            description.output_tokens,
            service.deadline_ms,
            "",
            [],
            [],
        )
        count = snapshot.shard_count(service.pool)
        if count > 1:
            reasons.append(f"one of {count} shards, by session or prompt; shown: 0")
        placement = await self._placement(demand, reasons, authorization)
        return self._explanation(
            demand,
            id="",
            state="described" if allowed else "refused",
            tier=tier,
            deadline_ms=service.deadline_ms,
            revision=snapshot.revision,
            reasons=reasons,
            placement=placement,
        )

    def at_keeper(self, demand: messages.Demand) -> Placement:
        """Return what this instance, as the keeper, would do with a demand."""
        shard = views.shard_at_keeper(self._parts, self._settings, demand.shard)
        if shard is None:
            raise exceptions.AdminUnknown(f"no shard {demand.shard!r} is kept here")
        waiting = shard.queue.get(demand.id)
        if waiting is not None:
            # With the hashes of its prefix, which the question does not carry.
            demand = waiting.demand
        higher, same = _ahead(shard, demand)
        weighed = self._weighed(shard, demand)
        verdicts = []
        for name in sorted(shard.servers):
            verdicts.append(_verdict(shard, name, weighed.get(name)))
        running = shard.running.get(demand.id)
        server = running.server if running is not None else _best(verdicts)
        state = "new"
        if running is not None:
            state = "running"
        elif waiting is not None:
            state = "waiting"
        return Placement(
            shard=demand.shard,
            keeper=self._settings.instance,
            keeper_since_open=shard.is_open,
            state=state,
            ahead_higher=higher,
            ahead_same=same,
            server=server,
            servers=verdicts,
        )

    def _weighed(
        self, shard: shards.Shard, demand: messages.Demand
    ) -> dict[str, policies.Weighed]:
        policy = self._parts.kept.policy(shard.name)
        if not isinstance(policy, policies.Explaining):
            return {}
        return {item.server: item for item in policy.explain(demand)}

    async def _owned(
        self, text: str, viewer: viewers.Viewer, authorization: str
    ) -> Explanation:
        entry = self._parts.owned.table.get(text)
        if entry is None or (viewer.team and entry.accepted.team != viewer.team):
            raise exceptions.AdminUnknown("its owner does not know this id")
        accepted = entry.accepted
        reasons = _limits(accepted.snapshot, accepted.service, accepted.team)
        reasons.extend(_story(entry))
        demand = messages.Demand(
            text,
            entry.shard or f"{accepted.pool}#0",
            accepted.service,
            accepted.team,
            accepted.rank,
            accepted.prompt_tokens,
            accepted.output_tokens,
            max(int((entry.deadline - clock.now()) * 1000.0), 0),
            "",
            [],
            [],
        )
        placement = None
        if not entry.ended:
            placement = await self._placement(demand, reasons, authorization)
        return self._explanation(
            demand,
            id=text,
            state=entry.state.value,
            tier=accepted.tier,
            deadline_ms=int(accepted.deadline_seconds * 1000),
            revision=accepted.snapshot.revision,
            reasons=reasons,
            placement=placement,
        )

    def _explanation(
        self,
        demand: messages.Demand,
        *,
        id: str,
        state: str,
        tier: str,
        deadline_ms: int,
        revision: int,
        reasons: list[str],
        placement: Placement | None,
    ) -> Explanation:
        return Explanation(
            id=id,
            state=state,
            service=demand.service,
            team=demand.team,
            tier=tier,
            rank=demand.rank,
            deadline_ms=deadline_ms,
            revision=revision,
            owner=self._settings.instance,
            shard=demand.shard,
            keeper=self._parts.membership.keeper_of(demand.shard),
            reasons=reasons,
            placement=placement,
        )

    async def _placement(
        self, demand: messages.Demand, reasons: list[str], authorization: str
    ) -> Placement | None:
        keeper = self._parts.membership.keeper_of(demand.shard)
        try:
            if keeper == self._settings.instance:
                return self.at_keeper(demand)
            member = self._parts.membership.find(keeper)
            if member is None:
                raise exceptions.AdminElsewhere("its address is not known")
            target = (
                f"/v1/placement?shard={demand.shard.replace('#', '%23')}"
                f"&id={demand.id}&rank={demand.rank}"
                f"&prompt_tokens={demand.prompt_tokens}"
                f"&output_tokens={demand.output_tokens}"
            )
            body = await self._ask(member, target, authorization)
            return msgspec.json.decode(body, type=Placement)
        except exceptions.AdminRefusal as error:
            reasons.append(f"the keeper, {keeper}, could not tell: {error}")
            return None

    async def _ask(
        self, member: messages.Member, target: str, authorization: str
    ) -> bytes:
        if not member.admin:
            raise exceptions.AdminElsewhere(f"{member.instance} has no such address")
        headers = {"Authorization": authorization} if authorization else {}
        timeout = aiohttp.ClientTimeout(total=ASK_SECONDS)
        url = f"http://{member.admin}{target}"
        try:
            async with self._http.get(url, headers=headers, timeout=timeout) as answer:
                body = await answer.read()
                if answer.status == 404:
                    raise exceptions.AdminUnknown(_message(body))
                if answer.status != 200:
                    raise exceptions.AdminElsewhere(
                        f"{member.instance}: status {answer.status}: {_message(body)}"
                    )
                return body
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise exceptions.AdminElsewhere(f"{member.instance}: {error!r}") from error


class _Problem(msgspec.Struct):
    message: str = ""


def _message(body: bytes) -> str:
    try:
        return msgspec.json.decode(body, type=_Problem).message
    except msgspec.DecodeError:
        return body[:100].decode(errors="replace")


def _limits(snapshot: snapshots.Snapshot, service: str, team: str) -> list[str]:
    found = []
    holders = (
        ("team", team, snapshot.fleet.teams[team]),
        ("service", service, snapshot.fleet.services[service]),
    )
    for kind, name, holder in holders:
        if holder.requests_per_second is not None:
            found.append(f"{kind} {name}: {holder.requests_per_second:g} requests/s")
        if holder.concurrent is not None:
            found.append(f"{kind} {name}: {holder.concurrent} running at a time")
    return found or ["no limit of the team or service applies"]


def _story(entry: owner.Entry) -> list[str]:
    found = [f"waited for or ran {clock.now() - entry.accepted_at:.3f} s"]
    if entry.server:
        found.append(f"dispatched to {entry.server}")
    if entry.refusal is not None:
        found.append(f"{entry.refusal.code}: {entry.refusal.message}")
    elif entry.ended:
        found = [f"completed in {entry.ended_at - entry.accepted_at:.3f} s", *found[1:]]
    elif not entry.server:
        found.append("waits for a permit of its keeper")
    return found


def _ahead(shard: shards.Shard, demand: messages.Demand) -> tuple[int, int]:
    higher = 0
    same = 0
    mine = shard.queue.get(demand.id)
    for waiting in shard.queue.values():
        if waiting.demand.id == demand.id:
            continue
        if waiting.demand.rank < demand.rank:
            higher += 1
        elif waiting.demand.rank == demand.rank:
            if mine is None or waiting.arrived_at < mine.arrived_at:
                same += 1
    return higher, same


def _verdict(
    shard: shards.Shard, name: str, weighed: policies.Weighed | None
) -> ServerVerdict:
    server = shard.servers[name]
    count = shard.count_on(name)
    limit = weighed.limit_tokens if weighed else server.max_tokens_in_flight or 0
    verdict = "fits"
    if name in shard.gone:
        verdict = "leaving: gets no new work"
    elif count >= server.slots:
        verdict = "all slots taken"
    elif weighed is not None and not weighed.fits:
        verdict = "full: unread prompts or tokens in flight"
    return ServerVerdict(
        server=name,
        verdict=verdict,
        requests=count,
        slots=server.slots,
        tokens=shard.tokens_on(name),
        limit_tokens=limit,
        cached_tokens=weighed.cached_tokens if weighed else 0,
        finish_ms=round(weighed.finish_seconds * 1000.0, 1) if weighed else 0.0,
    )


def _best(verdicts: list[ServerVerdict]) -> str:
    fitting = [item for item in verdicts if item["verdict"] == "fits"]
    if not fitting:
        return ""
    best = min(fitting, key=lambda item: (item["finish_ms"], item["tokens"]))
    return best["server"]
