"""Early refusal of requests to services whose dependencies are down.

A request to a service whose dependency is down would use an engine's time and then
fail at its nested call. Each owner polls the keepers of the dependencies that its own
requests need, and only while there are such requests.
"""

import asyncio
import collections.abc
import typing

from cassiaquay_schema import messages
from cassiaquay_schema import settings as settings_schema

from .. import clock, exceptions
from ..configured import snapshots
from ..decisions import shards
from ..fleet import members
from ..keepers import keeper
from ..links import peers
from . import requests

POLL_SECONDS = 0.5
# An older report is ignored, and requests are let through.
REPORT_LIFETIME_SECONDS = 2.0
# Shards that no request has needed for this long are no longer polled.
IDLE_SECONDS = 5.0


class HealthReport(typing.NamedTuple):
    """A keeper's report on a shard, and when it was received."""

    health: messages.Health
    at: float


class Dependencies:
    """Polls and caches the health of services that other services depend on.

    Parameters
    ----------
    settings : Settings
        Name of this instance.
    links : Peers
        Connections to keepers.
    membership : Membership
        Links to live instances.
    local : Keeper
        This instance's own keeper role.
    """

    def __init__(
        self,
        settings: settings_schema.Settings,
        links: peers.Peers,
        membership: members.Membership,
        local: keeper.Keeper,
    ):
        self._settings = settings
        self._membership = membership
        self._keeper = local
        self._reports: dict[str, HealthReport] = {}
        self._last_needed: dict[str, float] = {}
        links.on(messages.Health, self.answer)

    def check(self, service: str, rank: int, snapshot: snapshots.Snapshot) -> None:
        """Raise DependencyDown if a dependency refuses requests of this rank."""
        now = clock.now()
        for name in transitive_dependencies(service, snapshot):
            pool = snapshot.fleet.services[name].pool
            for number in range(snapshot.shard_count(pool)):
                self._check_shard(f"{pool}#{number}", name, rank, now)

    def answer(self, replier: shards.Replier, message: messages.Health) -> None:
        """Store a keeper's report."""
        self._reports[message.shard] = HealthReport(message, clock.now())

    async def poll(self) -> None:
        """Poll keepers until cancelled."""
        while True:
            await asyncio.sleep(POLL_SECONDS)
            self._drop_idle(clock.now())
            for shard in self._last_needed:
                self._poll_shard(shard)

    def _check_shard(self, shard: str, service: str, rank: int, now: float) -> None:
        self._last_needed[shard] = now
        report = self._reports.get(shard)
        if report is None or now - report.at > REPORT_LIFETIME_SECONDS:
            return
        if 0 <= report.health.floor <= rank:
            raise exceptions.DependencyDown(
                f"{service} cannot serve now", report.health.retry_after_ms
            )

    def _drop_idle(self, now: float) -> None:
        for shard, at in list(self._last_needed.items()):
            if now - at > IDLE_SECONDS:
                del self._last_needed[shard]
                self._reports.pop(shard, None)

    def _poll_shard(self, shard: str) -> None:
        name = self._keeper.keeper_of(shard)
        if name == self._settings.instance:
            health = self._keeper.health(shard)
            self._reports[shard] = HealthReport(health, clock.now())
            return
        link = self._membership.link(name)
        if link is not None:
            link.send(messages.HealthQuery(shard))


def transitive_dependencies(service: str, snapshot: snapshots.Snapshot) -> list[str]:
    """Return the services that a service depends on, directly or indirectly."""
    dependencies: list[str] = []
    unvisited = list(snapshot.fleet.services[service].depends_on)
    while unvisited:
        name = unvisited.pop()
        if name in dependencies or name == service:
            continue
        dependencies.append(name)
        unvisited += snapshot.fleet.services[name].depends_on
    return dependencies


class Parent(typing.Protocol):
    """A request on whose behalf nested requests are made."""

    accepted: requests.Accepted
    deadline: float


def limit_to_parent(
    accepted: requests.Accepted, table: collections.abc.Mapping[str, Parent]
) -> requests.Accepted:
    """Return a nested request, limited to its parent's tier and deadline.

    Parameters
    ----------
    accepted : Accepted
        The nested request.
    table : mapping of str to Parent
        The requests of this instance by id. A parent that another instance owns is
        not looked up: the nested call then carries its tier and deadline itself
        (docs/design/dependencies.md).
    """
    parent = table.get(accepted.body.parent)
    if parent is None:
        return accepted
    # If a nested call outranked its parent, background work would displace other
    # requests at its dependencies; if it outlived its parent, its answer would go
    # unused.
    if accepted.rank < parent.accepted.rank:
        accepted = accepted._replace(
            rank=parent.accepted.rank, tier=parent.accepted.tier
        )
    left = max(parent.deadline - clock.now(), 0.0)
    return accepted._replace(deadline_seconds=min(accepted.deadline_seconds, left))
