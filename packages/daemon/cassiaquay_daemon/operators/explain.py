"""Explains the state of a request, or where a described request would be placed."""

import typing
import urllib.parse

import aiohttp
import msgspec

from cassiaquay_schema import bodies, messages
from cassiaquay_schema import settings as settings_schema

from .. import bounded_http, clock, decoding, exceptions
from ..configured import snapshots
from ..owners import owner, tokens
from . import keeper_view, refusals, reports, viewers

FETCH_TIMEOUT_SECONDS = 3.0
MAX_ANSWER_BYTES = 1024 * 1024


class Description(typing.NamedTuple):
    """A hypothetical request to be explained."""

    service: str
    team: str
    tier: str
    prompt_tokens: int
    output_tokens: int


class Explainer:
    """Explains requests with data from their owner and their shard's keeper.

    The owner is the instance that accepted a request; the keeper admits requests to a
    shard.

    Parameters
    ----------
    settings : Settings
        Name of this instance and the keys of request ids.
    parts : Parts
        State of this instance.
    http : ClientSession
        Connections to the operators' addresses of other instances.
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

    async def explain_by_id(
        self, text: str, viewer: viewers.Viewer, authorization: str
    ) -> bodies.Explanation:
        """Return the explanation of a request, from its owner."""
        try:
            request_id = tokens.parse(self._settings.keys, text)
        except exceptions.BadId as error:
            raise refusals.AdminBadRequest("not an id of this fleet") from error
        if self._parts.owned.owns(request_id):
            return await self._explain_owned(text, viewer, authorization)
        member = self._parts.membership.find(request_id.instance)
        if member is None or member.incarnation != request_id.incarnation:
            raise refusals.AdminNotFound(
                f"its owner, {request_id.instance} in its life"
                f" {request_id.incarnation}, is gone; with it went what it knew"
            )
        body = await self._fetch(member, f"/v1/explain?id={text}", authorization)
        return msgspec.json.decode(body, type=bodies.Explanation)

    async def explain_described(
        self, description: Description, authorization: str
    ) -> bodies.Explanation:
        """Return the limits, tier and placement that a described request would get."""
        snapshot = self._parts.configured.current
        if snapshot is None:
            raise refusals.AdminNotFound("no configuration is in force here yet")
        service = snapshot.fleet.services.get(description.service)
        if service is None:
            raise refusals.AdminBadRequest(f"no service {description.service!r}")
        team = snapshot.fleet.teams.get(description.team)
        if team is None:
            raise refusals.AdminBadRequest(f"no team {description.team!r}")
        tier = description.tier or team.tiers[0]
        if tier not in snapshot.fleet.tiers:
            raise refusals.AdminBadRequest(f"no tier {tier!r}")
        reasons = _limit_reasons(snapshot, description.service, description.team)
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
            revision=snapshot.label,
            reasons=reasons,
            placement=placement,
        )

    async def _explain_owned(
        self, text: str, viewer: viewers.Viewer, authorization: str
    ) -> bodies.Explanation:
        entry = self._parts.owned.table.get(text)
        if entry is None or (viewer.team and entry.accepted.team != viewer.team):
            raise refusals.AdminNotFound("its owner does not know this id")
        accepted = entry.accepted
        reasons = _limit_reasons(accepted.snapshot, accepted.service, accepted.team)
        reasons.extend(_progress_reasons(entry))
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
            revision=accepted.snapshot.label,
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
                return keeper_view.explain_placement(
                    self._parts, self._settings, demand
                )
            member = self._parts.membership.find(keeper)
            if member is None:
                raise refusals.AdminInstanceUnreachable("its address is not known")
            target = (
                f"/v1/placement?shard={demand.shard.replace('#', '%23')}"
                f"&id={demand.id}&rank={demand.rank}"
                f"&prompt_tokens={demand.prompt_tokens}"
                f"&output_tokens={demand.output_tokens}"
                f"&team={urllib.parse.quote(demand.team, safe='')}"
            )
            body = await self._fetch(member, target, authorization)
            return msgspec.json.decode(body, type=bodies.Placement)
        except refusals.AdminRefusal as error:
            reasons.append(f"the keeper, {keeper}, could not tell: {error}")
            return None

    async def _fetch(
        self, member: messages.Member, target: str, authorization: str
    ) -> bytes:
        if not member.admin:
            raise refusals.AdminInstanceUnreachable(
                f"{member.instance} has no such address"
            )
        headers = {"Authorization": authorization} if authorization else {}
        timeout = aiohttp.ClientTimeout(total=FETCH_TIMEOUT_SECONDS)
        url = f"http://{member.admin}{target}"
        try:
            async with self._http.get(
                url, headers=headers, timeout=timeout
            ) as response:
                body = await bounded_http.read_body(response, MAX_ANSWER_BYTES)
                if response.status == 404:
                    raise refusals.AdminNotFound(_message(body))
                if response.status != 200:
                    raise refusals.AdminInstanceUnreachable(
                        f"{member.instance}: status {response.status}: {_message(body)}"
                    )
                return body
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise refusals.AdminInstanceUnreachable(
                f"{member.instance}: {error!r}"
            ) from error


class _Problem(msgspec.Struct):
    message: str = ""


def _message(body: bytes) -> str:
    try:
        problem: _Problem = decoding.decode_json(body, _Problem)
    except exceptions.UndecodableText:
        return body[:100].decode(errors="replace")
    return problem.message


def _limit_reasons(snapshot: snapshots.Snapshot, service: str, team: str) -> list[str]:
    reasons = []
    limited_items = (
        ("team", team, snapshot.fleet.teams[team]),
        ("service", service, snapshot.fleet.services[service]),
    )
    for kind, name, limits in limited_items:
        if limits.requests_per_second is not None:
            reasons.append(f"{kind} {name}: {limits.requests_per_second:g} requests/s")
        if limits.concurrent is not None:
            reasons.append(f"{kind} {name}: {limits.concurrent} running at a time")
    return reasons or ["no limit of the team or service applies"]


def _progress_reasons(entry: owner.Entry) -> list[str]:
    reasons = [f"waited for or ran {clock.now() - entry.accepted_at:.3f} s"]
    if entry.server:
        reasons.append(f"dispatched to {entry.server}")
    if entry.refusal is not None:
        reasons.append(f"{entry.refusal.code}: {entry.refusal.message}")
    elif entry.ended:
        reasons = [
            f"completed in {entry.ended_at - entry.accepted_at:.3f} s",
            *reasons[1:],
        ]
    elif not entry.server:
        reasons.append("waits for a permit of its keeper")
    return reasons
