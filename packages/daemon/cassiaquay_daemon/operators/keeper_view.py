"""Explains where a shard's keeper would place a demand.

The keeper admits requests to a shard; a demand is an owner's application for that.
"""

from cassiaquay_schema import bodies, messages
from cassiaquay_schema import settings as settings_schema

from ..decisions import policies, shards
from . import refusals, reports, views


def explain_placement(
    parts: reports.Parts,
    settings: settings_schema.Settings,
    demand: messages.Demand,
) -> bodies.Placement:
    """Return where this instance, as the shard's keeper, would place a demand."""
    shard = views.shard_at_keeper(parts, settings, demand.shard)
    if shard is None:
        raise refusals.AdminNotFound(f"no shard {demand.shard!r} is kept here")
    asking_team = demand.team
    waiting = shard.queue.get(demand.id)
    if waiting is not None:
        # The queued demand holds the prefix hashes, which the query does not contain.
        demand = waiting.demand
    higher_count, same_count = _count_ahead(parts, shard, demand)
    estimates = _estimates_by_server(parts, shard, demand)
    verdicts = []
    snapshot = parts.configured.current
    for name, item in sorted(shard.servers.items()):
        is_evacuated = snapshot is not None and snapshot.is_evacuated(item)
        verdicts.append(_verdict(shard, name, estimates.get(name), is_evacuated))
    running = shard.running.get(demand.id)
    server = running.server if running is not None else _best_server(verdicts)
    state = "new"
    if running is not None:
        state = "running"
    elif waiting is not None:
        state = "waiting"
    placement = bodies.Placement(
        shard=demand.shard,
        keeper=settings.instance,
        keeper_since_open=shard.is_open,
        state=state,
        ahead_higher=higher_count,
        ahead_same=same_count,
        server=server,
        servers=verdicts,
    )
    if asking_team == demand.team:
        _add_team_share(placement, shard, demand, waiting is not None)
    return placement


def _add_team_share(
    placement: bodies.Placement,
    shard: shards.Shard,
    demand: messages.Demand,
    is_waiting: bool,
) -> None:
    """Add the share of the demand's team, and what it means for its turn."""
    found = shard.shares.share(demand.rank, demand.team, shard.weights)
    if found is None or not demand.team:
        return
    placement["team_share"] = round(found.share, 3)
    placement["fair_share"] = round(found.fair_share, 3)
    scope = "pool" if found.is_pooled else "shard"
    reason = (
        f"its team got {found.share:.1%} of what this {scope} granted to its rank of"
        f" late, its fair share is {found.fair_share:.1%}"
    )
    if found.is_above:
        reason += ": teams that got less go first"
    elif is_waiting:
        reason += ": waits for a slot, not for the share of its team"
    placement["team_reason"] = reason


def _estimates_by_server(
    parts: reports.Parts, shard: shards.Shard, demand: messages.Demand
) -> dict[str, policies.ServerEstimate]:
    policy = parts.kept.policy(shard.name)
    if not isinstance(policy, policies.ExplainingPolicy):
        return {}
    return {item.server: item for item in policy.explain(demand)}


def _count_ahead(
    parts: reports.Parts, shard: shards.Shard, demand: messages.Demand
) -> tuple[int, int]:
    higher_count = 0
    same_count = 0
    own = shard.queue.get(demand.id)
    for waiting in shard.queue.values():
        if waiting.demand.id == demand.id:
            continue
        if waiting.demand.rank < demand.rank:
            higher_count += 1
        elif waiting.demand.rank == demand.rank:
            if own is None or waiting.arrived_at < own.arrived_at:
                same_count += 1
    policy = parts.kept.policy(shard.name)
    if own is not None and isinstance(policy, policies.OrderingPolicy):
        same_count = policy.order(demand.rank).index(demand.id)
    return higher_count, same_count


def _verdict(
    shard: shards.Shard,
    name: str,
    estimate: policies.ServerEstimate | None,
    is_evacuated: bool,
) -> bodies.ServerVerdict:
    server = shard.servers[name]
    count = shard.count_on(name)
    limit = estimate.limit_tokens if estimate else server.max_tokens_in_flight or 0
    verdict = "fits"
    if is_evacuated:
        verdict = "evacuated: gets no new work"
    elif name in shard.closed_servers or shard.states.is_leaving(name):
        verdict = "leaving: gets no new work"
    elif count >= server.slots:
        verdict = "all slots taken"
    elif not shard.rate_budgets.allows(name):
        reason = "cold" if shard.cold.is_cold(name) else "limited"
        verdict = f"{reason}: gets more in a moment"
    elif estimate is not None and not estimate.fits:
        verdict = "full: unread prompts or tokens in flight"
    return bodies.ServerVerdict(
        server=name,
        verdict=verdict,
        requests=count,
        slots=server.slots,
        tokens=shard.tokens_on(name),
        limit_tokens=limit,
        cached_tokens=estimate.cached_tokens if estimate else 0,
        finish_ms=round(estimate.finish_seconds * 1000.0, 1) if estimate else 0.0,
    )


def _best_server(verdicts: list[bodies.ServerVerdict]) -> str:
    candidates = [item for item in verdicts if item["verdict"] == "fits"]
    if not candidates:
        return ""
    best = min(candidates, key=lambda item: (item["finish_ms"], item["tokens"]))
    return best["server"]
