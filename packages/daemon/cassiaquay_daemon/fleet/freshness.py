"""How new an instance's list of backend servers is, as heartbeats tell it."""

import typing


class Freshness(typing.NamedTuple):
    """Revision, age and content of a list of backend servers.

    Attributes
    ----------
    revision : int
        Revision of the platform at the last read; 0 for none.
    age_ms : int
        Milliseconds since that read.
    digest : int
        Digest of what decides about the use of the servers.
    steady_ms : int
        For how long the list has been confirmed without a gap, in milliseconds.
    """

    revision: int = 0
    age_ms: int = 0
    digest: int = 0
    steady_ms: int = 0
