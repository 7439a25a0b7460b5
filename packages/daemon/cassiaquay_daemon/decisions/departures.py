"""Servers that report in their answers that they are shutting down.

Load pattern: a server leaves while the platform's list is unreachable or late. Its
answers are the only sign, each is seen by one instance, and the list calls the server
ready for seconds more.

A report names the start time of the server's process, so that a server which has
started again under its name is used at once. Answers without the report end nothing:
they may have been made before it.
"""

import collections.abc
import typing

import xxhash

from .. import clock

# How long a report is kept once the server is missing from the list. Registrations that
# expired during an outage of the platform come back within a few seconds, at first as
# ready. A server of unknown start time is tried again after this long, since its
# restart could not be noticed.
RETENTION_SECONDS = 60.0


class Departure(typing.NamedTuple):
    """A server that is shutting down.

    Attributes
    ----------
    started_ms : int
        Start time of its process as the platform lists it; 0 if unknown.
    source : str
        Instance that reported it; empty for an own answer.
    learned_at : float
        When this instance learned of it; seconds on this clock.
    kept_until : float
        When it is forgotten unless the server is still listed.
    """

    started_ms: int
    source: str
    learned_at: float
    kept_until: float


class Departures:
    """The departures that are known to this instance."""

    def __init__(self) -> None:
        self._departures: dict[str, Departure] = {}
        # Start time of each listed server.
        self._listed: collections.abc.Mapping[str, int] = {}

    @property
    def digest(self) -> int:
        """Digest of the departures of listed servers; 0 when there are none.

        The others expire at slightly different times on each instance.
        """
        lasting = sorted(self.entries().items())
        return xxhash.xxh3_64_intdigest(repr(lasting).encode()) if lasting else 0

    def entries(self) -> dict[str, int]:
        """Return the start times of the listed servers that are leaving."""
        entries = {}
        for server, departure in self._departures.items():
            if self._is_lasting(server, departure):
                entries[server] = departure.started_ms
        return entries

    def get(self, server: str) -> Departure | None:
        """Return a server's departure; None if it may get requests."""
        departure = self._departures.get(server)
        if departure is None:
            return None
        if self._is_lasting(server, departure):
            return departure
        return departure if clock.now() < departure.kept_until else None

    def leaving_servers(self) -> list[str]:
        """Return the names of all servers that are leaving."""
        if not self._departures:
            return []
        return sorted(name for name in self._departures if self.get(name) is not None)

    def learn(self, server: str, started_ms: int, source: str) -> bool:
        """Record a report; return whether it is new to this instance."""
        current = self.get(server)
        if current is not None and current.started_ms >= started_ms:
            return False
        if self._listed.get(server, 0) > started_ms:
            # It is about an earlier run of the server.
            return False
        now = clock.now()
        self._departures[server] = Departure(
            started_ms, source, now, now + RETENTION_SECONDS
        )
        return True

    def retain(self, listed: collections.abc.Mapping[str, int]) -> None:
        """Use a newer list of servers with the start times of their processes.

        An empty list does nothing: an instance that has just started has no list yet.
        """
        if not listed:
            return
        now = clock.now()
        for server, departure in list(self._departures.items()):
            if self._is_lasting(server, departure):
                # It may go missing from this list.
                departure = departure._replace(kept_until=now + RETENTION_SECONDS)
                self._departures[server] = departure
            is_restarted = listed.get(server, 0) > departure.started_ms
            if is_restarted or now >= departure.kept_until:
                del self._departures[server]
        self._listed = listed

    def _is_lasting(self, server: str, departure: Departure) -> bool:
        """Return whether the list shows the run of the server that is leaving."""
        listed = self._listed.get(server, 0)
        return bool(listed) and listed <= departure.started_ms
