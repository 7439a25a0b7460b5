"""Handles what servers report about themselves, on behalf of all senders."""

import typing

from cassiaquay_schema import fleet

from .. import logs
from ..adapters import signals
from ..decisions import server_states, shards
from ..links import peers
from . import departure_reports, members, value_reports


class Sent(typing.NamedTuple):
    """The request that an answer belongs to.

    Attributes
    ----------
    attempt : str
        Id of the request's attempt.
    server : Server
        The server as listed when the request was sent.
    limit_version, brittle_version : int
        Versions of its limit and of its brittleness at that time.
    """

    attempt: str
    server: fleet.Server
    limit_version: int
    brittle_version: int


class ServerReports:
    """Updates the states of servers from their answers, and shares them.

    Parameters
    ----------
    states : ServerStates
        The states that are known to this instance.
    links : Peers
        Connections to the other instances.
    membership : Membership
        Supplies the neighbours and their heartbeats.
    """

    def __init__(
        self,
        states: server_states.ServerStates,
        links: peers.Peers,
        membership: members.Membership,
    ):
        self._states = states
        self._limits = value_reports.ValueReports(
            value_reports.LIMITS, states.limits, links, membership
        )
        self._brittle = value_reports.ValueReports(
            value_reports.BRITTLE, states.brittle, links, membership
        )
        self._departures = departure_reports.DepartureReports(
            states.departures, links, membership
        )
        # Headers of servers with unreadable values that were logged.
        self._unreadable: set[tuple[str, str]] = set()

    def sent(self, attempt: str, server: fleet.Server) -> Sent:
        """Return the record of a request whose first byte is about to be written."""
        name = server.name
        return Sent(
            attempt, server, self._limits.version(name), self._brittle.version(name)
        )

    def answered(self, sent: Sent, found: signals.Signals, is_failure: bool) -> None:
        """Handle the head of an answer.

        Parameters
        ----------
        sent : Sent
            The request.
        found : Signals
            What the answer says about the server.
        is_failure : bool
            Whether the server failed or did not run the request.
        """
        server = sent.server
        if found.is_leaving or found.retry_after is not None:
            logs.event(
                "server_signals",
                id=sent.attempt,
                server=server.name,
                leaving=found.is_leaving or None,
                retry_after_s=found.retry_after,
            )
        for header, value in found.unreadable.items():
            self._report_unreadable(server.name, header, value)
        if found.is_leaving:
            self._departures.answered(server.name, server.started_ms)
        if found.retry_after is not None:
            self._states.backoffs.add(server.name, found.retry_after)
        # A failure may come without the headers of a regular answer: only a success
        # shows that a value has ended.
        if found.is_limit_readable and (found.limit is not None or not is_failure):
            self._limits.answered(server.name, sent.limit_version, found.limit)
        if found.is_brittle_readable and (found.brittle is not None or not is_failure):
            self._brittle.answered(server.name, sent.brittle_version, found.brittle)

    def is_leaving(self, server: str) -> bool:
        """Return whether a server is shutting down and gets no new request."""
        return self._states.is_leaving(server)

    def is_brittle(self, server: str) -> bool:
        """Return whether a server bears few rejections."""
        return self._states.is_brittle(server)

    def backoff_seconds(self, server: str) -> float:
        """Return how long a server wants no request of this instance; 0 for none."""
        return self._states.backoff_seconds(server)

    def excluded_servers(self) -> list[str]:
        """Return the servers that want no request of this instance now."""
        return self._states.backoffs.servers()

    def blocking_cause(self, server: str, is_charged: bool) -> str:
        """Return why a request may not be sent now; see :class:`ServerStates`."""
        return self._states.blocking_cause(server, is_charged)

    def send_to(self, link: shards.Replier, server: str) -> None:
        """Send the state of a server that concerns all instances to one of them."""
        self._departures.send_to(link, server)
        self._limits.send_to(link, server)
        self._brittle.send_to(link, server)

    def _report_unreadable(self, server: str, header: str, value: str) -> None:
        if (server, header) in self._unreadable:
            return
        self._unreadable.add((server, header))
        logs.trouble(
            "server_signal_unreadable", server=server, header=header, value=value
        )
