"""Servers that get no work for a while, since owners could not connect to them.

Load pattern: a crashed server refuses all owners (instances that dispatch requests), a
partition keeps one owner from all servers. To that owner both look alike. One report
keeps the server from its reporter only; reports of two owners, without a sign of life
in between, keep it from all.
"""

import collections.abc

from cassiaquay_schema import messages

from .. import clock, logs

EXCLUSION_SECONDS = 2.0
# Reports of this many owners show that a server itself is unreachable.
QUORUM = 2


class Exclusions:
    """The servers of one shard that owners could not connect to.

    Parameters
    ----------
    shard : str
        Name of the shard, for log events.

    Attributes
    ----------
    count_owners : callable
        Returns the number of live owners; a single one needs no other's report.
    """

    def __init__(self, shard: str):
        self.count_owners: collections.abc.Callable[[], int] = _one
        self._shard = shard
        # Times of the last reports by server and owner; seconds on this clock.
        self._reports: dict[str, dict[str, float]] = {}
        self._alive_at: dict[str, float] = {}

    def report(self, server: str, owner: str, request_id: str) -> None:
        """Record that an owner could not connect to a server."""
        was_excluded = self.is_excluded(server)
        reports = self._reports.setdefault(server, {})
        if not self.is_excluded_for(server, owner):
            logs.event(
                "server_unreachable",
                server=server,
                shard=self._shard,
                reported_by=owner,
                id=request_id,
            )
        reports[owner] = clock.now()
        if not was_excluded and self.is_excluded(server):
            logs.event(
                "server_excluded",
                server=server,
                shard=self._shard,
                reported_by=sorted(reports),
            )

    def confirm_alive(self, server: str, owner: str) -> None:
        """Record that a server has just answered a request of an owner."""
        reports = self._reports.get(server)
        if reports is None:
            return
        self._alive_at[server] = clock.now()
        reports.pop(owner, None)

    def is_excluded(self, server: str) -> bool:
        """Return whether a server gets no work from any owner."""
        reports = self._reports.get(server)
        if not reports:
            return False
        since = clock.now() - EXCLUSION_SECONDS
        since = max(since, self._alive_at.get(server, since))
        recent_count = sum(at > since for at in reports.values())
        return recent_count >= min(QUORUM, self.count_owners())

    def is_excluded_for(self, server: str, owner: str) -> bool:
        """Return whether a server gets no work from one owner."""
        reported_at = self._reports.get(server, {}).get(owner)
        if reported_at is None:
            return False
        return clock.now() - reported_at < EXCLUSION_SECONDS

    def apply(self, demand: messages.Demand, owner: str) -> messages.Demand:
        """Return a demand that avoids all servers that its owner could not reach."""
        unreachable = {n for n in self._reports if self.is_excluded_for(n, owner)}
        if not unreachable:
            return demand
        return demand._replace(avoid=sorted(unreachable.union(demand.avoid)))

    def expire(self) -> None:
        """Forget old reports."""
        horizon = clock.now() - EXCLUSION_SECONDS
        for server, reports in list(self._reports.items()):
            for owner in [name for name, at in reports.items() if at <= horizon]:
                del reports[owner]
            if not reports:
                del self._reports[server]
                self._alive_at.pop(server, None)


def _one() -> int:
    """Return 1: no other owner is known."""
    return 1
