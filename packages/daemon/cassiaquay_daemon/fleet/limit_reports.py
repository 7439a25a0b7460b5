"""Exchanges the limits that servers name between instances."""

import collections.abc

from cassiaquay_schema import messages

from .. import logs
from ..decisions import server_limits, shards
from ..links import peers
from . import members, replication

# An operator should look at a server whose limit lasts longer than this.
LONG_SECONDS = 60.0


class LimitReports:
    """Keeps the server limits of all instances in sync.

    Parameters
    ----------
    limits : ServerLimits
        The limits that are known to this instance.
    links : Peers
        Connections to the other instances.
    membership : Membership
        Supplies the neighbours and their heartbeats.
    """

    digest_field = "limits_digest"

    def __init__(
        self,
        limits: server_limits.ServerLimits,
        links: peers.Peers,
        membership: members.Membership,
    ):
        self._limits = limits
        # Servers with a limit that lasts long, which were logged.
        self._long: set[str] = set()
        self._replication = replication.Replication(links, membership, self)
        links.on(messages.ServerLimits, self._handle_limits)
        membership.on_heartbeat(self._check_durations)

    @property
    def digest(self) -> int:
        """Digest of the limits; 0 when there are none."""
        return self._limits.digest

    def snapshot(self) -> messages.ServerLimits | None:
        """Return a message with all limits; None when there are none."""
        servers = self._limits.entries()
        return self._message(servers) if servers else None

    def version(self, server: str) -> int:
        """Return the current version of a server's limit."""
        return self._limits.current(server).version

    def answered(self, server: str, sent_version: int, rate: float | None) -> None:
        """Handle an answer of a server; see :meth:`ServerLimits.answered`."""
        if self._limits.answered(server, sent_version, rate):
            self._log(server, "")
            self._replication.flood(self._message([server]))

    def send_to(self, link: shards.Replier, server: str) -> None:
        """Send a server's limit to one instance; nothing if it has never named one."""
        if self.version(server):
            link.send(self._message([server]))

    def _handle_limits(self, link: peers.Link, message: messages.ServerLimits) -> None:
        changed = []
        outdated = []
        for item in message.limits:
            rate = item.rate if item.is_limited else None
            limit = server_limits.Limit(item.version, rate)
            if self._limits.learn(item.server, limit):
                self._log(item.server, link.instance)
                changed.append(item.server)
            elif self._limits.current(item.server).version > item.version:
                outdated.append(item.server)
        if changed:
            self._replication.flood(self._message(changed), link.instance)
        if outdated:
            link.send(self._message(outdated))

    def _message(self, servers: collections.abc.Iterable[str]) -> messages.ServerLimits:
        encoded = []
        for server in servers:
            limit = self._limits.current(server)
            is_limited = limit.rate is not None
            encoded.append(
                messages.ServerLimit(
                    server, limit.version, is_limited, limit.rate or 0.0
                )
            )
        return messages.ServerLimits(encoded)

    def _log(self, server: str, source: str) -> None:
        limit = self._limits.current(server)
        self._long.discard(server)
        if limit.rate is None:
            logs.event(
                "server_limit_ended",
                server=server,
                version=limit.version,
                source=source or None,
            )
            return
        logs.event(
            "server_limited",
            server=server,
            requests_per_second=limit.rate,
            version=limit.version,
            source=source or None,
        )

    def _check_durations(self, link: peers.Link, beat: messages.Heartbeat) -> None:
        for server in self._limits.limited_servers():
            seconds = self._limits.seconds_limited(server)
            if seconds < LONG_SECONDS or server in self._long:
                continue
            self._long.add(server)
            logs.trouble(
                "server_limit_lasts",
                server=server,
                requests_per_second=self._limits.current(server).rate,
                seconds=round(seconds),
            )
