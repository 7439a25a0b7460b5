"""The estimate of the objectives policy for one demand on one server."""

import typing


class Choice(typing.NamedTuple):
    """A server that can run a demand.

    Attributes
    ----------
    server : str
        Name of the server.
    first_seconds : float
        Estimated time to the first event.
    cost : float
        Cost in seconds; the lowest is best.
    is_late : bool
        Whether the first event misses the objective.
    """

    server: str
    first_seconds: float
    cost: float
    is_late: bool
