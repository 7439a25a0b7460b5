"""How recent an instance's list of backend servers is, as sent in heartbeats."""

import typing


class Freshness(typing.NamedTuple):
    """Revision, age and content digest of a list of backend servers.

    Attributes
    ----------
    revision : int
        Revision of the platform at the last read; 0 before the first read.
    age_ms : int
        Milliseconds since that read.
    digest : int
        Digest of the fields that decide which servers are used.
    steady_ms : int
        Milliseconds for which the list has been confirmed current without a gap.
    """

    revision: int = 0
    age_ms: int = 0
    digest: int = 0
    steady_ms: int = 0
