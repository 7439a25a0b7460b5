"""What the platform still shows of backend servers that this instance has not seen.

After a kill of all instances none remembers which servers left before or meanwhile. The
platform keeps its last changes for a while, which are read when a stream is taken up
that no instance knows: once, and again after a gap in which this instance may have
missed changes.
"""

import asyncio

from .. import clock, exceptions, logs, platform, supervision
from ..decisions import software_versions
from . import outages, servers

# The caller of a stream waits for two seconds or more, and comes back when refused.
PATIENCE_SECONDS = 0.4


class ServerPast:
    """Reads the changes of registrations that this process has not seen.

    Parameters
    ----------
    server_list : Servers
        The servers that are listed now.
    """

    def __init__(self, server_list: servers.Servers):
        self._servers = server_list
        self._reading: asyncio.Task[platform.ServersPast | None] | None = None
        # When the last reading began; seconds on this clock.
        self._read_at = 0.0

    @property
    def _has_gap(self) -> bool:
        """Whether the list was not confirmed all the time since the last reading."""
        if self._read_at < self._servers.steady_since:
            return True
        return self._servers.age > outages.MIN_OUTAGE_SECONDS

    async def evidence(self, service: str) -> software_versions.Evidence | None:
        """Return what is known of a service's servers; None if that cannot be read."""
        past = await self.read()
        if past is None:
            return None
        listed = []
        for entry in self._servers.entries():
            if entry.service == service:
                listed.append(entry)
        return software_versions.Evidence(
            listed, past.written, past.removed, past.is_whole
        )

    async def read(self) -> platform.ServersPast | None:
        """Return the changes that the platform still has; None if not readable now."""
        if self._reading is not None and self._reading.done() and self._has_gap:
            self._reading = None
        if self._reading is None:
            self._read_at = clock.now()
            self._reading = asyncio.create_task(self._read())
        reading = self._reading
        await asyncio.wait([reading], timeout=PATIENCE_SECONDS)
        if not reading.done():
            return None
        past = reading.result()
        if past is None or self._read_at < self._servers.steady_since:
            # The next stream asks again.
            self._reading = None
            return None
        return past

    async def _read(self) -> platform.ServersPast | None:
        try:
            past = await self._servers.read_past()
        except exceptions.PlatformError as error:
            logs.event("servers_past_unreadable", cause=str(error))
            return None
        except Exception as error:
            supervision.log_failure("servers_past", error)
            return None
        logs.event("servers_past", written=len(past.written), removed=len(past.removed))
        return past
