"""Exchanges the departures that servers report between instances."""

import collections.abc

from cassiaquay_schema import messages

from .. import logs
from ..decisions import departures, shards
from ..links import peers
from . import members, replication


class DepartureReports:
    """Keeps the departures of servers on all instances in sync.

    Parameters
    ----------
    known : Departures
        The departures that are known to this instance.
    links : Peers
        Connections to the other instances.
    membership : Membership
        Supplies the neighbours and their heartbeats.
    """

    digest_field = "departures_digest"

    def __init__(
        self,
        known: departures.Departures,
        links: peers.Peers,
        membership: members.Membership,
    ):
        self._known = known
        self._replication = replication.Replication(links, membership, self)
        links.on(messages.ServerDepartures, self._handle_departures)

    @property
    def digest(self) -> int:
        """Digest of the departures; 0 when there are none."""
        return self._known.digest

    def snapshot(self) -> messages.ServerDepartures | None:
        """Return a message with all departures; None when there are none."""
        entries = self._known.entries()
        return _message(entries) if entries else None

    def answered(self, server: str, started_ms: int) -> None:
        """Handle an answer in which a server reports that it is leaving."""
        self._learn({server: started_ms}, "")

    def send_to(self, link: shards.Replier, server: str) -> None:
        """Send a server's departure to one instance."""
        departure = self._known.get(server)
        if departure is not None:
            link.send(_message({server: departure.started_ms}))

    def _handle_departures(
        self, link: peers.Link, message: messages.ServerDepartures
    ) -> None:
        reported = {item.server: item.started_ms for item in message.servers}
        self._learn(reported, link.instance)

    def _learn(self, reported: dict[str, int], source: str) -> None:
        changed = {}
        for server, started_ms in reported.items():
            if not self._known.learn(server, started_ms, source):
                continue
            changed[server] = started_ms
            logs.event(
                "server_departing",
                server=server,
                started_ms=started_ms,
                source=source or None,
            )
        if changed:
            self._replication.flood(_message(changed), source)


def _message(
    servers: collections.abc.Mapping[str, int],
) -> messages.ServerDepartures:
    encoded = []
    for server, started_ms in servers.items():
        encoded.append(messages.ServerDeparture(server, started_ms))
    return messages.ServerDepartures(encoded)
