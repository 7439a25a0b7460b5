"""Which servers the gateway reaches, what relays have done, which answers it holds."""

import collections.abc
import types
import typing

from . import families, metrics, reach_families


class Reach(typing.NamedTuple):
    """Which servers this instance reaches, and what relays have done.

    Attributes
    ----------
    lost_paths : dict of str to int
        Number of servers that it cannot connect to, by service.
    as_owner, as_relay : int
        Requests of its own that others sent to a server, and the reverse.
    resumed : dict of str to int
        Streams that callers took up, by what was known of their origins.
    origins : int
        Streams of which it knows where they began.
    retries : dict of str to int
        Recognised retries of refused callers, by route.
    held_bytes, most_held_bytes : int
        Bytes of answers that are held now, and the most so far.
    waiting_answers : int
        Answers that wait for room.
    process_checks : mapping of str to int
        Servers asked whether they have restarted, by result.
    """

    lost_paths: dict[str, int]
    as_owner: int
    as_relay: int
    resumed: dict[str, int]
    origins: int
    retries: dict[str, int]
    held_bytes: int = 0
    most_held_bytes: int = 0
    waiting_answers: int = 0
    process_checks: collections.abc.Mapping[str, int] = types.MappingProxyType({})


def nothing() -> Reach:
    """Return that nothing is lost or relayed: there is no gateway."""
    return Reach({}, 0, 0, {}, 0, {})


def record(recorder: metrics.Metrics, found: Reach) -> None:
    """Update the metrics of the gateway's paths and answers."""
    lost_paths: dict[families.Key, float] = {}
    for service, count in found.lost_paths.items():
        lost_paths[(service,)] = count
    recorder.replace(reach_families.UNREACHABLE_SERVERS, lost_paths)
    counts: dict[families.Key, float] = {}
    counts[("owner",)] = found.as_owner
    counts[("relay",)] = found.as_relay
    recorder.replace(reach_families.RELAYED_REQUESTS, counts)
    resumed: dict[families.Key, float] = {}
    for origin, count in found.resumed.items():
        resumed[(origin,)] = count
    recorder.replace(reach_families.RESUMED_STREAMS, resumed)
    checks: dict[families.Key, float] = {}
    for result, count in found.process_checks.items():
        checks[(result,)] = count
    recorder.replace(reach_families.PROCESS_CHECKS, checks)
    recorder.replace(reach_families.STREAM_ORIGINS, {(): found.origins})
    retries: dict[families.Key, float] = {}
    for route, count in found.retries.items():
        retries[(route,)] = count
    recorder.replace(reach_families.RETRIES, retries)
    held: dict[families.Key, float] = {}
    held[("now",)] = found.held_bytes
    held[("most",)] = found.most_held_bytes
    recorder.replace(reach_families.HELD_BYTES, held)
    recorder.replace(reach_families.UNREAD_REQUESTS, {(): found.waiting_answers})
