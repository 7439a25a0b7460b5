"""What the policy of objectives found out about one server for one demand."""

import typing


class Choice(typing.NamedTuple):
    """A server for a demand.

    Attributes
    ----------
    server : str
        Its name.
    first_seconds : float
        Estimated time to the first event.
    cost : float
        Seconds; the least is best.
    is_late : bool
        Whether the first event misses the objective.
    """

    server: str
    first_seconds: float
    cost: float
    is_late: bool
