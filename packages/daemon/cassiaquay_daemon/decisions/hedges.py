"""Decides when a request whose server is silent is sent to a second server as well.

Load pattern: servers stop for a second or two, one, half or all of a service, and go on
where they were; others never answer again. From one instance both look alike. A request
that leaves its server is lost if no other one takes it, and while all servers stand
still, none does. A request that stays is lost if its server has crashed.

So no silence ends an answer. After a patience the request also goes to a second server,
and the first of them to answer goes on. Only streams must not run twice for long: the
silent server is left when another one has begun to answer, and if it wakes up before
that, the other one is left.
"""

import enum
import typing

# Callers wait at least two seconds between events, which leaves time to resume the
# stream at another server.
STREAM_PATIENCE_SECONDS = 1.2
MIN_PATIENCE_SECONDS = 0.25
# Prefill rate of a slow engine; long prompts delay the first event.
SLOW_PREFILL_TOKENS_PER_SECOND = 20_000.0
# Time for which two servers may work on one stream; 0.4 s is the most allowed.
OVERLAP_SECONDS = 0.2
# Bytes of a body that count as progress. A server in trouble may send some bytes now
# and then, which must not keep the request from another server.
PROGRESS_BYTES = 16 * 1024
# Share of its time after which a plain answer that still grows counts as silent. It may
# have no end, and a second server needs time, too.
GROWTH_SHARE = 0.5
# Interval at which a waiting request looks at its servers.
CHECK_SECONDS = 0.05


class Action(enum.Enum):
    """What a request does while its server is silent.

    SEARCH requests capacity at another server, MOVE leaves the silent server for
    another one, STAY leaves the others.
    """

    WAIT = "wait"
    SEARCH = "search"
    MOVE = "move"
    STAY = "stay"


class Silence(typing.NamedTuple):
    """A request whose server is silent.

    Attributes
    ----------
    is_stream : bool
        Whether the answer is a stream.
    is_searching : bool
        Whether capacity at another server is being requested.
    searched_seconds : float
        Time since the last such request has failed; infinite if none has.
    interval_seconds : float
        Time from a failed request to the next one.
    obstacle : str
        Why no other server may get the request; empty if one may.
    patience_seconds : float
        Time after which a server counts as silent.
    newest_seconds : float or None
        Time since the newest of the other servers has had the request; None if no other
        one has it.
    has_other_begun : bool
        Whether one of the other servers has begun to answer.
    is_awake : bool
        Whether any answer of the silent server has gone on since the newest of the
        others has the request.
    """

    is_stream: bool
    is_searching: bool
    searched_seconds: float
    interval_seconds: float
    obstacle: str
    patience_seconds: float
    newest_seconds: float | None
    has_other_begun: bool
    is_awake: bool


def patience_seconds(
    is_stream: bool,
    objective_seconds: float,
    prompt_tokens: int,
    is_failure: bool = False,
) -> float:
    """Return the time without progress after which a server counts as silent.

    Once the answer is known to be a failure (``is_failure``), nothing but its body is
    left to wait for.
    """
    if is_failure:
        return MIN_PATIENCE_SECONDS
    if not is_stream:
        return max(objective_seconds, MIN_PATIENCE_SECONDS)
    prefill_seconds = prompt_tokens / SLOW_PREFILL_TOKENS_PER_SECOND
    return STREAM_PATIENCE_SECONDS + prefill_seconds


def decide(silence: Silence) -> Action:
    """Return what to do now."""
    newest_seconds = silence.newest_seconds
    if newest_seconds is not None:
        if silence.is_stream and newest_seconds >= OVERLAP_SECONDS:
            if silence.has_other_begun:
                return Action.MOVE
            if silence.is_awake:
                return Action.STAY
        if newest_seconds < silence.patience_seconds:
            return Action.WAIT
    if silence.is_searching or silence.obstacle:
        return Action.WAIT
    if silence.searched_seconds < silence.interval_seconds:
        return Action.WAIT
    return Action.SEARCH
