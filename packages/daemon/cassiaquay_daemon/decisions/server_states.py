"""What backend servers report about themselves, and whether a request may be sent.

All senders ask here right before the first byte: requests of both interfaces, with and
without a keeper.
"""

import collections.abc

from cassiaquay_schema import settings as settings_schema

from . import backoffs, brittle_servers, departures, server_limits


class ServerStates:
    """The reported states of all servers, as known to this instance.

    Parameters
    ----------
    settings : Settings
        Tolerances by which a limit may be exceeded.

    Attributes
    ----------
    limits : ServerLimits
        Limits on the requests from the whole fleet.
    departures : Departures
        Servers that are shutting down.
    backoffs : Backoffs
        Servers that want no request from this instance for some time.
    brittle : BrittleServers
        Servers that bear few rejections.
    """

    def __init__(self, settings: settings_schema.Settings):
        self.limits = server_limits.ServerLimits(settings)
        self.departures = departures.Departures()
        self.backoffs = backoffs.Backoffs()
        self.brittle = brittle_servers.BrittleServers()

    def adopt(self, settings: settings_schema.Settings) -> None:
        """Use changed settings from now on."""
        self.limits.adopt(settings)

    def retain(self, listed: collections.abc.Mapping[str, int]) -> None:
        """Use a newer list of servers with the start times of their processes."""
        names = frozenset(listed)
        self.limits.retain(names)
        self.brittle.retain(names)
        self.departures.retain(listed)

    def is_leaving(self, server: str) -> bool:
        """Return whether a server is shutting down and gets no new request."""
        return self.departures.get(server) is not None

    def backoff_seconds(self, server: str) -> float:
        """Return how long a server wants no request of this instance; 0 for none."""
        return self.backoffs.seconds_left(server)

    def is_brittle(self, server: str) -> bool:
        """Return whether a server bears few rejections."""
        return self.brittle.holds(server)

    def blocking_cause(self, server: str, is_charged: bool) -> str:
        """Return why a request may not be sent to a server now; empty if it may.

        ``is_charged`` is true if its permit counts against the server's limit.
        """
        if self.is_leaving(server):
            return "the server is leaving"
        if self.backoff_seconds(server) > 0.0:
            return "the server has asked this instance to wait"
        if not is_charged and self.limits.holds(server):
            return "the server has named a limit"
        return ""
