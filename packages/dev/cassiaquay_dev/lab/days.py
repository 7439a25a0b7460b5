"""A day of the lab: a fleet, its engines and its load, from a checked TOML file."""

import pathlib

import msgspec

from cassiaquay_schema import exceptions

FOLDER = pathlib.Path(__file__).parent / "days"


class Engines(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The engines of the only pool.

    Attributes
    ----------
    count, slots : int
        How many, and requests side by side in each.
    step_ms, slot_ms : float
        Time of a step, and what each running request adds to it.
    prompt_tokens_per_ms : float
        Speed of reading prompts.
    chunk_tokens, event_tokens : int
        Prompt tokens of one step at most; tokens of one event.
    time_factors : list of float
        Of the engines in turn: how many times longer each takes.
    """

    count: int
    slots: int
    step_ms: float
    slot_ms: float
    prompt_tokens_per_ms: float
    chunk_tokens: int
    event_tokens: int
    time_factors: list[float]


class Kind(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One kind of request.

    Attributes
    ----------
    rank : int
        0 is the most important.
    per_second : float
        Arrivals at load 1.
    prompt_mean, prompt_spread, prompt_most : float
        Tokens; the spread is the standard deviation over the mean.
    events_mean, events_spread, events_most : float
        Events of the answer.
    objective_ms, deadline_ms, pause_ms : int
        When the first event is late, when the caller leaves, the longest pause.
    worth, late_worth : float
        Of a request of mean size, begun in time and late.
    attempts : int
        Servers that may run one request.
    """

    rank: int
    per_second: float
    prompt_mean: float
    prompt_spread: float
    prompt_most: float
    events_mean: float
    events_spread: float
    events_most: float
    objective_ms: int
    deadline_ms: int
    pause_ms: int
    worth: float
    late_worth: float
    attempts: int = 1


class Burst(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """More arrivals for a while.

    Attributes
    ----------
    at, seconds : float
        From the start of the load, and how long.
    factor : float
        How many times the usual.
    kind : str
        Which kind of request; empty for all.
    """

    at: float
    seconds: float
    factor: float
    kind: str = ""


class Day(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A day.

    Attributes
    ----------
    instances, zones : int
        Daemons, and the failure domains that they are spread over.
    seconds : float
        How long requests arrive.
    load : float
        Factor on all arrivals.
    teams : int
        Teams; the first send most.
    crossing_ms, caller_ms : float
        One way between zones, and between callers and daemons.
    hint_spread : float
        Error of the callers' estimates of an answer's length, of its logarithm.
    engines : Engines
        The pool.
    kinds : dict of str to Kind
        By name.
    bursts : list of Burst
        In any order.
    """

    instances: int
    seconds: float
    engines: Engines
    kinds: dict[str, Kind]
    zones: int = 5
    load: float = 1.0
    teams: int = 19
    crossing_ms: float = 1.4
    caller_ms: float = 3.0
    hint_spread: float = 0.5
    bursts: list[Burst] = []


def read(name: str) -> Day:
    """Return a day by its name in the folder of days, or by a path.

    Raises
    ------
    SchemaError
        When there is no such file or it does not fit.
    """
    path = FOLDER / f"{name}.toml"
    if not path.exists():
        path = pathlib.Path(name)
    try:
        return msgspec.toml.decode(path.read_bytes(), type=Day)
    except (OSError, msgspec.MsgspecError) as error:
        raise exceptions.SchemaError(f"{path}: {error}") from error
