"""Exchanges the values that servers report in their answers between instances."""

import collections.abc
import typing

from cassiaquay_schema import messages

from .. import logs
from ..decisions import reported_values, shards
from ..links import peers
from . import members, replication

# An operator should look at a server whose value lasts longer than this.
LONG_SECONDS = 60.0

WarnLong = collections.abc.Callable[[str, int, float | None], None]
MessageType = type[messages.ServerLimits] | type[messages.BrittleServers]


class Kind(typing.NamedTuple):
    """One kind of value.

    Attributes
    ----------
    message_type : type
        Message that carries the values.
    digest_field : str
        Field of heartbeats that carries their digest.
    event, ended_event : str
        Log events of a server's new value and of its end.
    unit : str
        Field of the former that holds the value.
    warn_long : callable
        Raises the alarm for a server whose value lasts long.
    """

    message_type: MessageType
    digest_field: str
    event: str
    ended_event: str
    unit: str
    warn_long: WarnLong


def _warn_limit_lasts(server: str, seconds: int, number: float | None) -> None:
    logs.trouble(
        "server_limit_lasts",
        server=server,
        requests_per_second=number,
        seconds=seconds,
    )


def _warn_brittle_lasts(server: str, seconds: int, number: float | None) -> None:
    logs.trouble(
        "server_brittle_lasts",
        server=server,
        rejections_per_second=number,
        seconds=seconds,
    )


LIMITS = Kind(
    messages.ServerLimits,
    "limits_digest",
    "server_limited",
    "server_limit_ended",
    "requests_per_second",
    _warn_limit_lasts,
)
BRITTLE = Kind(
    messages.BrittleServers,
    "brittle_digest",
    "server_brittle",
    "server_brittle_ended",
    "rejections_per_second",
    _warn_brittle_lasts,
)


class ValueReports:
    """Keeps one kind of servers' values equal on all instances.

    Parameters
    ----------
    kind : Kind
        The kind of value.
    values : ReportedValues
        The values that are known to this instance.
    links : Peers
        Connections to the other instances.
    membership : Membership
        Supplies the neighbours and their heartbeats.
    """

    def __init__(
        self,
        kind: Kind,
        values: reported_values.ReportedValues,
        links: peers.Peers,
        membership: members.Membership,
    ):
        self.digest_field = kind.digest_field
        self._kind = kind
        self._values = values
        # Servers with a value that lasts long, which were logged.
        self._long: set[str] = set()
        self._replication = replication.Replication(links, membership, self)
        links.on(kind.message_type, self._handle_values)
        membership.on_heartbeat(self._check_durations)

    @property
    def digest(self) -> int:
        """Digest of the values; 0 when there are none."""
        return self._values.digest

    def snapshot(self) -> messages.Message | None:
        """Return a message with all values; None when there are none."""
        servers = self._values.entries()
        return self._message(servers) if servers else None

    def version(self, server: str) -> int:
        """Return the current version of a server's value."""
        return self._values.current(server).version

    def answered(self, server: str, sent_version: int, number: float | None) -> None:
        """Handle an answer of a server; see :meth:`ReportedValues.answered`."""
        if self._values.answered(server, sent_version, number):
            self._log(server, "")
            self._replication.flood(self._message([server]))

    def send_to(self, link: shards.Replier, server: str) -> None:
        """Send a server's value to one instance; nothing if it has never had one."""
        if self.version(server):
            link.send(self._message([server]))

    def _handle_values(
        self, link: peers.Link, message: messages.ServerLimits | messages.BrittleServers
    ) -> None:
        changed = []
        outdated = []
        for item in message.servers:
            number = item.number if item.holds else None
            value = reported_values.Value(item.version, number)
            if self._values.learn(item.server, value):
                self._log(item.server, link.instance)
                changed.append(item.server)
            elif self.version(item.server) > item.version:
                outdated.append(item.server)
        if changed:
            self._replication.flood(self._message(changed), link.instance)
        if outdated:
            link.send(self._message(outdated))

    def _message(
        self, servers: collections.abc.Iterable[str]
    ) -> messages.ServerLimits | messages.BrittleServers:
        encoded = []
        for server in servers:
            value = self._values.current(server)
            holds = value.number is not None
            encoded.append(
                messages.ServerValue(server, value.version, holds, value.number or 0.0)
            )
        return self._kind.message_type(encoded)

    def _log(self, server: str, source: str) -> None:
        value = self._values.current(server)
        self._long.discard(server)
        fields: dict[str, object] = {"server": server, "version": value.version}
        if source:
            fields["source"] = source
        if value.number is None:
            logs.event(self._kind.ended_event, **fields)
            return
        logs.event(self._kind.event, **fields, **{self._kind.unit: value.number})

    def _check_durations(self, link: peers.Link, beat: messages.Heartbeat) -> None:
        for server in self._values.holding_servers():
            seconds = self._values.seconds_held(server)
            if seconds < LONG_SECONDS or server in self._long:
                continue
            self._long.add(server)
            number = self._values.current(server).number
            self._kind.warn_long(server, round(seconds), number)
