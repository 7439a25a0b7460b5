"""State of one instance, as JSON bodies for operators."""

import collections
import typing

from cassiaquay_schema import bodies, fleet
from cassiaquay_schema import settings as settings_schema

from .. import clock
from ..decisions import caller_spread, keeper_placement, shards
from ..fleet import members
from ..platform import directory
from . import reports, viewers


class ServerView(typing.TypedDict):
    """State of one backend server at its keeper, this instance."""

    server: str
    address: str
    domain: str
    model: str
    role: str
    shard: str
    state: str
    requests: int
    slots: int
    tokens: int


class KeeperView(typing.TypedDict):
    """A shard, its servers, and its keeper in this instance's view."""

    shard: str
    keeper: str
    servers: list[str]


class ConfigurationView(typing.TypedDict):
    """The configuration in force here, with pending and rejected revisions."""

    revision: int
    pending: int
    rejected: dict[int, str]
    text: str


def instances(membership: members.Membership) -> list[bodies.Instance]:
    """Return the members, and listed instances without a heartbeat."""
    serving = {member.instance for member in membership.serving()}
    by_name = {}
    for member in membership.alive():
        by_name[member.instance] = bodies.Instance(
            instance=member.instance,
            incarnation=member.incarnation,
            domain=member.domain,
            state="serving" if member.instance in serving else "leaving",
            http=member.http,
            admin=member.admin,
            revision=member.revision,
            load=member.load,
            born=member.born,
        )
    for line in membership.listed.values():
        if line.kind != "entry" or line.name in by_name:
            continue
        by_name[line.name] = bodies.Instance(
            instance=line.name,
            incarnation="",
            domain=line.domain,
            state="silent",
            http=line.http,
            admin="",
            revision=0,
            load=0.0,
            born=0.0,
        )
    for name, capacity in _capacities(membership).items():
        if name in by_name:
            by_name[name]["capacity"] = capacity
    return [by_name[name] for name in sorted(by_name)]


def _capacities(membership: members.Membership) -> dict[str, bodies.InstanceCapacity]:
    """Return the capacities of the serving members, if they are placed by them."""
    if not membership.is_by_capacity:
        return {}
    serving = membership.serving()
    best = {member.instance for member in keeper_placement.best_class(serving)}
    weights = caller_spread.weigh_by_processor(serving)
    shares = caller_spread.CallerSpread(weights, directory.MAX_ADDRESSES).shares
    capacities = {}
    for member in serving:
        capacities[member.instance] = bodies.InstanceCapacity(
            best_class=member.instance in best,
            slow=member.slow,
            caller_share=round(shares.get(member.http, 0.0), 4),
        )
    return capacities


def shard_at_keeper(
    parts: reports.Parts, settings: settings_schema.Settings, name: str
) -> shards.Shard | None:
    """Return a shard kept here, or one that a first demand would create here."""
    existing = parts.kept.shards.get(name)
    if existing is not None:
        return existing
    snapshot = parts.configured.current
    if snapshot is None or parts.membership.keeper_of(name) != settings.instance:
        return None
    servers = snapshot.shard_servers(name)
    if not servers:
        return None
    # A keeper creates a shard at its first demand. Until then this temporary shard
    # shows the servers; it is not stored.
    shard = shards.Shard(name, settings, parts.kept.cold, parts.kept.states)
    shard.servers = {server.name: server for server in servers}
    for server in servers:
        line = parts.membership.listed.get(server.name)
        if snapshot.is_evacuated(server) or (line is not None and line.leaving):
            shard.closed_servers.add(server.name)
    return shard


def servers(
    parts: reports.Parts, settings: settings_schema.Settings
) -> list[ServerView]:
    """Return the backend servers of the shards kept here."""
    server_views = []
    for keeper_view in keepers(parts):
        shard = shard_at_keeper(parts, settings, keeper_view["shard"])
        if shard is None or keeper_view["keeper"] != settings.instance:
            continue
        for server in shard.servers.values():
            server_views.append(
                ServerView(
                    server=server.name,
                    address=server.address,
                    domain=server.domain,
                    model=server.model,
                    role=server.role,
                    shard=shard.name,
                    state=_server_state(parts, shard, server),
                    requests=shard.count_on(server.name),
                    slots=server.slots,
                    tokens=shard.tokens_on(server.name),
                )
            )
    return server_views


