"""What operators see of one instance, as JSON bodies."""

import collections
import typing

from cassiaquay_schema import bodies, fleet
from cassiaquay_schema import settings as settings_schema

from ..decisions import shards
from ..fleet import members
from . import reports, viewers


class ServerView(typing.TypedDict):
    """One backend server as its keeper, this instance, sees it."""

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
    """A shard and the instance that this one takes for its keeper."""

    shard: str
    keeper: str
    servers: list[str]


class ConfigurationView(typing.TypedDict):
    """The configuration in force here, and what is on its way or was refused."""

    revision: int
    pending: int
    rejected: dict[int, str]
    text: str


def instances(membership: members.Membership) -> list[bodies.Instance]:
    """Return the members, and listed instances that nothing was heard of."""
    serving = {member.instance for member in membership.serving()}
    found = {}
    for member in membership.alive():
        found[member.instance] = bodies.Instance(
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
        if line.kind != "entry" or line.name in found:
            continue
        found[line.name] = bodies.Instance(
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
    return [found[name] for name in sorted(found)]


def shard_at_keeper(
    parts: reports.Parts, settings: settings_schema.Settings, name: str
) -> shards.Shard | None:
    """Return a shard that this instance keeps, or would as soon as it is asked."""
    known = parts.kept.shards.get(name)
    if known is not None:
        return known
    snapshot = parts.configured.current
    if snapshot is None or parts.membership.keeper_of(name) != settings.instance:
        return None
    servers = snapshot.shard_servers(name)
    if not servers:
        return None
    # Keepers begin a shard with its first demand; until then there is nothing to show
    # but its servers. This one is not kept.
    shard = shards.Shard(name, settings, parts.kept.cold)
    shard.servers = {server.name: server for server in servers}
    for server in servers:
        line = parts.membership.listed.get(server.name)
        if snapshot.is_evacuated(server) or (line is not None and line.leaving):
            shard.gone.add(server.name)
    return shard


def servers(
    parts: reports.Parts, settings: settings_schema.Settings
) -> list[ServerView]:
    """Return the backend servers of the shards kept here."""
    found = []
    for kept in keepers(parts):
        shard = shard_at_keeper(parts, settings, kept["shard"])
        if shard is None or kept["keeper"] != settings.instance:
            continue
        for server in shard.servers.values():
            found.append(
                ServerView(
                    server=server.name,
                    address=server.address,
                    domain=server.domain,
                    model=server.model,
                    role=server.role,
                    shard=shard.name,
                    state=_state(parts, shard, server),
                    requests=shard.count_on(server.name),
                    slots=server.slots,
                    tokens=shard.tokens_on(server.name),
                )
            )
    return found


def _state(parts: reports.Parts, shard: shards.Shard, server: fleet.Server) -> str:
    """Return in one word whether a server gets new work, with how long it is cold."""
    snapshot = parts.configured.current
    if snapshot is not None and snapshot.is_evacuated(server):
        return "evacuated"
    if server.name in shard.gone:
        return "leaving"
    cold = shard.rations.cold
    if cold.is_cold(server.name):
        return f"cold, {cold.seconds_left(server.name):.1f} s left"
    return "open"


def queues(
    parts: reports.Parts, viewer: viewers.Viewer, tiers: dict[int, str], now: float
) -> bodies.Queues:
    """Return what waits by tier and team; a team sees itself only."""
    counts: collections.Counter[tuple[str, int, str]] = collections.Counter()
    oldest: dict[tuple[str, int, str], float] = {}
    running = []
    for shard in _kept(parts):
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
    """Return each shard of the configuration and its keeper as seen from here."""
    snapshot = parts.configured.current
    if snapshot is None:
        return []
    found = []
    for pool in snapshot.fleet.pools:
        for number in range(snapshot.shard_count(pool)):
            shard = f"{pool}#{number}"
            found.append(
                KeeperView(
                    shard=shard,
                    keeper=parts.membership.keeper_of(shard),
                    servers=[item.name for item in snapshot.shard_servers(shard)],
                )
            )
    return found


def configuration(parts: reports.Parts, with_text: bool) -> ConfigurationView:
    """Return the configuration in force; ``pending`` is a newer one known of."""
    known = [parts.configured.revision]
    for member in parts.membership.alive():
        known.append(member.revision)
    newest = max(known)
    current = parts.configured.current
    return ConfigurationView(
        revision=parts.configured.revision,
        pending=newest if newest > parts.configured.revision else 0,
        rejected=dict(parts.configured.rejected),
        text=current.text if current is not None and with_text else "",
    )


def tier_names(parts: reports.Parts) -> dict[int, str]:
    """Return the names of tiers by rank, as configured now."""
    snapshot = parts.configured.current
    if snapshot is None:
        return {}
    return {tier.rank: name for name, tier in snapshot.fleet.tiers.items()}


def _kept(parts: reports.Parts) -> list[shards.Shard]:
    """Return the shards that are kept here, without those handed on long ago."""
    found = []
    for shard in parts.kept.shards.values():
        keeper = parts.membership.keeper_of(shard.name)
        mine = keeper == parts.membership.own_fact.instance
        if mine or shard.queue or shard.running:
            found.append(shard)
    return found
