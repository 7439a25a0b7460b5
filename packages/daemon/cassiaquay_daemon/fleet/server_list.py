"""Registered backend servers: listed by the platform, or retained after an outage."""

import collections
import collections.abc
import typing

import xxhash

from cassiaquay_schema import fleet as fleet_schema
from cassiaquay_schema import messages

from .. import positions, sockets
from ..decisions import withdrawals
from . import evacuations


class Change(typing.NamedTuple):
    """Names of the servers that a newer list added, retained or dropped.

    Attributes
    ----------
    added : list of str
        Servers that were not known before.
    retained : list of str
        Servers missing from the list that are now retained.
    gone : list of str
        Servers missing from the list that are dropped.
    """

    added: list[str]
    retained: list[str]
    gone: list[str]


def reachable(
    entries: collections.abc.Iterable[messages.ServerEntry],
) -> list[messages.ServerEntry]:
    """Return the entries with an address and a name that requests can carry.

    An instance of another release may read entries otherwise.
    """
    found = []
    for entry in entries:
        try:
            sockets.split_address(entry.address)
        except ValueError:
            continue
        if entry.name.isprintable():
            found.append(entry)
    return found


class ServerList:
    """Entries by name, as of one position of the platform.

    Only listed entries are sent to other instances and enter the digest. A retained
    entry is a local guess: sent on under a newer revision, it would bring a server that
    has left back into use on every instance.
    """

    def __init__(self) -> None:
        self.withdrawals = withdrawals.Withdrawals()
        self._position = positions.START
        self._listed: dict[str, messages.ServerEntry] = {}
        self._retained: dict[str, messages.ServerEntry] = {}

    @property
    def listed(self) -> list[messages.ServerEntry]:
        """Entries that the platform lists."""
        return list(self._listed.values())

    @property
    def retained(self) -> list[str]:
        """Names of the retained servers."""
        return list(self._retained)

    @property
    def size(self) -> int:
        """Number of listed and retained servers."""
        return len(self._listed) + len(self._retained)

    def entries(self) -> list[messages.ServerEntry]:
        """Return the listed and retained entries, those of leaving servers, too."""
        return [*self._listed.values(), *self._retained.values()]

    def digest(self, evacuated: evacuations.InForce) -> int:
        """Return a digest of the evacuated domains and of the listed servers.

        It omits the fields that change with each of a server's heartbeats.
        """
        lines: list[object] = list(evacuated)
        for name in sorted(self._listed):
            entry = self._listed[name]
            lines.append(
                (
                    name,
                    entry.service,
                    entry.address,
                    entry.slots,
                    self._is_leaving(entry),
                    entry.started_ms,
                    entry.cold_ms > 0,
                    entry.software,
                )
            )
        return xxhash.xxh3_64_intdigest(repr(lines).encode())

    def replace_entries(
        self,
        position: positions.Position,
        entries: collections.abc.Iterable[messages.ServerEntry],
        retains: bool,
    ) -> Change:
        """Replace the entries by those of a position.

        Missing ones are retained if ``retains`` is true, unless they were leaving.
        """
        change = Change([], [], [])
        is_same_epoch = position.epoch == self._position.epoch
        old_entries = self._listed
        self._listed = {}
        self._position = position
        if not is_same_epoch:
            self.withdrawals.begin_epoch()
        for entry in entries:
            old_entry = old_entries.pop(entry.name, None)
            if old_entry is None and entry.name not in self._retained:
                change.added.append(entry.name)
            if old_entry is not None and _is_newer(old_entry, entry, is_same_epoch):
                if not is_same_epoch:
                    # Whatever is written from now on replaces it.
                    old_entry = old_entry._replace(revision=entry.revision)
                entry = old_entry
            self._listed[entry.name] = entry
            self._retained.pop(entry.name, None)
            if entry.leaving:
                self.withdrawals.note_leaving(entry, position.epoch)
        for name, entry in old_entries.items():
            if is_same_epoch and entry.revision > position.revision:
                # The entry was written after this list was read.
                self._listed[name] = entry
            elif retains and not self._is_leaving(entry):
                self._retained[name] = entry
                change.retained.append(name)
            else:
                self.withdrawals.note_gone(entry, position.epoch)
                change.gone.append(name)
        if not retains:
            change.gone.extend(self.drop_retained())
        self.withdrawals.expire()
        return change

    def drop_retained(self) -> list[str]:
        """Drop the retained servers; return their names."""
        dropped = self.retained
        self._retained.clear()
        return dropped

    def pools(self) -> dict[str, list[fleet_schema.Server]]:
        """Return the servers that may get new requests, by service."""
        pools: dict[str, list[fleet_schema.Server]] = {}
        entries = {**self._listed, **self._retained}
        for name, entry in sorted(entries.items()):
            if self._is_leaving(entry):
                continue
            server = fleet_schema.Server(
                name=name,
                address=entry.address,
                domain=entry.domain,
                slots=entry.slots,
                started_ms=entry.started_ms,
                cold_ms=entry.cold_ms,
                software=entry.software,
            )
            pools.setdefault(entry.service, []).append(server)
        return pools

    def _is_leaving(self, entry: messages.ServerEntry) -> bool:
        if entry.leaving:
            return True
        return self.withdrawals.applies_to(entry, self._position.epoch)


def _is_newer(
    old_entry: messages.ServerEntry, entry: messages.ServerEntry, is_same_epoch: bool
) -> bool:
    """Return whether the known entry of a server is newer than a listed one.

    Revisions of two epochs do not compare; the server's own count does.
    """
    if is_same_epoch:
        return old_entry.revision >= entry.revision
    return old_entry.sequence > entry.sequence


def count_software(pools: dict[str, list[fleet_schema.Server]]) -> str:
    """Return how many servers of each software version the services have, for logs."""
    counts: collections.Counter[str] = collections.Counter()
    for service, servers in pools.items():
        counts.update(f"{service}/{item.software}" for item in servers if item.software)
    return ",".join(f"{name}={count}" for name, count in sorted(counts.items()))
