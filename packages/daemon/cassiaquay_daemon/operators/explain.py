"""Why a request is where it is, or where a described request would go."""

import typing

import aiohttp
import msgspec

from cassiaquay_schema import bodies, messages
from cassiaquay_schema import settings as settings_schema

from .. import clock, exceptions
from ..configured import snapshots
from ..owners import owner, tokens
from . import keeper_view, reports, viewers

ASK_SECONDS = 3.0


class Description(typing.NamedTuple):
    """A request that somebody describes."""

    service: str
    team: str
    tier: str
    prompt_tokens: int
    output_tokens: int


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
    ) -> bodies.Explanation:
        """Return the explanation of a request by its id; its owner is asked."""
        try:
            request_id = tokens.parse(self._settings.keys, text)
        except exceptions.BadId as error:
            raise exceptions.AdminBadRequest("not an id of this fleet") from error
        if self._parts.owned.owns(request_id):
            return await self._owned(text, viewer, authorization)
        member = self._parts.membership.find(request_id.instance)
        if member is None or member.incarnation != request_id.incarnation:
            raise exceptions.AdminNotFound(
                f"its owner, {request_id.instance} in its life"
                f" {request_id.incarnation}, is gone; with it went what it knew"
            )
        body = await self._ask(member, f"/v1/explain?id={text}", authorization)
        return msgspec.json.decode(body, type=bodies.Explanation)

    async def described(
        self, description: Description, authorization: str
    ) -> bodies.Explanation:
        """Return where a described request would go, and why."""
        snapshot = self._parts.configured.current
        if snapshot is None:
            raise exceptions.AdminNotFound("no configuration is in force here yet")
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

    async def _owned(
        self, text: str, viewer: viewers.Viewer, authorization: str
    ) -> bodies.Explanation:
        entry = self._parts.owned.table.get(text)
        if entry is None or (viewer.team and entry.accepted.team != viewer.team):
            raise exceptions.AdminNotFound("its owner does not know this id")
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
        placement: bodies.Placement | None,
    ) -> bodies.Explanation:
        return bodies.Explanation(
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
    ) -> bodies.Placement | None:
        keeper = self._parts.membership.keeper_of(demand.shard)
        try:
            if keeper == self._settings.instance:
                return keeper_view.of_demand(self._parts, self._settings, demand)
            member = self._parts.membership.find(keeper)
            if member is None:
                raise exceptions.AdminInstanceUnreachable("its address is not known")
            target = (
                f"/v1/placement?shard={demand.shard.replace('#', '%23')}"
                f"&id={demand.id}&rank={demand.rank}"
                f"&prompt_tokens={demand.prompt_tokens}"
                f"&output_tokens={demand.output_tokens}"
            )
            body = await self._ask(member, target, authorization)
            return msgspec.json.decode(body, type=bodies.Placement)
        except exceptions.AdminRefusal as error:
            reasons.append(f"the keeper, {keeper}, could not tell: {error}")
            return None

    async def _ask(
        self, member: messages.Member, target: str, authorization: str
    ) -> bytes:
        if not member.admin:
            raise exceptions.AdminInstanceUnreachable(
                f"{member.instance} has no such address"
            )
        headers = {"Authorization": authorization} if authorization else {}
        timeout = aiohttp.ClientTimeout(total=ASK_SECONDS)
        url = f"http://{member.admin}{target}"
        try:
            async with self._http.get(url, headers=headers, timeout=timeout) as answer:
                body = await answer.read()
                if answer.status == 404:
                    raise exceptions.AdminNotFound(_message(body))
                if answer.status != 200:
                    raise exceptions.AdminInstanceUnreachable(
                        f"{member.instance}: status {answer.status}: {_message(body)}"
                    )
                return body
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise exceptions.AdminInstanceUnreachable(
                f"{member.instance}: {error!r}"
            ) from error


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
