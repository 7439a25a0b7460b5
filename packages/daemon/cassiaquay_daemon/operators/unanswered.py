"""Requests without a complete answer, as the gateway reports them."""

import typing

# Share of its objective after which the refusal of a request that no server was sent
# counts as late: its caller has less time for another attempt than it could have had.
LATE_REFUSAL_SHARE = 0.125


class Unanswered(typing.NamedTuple):
    """A request that was read whole and got no complete answer.

    Attributes
    ----------
    cause : str
        "caller_left": the caller closed its connection, or only its sending side, and
        may have got a status; "stream_cut": its stream was cut off and
        could not go on; "deadline": its time ended within the answer; "drained": the
        grace period of a shutdown did; "pipelined": the connection was closed after the
        answer before; "crashed": an error of this instance.
    was_dispatched : bool
        Whether a server may have run it.
    """

    cause: str
    was_dispatched: bool


def is_late_refusal(
    was_offered: bool, seconds: float, objective_seconds: float
) -> bool:
    """Return whether a request ended late without having been sent to a server.

    Parameters
    ----------
    was_offered : bool
        Whether it was sent to a server, even if that declined it.
    seconds : float
        Time from its arrival to its end.
    objective_seconds : float
        Time that its objective allows.
    """
    return not was_offered and seconds > objective_seconds * LATE_REFUSAL_SHARE
