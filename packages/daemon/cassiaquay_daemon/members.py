"""Membership: which instances live, from direct heartbeats and the instance list.

Nothing that must be correct rests on it: a wrong view makes a second keeper or a
needless relay, never a second dispatch.
"""

import asyncio
import collections.abc
import time
import typing

from cassiaquay_schema import messages
from cassiaquay_schema import settings as settings_schema

from . import clock, exceptions, logs, peers, platform, rendezvous


class Known(typing.NamedTuple):
    """A member and when its newest heartbeat was heard of, on this clock."""

    member: messages.Member
    heard_at: float


class Membership:
    """The instances that this one knows.

    Parameters
    ----------
    settings : Settings
        Names, addresses and periods.
    incarnation : str
        This life of the process.
    links : Peers
        Connections to the others.
    mint : callable
        Returns a fresh address token of this instance.
    measure : callable
        Returns this instance's load and its configuration revision.
    """

    def __init__(
        self,
        settings: settings_schema.Settings,
        incarnation: str,
        links: peers.Peers,
        mint: collections.abc.Callable[[], str],
        measure: collections.abc.Callable[[], tuple[float, int]],
    ):
        self.leaving = False
        self.http_address = ""
        self.admin_address = ""
        self.listed: dict[str, platform.Listed] = {}
        self._settings = settings
        self._incarnation = incarnation
        self._links = links
        self._mint = mint
        self._measure = measure
        self._sequence = 0
        self._born = time.time()
        self._known: dict[str, Known] = {}
        self._on_heard: list[
            collections.abc.Callable[[peers.Link, messages.Member], None]
        ] = []
        self._on_change: list[collections.abc.Callable[[], None]] = []
        self._before: set[str] = set()
        links.on(messages.Heartbeat, self._heartbeat)

    @property
    def me(self) -> messages.Member:
        """What the others are told of this instance."""
        load, revision = self._measure()
        return messages.Member(
            self._settings.instance,
            self._incarnation,
            self._settings.domain,
            self.http_address,
            self._settings.advertised_peer or self._links.address,
            self._sequence,
            self.leaving,
            self._mint(),
            load,
            revision,
            self._born,
            self.admin_address,
        )

    def on_heard(
        self, call: collections.abc.Callable[[peers.Link, messages.Member], None]
    ) -> None:
        """Call ``call`` with each heartbeat's link and sender."""
        self._on_heard.append(call)

    def on_change(self, call: collections.abc.Callable[[], None]) -> None:
        """Call ``call`` when an instance has come, gone or begun to leave."""
        self._on_change.append(call)

    def alive(self) -> list[messages.Member]:
        """Return the members heard of lately, this one included, leaving or not."""
        horizon = clock.now() - self._settings.membership.suspect_after
        found = [self.me]
        for known in self._known.values():
            if known.heard_at >= horizon:
                found.append(known.member)
        return found

    def serving(self) -> list[messages.Member]:
        """Return the live members that are not leaving."""
        found = []
        for member in self.alive():
            listed = self.listed.get(member.instance)
            if member.leaving or (listed is not None and listed.leaving):
                continue
            found.append(member)
        return found

    def find(self, instance: str) -> messages.Member | None:
        """Return a live member by name."""
        for member in self.alive():
            if member.instance == instance:
                return member
        return None

    def last_heard(self, instance: str) -> messages.Member | None:
        """Return what was heard last of another instance, also when silent now."""
        known = self._known.get(instance)
        return known.member if known is not None else None

    def is_leaving(self, name: str) -> bool:
        """Tell whether the instance list shows an instance or server as leaving."""
        line = self.listed.get(name)
        return line is not None and line.leaving

    def keeper_of(self, shard: str) -> str:
        """Return the instance that should be the keeper of a shard."""
        names = [member.instance for member in self.serving()]
        return rendezvous.first(shard, names or [self._settings.instance])

    def link(self, instance: str) -> peers.Link | None:
        """Return a link to a member, dialling when there is none."""
        known = self._known.get(instance)
        if known is None:
            return None
        return self._links.link(instance, known.member.peer)

    async def beat(self) -> None:
        """Send heartbeats for ever."""
        while True:
            self._sequence += 1
            self._send()
            self._notice()
            await asyncio.sleep(self._settings.membership.period)

    async def read_list(self, source: platform.InstanceList) -> None:
        """Read the platform's instance list for ever."""
        while True:
            try:
                lines = await source.read()
                self.listed = {line.name: line for line in lines}
                self._notice()
            except exceptions.PlatformError as error:
                # The last list stays in use: heartbeats carry membership meanwhile.
                logs.detail("instance_list_unreadable", cause=str(error))
            await asyncio.sleep(self._settings.platform.instances_period)

    def farewell(self) -> None:
        """Tell the neighbours at once that this instance leaves."""
        self.leaving = True
        self._sequence += 1
        self._send()
        self._notice()

    def _send(self) -> None:
        beat = messages.Heartbeat(self.me, self._gossip())
        for instance, address in self._neighbours().items():
            link = self._links.link(instance, address)
            if link is not None:
                link.send(beat)

    def _neighbours(self) -> dict[str, str]:
        addresses = {f"seed {seed}": seed for seed in self._settings.seeds}
        for line in self.listed.values():
            if line.kind == "entry" and line.peer:
                addresses[line.name] = line.peer
        for name, known in self._known.items():
            addresses[name] = known.member.peer
        addresses.pop(self._settings.instance, None)
        if any(not name.startswith("seed ") for name in addresses):
            seeds = [name for name in addresses if name.startswith("seed ")]
            for name in seeds:
                del addresses[name]
        ranked = rendezvous.rank(self._settings.instance, addresses)
        chosen = ranked[: self._settings.membership.neighbours]
        return {name: addresses[name] for name in chosen}

    def _gossip(self) -> list[messages.Member]:
        freshest = sorted(
            self._known.values(), key=lambda known: known.heard_at, reverse=True
        )
        limit = self._settings.membership.gossip_members
        return [known.member for known in freshest[:limit]]

    def _heartbeat(self, link: peers.Link, beat: messages.Heartbeat) -> None:
        self._learn(beat.member)
        for member in beat.known:
            self._learn(member)
        for call in self._on_heard:
            call(link, beat.member)
        self._notice()

    def _learn(self, member: messages.Member) -> None:
        if member.instance == self._settings.instance:
            return
        known = self._known.get(member.instance)
        if known is not None:
            old = known.member
            # An older life, or an older beat of this life, that took a detour says
            # nothing about now.
            if (member.born, member.sequence) <= (old.born, old.sequence):
                return
        self._known[member.instance] = Known(member, clock.now())

    def _notice(self) -> None:
        horizon = clock.now() - self._settings.membership.forget_after
        for name in list(self._known):
            if self._known[name].heard_at < horizon:
                del self._known[name]
        now = {f"{m.instance}/{m.incarnation}" for m in self.serving()}
        if now == self._before:
            return
        logs.event("members", serving=sorted(now))
        self._before = now
        for call in self._on_change:
            call()
