"""Requests without a complete answer, as the gateway reports them."""

import typing


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
