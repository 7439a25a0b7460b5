"""The instances that this one sends heartbeats to, and the links to them."""

from cassiaquay_schema import settings as settings_schema

from .. import platform
from ..links import peers
from . import facts, failure_detector, lost_members


class Neighbours:
    """Chooses the neighbours of this instance; redials lost instances in turn.

    Parameters
    ----------
    settings : Settings
        Name of this instance, seeds and number of neighbours.
    known : Facts
        The known members.
    links : Peers
        Connections to the other instances.
    detector : Detector
        Knows the links dialled by others.

    Attributes
    ----------
    listed : dict of str to ListedInstance
        The platform's instance list as last read.
    seeds : list of str
        Addresses to contact while no other instance is known.
    """

    def __init__(
        self,
        settings: settings_schema.Settings,
        known: facts.Facts,
        links: peers.Peers,
        detector: failure_detector.Detector,
    ):
        self.listed: dict[str, platform.ListedInstance] = {}
        self.seeds = settings.seeds
        self._settings = settings
        self._facts = known
        self._links = links
        self._detector = detector
        self._lost = lost_members.LostMembers()
        self._addresses: dict[str, str] | None = None

    def addresses(self) -> dict[str, str]:
        """Return the peer addresses of the neighbours by name."""
        if self._addresses is None:
            self._addresses = self._choose()
        return self._addresses

    def invalidate(self) -> None:
        """Choose the neighbours again at their next use."""
        self._addresses = None

    def note_alive(self, instance: str) -> None:
        """Stop redialling an instance that is alive."""
        self._lost.remove(instance)

    def links(self, number: int) -> list[peers.Link]:
        """Return the links that the heartbeats of one round are sent over."""
        links = []
        addresses = self.addresses()
        for instance, address in [*addresses.items(), *self._lost_to_redial(number)]:
            link = self._links.link(instance, address)
            if link is not None:
                links.append(link)
        # Reply to heartbeats on links that others dialled: an instance that none chose
        # as neighbour would otherwise receive no heartbeats. Links dialled from here to
        # former neighbours are left out: each side would reply to the other's replies
        # indefinitely, and after a fleet start half of the instances would exchange
        # heartbeats with the other half.
        for link in self._detector.incoming_links():
            if link.instance not in addresses:
                links.append(link)
        return links

    def _choose(self) -> dict[str, str]:
        addresses = {}
        for line in self.listed.values():
            if line.kind == "entry" and line.peer and line.name not in self._lost:
                addresses[line.name] = line.peer
        for name, record in self._facts.records.items():
            if record.suspected_at is None:
                addresses[name] = record.member.peer
        addresses.pop(self._settings.instance, None)
        if not addresses:
            # The seeds are common to the fleet and may include this instance.
            for seed in self.seeds:
                if seed != self._links.address:
                    addresses[f"{peers.SEED}{seed}"] = seed
        ranked = failure_detector.rank(self._settings.instance, addresses)
        chosen = ranked[: self._settings.membership.neighbours]
        return {name: addresses[name] for name in chosen}

    def _lost_to_redial(self, number: int) -> list[tuple[str, str]]:
        for name, record in self._facts.records.items():
            if record.suspected_at is not None:
                if name not in self._lost:
                    self._addresses = None
                self._lost.add(name, record.member.peer)
        self._lost.expire(self.listed)
        return self._lost.turn(number)
