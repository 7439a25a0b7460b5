"""Servers that get no work for a while, since owners could not connect to them."""

from .. import clock, logs

EXCLUSION_SECONDS = 2.0


class Exclusions:
    """The servers of one shard that refused connections.

    Parameters
    ----------
    shard : str
        Name of the shard, for log events.
    """

    def __init__(self, shard: str):
        self._shard = shard
        self._reported_at: dict[str, float] = {}

    def report(self, server: str, owner: str, request_id: str) -> None:
        """Record that a server refused the connection of an owner."""
        if not self.is_excluded(server):
            logs.event(
                "server_excluded",
                server=server,
                shard=self._shard,
                reported_by=owner,
                id=request_id,
            )
        self._reported_at[server] = clock.now()

    def confirm_alive(self, server: str) -> None:
        """End the exclusion of a server that has just answered."""
        self._reported_at.pop(server, None)

    def is_excluded(self, server: str) -> bool:
        """Return whether a server gets no work."""
        age = clock.now() - self._reported_at.get(server, float("-inf"))
        return age < EXCLUSION_SECONDS
