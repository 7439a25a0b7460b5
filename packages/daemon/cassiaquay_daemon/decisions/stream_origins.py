"""Where streams began: the service and software version of their first servers.

Load pattern: one entry for each stream, and a lookup only when a caller returns after
its stream broke off, within the time that it waits for the whole answer.
"""

import collections
import collections.abc
import typing

import xxhash

from .. import clock

# Callers return within their deadline; the margin covers slow clocks and messages.
MARGIN_SECONDS = 10.0
MAX_LIFETIME_SECONDS = 300.0
# Bounds the memory to a few MB.
MAX_ENTRIES = 30_000


class Origin(typing.NamedTuple):
    """Where a stream began.

    Attributes
    ----------
    service : str
        Service of the server that sent its first event.
    software : str
        Software version of that server; empty if it has none.
    server : str
        That server, if it has restarted and the version of its process is not known.
    started_ms : int
        Start time of that process, Unix milliseconds; 0 if it is not known either.
    """

    service: str
    software: str
    server: str = ""
    started_ms: int = 0

    @property
    def is_open(self) -> bool:
        """Whether the version is still to be found."""
        return bool(self.server)

    @property
    def is_lost(self) -> bool:
        """Whether only a report that is under way can still show the version."""
        return self.is_open and not self.started_ms


class _Entry(typing.NamedTuple):
    origin: Origin
    expires_at: float


def key_of(team: str, attempt: str) -> int:
    """Return the key of an attempt; teams choose the ids of their attempts freely."""
    return xxhash.xxh3_64_intdigest(f"{team}\0{attempt}".encode())


class Origins:
    """Origins by the keys of the attempts that brought events, oldest first."""

    def __init__(self) -> None:
        self._entries: collections.OrderedDict[int, _Entry]
        self._entries = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, key: int, origin: Origin, lifetime: float) -> None:
        """Keep an origin for ``lifetime`` seconds; a later one replaces it."""
        now = clock.now()
        lifetime = min(lifetime, MAX_LIFETIME_SECONDS)
        self._entries[key] = _Entry(origin, now + lifetime)
        self._entries.move_to_end(key)
        self._trim(now)

    def find(self, key: int) -> Origin | None:
        """Return an origin, or None if it is not known."""
        entry = self._entries.get(key)
        if entry is None or entry.expires_at <= clock.now():
            return None
        return entry.origin

    def items(self) -> collections.abc.Iterator[tuple[int, Origin, float]]:
        """Yield the keys and origins, and the seconds for which they are kept."""
        now = clock.now()
        for key, entry in self._entries.items():
            if entry.expires_at > now:
                yield key, entry.origin, entry.expires_at - now

    def _trim(self, now: float) -> None:
        while self._entries:
            oldest = next(iter(self._entries.values()))
            if oldest.expires_at > now and len(self._entries) <= MAX_ENTRIES:
                return
            self._entries.popitem(last=False)