def _server_state(
    parts: reports.Parts, shard: shards.Shard, server: fleet.Server
) -> str:
    """Return whether a server gets new work; for a limited one, since when."""
    snapshot = parts.configured.current
    if snapshot is not None and snapshot.is_evacuated(server):
        return "evacuated"
    departure = shard.states.departures.get(server.name)
    if departure is not None:
        seconds = clock.now() - departure.learned_at
        source = departure.source or "its own answer"
        return f"leaving, known for {seconds:.0f} s from {source}"
    if server.name in shard.closed_servers:
        return "leaving"
    backoff_s = shard.states.backoff_seconds(server.name)
    if backoff_s > 0.0:
        return f"asked this instance to wait, {backoff_s:.1f} s left"
    cold = shard.cold
    if cold.is_cold(server.name):
        return f"cold, {cold.seconds_left(server.name):.1f} s left"
    rate = shard.states.limits.current(server.name).number
    if rate is not None:
        seconds = shard.states.limits.seconds_held(server.name)
        return f"limited to {rate:g}/s for {seconds:.0f} s"
    bears = shard.states.brittle.current(server.name).number
    if bears is not None:
        seconds = shard.states.brittle.seconds_held(server.name)
        return f"brittle, bears {bears:g} rejections/s, for {seconds:.0f} s"
    return "open"


def queues(
    parts: reports.Parts, viewer: viewers.Viewer, tiers: dict[int, str], now: float
) -> bodies.Queues:
    """Return waiting requests by tier and team; a team sees only its own."""
    counts: collections.Counter[tuple[str, int, str]] = collections.Counter()
    oldest: dict[tuple[str, int, str], float] = {}
    running = []
    for shard in _kept_shards(parts):
        if viewer.is_operator:
            floor, _ = shard.health()
            running.append(
                bodies.Running(
                    shard=shard.name,
                    running=len(shard.running),
                    shedding=tiers.get(floor, ""),
                )
            )
        for waiting in shard.queue.values():
            demand = waiting.demand
            if viewer.team and demand.team != viewer.team:
                continue
            key = (shard.name, demand.rank, demand.team)
            counts[key] += 1
            oldest[key] = max(oldest.get(key, 0.0), now - waiting.arrived_at)
    groups = []
    for key in sorted(counts):
        shard_name, rank, team = key
        groups.append(
            bodies.Group(
                shard=shard_name,
                tier=tiers.get(rank, f"rank {rank}"),
                team=team,
                waiting=counts[key],
                oldest_seconds=round(oldest[key], 3),
            )
        )
    return bodies.Queues(waiting=groups, running=running)


def keepers(parts: reports.Parts) -> list[KeeperView]:
    """Return each configured shard and its keeper in this instance's view."""
    snapshot = parts.configured.current
    if snapshot is None:
        return []
    keeper_views = []
    for pool in snapshot.fleet.pools:
        for number in range(snapshot.shard_count(pool)):
            shard = f"{pool}#{number}"
            keeper_views.append(
                KeeperView(
                    shard=shard,
                    keeper=parts.membership.keeper_of(shard),
                    servers=[item.name for item in snapshot.shard_servers(shard)],
                )
            )
    return keeper_views


def configuration(parts: reports.Parts, with_text: bool) -> ConfigurationView:
    """Return the configuration in force; ``pending`` is a newer label, or 0."""
    labels = [parts.configured.revision]
    for member in parts.membership.alive():
        labels.append(member.revision)
    newest = max(labels)
    current = parts.configured.current
    return ConfigurationView(
        revision=parts.configured.revision,
        pending=newest if newest > parts.configured.revision else 0,
        rejected=dict(parts.configured.rejected),
        text=current.text if current is not None and with_text else "",
    )


def tier_names(parts: reports.Parts) -> dict[int, str]:
    """Return the names of the currently configured tiers by rank."""
    snapshot = parts.configured.current
    if snapshot is None:
        return {}
    return {tier.rank: name for name, tier in snapshot.fleet.tiers.items()}


def _kept_shards(parts: reports.Parts) -> list[shards.Shard]:
    """Return shards kept here, and former ones with requests still in them."""
    kept_shards = []
    for shard in parts.kept.shards.values():
        keeper = parts.membership.keeper_of(shard.name)
        is_kept = keeper == parts.membership.own_fact.instance
        if is_kept or shard.queue or shard.running:
            kept_shards.append(shard)
    return kept_shards
