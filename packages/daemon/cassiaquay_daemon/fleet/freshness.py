"""How recent an instance's list of backend servers is, as sent in heartbeats."""

import typing

from .. import positions


class Freshness(typing.NamedTuple):
    """Position, age and content digest of a list of backend servers.

    Attributes
    ----------
    position : Position
        Position of the platform at the last read.
    age_ms : int
        Milliseconds since that read.
    digest : int
        Digest of the fields that decide which servers are used.
    steady_ms : int
        Milliseconds for which the list has been confirmed current without a gap.
    """

    position: positions.Position = positions.START
    age_ms: int = 0
    digest: int = 0
    steady_ms: int = 0
