"""Which backend servers this instance reaches itself.

Load pattern: a partition cuts one instance, or all of a failure domain, off from the
servers, while callers and the other instances still reach it. New connections are
refused or hang, open ones are reset, hang or live on. Without traffic nothing shows
the partition, and each request that finds it out fails.

A path that looks broken is doubted until a probe (a connection without a request) has
succeeded; requests to its server go through another instance meanwhile. A server that
has crashed looks the same from here, but then the other instance does not reach it
either. After a probe has failed, some other paths are probed at once, and all of them
after the second failure.
"""

import collections.abc
import random
import typing

from .. import clock, logs
from . import server_processes

PROBE_INTERVAL_SECONDS = 0.5
# Time after a successful connection in which a slow answer causes no probe.
TRUST_SECONDS = 0.5
# Paths that are probed after the first lost one. A crashed server must not make each
# instance open a connection to all others.
SAMPLED_PATHS = 2


class _Doubt(typing.NamedTuple):
    """A path that may be broken.

    Attributes
    ----------
    since : float
        Seconds on this clock.
    probe_at : float
        Earliest time of the next probe; seconds on this clock.
    is_lost : bool
        Whether an attempt to connect has failed since then.
    is_relayed : bool
        Whether another instance has reached the server since then.
    """

    since: float
    probe_at: float
    is_lost: bool = False
    is_relayed: bool = False


class Paths:
    """The state of the paths to all servers, by address (host:port).

    Parameters
    ----------
    list_servers : callable
        Returns the addresses of the listed servers by service.

    Attributes
    ----------
    processes : Processes
        The processes at the other ends of the connections.
    """

    def __init__(
        self, list_servers: collections.abc.Callable[[], dict[str, list[str]]]
    ):
        self.on_probe_due: collections.abc.Callable[[], None] = _ignore
        self.relayed_count = 0
        self.processes = server_processes.Processes()
        self._list_servers = list_servers
        self._doubts: dict[str, _Doubt] = {}
        self._heard_at: dict[str, float] = {}
        self._progressed_at: dict[str, float] = {}

    @property
    def lost(self) -> set[str]:
        """Addresses of the servers to which no connection can be opened."""
        return {name for name, doubt in self._doubts.items() if doubt.is_lost}

    def lost_counts(self) -> dict[str, int]:
        """Return the number of servers that cannot be connected to, by service."""
        lost = self.lost
        counts = {}
        for service, addresses in self._list_servers().items():
            counts[service] = len(lost.intersection(addresses))
        return counts

    def lost_services(self) -> list[str]:
        """Return the services of which other instances alone reach the servers."""
        services: list[str] = []
        if not any(doubt.is_relayed for doubt in self._doubts.values()):
            return services
        for service, addresses in self._list_servers().items():
            doubts = [self._doubts.get(address) for address in addresses]
            if not all(doubt is not None and doubt.is_lost for doubt in doubts):
                continue
            if any(doubt is not None and doubt.is_relayed for doubt in doubts):
                services.append(service)
        return sorted(services)

    def is_open(self, address: str) -> bool:
        """Return whether requests should be sent to a server directly."""
        return address not in self._doubts

    def is_silent(self, address: str, since: float) -> bool:
        """Return whether nothing was received from a server since ``since``."""
        return self._heard_at.get(address, since - 1.0) < since

    def has_progressed(self, address: str, since: float) -> bool:
        """Return whether an answer of a server went on since ``since``.

        Events and ends of answers count. Connections do not, which a stopped process
        opens, too, nor do other bytes, which a server in trouble may send without end.
        """
        return self._progressed_at.get(address, since - 1.0) >= since

    def heard(self, address: str) -> None:
        """Record that bytes were received from a server."""
        self._heard_at[address] = clock.now()

    def progressed(self, address: str) -> None:
        """Record that an answer of a server has gone on."""
        self._progressed_at[address] = clock.now()

    def doubt(self, address: str, cause: str) -> None:
        """Probe the path to a server, unless it was connected to a moment ago."""
        now = clock.now()
        if address in self._doubts or not self._is_listed(address):
            return
        if not self.is_silent(address, now - TRUST_SECONDS):
            return
        logs.event("path_doubted", address=address, cause=cause)
        self._add(address, _Doubt(now, now))

    def connected(self, address: str) -> None:
        """Record that a connection to a server was opened."""
        self._heard_at[address] = clock.now()
        doubt = self._doubts.pop(address, None)
        if doubt is not None and doubt.is_lost:
            lost_ms = round((clock.now() - doubt.since) * 1000.0)
            logs.event("path_back", address=address, lost_ms=lost_ms)

    def failed(self, address: str) -> None:
        """Record that a connection to a server could not be opened."""
        now = clock.now()
        if not self._is_listed(address):
            return
        self.processes.note_broken(address)
        doubt = self._doubts.get(address) or _Doubt(now, now)
        was_lost = doubt.is_lost
        doubt = doubt._replace(is_lost=True, probe_at=now + PROBE_INTERVAL_SECONDS)
        self._add(address, doubt)
        if was_lost:
            return
        logs.event("path_lost", address=address)
        self._doubt_others()

    def relayed(self, address: str) -> None:
        """Record that another instance has reached a server."""
        self.relayed_count += 1
        doubt = self._doubts.get(address)
        if doubt is not None:
            self._doubts[address] = doubt._replace(is_relayed=True)

    def take_due(self) -> list[str]:
        """Return the servers to probe now; each will be due again later."""
        now = clock.now()
        self._forget_unlisted()
        due = []
        for address, doubt in self._doubts.items():
            if doubt.probe_at > now:
                continue
            due.append(address)
            self._doubts[address] = doubt._replace(
                probe_at=now + PROBE_INTERVAL_SECONDS
            )
        return due

    def seconds_to_probe(self) -> float | None:
        """Return the seconds until the next probe is due; None if there is none."""
        if not self._doubts:
            return None
        next_at = min(doubt.probe_at for doubt in self._doubts.values())
        return max(next_at - clock.now(), 0.0)

    def _add(self, address: str, doubt: _Doubt) -> None:
        self._doubts[address] = doubt
        self.on_probe_due()

    def _doubt_others(self) -> None:
        others = [address for address in self._listed() if address not in self._doubts]
        if len(self.lost) < 2:
            others = random.sample(others, min(SAMPLED_PATHS, len(others)))
        now = clock.now()
        for address in others:
            self._add(address, _Doubt(now, now))

    def _forget_unlisted(self) -> None:
        listed = self._listed()
        for table in (self._doubts, self._heard_at, self._progressed_at):
            for address in [name for name in table if name not in listed]:
                del table[address]

    def _is_listed(self, address: str) -> bool:
        return address in self._listed()

    def _listed(self) -> set[str]:
        listed: set[str] = set()
        for addresses in self._list_servers().values():
            listed.update(addresses)
        return listed


def _ignore() -> None:
    """Do nothing: no probes are sent."""
