"""The software version at which a new stream begins, chosen by its attempt's id.

While servers of several versions serve side by side, a stream begins at the version of
the server that ranks first by weighted rendezvous hashing. After a kill of all
instances, the id that a returning caller names gives the version again: the servers
that may have been listed when the stream began are walked in the order of their ranks
up to the first one that was certainly in use. If all of them have one version, the
stream began at it.

Load pattern: one hash for each server and new stream, and only while a service has
several versions.
"""

import collections.abc
import typing

from cassiaquay_schema import fleet, messages

from .. import rendezvous


class Evidence(typing.NamedTuple):
    """What is known of the servers that a service has had.

    Attributes
    ----------
    listed : list of ServerEntry
        Its servers that are listed now; those that leave, too.
    seen : list of ServerEntry
        Entries of all services that were listed or written before.
    came_ms, left_ms : mapping of str to float
        Unix times at which servers were first listed, and removed last; later than that
        rather than earlier.
    covered_since_ms : float
        Unix time since which no server is missing here.
    replacing : set of str
        Servers that have started again under their names, and whose former version is
        not known.
    """

    listed: list[messages.ServerEntry]
    seen: list[messages.ServerEntry]
    came_ms: collections.abc.Mapping[str, float]
    left_ms: collections.abc.Mapping[str, float]
    covered_since_ms: float
    replacing: frozenset[str] = frozenset()


class _Candidate(typing.NamedTuple):
    name: str
    # None if unknown.
    software: str | None
    slots: int
    # Whether it could be used all the time since the stream can have begun.
    is_steady: bool


class _Identity(typing.NamedTuple):
    """What a choice depends on; a server that has had two of them has changed."""

    service: str
    software: str
    slots: int
    started_ms: int


def choose(key: int, servers: collections.abc.Sequence[fleet.Server]) -> str | None:
    """Return the version at which a stream begins; None if any will do.

    Without the start times of all servers the version could not be derived later.

    Parameters
    ----------
    key : int
        Key of the attempt.
    servers : sequence of Server
        The service's listed servers that do not leave.
    """
    if not servers:
        return None
    software = servers[0].software
    if all(server.software == software for server in servers):
        return None
    if not all(server.started_ms for server in servers):
        return None
    return max(servers, key=lambda item: _score(key, item.name, item.slots)).software


def derive(key: int, service: str, evidence: Evidence, since_ms: float) -> str | None:
    """Return the version at which a stream has begun; None if it may be another one.

    Parameters
    ----------
    key : int
        Key of the attempt that brought its first event.
    service : str
        Its service.
    evidence : Evidence
        What is known of the servers.
    since_ms : float
        Unix time at which it began, at the earliest.
    """
    if evidence.covered_since_ms > since_ms:
        return None
    for entry in [*evidence.listed, *evidence.seen]:
        if entry.service == service and not entry.started_ms:
            return None
    ranked = _candidates(service, evidence, since_ms)
    ranked.sort(key=lambda item: _score(key, item.name, item.slots), reverse=True)
    versions = set()
    for candidate in ranked:
        versions.add(candidate.software)
        if len(versions) > 1 or candidate.software is None:
            return None
        if candidate.is_steady:
            was_left = _was_left(candidate.software, evidence, since_ms)
            return None if was_left else candidate.software
    return None


def young_servers(
    listed: list[messages.ServerEntry], software: str, since_ms: float
) -> list[str]:
    """Return the servers of a version that do not show that it was in use.

    A stream whose version had no usable server began elsewhere. A server that has been
    there all the time, and still is, shows that it had one.
    """
    names = []
    for entry in listed:
        if entry.software != software:
            continue
        if not 0 < entry.started_ms <= since_ms:
            names.append(entry.name)
    return names


def _was_left(software: str, evidence: Evidence, since_ms: float) -> bool:
    """Return whether a server may have changed from a version to another one.

    Its entry followed late, so that a stream whose choice was the former version may
    have begun at the new one there.
    """
    if evidence.replacing:
        return True
    versions: dict[str, set[str]] = {}
    restarted = set()
    for entry in [*evidence.listed, *evidence.seen]:
        versions.setdefault(entry.name, set()).add(entry.software)
        if entry.started_ms > since_ms:
            restarted.add(entry.name)
    for name in restarted:
        if software in versions[name] and len(versions[name]) > 1:
            return True
    return False


def _candidates(service: str, evidence: Evidence, since_ms: float) -> list[_Candidate]:
    """Return the servers that may have been listed since a time."""
    identities: dict[str, set[_Identity]] = {}
    came = {name for name, at in evidence.came_ms.items() if at >= since_ms}
    left = {name for name, at in evidence.left_ms.items() if at >= since_ms}
    changed = came | left
    most_slots = 1
    for entry in [*evidence.listed, *evidence.seen]:
        found = _Identity(entry.service, entry.software, entry.slots, entry.started_ms)
        identities.setdefault(entry.name, set()).add(found)
        most_slots = max(most_slots, entry.slots)
        if entry.leaving:
            changed.add(entry.name)
    steady = set()
    for entry in evidence.listed:
        if not 0 < entry.started_ms <= since_ms or entry.name in changed:
            continue
        if len(identities[entry.name]) == 1:
            steady.add(entry.name)
    listed = {entry.name for entry in evidence.listed}
    candidates = []
    for name, several in identities.items():
        if name not in listed and name in evidence.left_ms and name not in left:
            # It had left before.
            continue
        for item in several:
            if item.service == service:
                is_steady = name in steady
                candidates.append(
                    _Candidate(name, item.software, item.slots, is_steady)
                )
    for name in (left - identities.keys()) | evidence.replacing:
        candidates.append(_Candidate(name, None, most_slots, False))
    return candidates


def _score(key: int, name: str, slots: int) -> float:
    return rendezvous.weighted_score(f"version {key}", name, slots)
