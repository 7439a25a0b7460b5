"""Services that depend on others: refused early while those cannot serve.

A request of a service whose dependency is down would take an engine's time and then
fail at its nested call. Each owner asks the keepers of the dependencies that its own
requests need, now and then, and only while there are such requests.
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

PERIOD_SECONDS = 0.5
# Without news for so long nothing is known, and requests go ahead.
FRESH_SECONDS = 2.0
# Shards that no request needed for so long are not asked about any more.
IDLE_SECONDS = 5.0


class Heard(typing.NamedTuple):
    """What a keeper said, and when."""

    health: messages.Health
    at: float


class Dependencies:
    """What this instance knows of the services that others depend on.

    Parameters
    ----------
    settings : Settings
        Name of this instance.
    links : Peers
        Connections to keepers.
    membership : Membership
        Links to members.
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
        self._heard: dict[str, Heard] = {}
        self._needed: dict[str, float] = {}
        links.on(messages.Health, self.answer)

    def check(self, service: str, rank: int, snapshot: snapshots.Snapshot) -> None:
        """Raise DependencyDown when a dependency refuses requests of this rank."""
        now = clock.now()
        for name in closure(service, snapshot):
            pool = snapshot.fleet.services[name].pool
            for number in range(snapshot.shard_count(pool)):
                self._check(f"{pool}#{number}", name, rank, now)

    def answer(self, replier: shards.Replier, message: messages.Health) -> None:
        """Take in what a keeper says."""
        self._heard[message.shard] = Heard(message, clock.now())

    async def ask(self) -> None:
        """Ask keepers for ever."""
        while True:
            await asyncio.sleep(PERIOD_SECONDS)
            self._forget(clock.now())
            for shard in self._needed:
                self._ask(shard)

    def _check(self, shard: str, service: str, rank: int, now: float) -> None:
        self._needed[shard] = now
        heard = self._heard.get(shard)
        if heard is None or now - heard.at > FRESH_SECONDS:
            return
        if 0 <= heard.health.floor <= rank:
            raise exceptions.DependencyDown(
                f"{service} cannot serve now", heard.health.retry_after_ms
            )

    def _forget(self, now: float) -> None:
        for shard, at in list(self._needed.items()):
            if now - at > IDLE_SECONDS:
                del self._needed[shard]
                self._heard.pop(shard, None)

    def _ask(self, shard: str) -> None:
        name = self._keeper.keeper_of(shard)
        if name == self._settings.instance:
            health = self._keeper.health(shard)
            self._heard[shard] = Heard(health, clock.now())
            return
        link = self._membership.link(name)
        if link is not None:
            link.send(messages.HealthQuery(shard))


def closure(service: str, snapshot: snapshots.Snapshot) -> list[str]:
    """Return the services that one depends on, directly or by others."""
    found: list[str] = []
    open_names = list(snapshot.fleet.services[service].depends_on)
    while open_names:
        name = open_names.pop()
        if name in found or name == service:
            continue
        found.append(name)
        open_names += snapshot.fleet.services[name].depends_on
    return found


class Parent(typing.Protocol):
    """A request on whose behalf others are made."""

    accepted: requests.Accepted
    deadline: float


def inherit(
    accepted: requests.Accepted, table: collections.abc.Mapping[str, Parent]
) -> requests.Accepted:
    """Return a nested request, bounded by the one on whose behalf it is made.

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
    # A nested call that outranked its parent would let background work push in at
    # its dependencies; one that outlived it would work for nobody.
    if accepted.rank < parent.accepted.rank:
        accepted = accepted._replace(
            rank=parent.accepted.rank, tier=parent.accepted.tier
        )
    left = max(parent.deadline - clock.now(), 0.0)
    return accepted._replace(deadline_seconds=min(accepted.deadline_seconds, left))
